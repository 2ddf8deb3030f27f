//! Cold servers, evacuated data centres, and their return.

mod support;

use balance::{
    ExchangeOutcome, ExpectedFinish, Placement, QueueDecision, QueueId, QueuePolicy, ReachPlan,
    RefusalCause, RequestQueue,
};
use model::{BackendSpec, DataCentre, InstanceName, Millis, MonoTime, RequestRate, SlotCount};
use std::collections::HashMap;
use std::time::Duration;
use support::{BUDGET, at, key, queue, request, service, spec};
use testkit::cases;

/// Rate that a cold server accepts.
const COLD_RATE: f64 = 6.0;
/// Operators' tolerance in any second: factor of the rate, and requests besides.
const TOLERANCE: (f64, f64) = (1.5, 8.0);
/// Processing time of a request, in milliseconds.
const PROCESSING_MS: u64 = 200;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 6_000;
/// Requests that each instance receives in a second; far more than the cold servers accept.
const REQUESTS_PER_S: u64 = 60;
/// Smallest part of the cold rate that must be used while requests wait.
const USED_MIN: f64 = 0.6;

fn cold_rates() -> HashMap<model::ServiceName, RequestRate> {
    HashMap::from([(service(), RequestRate(COLD_RATE))])
}

fn cold_spec(index: usize, left_ms: u64) -> BackendSpec {
    let spec = spec(index, "north");
    BackendSpec { slots: SlotCount(6), warm_up_left: Millis(left_ms), ..spec }
}

fn home(index: usize) -> (InstanceName, DataCentre) {
    let centre = if index.is_multiple_of(2) { "north" } else { "south" };
    (format!("h{index}").parse().expect("name"), centre.parse().expect("name"))
}

fn plan(homes: std::ops::Range<usize>) -> ReachPlan {
    let homes: Vec<_> = homes.map(home).collect();
    ReachPlan::new(homes.iter().map(|(name, centre)| (name, centre)))
}

fn sender(index: usize, plan: ReachPlan, specs: &[BackendSpec]) -> RequestQueue {
    let (name, data_centre) = home(index);
    let policy = QueuePolicy {
        data_centre: data_centre.clone(),
        waiting_max: 1_000,
        budget: BUDGET,
        is_first_start: false,
        border_price: support::BORDER_PRICE,
    };
    let random = Box::new(ExpectedFinish::with_seed(index as u64));
    let mut queue = RequestQueue::new(at(0), policy, random);
    queue.estimates.set_cold_rates(at(0), cold_rates());
    queue.estimates.set_plan(at(0), name, data_centre, plan);
    for spec in specs {
        queue.estimates.upsert_server(at(0), spec.clone());
    }
    queue
}

/// Runs requests at all instances and returns the times at which they reached each server.
fn run(
    senders: &mut [RequestQueue],
    servers: usize,
    change: impl Fn(u64, &mut [RequestQueue]),
) -> Vec<Vec<u64>> {
    let mut arrivals = vec![Vec::new(); servers];
    let mut running: Vec<(u64, usize, QueueId, Placement)> = Vec::new();
    for now in 0..DURATION_MS {
        change(now, senders);
        let ended = running.extract_if(.., |(end, ..)| *end <= now).collect::<Vec<_>>();
        for (_, sender, id, placement) in ended {
            senders[sender].finish(at(now), id, &placement.key, ExchangeOutcome::Answered);
        }
        for (index, queue) in senders.iter_mut().enumerate() {
            let mut decided = queue.advance(at(now));
            if now.is_multiple_of(1_000 / REQUESTS_PER_S) {
                let (id, decision) = queue.submit(at(now), request(at(now), 1));
                decided.extend(decision.map(|decision| (id, decision)));
            }
            for (id, decision) in decided {
                if let QueueDecision::Send(placement) = decision {
                    let server = (0..servers).find(|server| key(*server) == placement.key);
                    arrivals[server.expect("a known server")].push(now);
                    running.push((now + PROCESSING_MS, index, id, placement));
                }
            }
        }
    }
    arrivals
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    (0..arrivals.len())
        .map(|end| arrivals[..=end].iter().filter(|time| **time + 1_000 > arrivals[end]).count())
        .max()
        .unwrap_or(0)
}

