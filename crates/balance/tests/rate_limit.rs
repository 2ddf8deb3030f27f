//! Request rates that backend servers limit, over all instances and every way to a server.

mod support;

use balance::{
    ExchangeOutcome, ExpectedFinish, Placement, QueueDecision, QueueId, QueuePolicy, ReachPlan,
    RequestQueue, RequestSpec,
};
use model::{BackendSpec, DataCentre, InstanceName, RequestRate, SlotCount};
use std::time::Duration;
use support::{BUDGET, at, key, queue, queue_of, report, request, service, spec};
use testkit::cases;

/// Time after a server first named a limit from which the limit holds, in milliseconds.
const SETTLING_MS: u64 = 3_000;
/// Time after the first response with a limit from which an instance is bound by it, in milliseconds.
const NOTICE_MS: u64 = 500;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Factor by which a window may exceed the limit.
const WINDOW_FACTOR: f64 = 1.5;
/// Requests by which a window may exceed the limit besides.
const WINDOW_EXTRA: f64 = 5.0;
/// Smallest part of the limits that must be used while more requests wait.
const USED_MIN: f64 = 0.7;
/// Time at which the servers begin to limit their requests, in milliseconds.
const LIMITED_FROM_MS: u64 = 1_000;
/// Time at which the instances change, in milliseconds.
const CHANGE_MS: u64 = 9_000;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// Processing time of a request, in milliseconds.
const PROCESSING_MS: u64 = 120;
/// Age of an exchange at which it is hedged, in milliseconds.
const HEDGE_MS: u64 = 60;
/// Requests that the first instance receives in a second; more than the servers accept.
const REQUESTS_PER_S: u64 = 100;
/// One exchange in this many fails and is sent again.
const FAILURE_INTERVAL: u64 = 5;
/// Interval at which the instances report their request rates to each other, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Number of servers in each data centre.
const SERVERS_PER_CENTRE: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq)]
enum FleetChange {
    None,
    /// The first home starts again and remembers nothing.
    Restart,
    /// The first home of each data centre is replaced by an instance that was none.
    NewHomes,
}

#[derive(Debug, Clone, Copy)]
struct LimitCase {
    centres: usize,
    homes_per_centre: usize,
    /// Instances that receive requests although they are no homes.
    others: usize,
    limit: f64,
    /// Requests that the instances but the first one receive in a second.
    others_per_s: u64,
    change: FleetChange,
}

struct SentRequest {
    sender: usize,
    sent_ms: u64,
    id: QueueId,
    placement: Placement,
    can_be_hedged: bool,
}

/// An instance with the time of its first response with a limit from each server.
struct Sender {
    queue: RequestQueue,
    told_ms: Vec<Option<u64>>,
}

struct Simulation {
    case: LimitCase,
    senders: Vec<Sender>,
    running: Vec<SentRequest>,
    /// Sender and time of the requests at each server.
    arrivals: Vec<Vec<(usize, u64)>>,
    first_told_ms: Vec<Option<u64>>,
    exchanges: u64,
}

fn centre(index: usize) -> DataCentre {
    format!("c{index}").parse().expect("name")
}

fn instance(index: usize) -> InstanceName {
    format!("h{index}").parse().expect("name")
}

impl LimitCase {
    fn homes(&self) -> usize {
        self.centres * self.homes_per_centre
    }

    fn sender_count(&self) -> usize {
        self.homes() + self.others
    }

    fn centre_of(&self, sender: usize) -> DataCentre {
        centre(sender % self.centres)
    }

    /// The plan of the homes, the first of which are left out.
    fn plan(&self, left_out: usize) -> ReachPlan {
        let homes: Vec<(InstanceName, DataCentre)> = (left_out..self.homes() + left_out)
            .map(|index| (instance(index), self.centre_of(index)))
            .collect();
        ReachPlan::new(homes.iter().map(|(name, centre)| (name, centre)))
    }

    fn sender(&self, index: usize) -> Sender {
        let data_centre = self.centre_of(index);
        let policy = QueuePolicy {
            data_centre,
            waiting_max: 1_000,
            budget: BUDGET,
            is_first_start: false,
            border_price: support::BORDER_PRICE,
        };
        let placement_policy = Box::new(ExpectedFinish::with_seed(index as u64 + 1));
        let mut queue = RequestQueue::new(at(0), policy, placement_policy);
        queue.estimates.set_plan(at(0), instance(index), self.centre_of(index), self.plan(0));
        let servers = self.centres * SERVERS_PER_CENTRE;
        for server in 0..servers {
            let spec = spec(server, self.centre_of(server).as_str());
            queue.estimates.upsert_server(at(0), BackendSpec { slots: SlotCount(6), ..spec });
        }
        Sender { queue, told_ms: vec![None; servers] }
    }
}

