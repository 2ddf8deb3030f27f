//! Rates at which the instances receive requests for each service. The instances share the request
//! rate that a backend server accepts in proportion to them.

use model::{InstanceName, MonoTime, RequestRate, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the exponential decay of a request's weight in the rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Rate that every instance is credited with, so that one that was idle has a share at once.
const RATE_MIN: f64 = 1.0;
/// Age up to which the report of another instance counts.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);

/// A rate in which the weight of each request decays.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayedRate {
    rate: f64,
    at: MonoTime,
}

impl DecayedRate {
    /// Counts a request.
    pub fn record(&mut self, now: MonoTime) {
        self.rate = self.value(now) + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate in requests a second.
    pub fn value(self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        self.rate * (-age).exp()
    }
}

/// A report of another instance on its rates.
#[derive(Debug, Clone)]
struct PeerDemand {
    at: MonoTime,
    rates: Vec<(ServiceName, RequestRate)>,
}

/// Request rates of this instance and of those that reported theirs.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    own: HashMap<ServiceName, DecayedRate>,
    peers: HashMap<InstanceName, PeerDemand>,
}

impl DemandTable {
    /// Counts a request of a caller that arrived at this instance.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceName) {
        self.own.entry(service.clone()).or_default().record(now);
    }

    /// Records the rates that another instance reported.
    pub fn record_peer(
        &mut self,
        now: MonoTime,
        peer: InstanceName,
        rates: Vec<(ServiceName, RequestRate)>,
    ) {
        self.peers.retain(|_, demand| now.since(demand.at) <= REPORT_AGE_MAX);
        self.peers.insert(peer, PeerDemand { at: now, rates });
    }

    /// Returns this instance's rates, for reports to others.
    pub fn own_rates(&self, now: MonoTime) -> Vec<(ServiceName, RequestRate)> {
        let rate = |(service, rate): (&ServiceName, &DecayedRate)| {
            (service.clone(), RequestRate(rate.value(now)))
        };
        self.own.iter().map(rate).collect()
    }

    /// Returns the rate at which this instance receives requests for a service.
    pub fn own_rate(&self, now: MonoTime, service: &ServiceName) -> f64 {
        self.own.get(service).map_or(0.0, |known| known.value(now)).max(RATE_MIN)
    }

    /// Returns the rate that another instance reported for a service; `None` without a recent report.
    pub fn peer_rate(
        &self,
        now: MonoTime,
        peer: &InstanceName,
        service: &ServiceName,
    ) -> Option<f64> {
        let demand =
            self.peers.get(peer).filter(|demand| now.since(demand.at) <= REPORT_AGE_MAX)?;
        let reported = demand.rates.iter().find(|(known, _)| known == service);
        Some(reported.map_or(0.0, |(_, rate)| rate.0).max(RATE_MIN))
    }

    /// Returns the instances with a recent report.
    pub fn reporters(&self, now: MonoTime) -> impl Iterator<Item = &InstanceName> {
        self.peers
            .iter()
            .filter(move |(_, demand)| now.since(demand.at) <= REPORT_AGE_MAX)
            .map(|(peer, _)| peer)
    }
}
