//! How changes of the store spread over data centres.

mod support;

use fleet::{ChangeOrigin, MemberRecord, RelayView};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use testkit::cases;

const DATA_CENTRES: [&str; 4] = ["north", "south", "west", "east"];

/// Member `index` stands in the data centre of that number modulo four.
fn record(index: usize) -> MemberRecord {
    support::record(index, DATA_CENTRES[index % DATA_CENTRES.len()])
}

fn targets(this: usize, origin: ChangeOrigin) -> BTreeSet<usize> {
    let (all, homes, health_checkers) = fleet();
    let this = record(this);
    let view = RelayView { this: &this, homes: &homes, health_checkers: &health_checkers };
    let others = all.iter().enumerate().filter(|(_, member)| member.name != this.name);
    others.filter(|(_, member)| view.is_target(member, origin)).map(|(index, _)| index).collect()
}

/// Forty members, ten in each data centre; the first two are homes, the first four scouts.
fn fleet() -> (Vec<MemberRecord>, Vec<MemberRecord>, Vec<MemberRecord>) {
    let all: Vec<MemberRecord> = (0..40).map(record).collect();
    (all.clone(), all[..2].to_vec(), all[..4].to_vec())
}

#[test]
fn a_change_reaches_all_and_crosses_once_to_each_data_centre() {
    let mut reached = targets(0, ChangeOrigin::Store);
    let crossing = reached.iter().filter(|index| *index % DATA_CENTRES.len() != 0).count();
    assert_eq!(crossing, 3);
    for health_checker in 1..4 {
        let passed_on = targets(health_checker, ChangeOrigin::Peer);
        assert!(passed_on.iter().all(|index| index % DATA_CENTRES.len() == health_checker));
        reached.extend(passed_on);
    }
    reached.insert(0);
    assert_eq!(reached, (0..40).collect());
}

#[test]
fn only_scouts_pass_on_what_they_were_told() {
    assert!(targets(9, ChangeOrigin::Peer).is_empty());
    assert!(!targets(9, ChangeOrigin::Store).is_empty());
}

/// Whom member `this` asks if the members `ahead` have changes that it lacks.
fn check_sources(this: usize, ahead: &[usize], behind_ms: u64, expected: &[usize]) {
    let (_, homes, health_checkers) = fleet();
    let this = record(this);
    let view = RelayView { this: &this, homes: &homes, health_checkers: &health_checkers };
    let ahead: Vec<MemberRecord> = ahead.iter().copied().map(record).collect();
    let asked = view.pull_sources(&ahead, Duration::from_millis(behind_ms));
    let expected: Vec<SocketAddr> =
        expected.iter().map(|index| record(*index).peer_address).collect();
    assert_eq!(asked, expected);
}

cases! { check_sources {
    own_data_centre: (9, &[0, 1], 0, &[1]);
    waits_for_its_scout: (9, &[0, 2], 100, &[]);
    asks_anyone_when_the_scout_has_nothing: (9, &[0, 2], 400, &[0, 2]);
    a_scout_asks_at_once: (3, &[0, 1], 0, &[0, 1]);
    nobody_is_ahead: (3, &[], 5_000, &[]);
} }