impl Simulation {
    fn new(case: LimitCase) -> Self {
        let servers = case.centres * SERVERS_PER_CENTRE;
        Self {
            case,
            senders: (0..case.sender_count()).map(|index| case.sender(index)).collect(),
            running: Vec::new(),
            arrivals: vec![Vec::new(); servers],
            first_told_ms: vec![None; servers],
            exchanges: 0,
        }
    }

    fn run(mut self) -> Self {
        for now in 0..DURATION_MS {
            if now == CHANGE_MS {
                self.change_fleet(now);
            }
            if now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.report_demands(now);
            }
            self.end_exchanges(now);
            self.hedge(now);
            for sender in 0..self.senders.len() {
                let per_s = if sender == 0 { REQUESTS_PER_S } else { self.case.others_per_s };
                if (now * per_s) / 1_000 != ((now + 1) * per_s) / 1_000 {
                    self.submit(now, sender, request(at(now), 1));
                }
                for (id, decision) in self.senders[sender].queue.advance(at(now)) {
                    self.apply_decision(now, sender, id, decision);
                }
            }
        }
        self
    }

    fn report_demands(&mut self, now: u64) {
        for reporter in 0..self.senders.len() {
            let rates = self.senders[reporter].queue.estimates.demands.own_rates(at(now));
            for (index, sender) in self.senders.iter_mut().enumerate() {
                let estimates = &mut sender.queue.estimates;
                if index != reporter {
                    estimates.demands.record_peer(at(now), instance(reporter), rates.clone());
                }
                estimates.share_limits(at(now));
            }
        }
    }

    fn change_fleet(&mut self, now: u64) {
        match self.case.change {
            FleetChange::None => {}
            FleetChange::Restart => {
                self.senders[0] = self.case.sender(0);
                self.running.retain(|request| request.sender != 0);
            }
            FleetChange::NewHomes => {
                let plan = self.case.plan(self.case.centres);
                for (index, sender) in self.senders.iter_mut().enumerate() {
                    let centre = self.case.centre_of(index);
                    let estimates = &mut sender.queue.estimates;
                    estimates.set_plan(at(now), instance(index), centre, plan.clone());
                }
            }
        }
    }

    fn submit(&mut self, now: u64, sender: usize, spec: RequestSpec) {
        let (id, decision) = self.senders[sender].queue.submit(at(now), spec);
        if let Some(decision) = decision {
            self.apply_decision(now, sender, id, decision);
        }
    }

    fn apply_decision(&mut self, now: u64, sender: usize, id: QueueId, decision: QueueDecision) {
        if let QueueDecision::Send(placement) = decision {
            self.send(now, sender, id, placement, true);
        }
    }

    fn send(
        &mut self,
        now: u64,
        sender: usize,
        id: QueueId,
        placement: Placement,
        can_be_hedged: bool,
    ) {
        let server = server_of(&placement);
        self.arrivals[server].push((sender, now));
        self.running.push(SentRequest { sender, sent_ms: now, id, placement, can_be_hedged });
    }

    fn hedge(&mut self, now: u64) {
        for index in 0..self.running.len() {
            let running = &mut self.running[index];
            if !running.can_be_hedged || now - running.sent_ms != HEDGE_MS {
                continue;
            }
            let mut spec = request(at(running.sent_ms), 1);
            spec.avoid = vec![running.placement.key.clone()];
            let sender = running.sender;
            let hedge =
                self.senders[sender].queue.place_hedge(at(now), &spec, Duration::from_secs(1));
            if let Some((id, placement)) = hedge {
                self.send(now, sender, id, placement, false);
            }
        }
    }

    fn end_exchanges(&mut self, now: u64) {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.sent_ms + PROCESSING_MS <= now);
        self.running = running;
        for request in ended {
            self.end_exchange(now, &request);
        }
    }

    fn end_exchange(&mut self, now: u64, ended: &SentRequest) {
        self.exchanges += 1;
        let is_failed = self.exchanges.is_multiple_of(FAILURE_INTERVAL);
        let server = server_of(&ended.placement);
        let sender = &mut self.senders[ended.sender];
        let key = &ended.placement.key;
        let outcome = if is_failed { ExchangeOutcome::Failed } else { ExchangeOutcome::Answered };
        sender.queue.finish(at(now), ended.id, key, outcome);
        sender.queue.estimates.record_report(at(now), key, report(0, 1.0));
        if now >= LIMITED_FROM_MS {
            sender.queue.estimates.record_limit(
                at(now),
                at(now),
                key,
                Some(RequestRate(self.case.limit)),
            );
            sender.told_ms[server].get_or_insert(now);
            self.first_told_ms[server].get_or_insert(now);
        }
        if is_failed {
            let mut spec = request(at(ended.sent_ms), 1);
            spec.avoid = vec![key.clone()];
            self.submit(now, ended.sender, spec);
        }
    }

    /// The requests that count at a server, in order: from instances that had been told its limit.
    fn counted(&self, server: usize) -> Vec<u64> {
        let is_told = |(sender, sent): &&(usize, u64)| {
            self.senders[*sender].told_ms[server].is_some_and(|told| *sent >= told + NOTICE_MS)
        };
        self.arrivals[server].iter().filter(is_told).map(|(_, sent)| *sent).collect()
    }

    /// The most requests in a window at any server.
    fn fullest_window(&self) -> usize {
        let fullest = |server: usize| {
            let from = self.first_told_ms[server].map_or(u64::MAX, |told| told + SETTLING_MS);
            let counted = self.counted(server);
            let counted: Vec<u64> = counted.into_iter().filter(|sent| *sent >= from).collect();
            let in_window = |start: &u64| {
                counted.iter().filter(|sent| (*start..*start + WINDOW_MS).contains(sent)).count()
            };
            counted.iter().map(in_window).max().unwrap_or(0)
        };
        (0..self.arrivals.len()).map(fullest).max().unwrap_or(0)
    }

    /// Requests in a second at all servers together after the limits have settled.
    fn rate(&self) -> f64 {
        let from = LIMITED_FROM_MS + SETTLING_MS;
        let sent = self.arrivals.iter().flatten().filter(|(_, sent)| *sent >= from).count();
        sent as f64 * 1_000.0 / (DURATION_MS - from) as f64
    }
}

