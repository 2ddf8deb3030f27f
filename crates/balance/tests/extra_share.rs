//! The extra retries of a fleet, over kills, moved homes, silent instances and rolling restarts.

mod support;

use balance::{BudgetPolicy, ExtraAccount, RetryWindow, ShareClaim};
use model::MonoTime;
use proptest::prelude::*;
use support::{BUDGET, at};
use testkit::cases;

/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 100;
/// Age from which an instance that is not heard counts as gone, in milliseconds.
const SILENCE_MS: u64 = 900;
/// Length of the budget's window, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Number of instances.
const INSTANCES: usize = 6;
/// Number of homes.
const HOMES: usize = 2;
/// Time from which instances fail, in milliseconds. Before that the fleet starts for the first time.
const FAULTS_FROM_MS: u64 = 6_000;
/// Budget without a part that grows with the requests.
const EXTRA_ONLY: BudgetPolicy = BudgetPolicy { ratio: 0.0, ..BUDGET };

/// What happens to an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InstanceFault {
    /// It is killed and starts again.
    Kill,
    /// It is stopped as planned and starts again.
    Stop,
    /// The others don't hear it.
    Mute,
    /// It hears nobody and nobody hears it.
    Cut,
}

/// A fault from `begin_ms` on for `length_ms`.
#[derive(Debug, Clone, Copy)]
struct FaultSpan {
    instance: usize,
    fault: InstanceFault,
    begin_ms: u64,
    length_ms: u64,
}

impl FaultSpan {
    fn covers(&self, now: u64) -> bool {
        now >= self.begin_ms && now < self.begin_ms + self.length_ms
    }
}

fn fault_span() -> impl Strategy<Value = FaultSpan> {
    let fault = prop_oneof![
        Just(InstanceFault::Kill),
        Just(InstanceFault::Stop),
        Just(InstanceFault::Mute),
        Just(InstanceFault::Cut),
    ];
    (0..INSTANCES, fault, FAULTS_FROM_MS..60_000, 200_u64..20_000).prop_map(
        |(instance, fault, begin_ms, length_ms)| FaultSpan { instance, fault, begin_ms, length_ms },
    )
}

struct Instance {
    account: ExtraAccount,
    retries: RetryWindow,
    /// When each other instance was last heard.
    heard: [u64; INSTANCES],
    /// The homes that each other instance named when it was last heard.
    views: [Vec<usize>; INSTANCES],
    homes: Vec<usize>,
}

impl Instance {
    fn start(now: u64, is_first_start: bool) -> Self {
        Self {
            account: ExtraAccount::new(at(now), EXTRA_ONLY.window, is_first_start),
            retries: RetryWindow::new(EXTRA_ONLY),
            // All are taken for alive until they are missed.
            heard: [now; INSTANCES],
            views: Default::default(),
            homes: Vec::new(),
        }
    }

    fn is_heard(&self, now: u64, other: usize) -> bool {
        now - self.heard[other] <= SILENCE_MS
    }

    /// Chooses the homes and updates the claim, as instance `this`.
    fn refresh(&mut self, now: u64, this: usize, is_stopping: bool) {
        let is_usable =
            |other: usize| if other == this { !is_stopping } else { self.is_heard(now, other) };
        self.homes = (0..INSTANCES).filter(|other| is_usable(*other)).take(HOMES).collect();
        let mut heard = (0..INSTANCES)
            .filter(|other| *other != this && self.is_heard(now, *other))
            .filter(|other| !self.views[*other].is_empty())
            .peekable();
        let is_agreed =
            heard.peek().is_some() && heard.all(|other| self.views[other] == self.homes);
        let share = if self.homes.contains(&this) { 0.5 } else { 0.0 };
        self.account.update(at(now), ShareClaim { share, is_agreed });
    }
}

