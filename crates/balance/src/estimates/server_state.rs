//! What this instance knows of one backend server.

use super::outcome::LoadReport;
use crate::rate_limit::RateAllowance;
use crate::reach::ServerReach;
use model::{BackendSpec, MonoTime};
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the exponential decay of a reported slowdown's weight; the mean slowdown of all
/// servers has the rest of the weight. A server's slowdown changes about twice a second.
const SLOWDOWN_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Age up to which a report is used to count the requests of other instances at a server.
const REPORT_AGE_MAX: Duration = Duration::from_millis(600);
/// Backoff after the first failure to reach a server; it doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(150);
/// Longest backoff after failures to reach a server.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Half-life of the counts of failed and successful exchanges.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Successful exchanges that every server is credited with. They keep the failure ratio of a new
/// server low after its first failure.
const CREDITED_SUCCESSES: f64 = 4.0;
/// Slowdown factor that is assumed before the first report.
pub(super) const INITIAL_SLOWDOWN: f64 = 1.0;
/// Slowdown factor of a server during its warm-up.
const WARM_UP_SLOWDOWN: f64 = 2.0;

/// A backend server with its estimated load, failures and backoff.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// The server's record in the store.
    pub spec: BackendSpec,
    /// How this instance may use the server.
    pub reach: ServerReach,
    /// Start of each exchange in progress, by exchange id.
    pub(super) in_flight_since: HashMap<u64, MonoTime>,
    /// Requests of other instances at the server by the latest report.
    external: u32,
    slowdown: f64,
    reported_at: Option<MonoTime>,
    /// Successful exchanges, decayed up to `counted_at`.
    successes: f64,
    /// Failed exchanges, decayed up to `counted_at`.
    failures: f64,
    counted_at: MonoTime,
    /// Consecutive failures to reach the server.
    pub(super) failed_contacts: u32,
    pub(super) backoff_until: MonoTime,
    pub(super) is_misdirected: bool,
    pub(super) desynced_until: MonoTime,
    pub(super) warm_up_until: MonoTime,
    pub(super) sent_count: u64,
    /// Set while the server limits the rate of its requests.
    pub(super) allowance: Option<RateAllowance>,
    /// When the server last said that it limits its requests, or that it no longer does.
    pub(super) limit_told_at: Option<MonoTime>,
    /// This instance's part of the rate that the server accepts while it is cold; `None` if its service
    /// has no such rate.
    pub(super) cold_allowance: Option<RateAllowance>,
    /// Since when it is unknown whether the server is cold.
    pub(super) unproven_since: Option<MonoTime>,
    /// Whether the server's data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// Time until which the server wants no requests.
    pub(super) quiet_until: MonoTime,
    /// Whether the server has asked for quiet and answered no request since.
    pub(super) is_returning: bool,
}

impl BackendState {
    pub(super) fn new(now: MonoTime, spec: BackendSpec, reach: ServerReach) -> Self {
        Self {
            reach,
            warm_up_until: now.plus(spec.warm_up_left.duration()),
            spec,
            in_flight_since: HashMap::new(),
            external: 0,
            slowdown: INITIAL_SLOWDOWN,
            reported_at: None,
            successes: CREDITED_SUCCESSES,
            failures: 0.0,
            counted_at: now,
            failed_contacts: 0,
            backoff_until: MonoTime(0),
            is_misdirected: false,
            desynced_until: MonoTime(0),
            sent_count: 0,
            allowance: None,
            limit_told_at: None,
            cold_allowance: None,
            unproven_since: None,
            is_evacuated: false,
            quiet_until: MonoTime(0),
            is_returning: false,
        }
    }

