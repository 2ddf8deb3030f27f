//! The probe budget of a whole fleet, counted by the backend server.

mod support;

use std::time::{Duration, Instant};
use support::{TestFleet, wait_until};

/// Probe budget, in probes per second.
const RATE: f64 = 5.0;
/// Number of probes to wait for from each home.
const PROBES: u64 = 8;

/// The home crashes during the test, and another instance becomes the home.
#[test]
fn probes_stay_within_the_budget_while_the_home_changes() {
    let mut fleet = TestFleet::start(3, 1);
    let started = Instant::now();
    fleet.command(0, &format!("alter service orders (probe_rate = {RATE})"));
    wait_until("the first home probes", || fleet.servers[0].probes() >= PROBES);
    let home = fleet.home();
    fleet.entries.remove(home).abort();
    let before = fleet.servers[0].probes();
    wait_until("the next home probes", || fleet.servers[0].probes() >= before + PROBES);
    let probes = fleet.servers[0].probes();
    let budget = started.elapsed().as_secs_f64() * RATE + 1.0;
    assert!(probes as f64 <= budget, "{probes} probes, {budget} allowed");
    fleet.close();
}

#[test]
fn no_probe_is_sent_without_a_lease() {
    let fleet = TestFleet::start(2, 1);
    fleet.store.set_faults(standin::StoreFaults { down: true, ..Default::default() });
    wait_until("earlier leases have expired", || {
        let before = fleet.servers[0].probes();
        std::thread::sleep(Duration::from_secs(3));
        fleet.servers[0].probes() == before
    });
    let before = fleet.servers[0].probes();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.servers[0].probes(), before);
    fleet.close();
}