fn server_of(placement: &Placement) -> usize {
    placement.key.name.as_str()[1..].parse().expect("number")
}

/// Guards against servers that get more requests than the limit that they named, from instances that
/// each keep it alone. With failures, hedges and more requests than the limits allow.
fn check_limit(case: LimitCase) {
    let simulation = Simulation::new(case).run();
    let allowed = case.limit * (WINDOW_MS as f64 / 1_000.0) * WINDOW_FACTOR + WINDOW_EXTRA;
    let fullest = simulation.fullest_window();
    assert!(fullest as f64 <= allowed, "{fullest} requests in a window, {allowed} allowed");
    let limits = case.limit * simulation.arrivals.len() as f64;
    let rate = simulation.rate();
    assert!(rate >= limits * USED_MIN, "{rate} requests a second, {limits} allowed");
}

const TWO_HOMES: LimitCase = LimitCase {
    centres: 2,
    homes_per_centre: 1,
    others: 0,
    limit: 8.0,
    others_per_s: REQUESTS_PER_S,
    change: FleetChange::None,
};

cases! { check_limit {
    one_home: (LimitCase { centres: 1, ..TWO_HOMES });
    two_homes: (TWO_HOMES);
    four_data_centres: (LimitCase { centres: 4, limit: 5.0, ..TWO_HOMES });
    a_low_limit: (LimitCase { centres: 4, limit: 1.0, ..TWO_HOMES });
    a_large_fleet: (LimitCase { centres: 6, homes_per_centre: 3, limit: 6.0, ..TWO_HOMES });
    most_requests_at_one_home: (
        LimitCase { centres: 4, limit: 5.0, others_per_s: 1, ..TWO_HOMES }
    );
    an_instance_that_is_no_home: (LimitCase { others: 1, ..TWO_HOMES });
    a_restarted_home: (LimitCase { change: FleetChange::Restart, ..TWO_HOMES });
    new_homes: (LimitCase { others: 2, change: FleetChange::NewHomes, ..TWO_HOMES });
} }

fn submit_at(queue: &mut RequestQueue, millis: u64) -> Option<QueueDecision> {
    queue.submit(at(millis), request(at(millis), 1)).1
}

