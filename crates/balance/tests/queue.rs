//! Order of service, refusal, and what frees a slot.

mod support;

use balance::{
    ExchangeOutcome, QueueDecision, RequestPlace, RequestQueue, RequestSpec, TurnAwayCause,
};
use model::{MonoTime, ServerKey};
use support::{at, key, learn, queue, report, request, service, spec};
use testkit::cases;

fn sent(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> (RequestPlace, ServerKey) {
    match queue.arrive(now, spec) {
        (place, Some(QueueDecision::Send(placement))) => (place, placement.key),
        (_, other) => panic!("expected a slot, found {other:?}"),
    }
}

fn waits(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> RequestPlace {
    match queue.arrive(now, spec) {
        (place, None) => place,
        (_, other) => panic!("expected to wait, found {other:?}"),
    }
}

fn refused(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> TurnAwayCause {
    match queue.arrive(now, spec) {
        (_, Some(QueueDecision::TurnAway(turned))) => turned.cause,
        (_, other) => panic!("expected a refusal, found {other:?}"),
    }
}

/// One server with both slots taken.
fn full_queue() -> (RequestQueue, RequestPlace) {
    let mut queue = queue(vec![spec(0, "north")]);
    let (first, _) = sent(&mut queue, at(1), request(at(1), 1));
    sent(&mut queue, at(1), request(at(1), 1));
    (queue, first)
}

#[test]
fn a_request_is_sent_only_into_a_free_slot() {
    let (mut queue, first) = full_queue();
    let place = waits(&mut queue, at(2), request(at(2), 1));
    assert!(queue.advance(at(3)).is_empty());
    queue.finish(at(100), first, &key(0), ExchangeOutcome::Answered);
    let decided = queue.advance(at(100));
    assert!(matches!(decided[..], [(decided, QueueDecision::Send(_))] if decided == place));
    assert_eq!(queue.waiting(), 0);
}

/// Which of several waiting requests gets the slot that comes free at `now`.
fn check_order(requests: &[(u64, u8)], now: u64, expected: usize) {
    let (mut queue, first) = full_queue();
    let places: Vec<RequestPlace> = requests
        .iter()
        .map(|(arrived, priority)| {
            waits(&mut queue, at(*arrived), request(at(*arrived), *priority))
        })
        .collect();
    queue.finish(at(now), first, &key(0), ExchangeOutcome::Answered);
    let decided = queue.advance(at(now));
    let [(place, QueueDecision::Send(_))] = &decided[..] else {
        panic!("expected one request to be sent, found {decided:?}");
    };
    assert_eq!(places.iter().position(|known| known == place), Some(expected));
}

cases! { check_order {
    first_come: (&[(2, 1), (3, 1)], 50, 0);
    higher_rank: (&[(2, 2), (3, 0)], 50, 1);
    late_behind_timely: (&[(2, 1), (450, 1)], 500, 1);
    late_of_higher_rank_behind_timely: (&[(2, 0), (450, 2)], 500, 1);
    all_late: (&[(2, 2), (3, 1)], 900, 1);
} }

#[test]
fn a_full_queue_refuses_at_once() {
    let (mut queue, _) = full_queue();
    for _ in 0..4 {
        waits(&mut queue, at(2), request(at(2), 1));
    }
    assert_eq!(refused(&mut queue, at(2), request(at(2), 1)), TurnAwayCause::QueueFull);
}

#[test]
fn a_request_without_servers_is_refused_at_once() {
    let mut queue = queue(Vec::new());
    assert_eq!(refused(&mut queue, at(2), request(at(2), 1)), TurnAwayCause::NoServer);
}

#[test]
fn a_request_that_would_come_too_late_is_refused_at_once() {
    let (mut queue, _) = full_queue();
    let hurried = RequestSpec { deadline: at(60), ..request(at(2), 1) };
    assert_eq!(refused(&mut queue, at(2), hurried), TurnAwayCause::TooLate);
}

#[test]
fn a_waiting_request_is_refused_while_it_can_still_come_back() {
    let (mut queue, _) = full_queue();
    let place = waits(&mut queue, at(2), request(at(2), 1));
    assert!(queue.advance(at(1_000)).is_empty());
    let decided = queue.advance(at(1_450));
    assert!(matches!(
        decided[..],
        [(refused, QueueDecision::TurnAway(turned))]
            if refused == place && turned.cause == TurnAwayCause::Expired
    ));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let (mut queue, _) = full_queue();
    let place = waits(&mut queue, at(2), request(at(2), 1));
    queue.cancel(place);
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn a_leaving_server_gets_nothing_more() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "north")]);
    let mut leaving = spec(0, "north");
    leaving.is_leaving = true;
    queue.picture.set_servers(at(1), vec![leaving, spec(1, "north")]);
    // A record that lags behind does not take the mark back.
    queue.picture.set_servers(at(2), vec![spec(0, "north"), spec(1, "north")]);
    for _ in 0..2 {
        let (_, chosen) = sent(&mut queue, at(3), request(at(3), 1));
        assert_eq!(chosen, key(1));
    }
    waits(&mut queue, at(3), request(at(3), 1));
}