/// Answers to the return of cold servers while far more requests wait than they accept, with homes that
/// come and go meanwhile.
fn check_cold_rate(homes: usize, others: usize, changes_homes: bool) {
    const SERVERS: usize = 4;
    let specs: Vec<BackendSpec> =
        (0..SERVERS).map(|index| cold_spec(index, 2 * DURATION_MS)).collect();
    let mut senders: Vec<RequestQueue> =
        (0..homes + others).map(|index| sender(index, plan(0..homes), &specs)).collect();
    let arrivals = run(&mut senders, SERVERS, |now, senders| {
        if changes_homes && now == 3_000 {
            for (index, queue) in senders.iter_mut().enumerate() {
                let (name, centre) = home(index);
                queue.estimates.set_plan(at(now), name, centre, plan(others..homes + others));
            }
        }
    });
    let (factor, extra) = TOLERANCE;
    for arrivals in &arrivals {
        let most = most_in_a_second(arrivals) as f64;
        assert!(most <= COLD_RATE * factor + extra, "{most} in a second");
        let used = arrivals.len() as f64 / (DURATION_MS as f64 / 1e3);
        assert!(changes_homes || used >= COLD_RATE * USED_MIN, "{used}/s used");
    }
}

cases! { check_cold_rate {
    two_homes: (2, 0, false);
    six_homes: (6, 0, false);
    twelve_homes: (12, 0, false);
    six_homes_and_others: (6, 6, false);
    six_homes_are_replaced: (6, 6, true);
    two_homes_are_replaced: (2, 2, true);
} }

/// A home that is new leaves cold servers for a second to those that may not know yet that they are none any more.
#[test]
fn a_new_home_leaves_cold_servers_to_those_before_it() {
    let mut queue = sender(2, plan(0..2), &[cold_spec(0, 2 * DURATION_MS)]);
    assert_eq!(count_sent(&mut queue, 0, 2_000), 0, "no home");
    let (name, centre) = home(2);
    queue.estimates.set_plan(at(2_000), name, centre, plan(1..3));
    assert_eq!(count_sent(&mut queue, 2_000, 2_990), 0, "a home since less than a second");
    assert!(count_sent(&mut queue, 3_010, 5_000) > 0);
}

/// Returns whether a request at `now` is sent.
fn is_sent(queue: &mut RequestQueue, now: MonoTime) -> bool {
    match queue.submit(now, request(now, 1)) {
        (id, Some(QueueDecision::Send(placement))) => {
            queue.finish(now, id, &placement.key, ExchangeOutcome::Answered);
            true
        }
        (id, None) => {
            queue.cancel(id);
            false
        }
        (_, Some(QueueDecision::Refuse(_))) => false,
    }
}

fn count_sent(queue: &mut RequestQueue, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).step_by(10).filter(|now| is_sent(queue, at(*now))).count()
}

/// What happens to a server between 0 and 1 s.
#[derive(Debug, Clone, Copy)]
enum ServerEvent {
    Nothing,
    /// It can't be reached for a moment.
    Unreachable,
    FailedCheck,
    /// It can't be reached, and a health check made before that arrives late.
    UnreachableAfterCheck,
    /// A health check says that it is cold for a second more.
    SaysCold,
    /// It can't be reached, then a health check says nothing of its warm-up.
    ProvenAgain,
    /// Its data centre is evacuated and taken back.
    Evacuated,
}

