//! Fair shares of teams in a service that has less room than its callers ask for.
//!
//! Answers this load: one team, within its quota, sends several times its usual, or slow and cold servers
//! leave room for a part of the requests. Among waiting requests of one priority those of the team go first
//! that was served least for its weight. What a team does not use goes to the others (max-min fairness), and
//! a team that asks for less than its share waits only for the requests in front of it.

use crate::demand::DecayedRate;
use model::{MonoTime, ServiceName, TeamName};
use std::collections::HashMap;

/// Requests a second of each team that do not count as service. With fewer the rate says nothing of the
/// team's demand: two requests of a small team that come together are no excess.
const UNCOUNTED_RATE: f64 = 4.0;
/// Number of pairs of service and team whose rates are remembered. More are forgotten at once and count as
/// not served.
const RATES_MAX: usize = 20_000;

/// The team of a request and its weight against other teams.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// Weight of the team, above zero: the rate that its quota promises.
    pub weight: f64,
}

/// Rates at which requests of teams were sent lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServedRates {
    rates: HashMap<(ServiceName, TeamName), DecayedRate>,
}

impl ServedRates {
    /// Counts a request that is sent now.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, share: &TeamShare) {
        if self.rates.len() >= RATES_MAX {
            self.rates.clear();
        }
        self.rates.entry((service.clone(), share.team.clone())).or_default().record(now);
    }

    fn rate(&self, now: MonoTime, service: &ServiceName, share: &TeamShare) -> f64 {
        let known = self.rates.get(&(service.clone(), share.team.clone()));
        known.map_or(0.0, |rate| rate.value(now))
    }
}

/// Assigns the order of service to the waiting requests of one service, visited in the order of their
/// arrival.
pub(crate) struct FairOrder<'a> {
    now: MonoTime,
    service: &'a ServiceName,
    rates: &'a ServedRates,
    /// By priority and team: rate of service, and requests visited so far.
    visited: HashMap<(u8, &'a TeamName), (f64, u32)>,
}

impl<'a> FairOrder<'a> {
    /// Starts a visit.
    pub fn new(now: MonoTime, service: &'a ServiceName, rates: &'a ServedRates) -> Self {
        Self { now, service, rates, visited: HashMap::new() }
    }

    /// Returns the place of the next request: its priority, then the service that its team will have had
    /// before it, for its weight. Requests without a team come first.
    pub fn place(&mut self, priority: u8, share: Option<&'a TeamShare>) -> (u8, f64) {
        let Some(share) = share else {
            return (priority, 0.0);
        };
        let rates = self.rates;
        let (rate, visited) = self
            .visited
            .entry((priority, &share.team))
            .or_insert_with(|| (rates.rate(self.now, self.service, share), 0));
        let served = (*rate + f64::from(*visited) - UNCOUNTED_RATE).max(0.0);
        *visited += 1;
        (priority, served / share.weight.max(f64::MIN_POSITIVE))
    }
}