/// Cause traced: while all servers shed half of their requests, waiting seemed better than sending.
#[test]
fn servers_that_all_shed_with_room_still_get_requests() {
    let specs = (0..4).map(|index| spec(index, "north")).collect();
    let mut queue = queue(specs);
    // Others are served meanwhile, so that a slot is expected to come free soon.
    sent(&mut queue, at(5), request(at(5), 1));
    sent(&mut queue, at(5), request(at(5), 1));
    for round in 0..40 {
        let now = at(10 + round * 10);
        let (place, chosen) = sent(&mut queue, now, request(now, 1));
        queue.finish(now, place, &chosen, ExchangeOutcome::Shed);
        for index in 0..4 {
            let own = queue.picture.server(&key(index)).expect("known").in_flight();
            queue.picture.record_report(now, &key(index), report(own as u32, 1.0));
        }
    }
}

#[test]
fn work_from_elsewhere_takes_slots() {
    let mut queue = queue(vec![spec(0, "north")]);
    queue.picture.record_report(at(5), &key(0), report(2, 1.0));
    waits(&mut queue, at(6), request(at(6), 1));
    let busy = queue.picture.server(&key(0)).expect("known").occupancy(at(6));
    assert_eq!(busy, 2);
    assert_eq!(queue.picture.servers_of(&service()).count(), 1);
}

/// Cause traced: work longer than a server keeps its pace was expected to take longer than usual on
/// any server, so it waited although servers were free.
#[test]
fn long_work_does_not_wait_while_servers_of_usual_pace_are_free() {
    let specs = (0..4).map(|index| spec(index, "north")).collect();
    let mut queue = queue(specs);
    for _ in 0..200 {
        learn(&mut queue.work, 450);
    }
    // Some servers are slow, so the mean pace is far from usual.
    for _ in 0..200 {
        queue.picture.record_report(at(1), &key(3), report(0, 7.0));
    }
    for round in 0..6 {
        let now = at(2 + round);
        let (_, chosen) = sent(&mut queue, now, request(now, 1));
        assert_ne!(chosen, key(3));
    }
}

/// Cause traced (incident): late requests waited until their time was over while slots of slow servers
/// stayed idle.
#[test]
fn a_late_request_takes_a_free_slot_of_a_slow_server() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "north")]);
    for _ in 0..2 {
        queue.picture.record_report(at(1), &key(1), report(0, 7.0));
        let (_, chosen) = sent(&mut queue, at(1), request(at(1), 1));
        assert_eq!(chosen, key(0));
    }
    let place = waits(&mut queue, at(2), request(at(2), 1));
    queue.picture.record_report(at(300), &key(0), report(2, 1.0));
    queue.picture.record_report(at(300), &key(1), report(0, 7.0));
    assert!(queue.advance(at(300)).is_empty());
    queue.picture.record_report(at(500), &key(0), report(2, 1.0));
    queue.picture.record_report(at(500), &key(1), report(0, 7.0));
    let decided = queue.advance(at(500));
    assert!(matches!(
        &decided[..],
        [(sent, QueueDecision::Send(placement))] if *sent == place && placement.key == key(1)
    ));
}

/// Cause traced (recovery after a loss of power): before any answer all work counted as 150 ms, so copies
/// of longer work were sent at once and used the retry budget up.
#[test]
fn work_without_answers_counts_as_a_part_of_its_objective() {
    let mut queue = queue(vec![spec(0, "north")]);
    let objective = at(1_000).after(std::time::Duration::from_millis(900));
    let wanted = RequestSpec { objective, ..request(at(1_000), 1) };
    queue.picture.record_report(at(1_000), &key(0), report(0, 1.0));
    let (_, Some(QueueDecision::Send(placement))) = queue.arrive(at(1_000), wanted) else {
        panic!("expected a slot");
    };
    assert!((280..=330).contains(&placement.expected.as_millis()), "{:?}", placement.expected);
}

/// Cause traced (incident): requests whose server had used up their time were sent to a second one, which
/// could only turn them away.
#[test]
fn a_request_without_time_left_is_not_sent_once_more() {
    let queue = queue(vec![spec(0, "north")]);
    let wanted = request(at(0), 1);
    assert!(queue.has_time(at(1_300), &wanted));
    assert!(!queue.has_time(at(1_400), &wanted));
}
