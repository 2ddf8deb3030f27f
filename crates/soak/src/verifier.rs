//! Records what callers and backend servers observe in a run, and reports violated guarantees.

use crate::notices::{GatewayProcess, NoticeWatch};
use crate::teams::{CallerTeam, TeamWatch};
use smol_str::SmolStr;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after the store acknowledged that a server leaves in which requests may still start on it.
const LEAVING_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time after the store acknowledged an evacuation in which requests may still start there.
const EVACUATION_DELAY_MAX: Duration = Duration::from_secs(5);
/// Extra time allowed near an unplanned fault: gateways must first detect that a peer or the store
/// is unresponsive.
const FAULT_SLACK: Duration = Duration::from_secs(5);
/// Time after the store acknowledged a configuration by which it must be in force at each gateway.
const CONFIG_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time after a version was first seen in force at a gateway in which an older one may still be
/// seen.
const REVERT_SLACK: Duration = Duration::from_millis(250);
/// Retries allowed per request. Equals `ratio` in the settings of the gateways.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed per window beyond `RETRY_RATIO`. Equals `extra` in the settings of the gateways.
const RETRY_EXTRA: f64 = 60.0;
/// Window over which the retry budget is checked.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Health checks allowed per server and second. Equals `per_s` in the settings of the gateways.
const CHECKS_PER_S: f64 = 20.0;
/// Health checks of a server allowed beyond the rate, because several may come together at its
/// start.
const CHECKS_BURST: f64 = 10.0;
/// Time after a server first named a limit on its requests from which the limit holds.
const LIMIT_SETTLING: Duration = Duration::from_secs(3);
/// Window over which the requests at a limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which a window may exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests by which a window may exceed the limit besides.
const LIMIT_EXTRA: f64 = 5.0;
/// Ratio of requests that must be served during the recovery phase.
const RECOVERY_RATIO_MIN: f64 = 0.9;

/// Result of a request as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Response with status 200.
    Served,
    /// Response with a status other than 200, 503 and 429.
    Failed,
    /// Response with status 503 or 429: the request was refused as not run.
    Refused,
    /// The connection ended before the whole response arrived, after the request was sent.
    Broken,
    /// Response with status 401 to a request with an unknown key.
    Rejected,
    /// No connection, the request was not sent, or no response within the caller's timeout.
    Unanswered,
}

/// Whether a gateway that reported itself ready had the newest configuration in force.
#[derive(Debug, Clone, Copy)]
pub struct VersionObservation {
    /// Index of the gateway in the fleet.
    pub index: usize,
    /// How often the gateway had been started, which identifies its process.
    pub start_count: u64,
    /// Newest version in the store when the gateway was asked.
    pub version: u64,
    /// When the store acknowledged that version.
    pub acknowledged_at: Instant,
    /// When the gateway was asked.
    pub asked_at: Instant,
    /// Whether that version was in force at the gateway.
    pub in_force: bool,
}

/// Health checks that one server received.
struct CheckCount {
    first: Instant,
    checks: u32,
}

/// Requests that a server received while it limited them.
struct LimitWatch {
    since: Instant,
    per_s: u32,
    arrivals: Vec<Instant>,
}

impl LimitWatch {
    /// Returns the first window with more requests than the limit allows.
    fn violation(&self, server: &str) -> Option<String> {
        let window = LIMIT_WINDOW.as_secs_f64();
        let allowed = f64::from(self.per_s) * window * LIMIT_FACTOR + LIMIT_EXTRA;
        let settled_at = self.since + LIMIT_SETTLING;
        let settled: Vec<Instant> =
            self.arrivals.iter().copied().filter(|at| *at >= settled_at).collect();
        settled.iter().find_map(|start| {
            let is_in_window = |at: &&Instant| (*start..*start + LIMIT_WINDOW).contains(*at);
            let count = settled.iter().filter(is_in_window).count();
            (count as f64 > allowed).then(|| {
                format!(
                    "server {server} got {count} requests within {LIMIT_WINDOW:?} at a limit of {} a \
                     second, {allowed:.0} allowed",
                    self.per_s
                )
            })
        })
    }
}