/// Plays the faults; every instance uses all retries that it may. Returns the times of the retries.
fn play(faults: &[FaultSpan], end_ms: u64) -> Vec<u64> {
    let mut instances: Vec<Option<Instance>> =
        (0..INSTANCES).map(|_| Some(Instance::start(0, true))).collect();
    let mut used = Vec::new();
    for now in (0..end_ms).step_by(STEP_MS as usize) {
        let has = |instance: usize, fault: InstanceFault| {
            faults.iter().any(|f| f.instance == instance && f.fault == fault && f.covers(now))
        };
        for (index, slot) in instances.iter_mut().enumerate() {
            // A planned stop takes a while in which the instance is not ready.
            let is_down = has(index, InstanceFault::Kill);
            match (is_down, slot.is_some()) {
                (true, _) => *slot = None,
                (false, false) => *slot = Some(Instance::start(now, false)),
                (false, true) => {}
            }
        }
        let reaches = |from: usize, to: usize| {
            !has(from, InstanceFault::Mute)
                && !has(from, InstanceFault::Cut)
                && !has(to, InstanceFault::Cut)
        };
        let sent: Vec<Option<Vec<usize>>> = (0..INSTANCES)
            .map(|index| {
                let is_ready = !has(index, InstanceFault::Stop);
                instances[index].as_ref().filter(|_| is_ready).map(|i| i.homes.clone())
            })
            .collect();
        for (index, slot) in instances.iter_mut().enumerate() {
            let Some(instance) = slot else {
                continue;
            };
            for (other, homes) in sent.iter().enumerate() {
                if let Some(homes) = homes
                    && other != index
                    && reaches(other, index)
                {
                    instance.heard[other] = now;
                    instance.views[other].clone_from(homes);
                }
            }
            instance.refresh(now, index, has(index, InstanceFault::Stop));
            let share = instance.account.usable(at(now));
            instance.retries.set_extra_share(share);
            while instance.retries.take_retry(at(now), 0.0) {
                used.push(now);
            }
        }
    }
    used
}

/// Largest number of retries in any window.
fn most_in_window(used: &[u64]) -> usize {
    let count_until =
        |end: u64| used.iter().filter(|at| **at <= end && **at + WINDOW_MS > end).count();
    used.iter().map(|end| count_until(*end)).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against new processes and new homes that begin with a full share beside what the earlier
    /// holder has used.
    #[test]
    fn no_window_exceeds_the_extra_retries(faults in prop::collection::vec(fault_span(), 0..12)) {
        let used = play(&faults, 80_000);
        prop_assert!(most_in_window(&used) <= EXTRA_ONLY.extra as usize);
    }
}

#[test]
fn a_calm_fleet_uses_all_extra_retries() {
    assert_eq!(most_in_window(&play(&[], 30_000)), EXTRA_ONLY.extra as usize);
}

/// The part of a lost home is used again once it is earned.
#[test]
fn the_successor_of_a_home_earns_its_share() {
    let lost =
        FaultSpan { instance: 0, fault: InstanceFault::Kill, begin_ms: 7_000, length_ms: 60_000 };
    let used = play(&[lost], 60_000);
    let late: Vec<u64> = used.into_iter().filter(|at| *at > 40_000).collect();
    assert_eq!(most_in_window(&late), EXTRA_ONLY.extra as usize);
}

fn check_usable(is_first_start: bool, claims: &[(u64, f64, bool)], now: u64, expected: f64) {
    let mut account = ExtraAccount::new(MonoTime(0), EXTRA_ONLY.window, is_first_start);
    let claim_at = |now: u64| {
        claims
            .iter()
            .take_while(|(since, ..)| *since <= now)
            .last()
            .map(|(_, share, is_agreed)| ShareClaim { share: *share, is_agreed: *is_agreed })
    };
    for step in (0..=now).step_by(STEP_MS as usize) {
        if let Some(claim) = claim_at(step) {
            account.update(at(step), claim);
        }
    }
    assert_eq!(account.usable(at(now)), expected);
}

cases! { check_usable {
    a_new_process_has_none: (false, &[(0, 0.5, true)], 10_000, 0.0);
    it_earns_its_share: (false, &[(0, 0.5, true)], 13_000, 0.5);
    a_first_start_needs_no_earning: (true, &[(1_000, 0.5, true)], 1_500, 0.5);
    a_later_change_does: (true, &[(0, 0.1, true), (5_000, 0.5, true)], 12_000, 0.1);
    a_lower_share_holds_at_once: (true, &[(0, 0.5, true), (5_000, 0.1, true)], 5_000, 0.1);
    a_short_doubt_changes_nothing: (true, &[(0, 0.5, true), (5_000, 0.5, false)], 6_000, 0.5);
    a_longer_doubt_ends_the_share: (true, &[(0, 0.5, true), (5_000, 0.5, false)], 6_700, 0.0);
    it_is_earned_again: (
        true,
        &[(0, 0.5, true), (5_000, 0.5, false), (7_000, 0.5, true)],
        21_000,
        0.5,
    );
} }

#[test]
fn a_claim_from_before_a_pause_counts_for_nothing() {
    let mut account = ExtraAccount::new(at(0), EXTRA_ONLY.window, true);
    account.update(at(100), ShareClaim { share: 0.5, is_agreed: true });
    assert_eq!((account.usable(at(200)), account.usable(at(5_000))), (0.5, 0.0));
}
