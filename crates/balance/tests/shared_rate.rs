//! Quotas over all instances: no window of any account beyond its limit and the tolerance, and nearly all of
//! it usable, whatever becomes of instances and reports.

use balance::{AccountUse, QuotaLedger, SharedLimit, TeamUse};
use model::{IncarnationId, InstanceName, MonoTime, RequestRate, TeamName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use testkit::cases;

/// Window of the limit, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Operators' tolerance: ratio of the limit, and requests besides.
const TOLERANCE: (f64, f64) = (0.1, 20.0);
/// Smallest part of the rate that must be usable while demand is there and nothing fails.
const USABLE_MIN: f64 = 0.95;
/// The same while a third of the reports are lost and the others are up to 0.4 s late.
const USABLE_WITH_BAD_LINKS_MIN: f64 = 0.9;
/// Interval of reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;
/// Shortest interval of reports while much is spent, in milliseconds.
const NEWS_INTERVAL_MS: u64 = 50;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 30_000;
/// Time at which the demand becomes hot, in milliseconds.
const HOT_FROM_MS: u64 = 8_000;
/// Number of instances that serve the team's callers.
const INSTANCES: usize = 6;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// One report in three is lost, others are late or arrive twice.
    BadLinks,
    /// The callers move to two of the instances within a moment, and back.
    ShiftingDemand,
    /// Instances start again one after the other.
    Restarts,
    /// Some instances with their callers are cut off from the others.
    Cut(usize),
    /// Two groups can't reach each other while a third reaches both.
    Bridge,
    /// Half of the instances end for good.
    Loss,
}

#[derive(Debug, Clone, Copy)]
struct QuotaCase {
    rate: f64,
    burst: f64,
    /// Demand as a multiple of the rate, before and after it becomes hot.
    usual: f64,
    hot: f64,
    trouble: Trouble,
}

/// A report under way: time of arrival (reversed, for the order of the heap), receiver, sender and its
/// incarnation, uses.
type Delivery = (std::cmp::Reverse<u64>, usize, usize, u64, usize);

struct Simulation {
    case: QuotaCase,
    random: SmallRng,
    ledgers: Vec<Option<QuotaLedger>>,
    incarnations: Vec<u64>,
    reported_ms: Vec<u64>,
    deliveries: BinaryHeap<Delivery>,
    reports: Vec<Vec<TeamUse>>,
    admitted: Vec<u64>,
    asked: u64,
}

fn team() -> TeamName {
    "team".parse().expect("name")
}

fn instance(index: usize) -> InstanceName {
    format!("h{index}").parse().expect("name")
}

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

impl QuotaCase {
    fn ledger(&self, now: MonoTime, starts_full: bool) -> QuotaLedger {
        let limit = SharedLimit {
            rate: RequestRate(self.rate),
            burst: self.burst,
            window: Duration::from_millis(WINDOW_MS),
        };
        let mut ledger = QuotaLedger::new(starts_full);
        ledger.set_limits(now, HashMap::from([(team(), limit)]));
        ledger
    }

    /// Whether a report reaches its receiver.
    fn is_linked(&self, now: u64, from: usize, to: usize) -> bool {
        let is_troubled = (10_000..15_500).contains(&now);
        match self.trouble {
            Trouble::Cut(size) if is_troubled => (from < size) == (to < size),
            Trouble::Bridge if is_troubled => from % 3 == to % 3 || from % 3 == 2 || to % 3 == 2,
            _ => true,
        }
    }

    /// Returns the part of the demand that an instance gets.
    fn part(&self, now: u64, index: usize) -> f64 {
        let is_shifted = self.trouble == Trouble::ShiftingDemand && (now / 1_500) % 2 == 1;
        match (self.trouble, index) {
            (Trouble::Loss, 0..3) if now >= 10_000 => 0.0,
            (Trouble::Loss, _) if now >= 10_000 => 2.0 / INSTANCES as f64,
            _ if is_shifted && index < 2 => 0.5,
            _ if is_shifted => 0.0,
            _ => 1.0 / INSTANCES as f64,
        }
    }
}

