//! Cold servers: those that started a short time ago, or may have.
//!
//! Answers this load: many servers come back together, each tolerates a few requests a second at first,
//! and the callers of all of them wait. The homes that may use a cold server split the rate that it
//! accepts evenly. The split needs no messages, and the rate is so low that reports of its use would
//! come too late.

use super::{BackendState, LoadEstimates};
use crate::rate_limit::RateAllowance;
use model::{MonoTime, RequestRate, ServerKey, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which an instance must be a home before it uses cold servers. Within it those that were homes
/// before may still use the whole rate.
const COLD_USE_DELAY: Duration = Duration::from_secs(1);

impl BackendState {
    /// Whether the server is cold, or may be and has not said otherwise.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.warm_up_until || self.unproven_since.is_some()
    }

    /// Records that the server may have started again: it could not be reached, or was not used.
    pub(super) fn doubt_warmth(&mut self, now: MonoTime) {
        self.unproven_since = Some(now);
    }
}

impl LoadEstimates {
    /// Sets the rates that the cold servers of services accept; other cold servers are used like warm ones.
    pub fn set_cold_rates(&mut self, now: MonoTime, rates: HashMap<ServiceName, RequestRate>) {
        self.cold_rates = rates;
        self.share_cold_rates(now);
    }

    /// Recomputes the part that this instance may use of the rates of cold servers.
    pub(super) fn share_cold_rates(&mut self, now: MonoTime) {
        if self.cold_rates.is_empty() && !self.had_cold_rates {
            return;
        }
        self.had_cold_rates = !self.cold_rates.is_empty();
        let keys: Vec<ServerKey> = self.servers.keys().cloned().collect();
        for key in keys {
            self.share_cold_rate(now, &key);
        }
    }

    pub(super) fn share_cold_rate(&mut self, now: MonoTime, key: &ServerKey) {
        let share = self.cold_share(key);
        let Some(state) = self.servers.get_mut(key) else {
            return;
        };
        let rate = self.cold_rates.get(&state.spec.service).copied();
        match (&mut state.cold_allowance, rate) {
            (Some(allowance), Some(rate)) => allowance.adjust(now, rate, share),
            (allowance, rate) => {
                *allowance = rate.map(|rate| RateAllowance::new(now, rate, share));
            }
        }
    }

    /// Returns the part of a cold server's rate that this instance may use; none unless it is one of the
    /// homes that use the server.
    fn cold_share(&self, key: &ServerKey) -> f64 {
        let (Some((this, _)), Some(state)) = (&self.this, self.servers.get(key)) else {
            return 1.0;
        };
        let users = self.plan.users(&key.name, &state.spec.data_centre);
        if users.contains(&this) { 1.0 / users.len() as f64 } else { 0.0 }
    }

    /// Returns the allowance that forbids a request to a server now: that of its own limit, or of the rate
    /// of a cold server. `None` if the request is allowed.
    pub fn exhausted_allowance(
        &self,
        now: MonoTime,
        state: &BackendState,
    ) -> Option<RateAllowance> {
        if let Some(allowance) = state.allowance.filter(|known| !known.allows(now)) {
            return Some(allowance);
        }
        let allowance = state.cold_allowance.filter(|_| state.is_cold(now))?;
        let is_home = self.home_since.is_some_and(|since| now.since(since) >= COLD_USE_DELAY);
        let is_usable = self.this.is_none() || is_home;
        (!is_usable || !allowance.allows(now)).then_some(allowance)
    }

    /// Records what a server said at `told_at`, in the response to a health check, about its warm-up.
    /// `None` stands for a response that says nothing of it.
    pub fn record_warm_up(&mut self, told_at: MonoTime, key: &ServerKey, left: Option<Duration>) {
        let Some(state) = self.servers.get_mut(key) else {
            return;
        };
        if let Some(left) = left {
            state.warm_up_until = told_at.plus(left);
        }
        if state.unproven_since.is_some_and(|since| told_at > since) {
            state.unproven_since = None;
        }
    }

    /// Returns the number of servers that are cold, or may be, and whose service limits that.
    pub fn cold_count(&self, now: MonoTime) -> usize {
        let is_limited = |state: &&BackendState| state.cold_allowance.is_some();
        self.servers().filter(is_limited).filter(|state| state.is_cold(now)).count()
    }
}
