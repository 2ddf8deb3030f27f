//! Tests of membership: usable members, homes, health checkers and watchers.

mod support;

use fleet::{
    HeardHeartbeat, HeartbeatMessage, HomePolicy, MemberRecord, MemberTable, WatchDuty,
    WatchInputs, WatcherContact, watch_duty,
};
use model::{IncarnationId, Millis, MonoTime};
use std::collections::BTreeSet;
use std::time::Duration;
use support::heartbeat;
use testkit::cases;

const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

fn record(index: usize) -> MemberRecord {
    support::record(index, DATA_CENTRES[index % DATA_CENTRES.len()])
}

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Table of twelve members at member 0.
fn table() -> MemberTable {
    let mut table = MemberTable::new(record(0));
    table.set_ready(true);
    (0..12).for_each(|index| table.register(record(index)));
    table
}

/// Records a heartbeat of each other member but those in `except`.
fn record_heartbeats(table: &mut MemberTable, now: MonoTime, except: &[usize]) {
    for index in (1..12).filter(|index| !except.contains(index)) {
        table.record_heartbeat(now, heartbeat(record(index), true));
    }
}

fn homes(table: &mut MemberTable, now: MonoTime) -> Vec<String> {
    homes_of(table, now, 2)
}

fn homes_of(table: &mut MemberTable, now: MonoTime, count: usize) -> Vec<String> {
    table.survey(now, count).homes.iter().map(|home| home.name.to_string()).collect()
}

#[test]
fn homes_are_in_different_data_centres() {
    let mut table = table();
    for count in 1..=3 {
        let homes = table.survey(at(0), count).homes;
        let mut centres: Vec<String> =
            homes.iter().map(|home| home.data_centre.to_string()).collect();
        centres.dedup();
        assert_eq!(centres.len(), count);
    }
}

#[test]
fn a_fleet_set_to_no_homes_still_has_health_checkers() {
    let survey = table().survey(at(0), 0);
    assert_eq!((survey.homes.len(), survey.health_checkers.len()), (0, DATA_CENTRES.len()));
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
    assert!(homes_of(&mut table, at(6), 12).contains(&"m3".to_owned()));
}

