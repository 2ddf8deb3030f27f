//! The reducer under random and given sequences of events.

use control::view::FleetView;
use control::{ControlEffect, ControlEvent, ControlSettings, ControlState, MemberStatus};
use model::{
    ConfigDocument, ConfigVersion, DigestLine, FleetDigest, IncarnationId, InstanceName,
    InstanceRecord, InstanceState, Leaving, Millis, MonoTime, ServiceConfig, StoreRevision,
};
use proptest::prelude::*;
use std::sync::Arc;
use testkit::cases;

fn millis(count: u64) -> MonoTime {
    MonoTime(count * 1_000)
}

fn record(number: u16, incarnation: u64, state: InstanceState) -> InstanceRecord {
    let address = |port: u16| ([127, 0, 0, 1], 1_000 + number * 10 + port).into();
    InstanceRecord {
        name: format!("e{number}").parse().unwrap(),
        incarnation: IncarnationId(incarnation),
        data_centre: format!("dc{}", number % 2).parse().unwrap(),
        caller_address: address(0),
        operator_address: address(1),
        peer_address: address(2),
        state,
    }
}

fn document(version: u64) -> Arc<ConfigDocument> {
    let mut document = ConfigDocument { version: ConfigVersion(version), ..Default::default() };
    for service in ["orders", "deposits", "fees", "dispatch"] {
        document.services.insert(service.parse().unwrap(), ServiceConfig::default());
    }
    Arc::new(document)
}

fn state(number: u16) -> ControlState {
    ControlState::new(ControlSettings::default(), record(number, 5, InstanceState::Live))
}

fn leaving(incarnation: u64) -> Leaving {
    Leaving {
        service: "orders".parse().unwrap(),
        server: "s1".parse().unwrap(),
        incarnation: IncarnationId(incarnation),
    }
}

fn digest(sender: u16, version: u64, beat: u64, state: InstanceState) -> FleetDigest {
    let sender = record(sender, 7, state);
    let line = DigestLine {
        name: sender.name.clone(),
        incarnation: sender.incarnation,
        beat,
        state,
        version: ConfigVersion(version),
    };
    FleetDigest {
        sender,
        clock: 0,
        version: ConfigVersion(version),
        confirmed_ago: Some(Millis(0)),
        lines: vec![line],
        leaving: Vec::new(),
    }
}

fn any_state() -> impl Strategy<Value = InstanceState> {
    prop_oneof![Just(InstanceState::Live), Just(InstanceState::Leaving)]
}

fn any_event() -> impl Strategy<Value = ControlEvent> {
    let version = 0_u64..12;
    prop_oneof![
        3 => Just(ControlEvent::Tick),
        2 => version.clone().prop_map(|version| ControlEvent::StoreReplied {
            revision: StoreRevision(version),
            document: document(version),
        }),
        1 => Just(ControlEvent::StoreUnchanged),
        1 => Just(ControlEvent::StoreFailed),
        2 => version.clone().prop_map(|version| ControlEvent::ConfigFetched {
            revision: StoreRevision(version),
            document: document(version),
        }),
        2 => (1_u16..5, version, 0_u64..20, any_state()).prop_map(
            |(sender, version, beat, state)| {
                ControlEvent::DigestReceived(digest(sender, version, beat, state))
            }
        ),
        1 => (0_u16..5, 1_u64..9, any_state()).prop_map(|(number, incarnation, state)| {
            ControlEvent::InstancesListed {
                records: vec![record(number, incarnation, state)],
                leaving: Vec::new(),
            }
        }),
        1 => (1_u64..3).prop_map(|incarnation| ControlEvent::ServerLeaving(leaving(incarnation))),
    ]
}

