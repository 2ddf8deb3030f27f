//! The load picture: what this instance believes of each backend server, and how old that is.

use model::{BackendSpec, MonoTime, ServerKey, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// Time in which knowledge of a server's pace fades to the mean of all servers. The pace changes
/// about twice a second.
const SLOWDOWN_FADE: Duration = Duration::from_millis(400);
/// How long a report of requests from elsewhere holds.
const REPORT_SPAN: Duration = Duration::from_millis(600);
/// First and longest pause of a server that cannot be reached.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause of a full server that turned a request away.
const SHED_PAUSE: Duration = Duration::from_millis(60);
/// Time in which failures are forgotten by half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Answers that a new server is credited with, so that one failure does not condemn it.
const CREDIT: f64 = 4.0;
/// Weight of the newest pace in the mean over all servers.
const MEAN_WEIGHT: f64 = 0.02;
/// Pace that is assumed before any report.
const SLOWDOWN_FIRST: f64 = 1.0;
/// How much slower a server is just after its start.
const COLD_FACTOR: f64 = 2.0;
/// How long a server that sent stray bytes gets requests that must not repeat on new connections
/// only.
const STRAY_SPAN: Duration = Duration::from_secs(10);

/// What a backend server says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// How many times longer than usual work takes at this moment.
    pub slowdown: f64,
}

/// How an exchange with a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// A whole answer, whatever its status, but for the failures below.
    Answered,
    /// An answer that says that the server failed.
    Failed,
    /// The server turned the request away without running it.
    Shed,
    /// Another server has the address, or the server is not the one that was meant.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the answer was not this request's.
    Broken,
    /// No whole answer came in time.
    TimedOut,
    /// The caller went away, or another copy was answered first.
    Abandoned,
}

/// A backend server and what is believed of it.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// What the store tells.
    pub spec: BackendSpec,
    in_flight_since: HashMap<u64, MonoTime>,
    foreign: u32,
    slowdown: f64,
    reported_at: Option<MonoTime>,
    successes: f64,
    failures: f64,
    weighed_at: MonoTime,
    misses: u32,
    paused_until: MonoTime,
    is_misdirected: bool,
    stray_until: MonoTime,
    warm_at: MonoTime,
    sent: u64,
}

impl BackendState {
    fn new(now: MonoTime, spec: BackendSpec) -> Self {
        Self {
            warm_at: now.plus(spec.warm_up_left.duration()),
            spec,
            in_flight_since: HashMap::new(),
            foreign: 0,
            slowdown: SLOWDOWN_FIRST,
            reported_at: None,
            successes: CREDIT,
            failures: 0.0,
            weighed_at: now,
            misses: 0,
            paused_until: MonoTime(0),
            is_misdirected: false,
            stray_until: MonoTime(0),
            sent: 0,
        }
    }