/// Guards against requests that wait for a limited server until their deadline though their turn would
/// come later.
#[test]
fn requests_beyond_the_limit_are_refused_at_once_with_the_wait() {
    let mut queue = queue(vec![spec(0, "north")]);
    queue.estimates.record_limit(at(0), at(0), &key(0), Some(RequestRate(1.0)));
    assert!(submit_at(&mut queue, 10).is_none(), "its turn comes within its deadline");
    let Some(QueueDecision::Refuse(refusal)) = submit_at(&mut queue, 20) else {
        panic!("the second one would have to wait for two seconds");
    };
    assert!((1_500..=2_000).contains(&refusal.retry_after.0), "{refusal:?}");
}

/// Guards against counting the started tokens of many servers as if their sum could be spent.
#[test]
fn no_more_requests_wait_for_limited_servers_than_they_accept_in_time() {
    const SERVERS: usize = 8;
    let mut queue = queue_of((0..SERVERS).map(|index| spec(index, "north")).collect(), 100);
    for index in 0..SERVERS {
        let from = at(index as u64 * 1_000 / SERVERS as u64);
        queue.estimates.record_limit(from, from, &key(index), Some(RequestRate(1.0)));
    }
    let waiting = (0..30).filter(|_| submit_at(&mut queue, 990).is_none()).count();
    // Eight requests a second before a deadline of 1.5 s, less the processing time.
    assert!((8..=11).contains(&waiting), "{waiting} requests wait");
}

#[test]
fn a_server_without_a_limit_is_preferred_to_a_wait() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "south")]);
    queue.estimates.record_limit(at(0), at(0), &key(0), Some(RequestRate(1.0)));
    let Some(QueueDecision::Send(placement)) = submit_at(&mut queue, 10) else {
        panic!("the other server has free slots");
    };
    assert_eq!(placement.key, key(1));
}

#[test]
fn a_limit_ends_when_a_response_names_none() {
    let mut queue = queue(vec![spec(0, "north")]);
    assert!(queue.estimates.record_limit(at(0), at(0), &key(0), Some(RequestRate(1.0))));
    assert!(!queue.estimates.record_limit(at(5), at(5), &key(0), Some(RequestRate(1.0))));
    assert!(submit_at(&mut queue, 10).is_none());
    assert!(queue.estimates.record_limit(at(20), at(20), &key(0), None));
    assert_eq!(queue.advance(at(21)).len(), 1);
}

/// Guards against a forecast that no duration can hold.
#[test]
fn the_wait_for_a_tiny_share_of_a_limit_is_bounded() {
    let mut queue = queue(vec![spec(0, "north")]);
    let (this, peer) = ("this".parse().expect("name"), "peer".parse().expect("name"));
    let estimates = &mut queue.estimates;
    estimates.set_plan(at(0), this, "north".parse().expect("name"), ReachPlan::default());
    estimates.demands.record_peer(at(0), peer, vec![(service(), RequestRate(f64::MAX))]);
    estimates.record_limit(at(0), at(0), &key(0), Some(RequestRate(1.0)));
    assert!(matches!(submit_at(&mut queue, 10), Some(QueueDecision::Refuse(_))));
}

/// Guards against an old report of another instance that brings back a limit which has ended.
#[test]
fn an_older_statement_of_another_instance_is_ignored() {
    let mut queue = queue(vec![spec(0, "north")]);
    let estimates = &mut queue.estimates;
    assert!(estimates.record_limit(at(30), at(20), &key(0), Some(RequestRate(1.0))));
    assert!(estimates.record_limit(at(40), at(40), &key(0), None));
    assert!(!estimates.record_limit(at(45), at(30), &key(0), Some(RequestRate(1.0))));
    let statements = estimates.limit_statements(at(50));
    assert_eq!(statements.len(), 1);
    assert_eq!((statements[0].rate, statements[0].age), (None, Duration::from_millis(10)));
    estimates.share_limits(at(3_000));
    assert!(!estimates.has_limits());
}

/// Guards against a server that accepts nothing and so never gets to say that it does again.
#[test]
fn a_server_that_accepts_nothing_still_gets_a_request_now_and_then() {
    let mut queue = queue(vec![spec(0, "north")]);
    queue.estimates.record_limit(at(0), at(0), &key(0), Some(RequestRate(0.0)));
    assert!(matches!(submit_at(&mut queue, 2_000), Some(QueueDecision::Refuse(_))));
    assert!(matches!(submit_at(&mut queue, 4_100), Some(QueueDecision::Send(_))));
    assert!(matches!(submit_at(&mut queue, 4_200), Some(QueueDecision::Refuse(_))));
}
