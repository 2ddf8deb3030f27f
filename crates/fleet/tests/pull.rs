//! Tests of the limits on pulls between instances.

use fleet::{PullBackoff, SnapshotQuota};
use model::MonoTime;
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
