//! Which server a request goes to.

mod support;

use balance::{ExchangeOutcome, QueueDecision, RequestQueue, RequestSpec};
use model::{BackendSpec, SlotCount};
use support::{at, key, queue, queue_of, report, request, spec};
use testkit::cases;

fn placed(queue: &mut RequestQueue, spec: RequestSpec) -> usize {
    match queue.submit(at(50), spec) {
        (_, Some(QueueDecision::Send(placement))) => {
            placement.key.name.as_str()[1..].parse().expect("number")
        }
        (_, other) => panic!("expected a slot, found {other:?}"),
    }
}

/// What is known of the first of two servers; the request should go to the other one or not.
enum Fact {
    Slow,
    SlowLongAgo,
    Failing,
    Far,
    FarAndOtherSlow,
    Avoided,
    Untried,
    Unreachable,
    Misdirected,
}

fn check_choice(fact: Fact, expected: usize) {
    let far = matches!(fact, Fact::Far | Fact::FarAndOtherSlow);
    let first = spec(0, if far { "south" } else { "north" });
    let mut queue = queue(vec![first, spec(1, "north")]);
    let mut wanted = request(at(50), 1);
    queue.estimates.record_report(at(45), &key(1), report(0, 1.0));
    queue.estimates.record_report(at(45), &key(0), report(0, 1.0));
    match fact {
        Fact::Slow => queue.estimates.record_report(at(49), &key(0), report(0, 7.0)),
        Fact::SlowLongAgo => {
            // The other one is slower by far, and that is known to be so now.
            queue.estimates.record_report(at(49), &key(1), report(0, 7.0));
        }
        Fact::Failing => {
            for flight in 0..6 {
                queue.estimates.start_exchange(at(46), &key(0), flight);
                queue.estimates.end_exchange(at(46), &key(0), flight, ExchangeOutcome::Failed);
            }
        }
        Fact::Far => {}
        Fact::FarAndOtherSlow => {
            queue.estimates.record_report(at(49), &key(1), report(0, 7.0));
        }
        Fact::Avoided => wanted.avoid = vec![key(0)],
        Fact::Untried => {
            queue.estimates.set_servers(at(47), vec![spec(1, "north"), spec(2, "south")]);
        }
        Fact::Unreachable => {
            queue.estimates.start_exchange(at(46), &key(0), 1);
            queue.estimates.end_exchange(at(46), &key(0), 1, ExchangeOutcome::Unreachable);
        }
        Fact::Misdirected => queue.estimates.record_misdirected(&key(0)),
    }
    assert_eq!(placed(&mut queue, wanted), expected);
}

cases! { check_choice {
    slow_now: (Fact::Slow, 1);
    the_other_slow_now: (Fact::SlowLongAgo, 0);
    failing: (Fact::Failing, 1);
    far: (Fact::Far, 1);
    far_but_the_other_slow: (Fact::FarAndOtherSlow, 0);
    avoided: (Fact::Avoided, 1);
    untried_server_in_another_data_centre: (Fact::Untried, 2);
    unreachable: (Fact::Unreachable, 1);
    address_of_another_server: (Fact::Misdirected, 1);
} }

/// How many of six requests that arrive together go to an idle server with four slots at once.
///
/// Cause traced (recovery after a loss of power): all homes saw the same free slots in other data
/// centres and filled each of them, so work there took three times as long.
fn check_claims(centre: &str, competing_instances: u32, expected: usize) {
    let only = BackendSpec { slots: SlotCount(4), ..spec(0, centre) };
    let mut queue = queue_of(vec![only], 10);
    queue.set_competing_instances(competing_instances);
    queue.estimates.record_report(at(50), &key(0), report(0, 1.0));
    let arrive = |queue: &mut RequestQueue| queue.submit(at(51), request(at(51), 1));
    let sent = (0..6).filter(|_| matches!(arrive(&mut queue), (_, Some(QueueDecision::Send(_)))));
    assert_eq!(sent.count(), expected);
}

cases! { check_claims {
    own_data_centre: ("north", 3, 4);
    alone: ("south", 0, 4);
    one_rival: ("south", 1, 4);
    three_rivals: ("south", 3, 1);
} }