impl Simulation {
    fn new(case: QuotaCase, seed: u64) -> Self {
        Self {
            case,
            random: SmallRng::seed_from_u64(seed),
            ledgers: (0..INSTANCES).map(|_| Some(case.ledger(at(0), true))).collect(),
            incarnations: vec![1; INSTANCES],
            reported_ms: vec![0; INSTANCES],
            deliveries: BinaryHeap::new(),
            reports: Vec::new(),
            admitted: Vec::new(),
            asked: 0,
        }
    }

    fn trouble(&mut self, now: u64) {
        match self.case.trouble {
            Trouble::Restarts if now.is_multiple_of(2_500) && now > 0 => {
                let index = (now / 2_500) as usize % INSTANCES;
                self.ledgers[index] = Some(self.case.ledger(at(now), false));
                self.incarnations[index] += 1;
            }
            Trouble::Loss if now == 10_000 => self.ledgers[..3].fill_with(|| None),
            _ => {}
        }
    }

    fn report(&mut self, now: u64, index: usize) {
        let is_alive: Vec<bool> = self.ledgers.iter().map(Option::is_some).collect();
        let Some(ledger) = &mut self.ledgers[index] else {
            return;
        };
        // The membership drops lost instances after a second.
        let is_expected = |other: &usize| *other != index && (is_alive[*other] || now < 11_000);
        ledger.share(at(now), (0..INSTANCES).filter(is_expected).map(instance).collect(), 0);
        self.reports.push(ledger.own_uses(at(now)));
        let report = self.reports.len() - 1;
        for to in (0..INSTANCES).filter(|to| *to != index) {
            let is_bad = self.case.trouble == Trouble::BadLinks;
            let copies = if !is_bad { 1 } else { self.random.random_range(0..3_u32) };
            for _ in 0..copies {
                let delay = if is_bad { self.random.random_range(1..400) } else { 1 };
                let incarnation = self.incarnations[index];
                let arrival = std::cmp::Reverse(now + delay);
                self.deliveries.push((arrival, to, index, incarnation, report));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some((arrival, to, from, incarnation, report)) = self.deliveries.peek().copied() {
            if arrival.0 > now {
                return;
            }
            self.deliveries.pop();
            if !self.case.is_linked(now, from, to) {
                continue;
            }
            if let Some(ledger) = &mut self.ledgers[to] {
                let uses = self.reports[report].clone();
                ledger.record_peer(at(now), &instance(from), IncarnationId(incarnation), uses);
            }
        }
    }

    fn ask(&mut self, now: u64) {
        let level = if now < HOT_FROM_MS { self.case.usual } else { self.case.hot };
        for index in 0..INSTANCES {
            let per_step =
                self.case.rate * level * self.case.part(now, index) * STEP_MS as f64 / 1e3;
            let whole = per_step.floor();
            let extra = u32::from(self.random.random_bool(per_step - whole));
            for _ in 0..whole as u32 + extra {
                self.asked += 1;
                let Some(ledger) = &mut self.ledgers[index] else {
                    continue;
                };
                if ledger.admit(at(now), &team()).is_ok() {
                    self.admitted.push(now);
                }
            }
        }
    }

    fn run(&mut self) {
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            self.trouble(now);
            self.deliver(now);
            for index in 0..INSTANCES {
                let age = now - self.reported_ms[index];
                let has_news = self.ledgers[index].as_ref().is_some_and(QuotaLedger::has_news);
                let is_due = (now + 35 * index as u64).is_multiple_of(REPORT_INTERVAL_MS);
                if is_due || (has_news && age >= NEWS_INTERVAL_MS) {
                    self.reported_ms[index] = now;
                    self.report(now, index);
                }
            }
            self.ask(now);
        }
    }

    /// Returns the most requests in a window.
    fn most_in_window(&self) -> usize {
        let within = |end: usize, from: u64| self.admitted[..=end].partition_point(|at| *at < from);
        (0..self.admitted.len())
            .map(|end| end + 1 - within(end, (self.admitted[end] + 1).saturating_sub(WINDOW_MS)))
            .max()
            .unwrap_or(0)
    }

    fn admitted_between(&self, from: u64, to: u64) -> f64 {
        self.admitted.iter().filter(|at| (from..to).contains(*at)).count() as f64
    }
}

/// Answers to a team that asks for far more than its quota at all instances.
fn check_quota(rate: f64, burst: f64, trouble: Trouble) {
    for seed in 0..4 {
        let case = QuotaCase { rate, burst, usual: 0.7, hot: 7.5, trouble };
        let mut simulation = Simulation::new(case, seed);
        simulation.run();
        let (ratio, extra) = TOLERANCE;
        let allowed = (rate * WINDOW_MS as f64 / 1e3 + burst) * (1.0 + ratio) + extra;
        let most = simulation.most_in_window() as f64;
        assert!(most <= allowed, "seed {seed}: {most} in a window, {allowed} allowed");
        let used = simulation.admitted_between(20_000, DURATION_MS) / 10.0;
        let usable_min =
            if trouble == Trouble::BadLinks { USABLE_WITH_BAD_LINKS_MIN } else { USABLE_MIN };
        assert!(used >= rate * usable_min, "seed {seed}: {used}/s used of {rate}/s");
    }
}

cases! { check_quota {
    large_team: (279.0, 279.0, Trouble::None);
    small_team: (3.0, 3.0, Trouble::None);
    team_without_burst: (40.0, 0.0, Trouble::None);
    large_team_with_bad_links: (279.0, 279.0, Trouble::BadLinks);
    small_team_with_bad_links: (3.0, 3.0, Trouble::BadLinks);
    large_team_whose_callers_move: (279.0, 279.0, Trouble::ShiftingDemand);
    small_team_whose_callers_move: (3.0, 3.0, Trouble::ShiftingDemand);
    large_team_beside_restarts: (279.0, 279.0, Trouble::Restarts);
    small_team_beside_restarts: (3.0, 3.0, Trouble::Restarts);
    large_team_and_two_cut_off: (279.0, 279.0, Trouble::Cut(2));
    large_team_and_one_cut_off: (279.0, 279.0, Trouble::Cut(1));
    small_team_and_two_cut_off: (3.0, 3.0, Trouble::Cut(2));
    large_team_over_a_bridge: (279.0, 279.0, Trouble::Bridge);
    large_team_and_half_lost: (279.0, 279.0, Trouble::Loss);
    small_team_and_half_lost: (3.0, 3.0, Trouble::Loss);
} }

/// Guards against refusals of a team that stays within its quota.
fn check_within(rate: f64, usual: f64, trouble: Trouble, refused_max: f64) {
    for seed in 0..4 {
        let case = QuotaCase { rate, burst: rate, usual, hot: usual, trouble };
        let mut simulation = Simulation::new(case, seed);
        simulation.run();
        let refused = 1.0 - simulation.admitted.len() as f64 / simulation.asked as f64;
        assert!(refused <= refused_max, "seed {seed}: {refused} refused");
    }
}

cases! { check_within {
    large_team_within: (279.0, 0.9, Trouble::None, 0.001);
    small_team_within: (3.0, 0.7, Trouble::None, 0.02);
    large_team_within_and_callers_move: (279.0, 0.9, Trouble::ShiftingDemand, 0.01);
    large_team_within_and_half_lost: (279.0, 0.7, Trouble::Loss, 0.05);
    large_team_within_and_cut_off: (279.0, 0.7, Trouble::Cut(2), 0.05);
} }

#[test]
fn a_lowered_quota_binds_within_a_window() {
    let case =
        QuotaCase { rate: 200.0, burst: 200.0, usual: 1.0, hot: 1.0, trouble: Trouble::None };
    let mut ledger = case.ledger(at(0), true);
    let limit = |rate: f64| SharedLimit {
        rate: RequestRate(rate),
        burst: rate,
        window: Duration::from_millis(WINDOW_MS),
    };
    let mut admitted = Vec::new();
    for now in (0..20_000).step_by(STEP_MS as usize) {
        if now == 5_000 {
            ledger.set_limits(at(now), HashMap::from([(team(), limit(20.0))]));
        }
        if now.is_multiple_of(REPORT_INTERVAL_MS) {
            ledger.share(at(now), Vec::new(), 0);
        }
        if ledger.admit(at(now), &team()).is_ok() {
            admitted.push(now);
        }
    }
    let after = admitted.iter().filter(|now| **now >= 10_000).count() as f64;
    assert!(after <= 10.0 * 20.0 + 20.0 + 10.0 * 4.0 + 1.0, "{after} in ten seconds at 20/s");
}

#[test]
fn instances_that_start_and_cannot_be_listed_leave_room_for_each_other() {
    let case = QuotaCase { rate: 20.0, burst: 10.0, usual: 1.0, hot: 1.0, trouble: Trouble::None };
    let mut ledgers: Vec<QuotaLedger> = (0..4).map(|_| case.ledger(at(0), true)).collect();
    let mut admitted = 0;
    for now in (0..WINDOW_MS).step_by(25) {
        for ledger in &mut ledgers {
            if now.is_multiple_of(REPORT_INTERVAL_MS) {
                ledger.share(at(now), Vec::new(), 3);
            }
            admitted += usize::from(ledger.admit(at(now), &team()).is_ok());
        }
    }
    let quota = case.rate * WINDOW_MS as f64 / 1e3 + case.burst;
    assert!(admitted as f64 <= quota, "{admitted} within a window, {quota} allowed");
}

#[test]
fn a_token_given_back_serves_another_request() {
    let case = QuotaCase { rate: 0.1, burst: 1.0, usual: 1.0, hot: 1.0, trouble: Trouble::None };
    let mut ledger = case.ledger(at(0), true);
    assert!(ledger.admit(at(1), &team()).is_ok());
    assert!(ledger.admit(at(2), &team()).is_err());
    ledger.give_back(at(3), &team());
    assert!(ledger.admit(at(4), &team()).is_ok());
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let case = QuotaCase { rate: 10.0, burst: 1.0, usual: 1.0, hot: 1.0, trouble: Trouble::None };
    let mut ledger = case.ledger(at(0), true);
    while ledger.admit(at(0), &team()).is_ok() {}
    let delays: Vec<Duration> =
        (1..6).map(|_| ledger.admit(at(1), &team()).expect_err("beyond").retry_after).collect();
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]), "{delays:?}");
}