/// Checks that versions, revisions, incarnations and leaving marks never go back from one view to
/// the next.
fn assert_never_goes_back(before: &FleetView, after: &FleetView) {
    assert!(after.version() >= before.version());
    assert!(after.revision >= before.revision);
    assert!(after.confirmed_at >= before.confirmed_at);
    assert!(after.this.incarnation >= before.this.incarnation);
    assert!(after.leaving.is_superset(&before.leaving));
    for (name, member) in &before.members {
        let Some(later) = after.members.get(name) else {
            continue;
        };
        let (old, new) = (&member.record, &later.record);
        assert!(new.incarnation >= old.incarnation);
        assert!(later.version >= member.version || new.incarnation > old.incarnation);
        if old.state == InstanceState::Leaving && new.incarnation == old.incarnation {
            assert_eq!(new.state, InstanceState::Leaving);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn known_state_only_grows(
        events in proptest::collection::vec((0_u64..4_000, any_event()), 1..80)
    ) {
        let mut state = state(0);
        let mut now = 0;
        let mut before = state.view();
        for (elapsed, event) in events {
            now += elapsed;
            state.reduce(millis(now), event);
            let after = state.view();
            assert_never_goes_back(&before, &after);
            before = after;
        }
    }

    #[test]
    fn homes_are_live_members_of_the_view(
        events in proptest::collection::vec((0_u64..4_000, any_event()), 1..80)
    ) {
        let mut state = state(0);
        let mut now = 0;
        for (elapsed, event) in events {
            now += elapsed;
            state.reduce(millis(now), event);
            let view = state.view();
            for homes in view.homes.values() {
                for home in homes.homes.iter().chain(&homes.standbys) {
                    let member = &view.members[home];
                    prop_assert_eq!(member.record.state, InstanceState::Live);
                    prop_assert_eq!(member.status, MemberStatus::Alive);
                }
            }
        }
    }
}

fn fleet_view(number: u16, count: u16) -> FleetView {
    let mut state = state(number);
    state.reduce(
        millis(1),
        ControlEvent::StoreReplied { revision: StoreRevision(1), document: document(1) },
    );
    let records = (0..count).map(|number| record(number, 5, InstanceState::Live)).collect();
    let listed = ControlEvent::InstancesListed { records, leaving: Vec::new() };
    state.reduce(millis(2), listed);
    state.view()
}

#[test]
fn all_instances_agree_on_homes_and_the_first_standby_is_in_another_data_centre() {
    let views: Vec<FleetView> = (0..6).map(|number| fleet_view(number, 6)).collect();
    for view in &views {
        assert_eq!(view.homes, views[0].homes);
    }
    for homes in views[0].homes.values() {
        let centre = |name: &InstanceName| views[0].members[name].record.data_centre.clone();
        assert_ne!(centre(&homes.homes[0]), centre(&homes.standbys[0]));
    }
}

#[test]
fn loss_of_an_instance_moves_only_its_own_services() {
    let (before, after) = (fleet_view(0, 6), fleet_view(0, 5));
    let lost: InstanceName = "e5".parse().unwrap();
    for (service, homes) in &before.homes {
        if homes.homes[0] != lost {
            assert_eq!(after.homes[service].homes, homes.homes);
        }
    }
}

/// Applies two configurations in turn and compares the version in force.
fn check_config_version(first: u64, second: u64, expected: u64) {
    let mut state = state(0);
    for version in [first, second] {
        let document = document(version);
        state.reduce(
            millis(1),
            ControlEvent::ConfigFetched { revision: StoreRevision(version), document },
        );
    }
    assert_eq!(state.view().version(), ConfigVersion(expected));
}

cases! { check_config_version {
    newer_config_comes_into_force: (1, 2, 2);
    older_config_is_ignored: (2, 1, 2);
    same_version_stays: (2, 2, 2);
} }

/// Sends the instance a record with its own name and compares whether it stops and its incarnation.
fn check_namesake(incarnation: u64, same_address: bool, stops: bool, expected: u64) {
    let mut state = state(0);
    let mut namesake = record(0, incarnation, InstanceState::Live);
    if !same_address {
        namesake.peer_address = ([127, 0, 0, 1], 9).into();
    }
    state.reduce(millis(1), ControlEvent::RecordsReceived(vec![namesake]));
    let this = state.view().this;
    assert_eq!(this.state == InstanceState::Leaving, stops);
    assert_eq!(this.incarnation, IncarnationId(expected));
}

cases! { check_namesake {
    earlier_process_is_ignored: (4, true, false, 5);
    earlier_process_with_a_clock_ahead_raises_the_incarnation: (9, true, false, 10);
    replacement_at_another_address_stops_this_process: (9, false, true, 5);
} }

#[test]
fn pause_of_this_instance_does_not_make_the_others_gone() {
    let mut state = state(0);
    state.reduce(millis(1), ControlEvent::Tick);
    let live = digest(1, 0, 1, InstanceState::Live);
    state.reduce(millis(2), ControlEvent::DigestReceived(live));
    let effects = state.reduce(millis(60_000), ControlEvent::Tick);
    let is_report = |effect: &ControlEffect| matches!(effect, ControlEffect::Report(_));
    assert!(!effects.iter().any(is_report), "{effects:?}");
}

#[test]
fn member_without_heartbeats_is_gone_until_the_next_one() {
    let mut state = state(0);
    let name: InstanceName = "e1".parse().unwrap();
    let mut status = Vec::new();
    for (at, beat) in [(0, 1), (1_000, 1), (2_000, 1), (3_000, 1), (4_000, 2)] {
        let digest = digest(1, 0, beat, InstanceState::Live);
        state.reduce(millis(at), ControlEvent::DigestReceived(digest));
        state.reduce(millis(at), ControlEvent::Tick);
        status.push(state.view().members[&name].status);
    }
    use MemberStatus::{Alive, Gone};
    assert_eq!(status, vec![Alive, Alive, Alive, Gone, Alive]);
}

#[test]
fn few_instances_of_a_data_centre_watch_the_store() {
    let watches = (0..12).filter(|number| {
        let mut state = state(*number);
        let replied =
            ControlEvent::StoreReplied { revision: StoreRevision(1), document: document(1) };
        state.reduce(millis(1), replied);
        let records = (0..12).map(|number| record(number, 5, InstanceState::Live)).collect();
        state.reduce(millis(2), ControlEvent::InstancesListed { records, leaving: Vec::new() });
        let effects = state.reduce(millis(100), ControlEvent::Tick);
        effects.iter().any(|effect| matches!(effect, ControlEffect::CallStore(_)))
    });
    // Two watchers in each of two data centres.
    assert_eq!(watches.count(), 4);
}
