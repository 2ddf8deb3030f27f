//! Tests of the limits on pulls between instances.

use fleet::{PullBackoff, SnapshotQuota};
use model::MonoTime;
use std::time::Duration;

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
fn snapshots_are_sent_at_intervals() {
    let mut quota = SnapshotQuota::default();
    let sent = (0..1_000).filter(|now| quota.take(at(*now))).count();
    assert_eq!(sent, 10);
}