#[test]
fn a_heartbeat_without_record_counts_only_for_a_known_member() {
    let mut table = table();
    let unknown = MemberRecord { name: "m99".parse().expect("name"), ..record(3) };
    table.record_heartbeat(at(0), HeartbeatMessage { record: None, ..heartbeat(unknown, true) });
    assert_eq!(table.member_count(), 12);
    table.record_heartbeat(at(2), HeartbeatMessage { record: None, ..heartbeat(record(3), false) });
    assert!(!homes_of(&mut table, at(3), 12).contains(&"m3".to_owned()));
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

/// An instance that restarted at other addresses could not be reached for changes of the store: its
/// first heartbeats had no record, and later ones that had it were of the same incarnation.
#[test]
fn the_record_in_a_heartbeat_replaces_the_addresses_of_the_process_before() {
    let mut table = table();
    let newer = MemberRecord { incarnation: IncarnationId(2), ..record(3) };
    let without = HeartbeatMessage { record: None, ..heartbeat(newer.clone(), true) };
    table.record_heartbeat(at(0), without);
    let moved = MemberRecord { peer_address: record(30).peer_address, ..newer };
    table.record_heartbeat(at(100), heartbeat(moved.clone(), true));
    assert!(table.others().any(|member| *member == moved));
    table.record_heartbeat(at(200), heartbeat(record(3), true));
    assert!(table.others().any(|member| *member == moved));
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
    let health_checkers = table.survey(at(0), 2).health_checkers;
    let centres: BTreeSet<String> =
        health_checkers.iter().map(|member| member.data_centre.to_string()).collect();
    assert_eq!((health_checkers.len(), centres.len()), (DATA_CENTRES.len(), DATA_CENTRES.len()));
}

#[test]
fn the_ranking_does_not_depend_on_the_order_of_members() {
    let mut reversed = MemberTable::new(record(0));
    reversed.set_ready(true);
    (0..12).rev().for_each(|index| reversed.register(record(index)));
    let expected = homes_of(&mut table(), at(0), 12);
    assert_eq!(expected.len(), 12);
    assert_eq!(homes_of(&mut reversed, at(0), 12), expected);
}

/// Table at ordinary member 50 of sixty members, twenty in each data centre. Capacities make members
/// 0 to 5 the first two of each data centre.
fn large_table() -> MemberTable {
    let record = |index| {
        let capacity = if index < 6 { 1_000_000 } else { 1 };
        MemberRecord { capacity, ..record(index) }
    };
    let mut table = MemberTable::new(record(50));
    table.set_ready(true);
    (0..60).for_each(|index| table.register(record(index)));
    table
}

/// Passes on heartbeats of members 0 to 5 to `table`; of those in `unresponsive` an old one.
fn relay_heartbeats(table: &mut MemberTable, now: MonoTime, unresponsive: &[usize]) {
    for index in 0..6 {
        let is_unresponsive = unresponsive.contains(&index);
        let age = Millis(if is_unresponsive { 1_000 } else { 250 });
        let heartbeat = HeartbeatMessage { record: None, ..heartbeat(record(index), true) };
        table.record_heard(now, HeardHeartbeat { heartbeat, age, is_unresponsive });
    }
}

/// In a fleet of 472, 18 homes but only five members by rank sent heartbeats; the others stayed
/// homes after their loss.
#[test]
fn every_home_and_relay_of_a_large_fleet_sends_heartbeats() {
    let mut table = large_table();
    let survey = table.survey(at(0), 9);
    assert_eq!(survey.homes.len(), 9);
    assert!(survey.homes.iter().all(|home| survey.is_relay(home)));
    assert_eq!(survey.centre_relays.len(), 2 * DATA_CENTRES.len());
    assert!(!survey.is_sender(&record(50)));
}

#[test]
fn relayed_heartbeats_report_an_unresponsive_home_at_once() {
    let mut table = large_table();
    let mut before = homes_of(&mut table, at(0), 6);
    before.sort();
    assert_eq!(before, ["m0", "m1", "m2", "m3", "m4", "m5"]);
    relay_heartbeats(&mut table, at(300), &[]);
    assert_eq!(homes_of(&mut table, at(301), 6).len(), 6);
    relay_heartbeats(&mut table, at(1_300), &[4]);
    let after = homes_of(&mut table, at(1_301), 6);
    assert!(!after.contains(&"m4".to_owned()), "{after:?}");
    relay_heartbeats(&mut table, at(1_600), &[]);
    assert!(homes_of(&mut table, at(1_601), 6).contains(&"m4".to_owned()));
}

/// Both relays of the own data centre stop; that says nothing about the homes elsewhere.
#[test]
fn homes_elsewhere_outlast_the_loss_of_the_own_relays() {
    let mut table = large_table();
    relay_heartbeats(&mut table, at(0), &[]);
    homes_of(&mut table, at(1), 6);
    let after = homes_of(&mut table, at(2_500), 6);
    let own = |name: &&String| name[1..].parse::<usize>().expect("number") % 3 == 50 % 3;
    let (own, elsewhere): (Vec<&String>, Vec<&String>) = after.iter().partition(own);
    assert!(own.iter().all(|name| **name != "m2" && **name != "m5"), "{own:?}");
    assert!(elsewhere.iter().all(|name| ["m0", "m1", "m3", "m4"].contains(&name.as_str())));
}

/// Two homes that each counted the other as unresponsive no longer sent each other heartbeats, and so
/// stayed apart; callers of one were directed to other instances than callers of the other.
#[test]
fn a_relay_sends_heartbeats_to_those_that_count_as_unresponsive() {
    let mut table = MemberTable::new(MemberRecord { capacity: 1_000_000, ..record(0) });
    table.set_ready(true);
    for index in 1..60 {
        let capacity = if index < 6 { 1_000_000 } else { 1 };
        table.register(MemberRecord { capacity, ..record(index) });
    }
    table.survey(at(0), 6);
    let survey = table.survey(at(2_000), 6);
    assert!(!survey.homes.iter().any(|home| home.name == record(1).name));
    for index in 1..6 {
        assert!(survey.heartbeat_targets.contains(&record(index).datagram_address), "{index}");
    }
    assert!(!survey.heartbeat_targets.contains(&record(0).datagram_address));
}

/// An instance that becomes a relay receives heartbeats only from then on.
#[test]
fn a_new_relay_waits_for_heartbeats_before_it_counts_others_as_unresponsive() {
    let mut table = large_table();
    relay_heartbeats(&mut table, at(0), &[]);
    homes_of(&mut table, at(1), 6);
    // The own relays are lost; member 50 or another one of its data centre follows them.
    let mut duty = table.survey(at(2_000), 60);
    assert!(duty.is_relay(&record(50)));
    duty = table.survey(at(2_800), 60);
    assert!(duty.homes.iter().any(|home| home.name == record(0).name));
    duty = table.survey(at(3_000), 60);
    assert!(!duty.homes.iter().any(|home| home.name == record(0).name));
}

/// The home before this instance in rank order never sends a heartbeat, so the others direct callers
/// to this one. It alternated between home and not with each survey.
#[test]
fn the_successor_of_a_silent_home_remains_home() {
    let record = |index| {
        let capacity = match index {
            0..6 => 1_000_000,
            50 => 1_000,
            _ => 1,
        };
        MemberRecord { capacity, ..record(index) }
    };
    let mut table = MemberTable::new(record(50));
    table.set_ready(true);
    (0..60).for_each(|index| table.register(record(index)));
    for millis in (0..10_000).step_by(50) {
        for index in (0..5).filter(|_| millis % 300 == 0) {
            let heartbeat = heartbeat(record(index), true);
            let heard = HeardHeartbeat { heartbeat, age: Millis(0), is_unresponsive: false };
            table.record_heard(at(millis), heard);
        }
        let homes = homes_of(&mut table, at(millis), 6);
        let is_home = homes.contains(&"m50".to_owned());
        assert_eq!(is_home, millis > 1_500, "at {millis} ms: {homes:?}");
    }
    table.record_heartbeat(at(10_000), heartbeat(record(5), true));
    assert!(homes_of(&mut table, at(10_001), 6).contains(&"m5".to_owned()));
}

/// Names of all usable members.
fn usable(table: &mut MemberTable, now: MonoTime) -> BTreeSet<String> {
    homes_of(table, now, 12).into_iter().collect()
}

/// Records a heartbeat of each other member of one data centre but those in `except`.
fn hear_all_but(table: &mut MemberTable, now: MonoTime, except: &[usize]) {
    for index in (1..12).filter(|index| !except.contains(index)) {
        table.record_heartbeat(now, heartbeat(support::record(index, "north"), true));
    }
}

/// Lets the time pass from `from` to `to` while all other members but those in `except` send heartbeats.
fn pass_time(table: &mut MemberTable, from: u64, to: u64, except: &[usize]) {
    for now in (from..=to).step_by(300) {
        hear_all_but(table, at(now), except);
        table.survey(at(now), 2);
    }
}

/// Indices of the members but this one, in rank order.
fn ranked() -> Vec<usize> {
    let names = homes_of(&mut ranked_table(), at(0), 12);
    let index = |name: &String| name[1..].parse().expect("number");
    names.iter().map(index).filter(|index| *index != 0).collect()
}

/// Like [`table`], with all members in one data centre.
fn ranked_table() -> MemberTable {
    let mut table = MemberTable::new(support::record(0, "north"));
    table.set_ready(true);
    (0..12).for_each(|index| table.register(support::record(index, "north")));
    table
}

/// Guards against directories that name an instance as successor of another one seconds after it said
/// that it stops. It sends no heartbeats, and none were expected of it.
#[test]
fn a_member_that_was_not_ready_when_last_heard_is_not_usable() {
    let stopped = *ranked().last().expect("members");
    let mut table = ranked_table();
    pass_time(&mut table, 0, 900, &[]);
    table.record_heartbeat(at(1_000), heartbeat(support::record(stopped, "north"), false));
    pass_time(&mut table, 1_200, 30_000, &[stopped]);
    for (now, except) in [(30_010, vec![stopped]), (31_500, ranked())] {
        hear_all_but(&mut table, at(now), &except);
        assert!(!usable(&mut table, at(now)).contains(&format!("m{stopped}")), "at {now} ms");
    }
    table.record_heartbeat(at(32_000), heartbeat(support::record(stopped, "north"), true));
    assert!(usable(&mut table, at(32_010)).contains(&format!("m{stopped}")));
}

/// Guards against forgetting that heartbeats of a member were overdue when those before it in rank return.
#[test]
fn a_lost_member_remains_lost_while_none_of_its_heartbeats_are_expected() {
    let order = ranked();
    let (first, lost) = (&order[..5], order[5]);
    let mut table = ranked_table();
    pass_time(&mut table, 0, 900, &[]);
    let silent: Vec<usize> = first.iter().copied().chain([lost]).collect();
    pass_time(&mut table, 1_200, 4_200, &silent);
    pass_time(&mut table, 4_500, 20_000, &[lost]);
    assert!(!usable(&mut table, at(20_010)).contains(&format!("m{lost}")));
    // A newly written record shows that it is back.
    table.register(support::record(lost, "north"));
    assert!(usable(&mut table, at(20_020)).contains(&format!("m{lost}")));
}

/// An instance that was cut off itself doesn't hold its silence against the others.
#[test]
fn members_not_heard_during_a_cut_of_this_instance_are_usable_after_it() {
    let mut table = ranked_table();
    pass_time(&mut table, 0, 900, &[]);
    for now in (1_200..9_000).step_by(300) {
        table.survey(at(now), 2);
    }
    assert_eq!(usable(&mut table, at(9_000)).len(), 1);
    let senders: Vec<usize> = ranked()[..5].to_vec();
    for index in &senders {
        table.record_heartbeat(at(9_100), heartbeat(support::record(*index, "north"), true));
    }
    table.survey(at(9_110), 2);
    assert_eq!(usable(&mut table, at(9_120)).len(), 12);
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

/// Inputs of an instance that the store does not serve, in a small fleet.
fn watch_inputs(rank: usize, age_ms: u64, contact: WatcherContact) -> WatchInputs {
    let confirmed_age = Duration::from_millis(age_ms);
    WatchInputs { rank, watchers: 2, confirmed_age, contact, is_served: false, is_direct: true }
}

/// Compares the duty with and without relays.
fn check_duty(rank: usize, age_ms: u64, contact: WatcherContact, expected: WatchDuty) {
    for is_direct in [false, true] {
        let inputs = WatchInputs { is_direct, ..watch_inputs(rank, age_ms, contact) };
        assert_eq!(watch_duty(inputs), expected);
    }
}

cases! { check_duty {
    first_always_watches: (0, 0, WatcherContact::Heard, WatchDuty::Watch);
    second_always_watches: (1, 0, WatcherContact::Heard, WatchDuty::Watch);
    third_follows: (2, 1_000, WatcherContact::Heard, WatchDuty::Follow);
    third_watches_without_confirmation: (2, 1_400, WatcherContact::Heard, WatchDuty::Watch);
    fourth_follows_for_longer: (3, 1_400, WatcherContact::Heard, WatchDuty::Follow);
    third_watches_early_if_store_is_lost: (2, 200, WatcherContact::Lost, WatchDuty::Watch);
    last_of_large_fleet_watches: (500, 4_000, WatcherContact::Heard, WatchDuty::Watch);
    twelfth_calls_a_failing_store: (11, 1_600, WatcherContact::Lost, WatchDuty::Watch);
    last_of_large_fleet_leaves_a_failing_store_alone: (450, 9_000, WatcherContact::Lost, WatchDuty::Follow);
    others_join_if_all_callers_are_turned_away: (20, 6_000, WatcherContact::Lost, WatchDuty::Watch);
    third_follows_while_the_watchers_are_silent: (2, 1_200, WatcherContact::Silent, WatchDuty::Follow);
    // Instances that remained after a great loss held back for up to 3.8 s.
    last_watches_soon_after_all_watchers_were_lost: (15, 1_700, WatcherContact::Silent, WatchDuty::Watch);
    last_of_large_fleet_watches_soon_after: (500, 1_700, WatcherContact::Silent, WatchDuty::Watch);
} }

/// Compares the duty of an instance in a small fleet. Guards against one that reaches the store and holds back while
/// those before it are cut off from it.
fn check_duty_in_cut(
    rank: usize,
    age_ms: u64,
    contact: WatcherContact,
    is_served: bool,
    expected: WatchDuty,
) {
    let inputs = WatchInputs { is_served, ..watch_inputs(rank, age_ms, contact) };
    assert_eq!(watch_duty(inputs), expected);
}

cases! { check_duty_in_cut {
    waits_for_those_before_it: (15, 1_500, WatcherContact::Lost, false, WatchDuty::Follow);
    calls_before_changes_are_due: (15, 1_700, WatcherContact::Lost, false, WatchDuty::Watch);
    watches_on_while_it_is_served: (15, 0, WatcherContact::Lost, true, WatchDuty::Watch);
    one_of_the_first_twelve_follows_another: (11, 0, WatcherContact::Lost, true, WatchDuty::Follow);
    follows_when_a_watcher_is_served: (15, 0, WatcherContact::Heard, true, WatchDuty::Follow);
} }

/// Guards against calls of a large fleet to a store that serves the first twelve: confirmations that come through
/// relays are older.
#[test]
fn instances_behind_relays_leave_the_store_to_the_first_twelve() {
    let inputs = watch_inputs(12, 2_500, WatcherContact::Lost);
    let inputs = WatchInputs { is_served: true, is_direct: false, ..inputs };
    assert_eq!(watch_duty(inputs), WatchDuty::Follow);
}

/// Guards against overflow when a record with this instance's name claims the highest incarnation.
#[test]
fn the_highest_registered_incarnation_does_not_overflow() {
    let mut table = table();
    table.supersede(IncarnationId(u64::MAX));
    assert_eq!(table.this().incarnation, IncarnationId(u64::MAX));
}
