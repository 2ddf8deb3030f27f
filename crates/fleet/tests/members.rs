//! Tests of membership: usable members, homes, health checkers and watchers.

mod support;

use fleet::{
    HeartbeatMessage, HomePolicy, MemberRecord, MemberTable, MemberView, WatchDuty, WatchInputs,
    choose_health_checkers, choose_homes, rank_members, watch_duty,
};
use model::{ConfigVersion, IncarnationId, Millis, MonoTime, StoreRevision};
use std::time::Duration;
use testkit::cases;

const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

fn record(index: usize) -> MemberRecord {
    support::record(index, DATA_CENTRES[index % DATA_CENTRES.len()])
}

fn heartbeat(member: MemberRecord, is_ready: bool) -> HeartbeatMessage {
    HeartbeatMessage {
        name: member.name.clone(),
        incarnation: member.incarnation,
        record: Some(member),
        is_ready,
        store_lost: false,
        as_of: StoreRevision(1),
        confirmed_age: Millis(0),
        version: ConfigVersion(1),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Table of twelve members at member 0.
fn table() -> MemberTable {
    let mut table = MemberTable::new(record(0), 5);
    table.set_ready(true);
    table.set_registered((0..12).map(record).collect());
    table
}

/// Records a heartbeat of each other member but those in `except`.
fn record_heartbeats(table: &mut MemberTable, now: MonoTime, except: &[usize]) {
    for index in (1..12).filter(|index| !except.contains(index)) {
        table.record_heartbeat(now, heartbeat(record(index), true));
    }
}

fn homes(table: &mut MemberTable, now: MonoTime) -> Vec<String> {
    let views = table.views(now);
    let ranked: Vec<&MemberView> = views.iter().collect();
    choose_homes(&ranked, 2).iter().map(|home| home.record.name.to_string()).collect()
}

#[test]
fn homes_are_in_different_data_centres() {
    let mut table = table();
    let views = table.views(at(0));
    let ranked: Vec<&MemberView> = views.iter().collect();
    for count in 1..=3 {
        let homes = choose_homes(&ranked, count);
        let mut centres: Vec<String> =
            homes.iter().map(|home| home.record.data_centre.to_string()).collect();
        centres.dedup();
        assert_eq!(centres.len(), count);
    }
}

#[test]
fn an_unresponsive_home_is_replaced_until_its_next_heartbeat() {
    let mut table = table();
    record_heartbeats(&mut table, at(0), &[]);
    let before = homes(&mut table, at(10));
    let lost: usize = before.iter().find(|name| *name != "m0").expect("another home")[1..]
        .parse()
        .expect("number");
    for now in [300, 600, 900, 1_200] {
        record_heartbeats(&mut table, at(now), &[lost]);
        homes(&mut table, at(now));
    }
    let after = homes(&mut table, at(1_250));
    assert!(!after.contains(&format!("m{lost}")), "{after:?}");
    assert_eq!(after.len(), 2);
    table.record_heartbeat(at(1_300), heartbeat(record(lost), true));
    assert_eq!(homes(&mut table, at(1_310)), before);
}

#[test]
fn a_member_that_is_not_ready_is_no_home_at_once() {
    let mut table = table();
    record_heartbeats(&mut table, at(0), &[]);
    let before = homes(&mut table, at(10));
    let leaving: usize = before.iter().find(|name| *name != "m0").expect("another home")[1..]
        .parse()
        .expect("number");
    table.record_heartbeat(at(20), heartbeat(record(leaving), false));
    assert!(!homes(&mut table, at(21)).contains(&format!("m{leaving}")));
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut table = table();
    let newer = MemberRecord { incarnation: IncarnationId(2), ..record(3) };
    table.record_heartbeat(at(0), heartbeat(newer, true));
    table.record_heartbeat(at(5), heartbeat(record(3), false));
    assert_eq!(table.incarnation(&record(3).name), Some(IncarnationId(2)));
    assert!(table.views(at(6)).iter().any(|v| v.record.name == record(3).name && v.is_usable));
}

#[test]
fn a_heartbeat_without_record_counts_only_for_a_known_member() {
    let mut table = table();
    let unknown = MemberRecord { name: "m99".parse().expect("name"), ..record(3) };
    table.record_heartbeat(at(0), HeartbeatMessage { record: None, ..heartbeat(unknown, true) });
    assert!(!table.views(at(1)).iter().any(|view| view.record.name.as_str() == "m99"));
    table.record_heartbeat(at(2), HeartbeatMessage { record: None, ..heartbeat(record(3), false) });
    assert!(table.views(at(3)).iter().any(|v| v.record.name == record(3).name && !v.is_usable));
}

/// After a restart of the whole fleet the store still has the records of the earlier incarnations.
/// Members must not count as unresponsive until a heartbeat with their record arrives seconds later.
#[test]
fn a_heartbeat_of_a_newer_incarnation_counts_without_its_record() {
    let mut table = table();
    let newer = MemberRecord { incarnation: IncarnationId(2), ..record(3) };
    table.record_heartbeat(at(0), HeartbeatMessage { record: None, ..heartbeat(newer, true) });
    assert_eq!(table.incarnation(&record(3).name), Some(IncarnationId(2)));
}

#[test]
fn an_incarnation_from_an_earlier_clock_counts_once_the_later_one_is_unresponsive() {
    let mut table = table();
    let later = MemberRecord { incarnation: IncarnationId(9), ..record(3) };
    table.record_heartbeat(at(0), heartbeat(later, true));
    table.record_heartbeat(at(500), heartbeat(record(3), true));
    assert_eq!(table.incarnation(&record(3).name), Some(IncarnationId(9)));
    table.record_heartbeat(at(1_000), heartbeat(record(3), true));
    assert_eq!(table.incarnation(&record(3).name), Some(IncarnationId(1)));
}

#[test]
fn an_incarnation_supersedes_the_registered_one() {
    let mut table = table();
    table.supersede(table.registered_incarnation().expect("registered"));
    assert_eq!(table.this().incarnation, IncarnationId(2));
}

#[test]
fn this_instance_remains_home_when_all_others_are_unresponsive() {
    let mut table = table();
    let mut now = 0;
    while now < 12_000 {
        homes(&mut table, at(now));
        now += 300;
    }
    assert_eq!(homes(&mut table, at(now)), ["m0"]);
}

#[test]
fn every_data_centre_has_one_health_checker() {
    let mut table = table();
    let views = table.views(at(0));
    let ranked: Vec<&MemberView> = views.iter().collect();
    let health_checkers = choose_health_checkers(&ranked);
    assert_eq!(health_checkers.len(), DATA_CENTRES.len());
}

#[test]
fn the_ranking_does_not_depend_on_the_order_of_members() {
    let views: Vec<MemberView> =
        (0..12).map(|index| MemberView { record: record(index), is_usable: true }).collect();
    let reversed: Vec<MemberView> = views.iter().rev().cloned().collect();
    let names = |ranked: Vec<&MemberView>| -> Vec<String> {
        ranked.iter().map(|view| view.record.name.to_string()).collect()
    };
    assert_eq!(names(rank_members(&views)), names(rank_members(&reversed)));
}

fn check_home_count(servers: usize, data_centres: usize, expected: usize) {
    let policy = HomePolicy { homes_min: 2, servers_per_home: 80 };
    assert_eq!(policy.home_count(servers, data_centres), expected);
}

cases! { check_home_count {
    no_servers: (0, 0, 2);
    small_fleet: (34, 4, 2);
    larger_fleet: (189, 4, 4);
    one_data_centre: (189, 1, 3);
    fleet_size_in_two_years: (1_000, 7, 14);
} }

fn check_duty(rank: usize, age_ms: u64, all_lost: bool, expected: WatchDuty) {
    let inputs =
        WatchInputs { rank, watchers: 2, confirmed_age: Duration::from_millis(age_ms), all_lost };
    assert_eq!(watch_duty(inputs), expected);
}

cases! { check_duty {
    first_always_watches: (0, 0, false, WatchDuty::Watch);
    second_always_watches: (1, 0, false, WatchDuty::Watch);
    third_follows: (2, 1_000, false, WatchDuty::Follow);
    third_watches_without_confirmation: (2, 1_400, false, WatchDuty::Watch);
    fourth_follows_for_longer: (3, 1_400, false, WatchDuty::Follow);
    third_watches_early_if_store_is_lost: (2, 200, true, WatchDuty::Watch);
    last_of_large_fleet_watches: (500, 4_000, false, WatchDuty::Watch);
} }
