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

#[derive(Default)]
struct RecordState {
    ran: HashMap<SmolStr, u32>,
    refused: HashSet<SmolStr>,
    ends: HashMap<&'static str, u64>,
    recovery: [u64; 2],
    left_at: HashMap<SmolStr, Instant>,
    fault_at: Option<Instant>,
    planned_broken: Vec<SmolStr>,
    findings: Vec<String>,
}

/// The record of a run.
#[derive(Default)]
pub struct RunRecord {
    state: Mutex<RecordState>,
    is_stopped: AtomicBool,
    is_recovery: AtomicBool,
}

impl RunRecord {
    fn lock(&self) -> MutexGuard<'_, RecordState> {
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
            "{}; after the faults {} of {} served",
            ends.join(", "),
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
        let [lost, served] = state.recovery;
        let share = served as f64 / (served + lost).max(1) as f64;
        if share < RECOVERED_SHARE {
            findings.push(format!("only {share:.2} of the requests served after the faults"));
        }
        findings
    }
}
