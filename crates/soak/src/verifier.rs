//! What callers and backend servers saw, and which promises that breaks.

use smol_str::SmolStr;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after the store's acknowledgement in which a leaving server may still get requests, and what
/// an unplanned fault may add to it: the silence that has to be noticed first.
const LEAVING_SPAN: Duration = Duration::from_secs(2);
const FAULT_SLACK: Duration = Duration::from_secs(5);
/// Time after its acknowledgement by which a configuration is in force, and how long after a version was
/// seen at a gateway an older one may still be.
const CONFIG_SPAN: Duration = Duration::from_secs(2);
const REVERT_SLACK: Duration = Duration::from_millis(250);
/// The retry budget and the rate of health checks in the settings of the gateways.
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 60.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const CHECKS_PER_S: f64 = 20.0;
/// Health checks of a server beyond the rate that may come together at its start.
const CHECKS_SLACK: f64 = 10.0;
/// Share of requests that must succeed after the last fault.
const RECOVERED_SHARE: f64 = 0.9;

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A success.
    Served,
    /// A failure that the server or the gateway told.
    Failed,
    /// Refused as not run.
    Refused,
    /// The connection ended without an answer, after the request was sent.
    Broken,
    /// No connection, or no answer in the caller's time.
    Unanswered,
}

/// Whether a gateway that says that it is ready had the newest configuration in force.
#[derive(Debug, Clone, Copy)]
pub struct VersionObservation {
    /// The gateway.
    pub index: usize,
    /// Which of its runs.
    pub run: u64,
    /// The newest version when it was asked.
    pub version: u64,
    /// When the store acknowledged that version.
    pub acknowledged: Instant,
    /// When it was asked.
    pub asked: Instant,
    /// Whether that version was in force.
    pub in_force: bool,
}

/// Health checks of one server.
struct CheckCount {
    first: Instant,
    checks: u32,
}

#[derive(Default)]
struct VerifierState {
    requests: Vec<Instant>,
    arrived: HashSet<SmolStr>,
    repeats: Vec<Instant>,
    checks: HashMap<SmolStr, CheckCount>,
    /// The highest version that was seen at a run of a gateway, and when.
    seen: HashMap<(usize, u64), (u64, Instant)>,
    sights: u64,
    ran: HashMap<SmolStr, u32>,
    refused: HashSet<SmolStr>,
    ends: HashMap<&'static str, u64>,
    recovery: [u64; 2],
    left_at: HashMap<SmolStr, Instant>,
    fault_at: Option<Instant>,
    planned_broken: Vec<SmolStr>,
    findings: Vec<String>,
}

impl VerifierState {
    /// The first window in which more repeats reached the servers than the budget allows.
    fn over_budget(&self) -> Option<String> {
        self.repeats.iter().find_map(|end| {
            let in_window = |time: &&Instant| **time <= *end && **time + RETRY_WINDOW > *end;
            let repeats = self.repeats.iter().filter(in_window).count();
            let requests = self.requests.iter().filter(in_window).count();
            let allowed = RETRY_RATIO * requests as f64 + RETRY_EXTRA;
            (repeats as f64 > allowed)
                .then(|| format!("{repeats} repeats in a window in which {allowed:.0} are allowed"))
        })
    }

    /// A server that was checked more often than allowed.
    fn over_checked(&self) -> Option<String> {
        self.checks.iter().find_map(|(server, count)| {
            let allowed = count.first.elapsed().as_secs_f64() * CHECKS_PER_S + CHECKS_SLACK;
            let checks = count.checks;
            (f64::from(checks) > allowed)
                .then(|| format!("{server} was checked {checks} times, {allowed:.0} are allowed"))
        })
    }
}

/// The record of a run.
#[derive(Default)]
pub struct RunVerifier {
    state: Mutex<VerifierState>,
    is_stopped: AtomicBool,
    is_recovery: AtomicBool,
}

impl RunVerifier {
    fn lock(&self) -> MutexGuard<'_, VerifierState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the callers.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the callers should end.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// From now on requests must be served.
    pub fn begin_recovery(&self) {
        self.is_recovery.store(true, Ordering::Relaxed);
    }

    /// An unplanned fault begins or ends.
    pub fn note_fault(&self) {
        self.lock().fault_at = Some(Instant::now());
    }

    /// The store acknowledged that a server leaves.
    pub fn note_leaving(&self, server: &str) {
        self.lock().left_at.insert(server.into(), Instant::now());
    }

