//! Tests of how changes of the store reach all data centres.

mod support;

use fleet::{ChangeOrigin, MemberRecord, RelayView};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use testkit::cases;

const DATA_CENTRES: [&str; 4] = ["north", "south", "west", "east"];

/// Record of member `index`, in the data centre at `index` modulo four.
fn record(index: usize) -> MemberRecord {
    support::record(index, DATA_CENTRES[index % DATA_CENTRES.len()])
}

/// Indices of the members to which member `this` sends a change.
fn targets(this: usize, origin: ChangeOrigin) -> BTreeSet<usize> {
    let (all, homes, health_checkers) = fleet();
    let this = record(this);
    let view = RelayView { this: &this, homes: &homes, health_checkers: &health_checkers };
    let others = all.iter().enumerate().filter(|(_, member)| member.name != this.name);
    others.filter(|(_, member)| view.is_target(member, origin)).map(|(index, _)| index).collect()
}

/// All members, homes and health checkers of a fleet of forty members, ten in each data centre. The
/// first two are homes, the first four health checkers.
fn fleet() -> (Vec<MemberRecord>, Vec<MemberRecord>, Vec<MemberRecord>) {
    let all: Vec<MemberRecord> = (0..40).map(record).collect();
    (all.clone(), all[..2].to_vec(), all[..4].to_vec())
}

#[test]
fn a_change_reaches_all_and_is_sent_once_to_each_data_centre() {
    let mut reached = targets(0, ChangeOrigin::Store);
    let crossing = reached.iter().filter(|index| *index % DATA_CENTRES.len() != 0).count();
    assert_eq!(crossing, 3);
    for health_checker in 1..4 {
        let relayed_to = targets(health_checker, ChangeOrigin::Peer);
        assert!(relayed_to.iter().all(|index| index % DATA_CENTRES.len() == health_checker));
        reached.extend(relayed_to);
    }
    reached.insert(0);
    assert_eq!(reached, (0..40).collect());
}

#[test]
fn only_health_checkers_relay_changes_from_peers() {
    assert!(targets(9, ChangeOrigin::Peer).is_empty());
    assert!(!targets(9, ChangeOrigin::Store).is_empty());
}

/// Checks which members `this` may ask if the members `ahead` have changes that it lacks.
fn check_sources(this: usize, ahead: &[usize], behind_ms: u64, expected: &[usize]) {
    let (_, homes, health_checkers) = fleet();
    let this = record(this);
    let view = RelayView { this: &this, homes: &homes, health_checkers: &health_checkers };
    let ahead: Vec<MemberRecord> = ahead.iter().copied().map(record).collect();
    let sources = view.pull_sources(&ahead, Duration::from_millis(behind_ms));
    let expected: Vec<SocketAddr> =
        expected.iter().map(|index| record(*index).peer_address).collect();
    assert_eq!(sources, expected);
}

cases! { check_sources {
    own_data_centre: (9, &[0, 1], 0, &[1]);
    waits_for_its_health_checker: (9, &[0, 2], 100, &[]);
    asks_elsewhere_after_the_local_pull_timeout: (9, &[0, 2], 400, &[0, 2]);
    health_checker_asks_elsewhere_at_once: (3, &[0, 1], 0, &[0, 1]);
    nobody_is_ahead: (3, &[], 5_000, &[]);
} }