    /// Whether the server may get new requests now.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.is_eligible() && now >= self.backoff_until && !self.is_quiet(now)
    }

    /// Returns this instance's part of the rate that the server accepts; `None` without a limit.
    pub fn allowance(&self) -> Option<&RateAllowance> {
        self.allowance.as_ref()
    }

    /// Whether the server may get requests now or after its backoff.
    pub fn is_eligible(&self) -> bool {
        !self.spec.is_leaving && !self.is_misdirected && !self.is_evacuated
    }

    /// Returns the number of requests at the server, those of other instances included.
    pub fn occupancy(&self, now: MonoTime) -> u32 {
        let own = u32::try_from(self.in_flight_since.len()).unwrap_or(u32::MAX);
        let is_current = self.reported_at.is_some_and(|at| now.since(at) < REPORT_AGE_MAX);
        own.saturating_add(if is_current { self.external } else { 0 })
    }

    /// Returns the number of this instance's requests in progress that were sent after the latest
    /// report.
    pub fn sent_since_report(&self) -> u32 {
        let newer = self
            .in_flight_since
            .values()
            .filter(|sent| self.reported_at.is_none_or(|at| **sent > at));
        u32::try_from(newer.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of this instance's requests in progress at the server.
    pub fn in_flight(&self) -> usize {
        self.in_flight_since.len()
    }

    /// Returns the age of the latest report, or `None` before the first one.
    pub fn report_age(&self, now: MonoTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    /// Returns the last reported slowdown and the weight of that report, 0 to 1, which decays with
    /// age.
    pub fn slowdown(&self, now: MonoTime) -> (f64, f64) {
        let Some(at) = self.reported_at else {
            return (self.slowdown, 0.0);
        };
        let age = now.since(at).as_secs_f64() / SLOWDOWN_TIME_CONSTANT.as_secs_f64();
        (self.slowdown, (-age).exp())
    }

    /// Returns the slowdown factor due to the server's warm-up; 1 after the warm-up.
    pub fn warm_up_factor(&self, now: MonoTime) -> f64 {
        if now < self.warm_up_until { WARM_UP_SLOWDOWN } else { 1.0 }
    }

    /// Returns the ratio of recent exchanges that failed, 0 to 1.
    pub fn failure_ratio(&self, now: MonoTime) -> f64 {
        let decay = self.decay_factor(now);
        let failures = self.failures * decay;
        let successes = CREDITED_SUCCESSES + (self.successes - CREDITED_SUCCESSES) * decay;
        failures / (failures + successes)
    }

    /// Whether open connections to the server may contain bytes of another response.
    pub fn is_desynced(&self, now: MonoTime) -> bool {
        now < self.desynced_until
    }

    /// Whether this instance has sent no request to the server yet.
    pub fn is_unused(&self) -> bool {
        self.sent_count == 0
    }

    fn decay_factor(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.counted_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    pub(super) fn count_exchange(&mut self, now: MonoTime, failed: bool) {
        let decay = self.decay_factor(now);
        self.failures = self.failures * decay + f64::from(u8::from(failed));
        self.successes = CREDITED_SUCCESSES
            + (self.successes - CREDITED_SUCCESSES) * decay
            + f64::from(u8::from(!failed));
        self.counted_at = now;
    }

    pub(super) fn back_off(&mut self, now: MonoTime) {
        let backoff = BACKOFF_FIRST * 2_u32.saturating_pow(self.failed_contacts.min(8));
        self.failed_contacts += 1;
        self.backoff_until = now.plus(backoff.min(BACKOFF_MAX));
        self.doubt_warmth(now);
    }

    /// Records a load report unless a newer one is known. The report does not contain the requests
    /// that were sent after it was made.
    pub(super) fn record_report(&mut self, made_at: MonoTime, report: LoadReport) {
        if self.reported_at.is_some_and(|at| at > made_at) {
            return;
        }
        let own = self.in_flight_since.values().filter(|sent| **sent <= made_at).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.external = report.running.saturating_add(report.waiting).saturating_sub(own);
        self.slowdown = report.slowdown;
        self.reported_at = Some(made_at);
        self.failed_contacts = 0;
    }
}
