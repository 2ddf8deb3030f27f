//! Processing times of the routes and contention curves of the services, learned from responses.

use crate::contention::ContentionCurve;
use model::{ServiceName, SlotCount, bounded_duration};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Number of routes whose processing time is stored; further routes keep the initial estimate.
const ROUTES_MAX: usize = 4096;
/// Initial processing time of a route, as a ratio to its objective. Operators choose objectives
/// that allow for slower requests and for one more attempt.
const INITIAL_OBJECTIVE_RATIO: f64 = 1.0 / 3.0;
/// Weight of the newest sample in a route's mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Samples are limited to this multiple of the mean, because outliers would distort it.
const SAMPLE_FACTOR_MAX: f64 = 3.0;
/// Number of responses after which a route's mean is precise enough to derive contention from it.
const RELIABLE_RESPONSES_MIN: u32 = 20;
/// Age up to which a load report is precise enough to derive contention from it.
const FRESH_REPORT_AGE_MAX: Duration = Duration::from_millis(60);

/// A request with its response time, and the server's load when the request was sent.
#[derive(Debug, Clone, Copy)]
pub struct ProcessingSample<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Name of the request's route.
    pub route: &'a SmolStr,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Duration of the exchange.
    pub elapsed: Duration,
    /// Last reported slowdown factor of the server.
    pub slowdown: f64,
    /// Requests in progress at the server, this one excluded.
    pub occupancy: u32,
    /// Number of slots of the server.
    pub slots: SlotCount,
    /// Age of the server's latest load report; `None` before the first one.
    pub report_age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct RouteMean {
    mean_s: f64,
    responses: u32,
}

/// Mean processing time of each route, at normal speed and without contention, and the contention
/// curve of each service.
#[derive(Debug, Clone, Default)]
pub struct ProcessingTimes {
    routes: HashMap<SmolStr, RouteMean>,
    contention: HashMap<ServiceName, ContentionCurve>,
}

impl ProcessingTimes {
    /// Returns the mean processing time of a route. Before its first response this is an estimate
    /// from the latency objective.
    pub fn processing_time(&self, route: &str, objective: Duration) -> Duration {
        match self.routes.get(route) {
            Some(known) => bounded_duration(known.mean_s),
            None => objective.mul_f64(INITIAL_OBJECTIVE_RATIO),
        }
    }

    /// Returns the contention curve of a service, the initial one before its first sample.
    pub fn contention(&mut self, service: &ServiceName) -> &ContentionCurve {
        self.contention.entry(service.clone()).or_default()
    }

    /// Updates the mean of the route and, if the sample is reliable, the contention curve of the
    /// service.
    pub fn record(&mut self, sample: &ProcessingSample<'_>) {
        let normal_speed_s = sample.elapsed.as_secs_f64() / sample.slowdown.max(1.0);
        let curve = self.contention.get_mut(sample.service);
        let factor =
            curve.as_ref().map_or(1.0, |curve| curve.factor(sample.occupancy, sample.slots));
        let known = self.routes.get(sample.route).copied();
        let is_fresh = sample.report_age.is_some_and(|age| age <= FRESH_REPORT_AGE_MAX);
        if let (Some(curve), Some(known)) = (curve, known)
            && is_fresh
            && known.responses >= RELIABLE_RESPONSES_MIN
        {
            curve.record(
                sample.occupancy,
                sample.slots,
                normal_speed_s / known.mean_s.max(f64::EPSILON),
            );
        }
        let processing_s = normal_speed_s / factor;
        if let Some(known) = self.routes.get_mut(sample.route) {
            known.mean_s = updated_mean(known.mean_s, processing_s);
            known.responses = known.responses.saturating_add(1);
        } else if self.routes.len() < ROUTES_MAX {
            let initial_s = sample.objective.mul_f64(INITIAL_OBJECTIVE_RATIO).as_secs_f64();
            let first = RouteMean { mean_s: updated_mean(initial_s, processing_s), responses: 1 };
            self.routes.insert(sample.route.clone(), first);
        }
    }
}

fn updated_mean(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest.min(mean * SAMPLE_FACTOR_MAX) - mean)
}