#[derive(Default)]
struct VerifierState {
    /// Servers that limit their requests.
    limited: HashMap<SmolStr, LimitWatch>,
    /// When callers and version checks sent their requests.
    requests: Vec<Instant>,
    /// Ids of the requests that reached a server.
    arrived: HashSet<SmolStr>,
    /// When attempts after the first of their request (retries and hedges) reached a server.
    repeats: Vec<Instant>,
    checks: HashMap<SmolStr, CheckCount>,
    /// Highest version seen in force, and when, by index and start count of the gateway.
    newest_seen: HashMap<(usize, u64), (u64, Instant)>,
    version_observations: u64,
    /// How often each non-idempotent request ran.
    run_counts: HashMap<SmolStr, u32>,
    /// Ids of the non-idempotent requests that were refused as not run.
    refused: HashSet<SmolStr>,
    outcome_counts: HashMap<&'static str, u64>,
    /// Requests that ended during the recovery phase: not served, served.
    recovery_counts: [u64; 2],
    /// When the store acknowledged that a server leaves.
    left_at: HashMap<SmolStr, Instant>,
    /// Begin or end of the most recent unplanned fault.
    fault_at: Option<Instant>,
    /// Ids of the requests with the outcome [`RequestOutcome::Broken`].
    broken: Vec<SmolStr>,
    notices: NoticeWatch,
    teams: TeamWatch,
    findings: Vec<String>,
}

impl VerifierState {
    /// Returns the first retry window with more repeated attempts than the retry budget allows.
    fn retry_budget_violation(&self) -> Option<String> {
        self.repeats.iter().find_map(|end| {
            let in_window = |time: &&Instant| **time <= *end && **time + RETRY_WINDOW > *end;
            let repeats = self.repeats.iter().filter(in_window).count();
            let requests = self.requests.iter().filter(in_window).count();
            let allowed = RETRY_RATIO * requests as f64 + RETRY_EXTRA;
            (repeats as f64 > allowed).then(|| {
                format!("{repeats} repeated attempts within {RETRY_WINDOW:?}, limit {allowed:.0}")
            })
        })
    }

    /// Returns a server that received more health checks than allowed.
    fn check_rate_violation(&self) -> Option<String> {
        self.checks.iter().find_map(|(server, count)| {
            let allowed = count.first.elapsed().as_secs_f64() * CHECKS_PER_S + CHECKS_BURST;
            let checks = count.checks;
            (f64::from(checks) > allowed)
                .then(|| format!("server {server} got {checks} health checks, limit {allowed:.0}"))
        })
    }
}

