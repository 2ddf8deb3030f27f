//! Tests of how the homes of a large fleet share the servers of all data centres.

use balance::{ReachPlan, ServerReach};
use model::{DataCentre, InstanceName, ServerName};
use testkit::cases;

/// Homes in each data centre, as many as in a fleet of 472 instances.
const HOMES_PER_CENTRE: usize = 3;

fn centre(index: usize) -> DataCentre {
    format!("c{index}").parse().expect("name")
}

fn server(index: usize) -> ServerName {
    format!("i-{index:08x}").parse().expect("name")
}

/// Homes with their data centres: three in each of `centres`.
fn homes(centres: usize) -> Vec<(InstanceName, DataCentre)> {
    let of_centre = |index: usize| {
        (0..HOMES_PER_CENTRE)
            .map(move |place| (format!("h{index}-{place}").parse().expect("name"), centre(index)))
    };
    (0..centres).flat_map(of_centre).collect()
}

fn plan_of(homes: &[(InstanceName, DataCentre)]) -> ReachPlan {
    ReachPlan::new(homes.iter().map(|(name, centre)| (name, centre)))
}

/// Returns for each home the number of the 180 servers of data centre 0 that it may use.
fn usable_servers(homes: &[(InstanceName, DataCentre)]) -> Vec<(ServerReach, usize)> {
    let plan = plan_of(homes);
    homes
        .iter()
        .map(|(name, own)| {
            let reach = |index| plan.reach_of(name, own, &server(index), &centre(0));
            let usable: Vec<ServerReach> =
                (0..180).map(reach).filter(|reach| *reach != ServerReach::Beyond).collect();
            (usable[0], usable.len())
        })
        .collect()
}

/// Before, a home counted 16 requests of other homes at each server elsewhere, so it never used one.
#[test]
fn servers_elsewhere_are_shared_evenly_and_claimed_by_few() {
    let homes = homes(6);
    let usable = usable_servers(&homes);
    assert!(usable[..3].iter().all(|(reach, count)| (*reach, *count) == (ServerReach::Own, 180)));
    for (reach, count) in &usable[3..] {
        assert_eq!(*reach, ServerReach::Guest { competitors: 1 });
        // 180 servers with two guests each among 15 homes.
        assert!((12..=40).contains(count), "{count}");
    }
}

fn check_guests(centres: usize, expected: usize) {
    let homes = homes(centres);
    let plan = plan_of(&homes);
    for index in 0..50 {
        assert_eq!(plan.guests(&server(index), &centre(0)).len(), expected);
    }
}

cases! { check_guests {
    all_homes_are_in_the_data_centre: (1, 0);
    few_homes_share_all_servers: (1 + 1, 2);
    many_homes: (6, 2);
} }

#[test]
fn all_instances_assign_the_same_guests() {
    let homes = homes(6);
    let reversed: Vec<_> = homes.iter().rev().cloned().collect();
    let (plan, other) = (plan_of(&homes), plan_of(&reversed));
    for index in 0..50 {
        let guests = plan.guests(&server(index), &centre(2));
        assert_eq!(guests, other.guests(&server(index), &centre(2)));
    }
}

#[test]
fn a_lost_home_moves_only_its_own_guest_places() {
    let homes = homes(6);
    let (before, after) = (plan_of(&homes), plan_of(&homes[1..]));
    for index in 0..50 {
        let kept = before.guests(&server(index), &centre(2));
        let now = after.guests(&server(index), &centre(2));
        assert!(kept.iter().all(|name| **name == homes[0].0 || now.contains(name)));
    }
}

#[test]
fn an_instance_that_is_no_home_may_use_all_servers() {
    let plan = plan_of(&homes(6));
    let other = "other".parse().expect("name");
    for index in 0..50 {
        let reach = plan.reach_of(&other, &centre(1), &server(index), &centre(0));
        assert_eq!(reach, ServerReach::Own);
    }
}
