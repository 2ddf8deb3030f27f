//! Tests of the limits on pulls between instances.

use fleet::{ConfirmationPulls, FirstSnapshot, PullBackoff, SnapshotQuota};
use model::MonoTime;
use std::ops::RangeInclusive;
use std::time::Duration;
use testkit::cases;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// A data centre of 75 instances asked one small instance for snapshots again and again, each with a
/// bound in which it could not arrive.
#[test]
fn failed_pulls_become_rarer_and_get_more_time() {
    let mut backoff = PullBackoff::default();
    let mut now = 0;
    let mut pulls = 0;
    let mut timeouts = Vec::new();
    while now < 4_000 {
        if backoff.is_due(at(now)) {
            timeouts.push(backoff.timeout());
            backoff.record_failure(at(now), 1.0);
            pulls += 1;
        }
        now += 10;
    }
    assert!((5..=8).contains(&pulls), "{pulls}");
    assert!(timeouts.is_sorted());
    assert!(timeouts.last().is_some_and(|last| *last >= Duration::from_secs(3)));
    backoff.record_success();
    assert!(backoff.is_due(at(now)));
    assert_eq!(backoff.timeout(), timeouts[0]);
}

#[test]
fn the_store_is_read_instead_when_pulls_keep_failing() {
    let mut backoff = PullBackoff::default();
    backoff.record_failure(at(0), 1.0);
    assert!(!backoff.take_read(at(10)));
    backoff.record_failure(at(200), 1.0);
    assert!(backoff.take_read(at(210)));
    backoff.record_failure(at(700), 1.0);
    assert!(!backoff.take_read(at(800)));
    assert!(backoff.take_read(at(2_300)));
}

/// Returns the snapshots of `bytes` that are sent in a second over a link if they are always
/// requested.
fn check_snapshots(link_mbps: f64, bytes: usize, expected: usize) {
    let mut quota = SnapshotQuota::new(link_mbps);
    let mut sent = 0;
    for now in 0..1_000 {
        if quota.is_allowed(at(now)) {
            quota.record_snapshot(at(now), bytes);
            sent += 1;
        }
    }
    assert_eq!(sent, expected);
}

cases! { check_snapshots {
    small_snapshots: (1_000.0, 10_000, 10);
    fast_link: (200.0, 500_000, 10);
    // Ten a second filled the link of a small instance, which then reached nobody for 15 s.
    slow_link: (20.0, 500_000, 2);
} }

/// Times, in milliseconds, at which an instance pulls in the five seconds after it read its first snapshot.
fn confirmation_pulls(is_registered: bool, confirmed_at_ms: u64) -> Vec<u64> {
    let mut pulls = ConfirmationPulls::default();
    let mut pulled = Vec::new();
    for now in (0..5_000).step_by(25) {
        let first = FirstSnapshot {
            age: Duration::from_millis(now),
            is_confirmed: now >= confirmed_at_ms,
            is_registered,
        };
        if pulls.is_due(at(now), first) {
            pulled.push(now);
            pulls.record(at(now), 1.0);
        }
    }
    pulled
}

/// Guards against instances of a large fleet that starts, none of which can confirm anything, and that pull from
/// each other without end.
fn check_confirmation(
    is_registered: bool,
    confirmed_at_ms: u64,
    count: RangeInclusive<usize>,
    first_ms: Option<u64>,
) {
    let pulled = confirmation_pulls(is_registered, confirmed_at_ms);
    assert!(count.contains(&pulled.len()), "{pulled:?}");
    assert_eq!(pulled.first().copied(), first_ms);
}

cases! { check_confirmation {
    never_confirmed: (true, u64::MAX, 5..=10, Some(400));
    never_confirmed_nor_registered: (false, u64::MAX, 5..=10, Some(0));
    confirmed_soon: (true, 300, 0..=0, None);
    unregistered_and_confirmed_by_the_first_pull: (false, 25, 1..=1, Some(0));
    confirmed_late: (true, 1_000, 2..=3, Some(400));
} }
