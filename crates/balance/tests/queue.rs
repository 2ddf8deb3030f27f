//! Order of service, refusal, and what frees a slot.

mod support;

use balance::{ExchangeOutcome, QueueDecision, QueueId, RefusalCause, RequestQueue, RequestSpec};
use model::{MonoTime, ServerKey};
use support::{at, key, learn, queue, report, request, service, spec};
use testkit::cases;

fn sent(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> (QueueId, ServerKey) {
    match queue.submit(now, spec) {
        (id, Some(QueueDecision::Send(placement))) => (id, placement.key),
        (_, other) => panic!("expected a slot, found {other:?}"),
    }
}

fn waits(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> QueueId {
    match queue.submit(now, spec) {
        (id, None) => id,
        (_, other) => panic!("expected to wait, found {other:?}"),
    }
}

fn refused(queue: &mut RequestQueue, now: MonoTime, spec: RequestSpec) -> RefusalCause {
    match queue.submit(now, spec) {
        (_, Some(QueueDecision::Refuse(turned))) => turned.cause,
        (_, other) => panic!("expected a refusal, found {other:?}"),
    }
}

/// One server with both slots taken.
fn full_queue() -> (RequestQueue, QueueId) {
    let mut queue = queue(vec![spec(0, "north")]);
    let (first, _) = sent(&mut queue, at(1), request(at(1), 1));
    sent(&mut queue, at(1), request(at(1), 1));
    (queue, first)
}

#[test]
fn a_request_is_sent_only_into_a_free_slot() {
    let (mut queue, first) = full_queue();
    let id = waits(&mut queue, at(2), request(at(2), 1));
    assert!(queue.advance(at(3)).is_empty());
    queue.finish(at(100), first, &key(0), ExchangeOutcome::Answered);
    let decided = queue.advance(at(100));
    assert!(matches!(decided[..], [(decided, QueueDecision::Send(_))] if decided == id));
    assert_eq!(queue.waiting(), 0);
}

/// Which of several waiting requests gets the slot that comes free at `now`.
fn check_order(requests: &[(u64, u8)], now: u64, expected: usize) {
    let (mut queue, first) = full_queue();
    let places: Vec<QueueId> = requests
        .iter()
        .map(|(arrived, priority)| {
            waits(&mut queue, at(*arrived), request(at(*arrived), *priority))
        })
        .collect();
    queue.finish(at(now), first, &key(0), ExchangeOutcome::Answered);
    let decided = queue.advance(at(now));
    let [(id, QueueDecision::Send(_))] = &decided[..] else {
        panic!("expected one request to be sent, found {decided:?}");
    };
    assert_eq!(places.iter().position(|known| known == id), Some(expected));
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
    assert_eq!(refused(&mut queue, at(2), request(at(2), 1)), RefusalCause::QueueFull);
}

#[test]
fn a_request_without_servers_is_refused_at_once() {
    let mut queue = queue(Vec::new());
    assert_eq!(refused(&mut queue, at(2), request(at(2), 1)), RefusalCause::NoServer);
}

#[test]
fn a_request_that_would_come_too_late_is_refused_at_once() {
    let (mut queue, _) = full_queue();
    let hurried = RequestSpec { deadline: at(60), ..request(at(2), 1) };
    assert_eq!(refused(&mut queue, at(2), hurried), RefusalCause::TooLate);
}

#[test]
fn a_waiting_request_is_refused_while_it_can_still_come_back() {
    let (mut queue, _) = full_queue();
    let id = waits(&mut queue, at(2), request(at(2), 1));
    assert!(queue.advance(at(1_000)).is_empty());
    let decided = queue.advance(at(1_450));
    assert!(matches!(
        decided[..],
        [(refused, QueueDecision::Refuse(turned))]
            if refused == id && turned.cause == RefusalCause::Expired
    ));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let (mut queue, _) = full_queue();
    let id = waits(&mut queue, at(2), request(at(2), 1));
    queue.cancel(id);
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn a_leaving_server_gets_nothing_more() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "north")]);
    let mut leaving = spec(0, "north");
    leaving.is_leaving = true;
    queue.estimates.set_servers(at(1), vec![leaving, spec(1, "north")]);
    // A record that lags behind does not take the mark back.
    queue.estimates.set_servers(at(2), vec![spec(0, "north"), spec(1, "north")]);
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
        let (id, chosen) = sent(&mut queue, now, request(now, 1));
        queue.finish(now, id, &chosen, ExchangeOutcome::Shed);
        for index in 0..4 {
            let own = queue.estimates.server(&key(index)).expect("known").in_flight();
            queue.estimates.record_report(now, &key(index), report(own as u32, 1.0));
        }
    }
}

#[test]
fn work_from_elsewhere_takes_slots() {
    let mut queue = queue(vec![spec(0, "north")]);
    queue.estimates.record_report(at(5), &key(0), report(2, 1.0));
    waits(&mut queue, at(6), request(at(6), 1));
    let busy = queue.estimates.server(&key(0)).expect("known").occupancy(at(6));
    assert_eq!(busy, 2);
    assert_eq!(queue.estimates.servers_of(&service()).count(), 1);
}

/// Cause traced: work longer than a server keeps its pace was expected to take longer than usual on
/// any server, so it waited although servers were free.
#[test]
fn long_work_does_not_wait_while_servers_of_usual_pace_are_free() {
    let specs = (0..4).map(|index| spec(index, "north")).collect();
    let mut queue = queue(specs);
    for _ in 0..200 {
        learn(&mut queue.processing, 450);
    }
    // Some servers are slow, so the mean pace is far from usual.
    for _ in 0..200 {
        queue.estimates.record_report(at(1), &key(3), report(0, 7.0));
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
        queue.estimates.record_report(at(1), &key(1), report(0, 7.0));
        let (_, chosen) = sent(&mut queue, at(1), request(at(1), 1));
        assert_eq!(chosen, key(0));
    }
    let id = waits(&mut queue, at(2), request(at(2), 1));
    queue.estimates.record_report(at(300), &key(0), report(2, 1.0));
    queue.estimates.record_report(at(300), &key(1), report(0, 7.0));
    assert!(queue.advance(at(300)).is_empty());
    queue.estimates.record_report(at(500), &key(0), report(2, 1.0));
    queue.estimates.record_report(at(500), &key(1), report(0, 7.0));
    let decided = queue.advance(at(500));
    assert!(matches!(
        &decided[..],
        [(sent, QueueDecision::Send(placement))] if *sent == id && placement.key == key(1)
    ));
}

/// Cause traced (recovery after a loss of power): before any answer all work counted as 150 ms, so copies
/// of longer work were sent at once and used the retry budget up.
#[test]
fn work_without_answers_counts_as_a_part_of_its_objective() {
    let mut queue = queue(vec![spec(0, "north")]);
    let objective = at(1_000).plus(std::time::Duration::from_millis(900));
    let wanted = RequestSpec { objective, ..request(at(1_000), 1) };
    queue.estimates.record_report(at(1_000), &key(0), report(0, 1.0));
    let (_, Some(QueueDecision::Send(placement))) = queue.submit(at(1_000), wanted) else {
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
    assert!(queue.can_meet_deadline(at(1_300), &wanted));
    assert!(!queue.can_meet_deadline(at(1_400), &wanted));
}
