//! Tests of how an instance notices that it stood still, and what it may not act on then.

use fleet::{MemberRegistrar, PauseDetector};
use model::MonoTime;
use std::time::Duration;
use testkit::cases;

mod support;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// A process ticks every 300 ms up to 3 s, then not before `resumed` ms. Its knowledge was confirmed
/// at `confirmed` ms; `checked` is the time of the decision.
fn check_outdated(resumed: u64, confirmed: u64, checked: u64, expected: bool) {
    let mut detector = PauseDetector::default();
    for tick in 0..=10 {
        assert_eq!(detector.tick(at(tick * 300)), None);
    }
    detector.tick(at(resumed));
    assert_eq!(detector.is_outdated(at(checked), Some(at(confirmed))), expected);
}

cases! { check_outdated {
    no_pause: (3_300, 2_900, 3_310, false);
    frozen_for_four_seconds: (7_000, 2_900, 7_010, true);
    confirmed_since: (7_000, 7_020, 7_030, false);
    never_confirmed_serves_in_the_end: (7_000, 2_900, 7_400, false);
    shorter_than_a_pause: (3_900, 2_900, 3_910, false);
} }

#[test]
fn a_pause_is_reported_once_with_its_length() {
    let mut detector = PauseDetector::default();
    detector.tick(at(0));
    assert_eq!(detector.tick(at(4_500)), Some(Duration::from_millis(4_500)));
    assert_eq!(detector.tick(at(4_600)), None);
}

/// The lease of the store ran out while the process stood still.
#[test]
fn a_lease_is_not_used_after_a_pause_beyond_its_time() {
    let mut registrar = MemberRegistrar::default();
    registrar.set_lease(Some(at(0)));
    registrar.enqueue(at(10), support::record(1, "north"), false);
    assert!(!registrar.needs_lease(at(20)));
    assert!(registrar.needs_lease(at(700_000)));
}
