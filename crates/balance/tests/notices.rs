//! Servers that said that they leave, or that they want no requests for a time.

mod support;

use balance::{ExchangeOutcome, QueueDecision, QueueId, RefusalCause, RequestQueue};
use model::{BackendSpec, IncarnationId, MonoTime, ServerKey};
use std::time::Duration;
use support::{at, key, queue, request, spec};
use testkit::cases;

/// A change after the notice of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaterChange {
    None,
    /// The server's record still says that it is ready.
    RecordSaysReady,
    /// The record vanishes and comes back, as when the store loses leases.
    RecordComesBack,
    /// The server starts again.
    Restart,
}

fn restarted(index: usize) -> BackendSpec {
    let mut spec = spec(index, "north");
    spec.key.incarnation = IncarnationId(2);
    spec
}

fn apply(queue: &mut RequestQueue, now: MonoTime, change: LaterChange) {
    match change {
        LaterChange::None => {}
        LaterChange::RecordSaysReady => queue.estimates.upsert_server(now, spec(0, "north")),
        LaterChange::RecordComesBack => {
            queue.estimates.remove_server(&key(0));
            queue.estimates.upsert_server(now, spec(0, "north"));
        }
        LaterChange::Restart => {
            queue.estimates.remove_server(&key(0));
            queue.estimates.upsert_server(now, restarted(0));
        }
    }
}

/// Submits a request and returns the server that it is sent to, or the cause and delay of its refusal.
fn submit(queue: &mut RequestQueue, now: MonoTime) -> Result<ServerKey, (RefusalCause, u64)> {
    match queue.submit(now, request(now, 1)).1 {
        Some(QueueDecision::Send(placement)) => Ok(placement.key),
        Some(QueueDecision::Refuse(refusal)) => Err((refusal.cause, refusal.retry_after.0)),
        None => panic!("expected a decision"),
    }
}

/// Guards against requests to a server that announced its leaving in an answer.
fn check_leaving(change: LaterChange, is_used: bool) {
    let mut queue = queue(vec![spec(0, "north")]);
    assert!(queue.estimates.mark_leaving(at(1), &key(0)));
    assert!(!queue.estimates.mark_leaving(at(2), &key(0)), "told once");
    apply(&mut queue, at(3), change);
    match submit(&mut queue, at(4)) {
        Ok(_) => assert!(is_used),
        Err((cause, _)) => assert!(!is_used && cause == RefusalCause::NoServer, "{cause:?}"),
    }
}

cases! { check_leaving {
    leaving: (LaterChange::None, false);
    leaving_though_its_record_says_ready: (LaterChange::RecordSaysReady, false);
    leaving_with_a_record_that_comes_back: (LaterChange::RecordComesBack, false);
    leaving_and_restarted: (LaterChange::Restart, true);
} }

/// Guards against requests to a server within the time of its `Retry-After`, and against requests that
/// wait for such a server. `expected` is the delay that the refusal states, or `None` if it is sent.
fn check_quiet(change: LaterChange, now: u64, expected: Option<u64>) {
    let mut queue = queue(vec![spec(0, "north")]);
    queue.estimates.record_quiet(at(0), &key(0), Duration::from_millis(3_000));
    // A shorter time does not end a longer one.
    queue.estimates.record_quiet(at(1), &key(0), Duration::from_millis(500));
    apply(&mut queue, at(2), change);
    let decision = submit(&mut queue, at(now));
    match expected {
        Some(delay) => assert_eq!(decision, Err((RefusalCause::Quiet, delay))),
        None => assert!(decision.is_ok(), "{decision:?}"),
    }
}

cases! { check_quiet {
    quiet: (LaterChange::None, 1_000, Some(2_000));
    nearly_over: (LaterChange::None, 2_990, Some(50));
    over: (LaterChange::None, 3_000, None);
    quiet_though_its_record_says_ready: (LaterChange::RecordSaysReady, 1_000, Some(2_000));
    quiet_with_a_record_that_comes_back: (LaterChange::RecordComesBack, 1_000, Some(2_000));
    quiet_and_restarted: (LaterChange::Restart, 1_000, None);
} }

#[test]
fn the_earliest_end_of_several_quiet_times_is_stated() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "south")]);
    queue.estimates.record_quiet(at(0), &key(0), Duration::from_millis(3_000));
    queue.estimates.record_quiet(at(0), &key(1), Duration::from_millis(1_000));
    assert_eq!(submit(&mut queue, at(100)), Err((RefusalCause::Quiet, 900)));
    assert_eq!(submit(&mut queue, at(1_000)), Ok(key(1)));
}

#[test]
fn other_servers_get_the_requests_of_a_quiet_one() {
    let mut queue = queue(vec![spec(0, "north"), spec(1, "south")]);
    queue.estimates.record_quiet(at(0), &key(0), Duration::from_millis(3_000));
    for now in 1..=2 {
        assert_eq!(submit(&mut queue, at(now)), Ok(key(1)));
    }
}

/// Takes both slots of the only server, lets a third request wait, and returns the ids of the three.
fn fill(queue: &mut RequestQueue) -> [QueueId; 3] {
    [1, 2, 3].map(|now| queue.submit(at(now), request(at(now), 1)).0)
}

#[test]
fn waiting_requests_are_refused_when_their_last_server_turns_quiet() {
    let mut queue = queue(vec![spec(0, "north")]);
    let [first, _, waiting] = fill(&mut queue);
    queue.estimates.record_quiet(at(10), &key(0), Duration::from_millis(3_000));
    queue.finish(at(10), first, &key(0), ExchangeOutcome::Shed);
    let decided = queue.advance(at(10));
    assert!(matches!(
        decided[..],
        [(id, QueueDecision::Refuse(refusal))]
            if id == waiting && refusal.cause == RefusalCause::Quiet
    ));
}

/// After its quiet time a server gets two requests at a time until it has answered one.
#[test]
fn a_server_gets_few_requests_after_its_quiet_time() {
    let mut wide = spec(0, "north");
    wide.slots = model::SlotCount(6);
    let mut queue = queue(vec![wide]);
    queue.estimates.record_quiet(at(0), &key(0), Duration::from_millis(500));
    let sent: Vec<_> = (0..4).map(|_| queue.submit(at(500), request(at(500), 1))).collect();
    let count = sent.iter().filter(|(_, decision)| decision.is_some()).count();
    assert_eq!(count, 2);
    queue.finish(at(600), sent[0].0, &key(0), ExchangeOutcome::Answered);
    assert_eq!(queue.advance(at(600)).len(), 2);
}