    /// A server began to work on a request.
    pub fn note_run(&self, server: &str, id: &str, may_repeat: bool) {
        let mut state = self.lock();
        let now = Instant::now();
        if let Some(left_at) = state.left_at.get(server).copied() {
            let was_faulty = state.fault_at.is_some_and(|at| at + FAULT_SLACK > left_at);
            let span = if was_faulty { LEAVING_SPAN + FAULT_SLACK } else { LEAVING_SPAN };
            if now > left_at + span {
                let late = (now - left_at).as_millis();
                state.findings.push(format!("{id} reached {server} {late} ms after it left"));
            }
        }
        if may_repeat {
            return;
        }
        if state.refused.contains(id) {
            state.findings.push(format!("{id} ran after it was refused as not run"));
        }
        let runs = state.ran.entry(id.into()).or_default();
        *runs += 1;
        if *runs == 2 {
            state.findings.push(format!("{id} ran twice"));
        }
    }

    /// A caller's request ended.
    pub fn note_end(&self, id: &str, may_repeat: bool, end: CallEnd) {
        let mut state = self.lock();
        let label = match end {
            CallEnd::Served => "served",
            CallEnd::Failed => "failed",
            CallEnd::Refused => "refused",
            CallEnd::Broken => "broken",
            CallEnd::Unanswered => "unanswered",
        };
        *state.ends.entry(label).or_default() += 1;
        if self.is_recovery.load(Ordering::Relaxed) {
            state.recovery[usize::from(end == CallEnd::Served)] += 1;
        }
        if end == CallEnd::Broken {
            state.planned_broken.push(id.into());
        }
        if end == CallEnd::Refused && !may_repeat {
            if state.ran.contains_key(id) {
                state.findings.push(format!("{id} was refused as not run, but it ran"));
            }
            state.refused.insert(id.into());
        }
    }

    /// A caller sends a request.
    pub fn note_request(&self) {
        self.lock().requests.push(Instant::now());
    }

    /// A request reached a server, whether it ran there or not.
    pub fn note_arrival(&self, id: &str) {
        let mut state = self.lock();
        if id.starts_with("probe-") {
            state.requests.push(Instant::now());
        }
        if !state.arrived.insert(id.into()) {
            state.repeats.push(Instant::now());
        }
    }

    /// A server was asked for its health.
    pub fn note_check(&self, server: &str) {
        let mut state = self.lock();
        let first = CheckCount { first: Instant::now(), checks: 0 };
        state.checks.entry(server.into()).or_insert(first).checks += 1;
    }

    /// A gateway was asked for the newest configuration.
    pub fn note_version(&self, observation: VersionObservation) {
        let mut state = self.lock();
        state.sights += 1;
        let key = (observation.index, observation.run);
        let VersionObservation { index, version, asked, .. } = observation;
        if observation.in_force {
            let seen = state.seen.entry(key).or_insert((version, asked));
            if version > seen.0 {
                *seen = (version, asked);
            }
            return;
        }
        let seen = state.seen.get(&key).copied();
        if seen.is_some_and(|(known, at)| known >= version && asked > at + REVERT_SLACK) {
            state.findings.push(format!("gateway {index} went back behind version {version}"));
        }
        let due = observation.acknowledged + CONFIG_SPAN;
        let due = state.fault_at.map_or(due, |at| due.max(at + FAULT_SLACK));
        if asked > due {
            let late = (asked - observation.acknowledged).as_millis();
            state.findings.push(format!(
                "gateway {index} had version {version} not in force {late} ms after it was accepted"
            ));
        }
    }

    /// Something that must never be seen.
    pub fn note_finding(&self, finding: String) {
        self.lock().findings.push(finding);
    }

    /// Counts by outcome.
    pub fn summary(&self) -> String {
        let state = self.lock();
        let mut ends: Vec<String> =
            state.ends.iter().map(|(label, count)| format!("{label} {count}")).collect();
        ends.sort();
        format!(
            "{}; {} repeats, {} looks at versions; after the faults {} of {} served",
            ends.join(", "),
            state.repeats.len(),
            state.sights,
            state.recovery[1],
            state.recovery[0] + state.recovery[1]
        )
    }

    /// All broken promises. With planned work alone no request may break.
    pub fn findings(&self, planned: bool) -> Vec<String> {
        let state = self.lock();
        let mut findings = state.findings.clone();
        if planned {
            let broken = state.planned_broken.iter();
            findings.extend(broken.map(|id| format!("{id} broke during planned work")));
        }
        findings.extend(state.over_budget());
        findings.extend(state.over_checked());
        let [lost, served] = state.recovery;
        let share = served as f64 / (served + lost).max(1) as f64;
        if share < RECOVERED_SHARE {
            findings.push(format!("only {share:.2} of the requests served after the faults"));
        }
        findings
    }
}