fn check_doubt(event: ServerEvent, is_limited: bool) {
    let mut queue = queue(vec![cold_spec(0, 0)]);
    queue.estimates.set_cold_rates(at(0), cold_rates());
    let estimates = &mut queue.estimates;
    let centre = "north".parse().expect("name");
    match event {
        ServerEvent::Nothing => {}
        ServerEvent::FailedCheck => estimates.record_failed_check(at(10), &key(0)),
        ServerEvent::SaysCold => {
            estimates.record_warm_up(at(900), &key(0), Some(Duration::from_millis(1_500)));
        }
        ServerEvent::Evacuated => {
            assert_eq!(estimates.evacuate(&centre).len(), 1);
            assert!(estimates.take_back(at(10), &centre));
        }
        ServerEvent::Unreachable
        | ServerEvent::ProvenAgain
        | ServerEvent::UnreachableAfterCheck => {
            estimates.start_exchange(at(10), &key(0), 7);
            estimates.end_exchange(at(20), &key(0), 7, ExchangeOutcome::Unreachable);
            let told_at = if matches!(event, ServerEvent::ProvenAgain) { 30 } else { 15 };
            if !matches!(event, ServerEvent::Unreachable) {
                estimates.record_warm_up(at(told_at), &key(0), None);
            }
        }
    }
    let sent = count_sent(&mut queue, 1_000, 2_000);
    assert_eq!(sent < 30, is_limited, "{sent} of 100 requests in a second");
}

cases! { check_doubt {
    warm_server: (ServerEvent::Nothing, false);
    unreachable_server: (ServerEvent::Unreachable, true);
    failed_check: (ServerEvent::FailedCheck, true);
    check_before_the_failure: (ServerEvent::UnreachableAfterCheck, true);
    server_that_says_so: (ServerEvent::SaysCold, true);
    proven_again: (ServerEvent::ProvenAgain, false);
    evacuated_and_taken_back: (ServerEvent::Evacuated, true);
} }

#[test]
fn without_a_rate_cold_servers_are_used_as_before() {
    let mut queue = queue(vec![cold_spec(0, 5_000)]);
    queue.estimates.record_failed_check(at(0), &key(0));
    assert_eq!(count_sent(&mut queue, 1_000, 2_000), 100);
}

#[test]
fn servers_of_an_evacuated_data_centre_get_nothing() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "south")]);
    let north: DataCentre = "north".parse().expect("name");
    assert_eq!(queue.estimates.evacuate(&north).len(), 1);
    assert!(queue.estimates.evacuate(&north).is_empty(), "already evacuated");
    // A record that is written again, and a server that is added.
    queue.estimates.upsert_server(at(1), spec(0, "north"));
    queue.estimates.upsert_server(at(1), spec(2, "north"));
    for index in 0..20 {
        let now = at(10 + index);
        let (id, decision) = queue.submit(now, request(now, 1));
        let Some(QueueDecision::Send(placement)) = decision else {
            panic!("expected a server");
        };
        assert_eq!(placement.key, key(1));
        queue.finish(now, id, &placement.key, ExchangeOutcome::Answered);
    }
    let south: DataCentre = "south".parse().expect("name");
    queue.estimates.evacuate(&south);
    let decision = queue.submit(at(50), request(at(50), 1)).1;
    let Some(QueueDecision::Refuse(refusal)) = decision else {
        panic!("expected a refusal at once");
    };
    assert_eq!(refusal.cause, RefusalCause::NoServer);
    assert!(queue.place_hedge(at(51), &request(at(51), 1), Duration::from_secs(1)).is_none());
    assert!(queue.estimates.take_back(at(60), &north));
    assert!(!queue.estimates.take_back(at(61), &north), "taken back already");
    assert!(is_sent(&mut queue, at(70)));
}

#[test]
fn a_request_that_waits_is_placed_elsewhere_after_an_evacuation() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "south")]);
    let mut ids = Vec::new();
    while let (id, Some(QueueDecision::Send(placement))) = queue.submit(at(1), request(at(1), 1)) {
        ids.push((id, placement));
    }
    queue.estimates.evacuate(&"north".parse().expect("name"));
    for (id, placement) in ids {
        queue.finish(at(2), id, &placement.key, ExchangeOutcome::Answered);
    }
    let decided = queue.advance(at(3));
    assert!(!decided.is_empty());
    for (_, decision) in decided {
        assert!(matches!(decision, QueueDecision::Send(placement) if placement.key == key(1)));
    }
}