    /// Whether it may get new work now.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        !self.spec.is_leaving && !self.is_misdirected && now >= self.paused_until
    }

    /// Whether it may get work at some time.
    pub fn is_candidate(&self) -> bool {
        !self.spec.is_leaving && !self.is_misdirected
    }

    /// Requests that it has, of this instance and of others.
    pub fn occupancy(&self, now: MonoTime) -> u32 {
        let own = u32::try_from(self.in_flight_since.len()).unwrap_or(u32::MAX);
        let is_current = self.reported_at.is_some_and(|at| now.since(at) < REPORT_SPAN);
        own + if is_current { self.foreign } else { 0 }
    }

    /// Requests of this instance that were sent after the latest report was made.
    pub fn sent_since_report(&self) -> u32 {
        let newer = self
            .in_flight_since
            .values()
            .filter(|sent| self.reported_at.is_none_or(|at| **sent > at));
        u32::try_from(newer.count()).unwrap_or(u32::MAX)
    }

    /// Requests of this instance.
    pub fn in_flight(&self) -> usize {
        self.in_flight_since.len()
    }

    /// Age of the latest report, if there was one.
    pub fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    /// The last reported pace and the weight of that report, which fades with its age.
    pub fn slowdown(&self, now: MonoTime) -> (f64, f64) {
        let Some(at) = self.reported_at else {
            return (self.slowdown, 0.0);
        };
        let age = now.since(at).as_secs_f64() / SLOWDOWN_FADE.as_secs_f64();
        (self.slowdown, (-age).exp())
    }

    /// How much slower than usual it is because it started lately.
    pub fn cold_factor(&self, now: MonoTime) -> f64 {
        if now < self.warm_at { COLD_FACTOR } else { 1.0 }
    }

    /// Part of the exchanges that fail, by the latest ones.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let keep = self.forget_factor(now);
        let failures = self.failures * keep;
        let successes = CREDIT + (self.successes - CREDIT) * keep;
        failures / (failures + successes)
    }

    /// Whether a connection to it may hold stray bytes.
    pub fn is_desynced(&self, now: MonoTime) -> bool {
        now < self.stray_until
    }

    /// Whether this instance has sent it no request yet.
    pub fn is_unused(&self) -> bool {
        self.sent == 0
    }

    fn forget_factor(&self, now: MonoTime) -> f64 {
        let halves = now.since(self.weighed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    fn weigh(&mut self, now: MonoTime, failed: bool) {
        let keep = self.forget_factor(now);
        self.failures = self.failures * keep + f64::from(u8::from(failed));
        self.successes = CREDIT + (self.successes - CREDIT) * keep + f64::from(u8::from(!failed));
        self.weighed_at = now;
    }

    fn miss(&mut self, now: MonoTime) {
        let span = PAUSE_FIRST * 2_u32.saturating_pow(self.misses.min(8));
        self.misses += 1;
        self.paused_until = now.plus(span.min(PAUSE_MAX));
    }

    /// Requests that were sent after the report was made are not in it.
    fn record_report(&mut self, made_at: MonoTime, report: LoadReport) {
        if self.reported_at.is_some_and(|at| at > made_at) {
            return;
        }
        let own = self.in_flight_since.values().filter(|sent| **sent <= made_at).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.foreign = (report.running + report.waiting).saturating_sub(own);
        self.slowdown = report.slowdown;
        self.reported_at = Some(made_at);
        self.misses = 0;
    }
}

/// All backend servers that this instance knows.
#[derive(Debug, Clone)]
pub struct LoadEstimates {
    servers: HashMap<ServerKey, BackendState>,
    by_service: HashMap<ServiceName, Vec<ServerKey>>,
    mean_slowdown: f64,
}

impl Default for LoadEstimates {
    fn default() -> Self {
        Self { servers: HashMap::new(), by_service: HashMap::new(), mean_slowdown: SLOWDOWN_FIRST }
    }
}

impl LoadEstimates {
    /// Takes over the servers that the store tells and keeps what is known of those that stay. A
    /// server that leaves does not come back in the same run.
    pub fn set_servers(&mut self, now: MonoTime, specs: Vec<BackendSpec>) {
        let mut known = std::mem::take(&mut self.servers);
        self.by_service.clear();
        for spec in specs {
            let state = match known.remove(&spec.key) {
                Some(mut state) => {
                    let is_leaving = state.spec.is_leaving || spec.is_leaving;
                    if spec.warm_up_left != state.spec.warm_up_left {
                        state.warm_at = now.plus(spec.warm_up_left.duration());
                    }
                    if spec.address != state.spec.address {
                        state.is_misdirected = false;
                    }
                    state.spec = BackendSpec { is_leaving, ..spec };
                    state
                }
                None => BackendState::new(now, spec),
            };
            let key = state.spec.key.clone();
            self.by_service.entry(state.spec.service.clone()).or_default().push(key.clone());
            self.servers.insert(key, state);
        }
        for keys in self.by_service.values_mut() {
            keys.sort_by(|left, right| left.name.as_str().cmp(right.name.as_str()));
        }
    }

    /// The servers of a service.
    pub fn servers_of<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a BackendState> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.servers.get(key))
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &BackendState> {
        self.servers.values()
    }

    /// One server.
    pub fn server(&self, key: &ServerKey) -> Option<&BackendState> {
        self.servers.get(key)
    }

    /// Mean pace over all servers.
    pub fn mean_slowdown(&self) -> f64 {
        self.mean_slowdown
    }

    /// Whether a server said by itself that it leaves.
    pub fn mark_leaving(&mut self, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.spec.is_leaving = true;
        }
    }

    /// Counts a request that is sent to a server.
    pub fn start_exchange(&mut self, now: MonoTime, key: &ServerKey, flight: u64) {
        if let Some(state) = self.servers.get_mut(key) {
            state.in_flight_since.insert(flight, now);
            state.sent += 1;
        }
    }

    /// Takes over a report that came with an answer or a health check, or from another instance.
    pub fn record_report(&mut self, made_at: MonoTime, key: &ServerKey, report: LoadReport) {
        let Some(state) = self.servers.get_mut(key) else {
            return;
        };
        state.record_report(made_at, report);
        self.mean_slowdown += MEAN_WEIGHT * (report.slowdown - self.mean_slowdown);
    }

    /// Takes note of an unanswered health check, or one that says that the server is not well.
    pub fn record_failed_check(&mut self, now: MonoTime, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.miss(now);
        }
    }

    /// Takes note of a health check that another server answered.
    pub fn record_misdirected(&mut self, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.is_misdirected = true;
        }
    }

    /// Takes note that a server sent bytes that belong to no request.
    pub fn record_desync(&mut self, now: MonoTime, key: &ServerKey) {
        if let Some(state) = self.servers.get_mut(key) {
            state.stray_until = now.plus(STRAY_SPAN);
        }
    }

    /// Ends a flight and learns from how it fared. Gives the span it took.
    pub fn end_exchange(
        &mut self,
        now: MonoTime,
        key: &ServerKey,
        flight: u64,
        outcome: ExchangeOutcome,
    ) -> Option<Duration> {
        let state = self.servers.get_mut(key)?;
        let sent = state.in_flight_since.remove(&flight)?;
        match outcome {
            ExchangeOutcome::Answered => {
                state.misses = 0;
                state.weigh(now, false);
            }
            ExchangeOutcome::Failed | ExchangeOutcome::Broken | ExchangeOutcome::TimedOut => {
                state.weigh(now, true);
            }
            ExchangeOutcome::Shed => {
                state.weigh(now, true);
                // A server that turns work away although it has room does so at random; a pause
                // would only shift its work to others that may be no better.
                if state.occupancy(now) >= state.spec.slots.0 {
                    state.paused_until = state.paused_until.max(now.plus(SHED_PAUSE));
                }
            }
            ExchangeOutcome::Misdirected => state.is_misdirected = true,
            ExchangeOutcome::Unreachable => state.miss(now),
            ExchangeOutcome::Abandoned => {}
        }
        Some(now.since(sent))
    }
}
