//! Limits that backend servers set on the rate of their requests, and this instance's part of them.

use super::LoadEstimates;
use crate::rate_limit::RateAllowance;
use model::{MonoTime, RequestRate, ServerKey};
use std::time::Duration;

/// Age up to which instances pass on what a server said about a limit.
const STATEMENT_AGE_MAX: Duration = Duration::from_secs(2);

/// What a backend server said about the rate of requests that it accepts from all instances.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitStatement {
    /// The server.
    pub key: ServerKey,
    /// The rate that it accepts; `None` if it no longer limits its requests.
    pub rate: Option<RequestRate>,
    /// Time since it said so.
    pub age: Duration,
}

impl LoadEstimates {
    /// Records the request rate that a server accepts, or that it accepts any, as it said at `told_at`
    /// to this instance or to another one. Ignored if a newer statement is known. Returns whether the
    /// limit changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        told_at: MonoTime,
        key: &ServerKey,
        limit: Option<RequestRate>,
    ) -> bool {
        let share = limit.map_or(1.0, |_| self.rate_share(now, key));
        let Some(state) = self.servers.get_mut(key) else {
            return false;
        };
        let earlier = state.allowance.map(|allowance| allowance.rate());
        if state.limit_told_at > Some(told_at) || (earlier.is_none() && limit.is_none()) {
            return false;
        }
        state.limit_told_at = Some(told_at);
        match (&mut state.allowance, limit) {
            (Some(allowance), Some(rate)) => allowance.adjust(now, rate, share),
            (allowance, limit) => {
                *allowance = limit.map(|rate| RateAllowance::new(now, rate, share));
            }
        }
        self.limited.insert(key.clone());
        earlier != limit
    }

    /// Returns the part that this instance may use of the rate that a server accepts: its part of the
    /// requests that arrive at the instances that may use the server. Those that have not reported
    /// count like this one.
    fn rate_share(&self, now: MonoTime, key: &ServerKey) -> f64 {
        let (Some((this, _)), Some(state)) = (&self.this, self.servers.get(key)) else {
            return 1.0;
        };
        let service = &state.spec.service;
        let own = self.demands.own_rate(now, service);
        let users = self.plan.users(&key.name, &state.spec.data_centre);
        // Instances that are no homes serve requests around a change of the homes, at any server.
        let others = self.demands.reporters(now).filter(|peer| !self.plan.includes(peer));
        let competing: f64 = users
            .into_iter()
            .chain(others)
            .filter(|peer| *peer != this)
            .map(|peer| self.demands.peer_rate(now, peer, service).unwrap_or(own))
            .sum();
        own / (own + competing)
    }

    /// Whether any server limits the rate of its requests or did so a short time ago.
    pub fn has_limits(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Returns the number of servers that limit the rate of their requests.
    pub fn limited_count(&self) -> usize {
        let is_limited = |key: &&ServerKey| {
            self.servers.get(*key).is_some_and(|state| state.allowance.is_some())
        };
        self.limited.iter().filter(is_limited).count()
    }

    /// Returns what servers said lately about limits on the rate of their requests.
    pub fn limit_statements(&self, now: MonoTime) -> Vec<LimitStatement> {
        let statement = |key: &ServerKey| {
            let state = self.servers.get(key)?;
            let age = now.since(state.limit_told_at?);
            let rate = state.allowance.map(|allowance| allowance.rate());
            (age <= STATEMENT_AGE_MAX).then(|| LimitStatement { key: key.clone(), rate, age })
        };
        self.limited.iter().filter_map(statement).collect()
    }

    /// Recomputes this instance's part of the rates that servers accept.
    pub fn share_limits(&mut self, now: MonoTime) {
        let shares: Vec<(ServerKey, f64)> =
            self.limited.iter().map(|key| (key.clone(), self.rate_share(now, key))).collect();
        for (key, share) in shares {
            let Some(state) = self.servers.get_mut(&key) else {
                self.limited.remove(&key);
                continue;
            };
            match &mut state.allowance {
                Some(allowance) => allowance.adjust(now, allowance.rate(), share),
                None => {
                    let is_old =
                        state.limit_told_at.is_none_or(|at| now.since(at) > STATEMENT_AGE_MAX);
                    if is_old {
                        self.limited.remove(&key);
                    }
                }
            }
        }
    }
}