/// What a peer reports after its process has started again: incarnation, requests admitted since its start, and
/// the time of the report in milliseconds.
type PeerReport = (u64, u32, u64);

/// Guards against counts of a process that are taken for new requests: one that ended, or one that has served
/// for long without being heard.
fn check_peer_reports(reports: &[PeerReport], spent_max: f64) {
    let case = QuotaCase { rate: 50.0, burst: 50.0, usual: 1.0, hot: 1.0, trouble: Trouble::None };
    let mut ledger = case.ledger(at(0), true);
    let mut last_ms = 0;
    for (incarnation, spent, now) in reports.iter().copied() {
        let usage = AccountUse { spent, demand: RequestRate(5.0) };
        let uses = vec![TeamUse { team: team(), usage }];
        ledger.record_peer(at(now), &instance(1), IncarnationId(incarnation), uses);
        ledger.share(at(now), vec![instance(1)], 0);
        last_ms = now;
    }
    let left = ledger.account(&team()).expect("an account").left(at(last_ms));
    assert!(left >= case.burst - spent_max, "{left} of {} left", case.burst);
    let admitted = (last_ms + 1_000..last_ms + 2_000).step_by(50).filter(|now| {
        ledger.share(at(*now), Vec::new(), 0);
        ledger.admit(at(*now), &team()).is_ok()
    });
    assert_eq!(admitted.count(), 20, "a team far below its quota");
}

cases! { check_peer_reports {
    one_process: (&[(5, 100_000, 1_000), (5, 100_010, 1_200), (5, 100_020, 1_400)], 20.0);
    started_again: (&[(5, 100_000, 1_000), (6, 3, 1_200), (6, 8, 1_400)], 8.0);
    late_report_of_the_process_before:
        (&[(5, 100_000, 1_000), (6, 3, 1_200), (5, 100_000, 1_250), (6, 8, 1_400)], 8.0);
    started_again_long_before_it_is_heard: (&[(5, 100_000, 1_000), (6, 90_000, 1_200)], 100.0);
    heard_again_after_a_long_time: (&[(5, 100, 1_000), (5, 600, 20_000)], 100.0);
    count_that_wraps: (&[(5, u32::MAX - 2, 1_000), (5, 2, 1_200), (5, 6, 1_400)], 9.0);
    tokens_given_back: (&[(5, 100, 1_000), (5, 98, 1_200)], 0.0);
    clock_that_went_back: (&[(5, 100, 1_000), (4, 2, 3_000), (4, 9, 3_200)], 9.0);
} }