/// Collects the observations of a run and checks them against the guarantees.
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

    /// Signals callers and version checks to end.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether callers and version checks should end.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Starts the recovery phase: requests that end from now on count towards `RECOVERY_RATIO_MIN`.
    pub fn begin_recovery(&self) {
        self.is_recovery.store(true, Ordering::Relaxed);
    }

    /// Records that an unplanned fault begins or ends now.
    pub fn record_fault(&self) {
        self.lock().fault_at = Some(Instant::now());
    }

    /// Records that the store acknowledges now that a server leaves.
    pub fn record_leaving(&self, server: &str) {
        self.lock().left_at.insert(server.into(), Instant::now());
    }

    /// Records that a server starts to process a request, and checks that the server has not left
    /// and that a non-idempotent request runs at most once and not after a refusal.
    pub fn record_run(&self, server: &str, id: &str, is_idempotent: bool) {
        let mut state = self.lock();
        let now = Instant::now();
        if let Some(left_at) = state.left_at.get(server).copied() {
            let was_faulty = state.fault_at.is_some_and(|at| at + FAULT_SLACK > left_at);
            let limit =
                if was_faulty { LEAVING_DELAY_MAX + FAULT_SLACK } else { LEAVING_DELAY_MAX };
            if now > left_at + limit {
                let late_ms = (now - left_at).as_millis();
                state.findings.push(format!(
                    "request {id} started on server {server} {late_ms} ms after the server left"
                ));
            }
        }
        if is_idempotent {
            return;
        }
        if state.refused.contains(id) {
            state.findings.push(format!("request {id} ran after it was refused as not run"));
        }
        let run_count = state.run_counts.entry(id.into()).or_default();
        *run_count += 1;
        if *run_count == 2 {
            state.findings.push(format!("non-idempotent request {id} ran twice"));
        }
    }

    /// Records the headers of a request that a server runs, and checks that they name the caller's team and
    /// that its data centre is not evacuated.
    pub fn record_headers(&self, id: &str, centre: &str, team: &str, has_key: bool) {
        let mut state = self.lock();
        let violation = state.teams.record_run(id, team, has_key);
        state.findings.extend(violation);
        let Some(evacuated_at) = state.teams.evacuated_at(centre) else {
            return;
        };
        let was_faulty = state.fault_at.is_some_and(|at| at + FAULT_SLACK > evacuated_at);
        let limit =
            if was_faulty { EVACUATION_DELAY_MAX + FAULT_SLACK } else { EVACUATION_DELAY_MAX };
        if evacuated_at.elapsed() > limit {
            let late_ms = evacuated_at.elapsed().as_millis();
            state.findings.push(format!(
                "request {id} started in {centre} {late_ms} ms after it was evacuated"
            ));
        }
    }

    /// Records that a server starts cold.
    pub fn record_cold(&self, server: &str, period: Duration) {
        self.lock().teams.record_cold(server, period);
    }

    /// Records that the store acknowledges now that a data centre is evacuated, or taken back.
    pub fn record_evacuation(&self, centre: &str, is_evacuated: bool) {
        self.lock().teams.record_evacuation(centre, is_evacuated);
    }

    /// Records the outcome of a caller's request, and checks that a refused non-idempotent request
    /// did not run.
    pub fn record_outcome(&self, id: &str, is_idempotent: bool, outcome: RequestOutcome) {
        let mut state = self.lock();
        let label = match outcome {
            RequestOutcome::Served => "served",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Broken => "broken",
            RequestOutcome::Rejected => "rejected",
            RequestOutcome::Unanswered => "unanswered",
        };
        *state.outcome_counts.entry(label).or_default() += 1;
        if self.is_recovery.load(Ordering::Relaxed) && !CallerTeam::is_limited(id) {
            state.recovery_counts[usize::from(outcome == RequestOutcome::Served)] += 1;
        }
        if outcome == RequestOutcome::Broken {
            state.broken.push(id.into());
        }
        if outcome == RequestOutcome::Refused && !is_idempotent {
            if state.run_counts.contains_key(id) {
                state.findings.push(format!("request {id} was refused as not run, but it ran"));
            }
            state.refused.insert(id.into());
        }
    }

    /// Records that a caller sends a request to a gateway now.
    pub fn record_request(&self, id: &str, gateway: GatewayProcess) {
        let mut state = self.lock();
        state.requests.push(Instant::now());
        state.notices.record_sent(id, gateway);
    }

    /// Records that a gateway passed on that a server leaves.
    pub fn record_leaving_notice(&self, server: &str, gateway: GatewayProcess) {
        self.lock().notices.record_leaving(server, gateway);
    }

    /// Records that a server refuses a request and wants none for `period`.
    pub fn record_quiet_notice(&self, server: &str, id: &str, period: Duration) {
        self.lock().notices.record_quiet(server, id, period);
    }

    /// Records that a server's responses may be lost or late for a time.
    pub fn record_disturbance(&self, server: &str, period: Duration) {
        self.lock().notices.record_disturbance(server, period);
    }

    /// Records that a gateway stands still or goes on.
    pub fn record_freeze(&self, index: usize) {
        self.record_fault();
        self.lock().notices.record_freeze(index);
    }

    /// Records that a server limits its requests from now on.
    pub fn begin_limit(&self, server: &str, per_s: u32) {
        let watch = LimitWatch { since: Instant::now(), per_s, arrivals: Vec::new() };
        self.lock().limited.insert(server.into(), watch);
    }

    /// Records that a server no longer limits its requests, and checks that the limit was kept.
    pub fn end_limit(&self, server: &str) {
        let mut state = self.lock();
        let violation = state.limited.remove(server).and_then(|watch| watch.violation(server));
        state.findings.extend(violation);
    }

    /// Records that a request reached a server, whether it runs there or not. Requests of version
    /// checks are counted as sent here.
    pub fn record_arrival(&self, server: &str, id: &str) {
        let mut state = self.lock();
        if let Some(watch) = state.limited.get_mut(server) {
            watch.arrivals.push(Instant::now());
        }
        state.teams.record_arrival(server);
        let unheeded = state.notices.record_arrival(server, id);
        state.findings.extend(unheeded);
        if id.starts_with("probe-") {
            state.requests.push(Instant::now());
        }
        if !state.arrived.insert(id.into()) {
            state.repeats.push(Instant::now());
        }
    }

    /// Records a health check of a server.
    pub fn record_health_check(&self, server: &str) {
        let mut state = self.lock();
        let first = CheckCount { first: Instant::now(), checks: 0 };
        state.checks.entry(server.into()).or_insert(first).checks += 1;
    }

    /// Records whether a gateway had the newest configuration in force, and checks that it put it
    /// into force in time and did not revert to an older one.
    pub fn record_version(&self, observation: VersionObservation) {
        let mut state = self.lock();
        state.version_observations += 1;
        let key = (observation.index, observation.start_count);
        let VersionObservation { index, version, asked_at, .. } = observation;
        if observation.in_force {
            let seen = state.newest_seen.entry(key).or_insert((version, asked_at));
            if version > seen.0 {
                *seen = (version, asked_at);
            }
            return;
        }
        let seen = state.newest_seen.get(&key).copied();
        if seen.is_some_and(|(known, at)| known >= version && asked_at > at + REVERT_SLACK) {
            state.findings.push(format!(
                "gateway {index} reverted to a configuration older than version {version}"
            ));
        }
        let due = observation.acknowledged_at + CONFIG_DELAY_MAX;
        let due = state.fault_at.map_or(due, |at| due.max(at + FAULT_SLACK));
        if asked_at > due {
            let late_ms = (asked_at - observation.acknowledged_at).as_millis();
            state.findings.push(format!(
                "gateway {index} did not have configuration version {version} in force {late_ms} ms \
                 after the store acknowledged it"
            ));
        }
    }

    /// Records a violation that the observer found itself.
    pub fn record_finding(&self, finding: String) {
        self.lock().findings.push(finding);
    }

    /// Returns the number of requests by outcome and of the other observations, as one line of
    /// text.
    pub fn summary(&self) -> String {
        let state = self.lock();
        let mut outcomes: Vec<String> =
            state.outcome_counts.iter().map(|(label, count)| format!("{label} {count}")).collect();
        outcomes.sort();
        format!(
            "{}; {} repeated attempts, {} version checks; after the faults {} of {} served",
            outcomes.join(", "),
            state.repeats.len(),
            state.version_observations,
            state.recovery_counts[1],
            state.recovery_counts[0] + state.recovery_counts[1]
        )
    }

    /// Returns a description of each violated guarantee. If all faults were planned work, each
    /// broken request is a violation too.
    pub fn findings(&self, is_planned_only: bool) -> Vec<String> {
        let state = self.lock();
        let mut findings = state.findings.clone();
        if is_planned_only {
            let broken = state.broken.iter();
            findings.extend(broken.map(|id| {
                format!("connection ended without a response to request {id} during planned work")
            }));
        }
        findings.extend(state.retry_budget_violation());
        findings.extend(state.check_rate_violation());
        findings.extend(state.teams.violations());
        let [not_served, served] = state.recovery_counts;
        let ratio = served as f64 / (served + not_served).max(1) as f64;
        if ratio < RECOVERY_RATIO_MIN {
            findings.push(format!("only {ratio:.2} of the requests were served after the faults"));
        }
        findings
    }
}
