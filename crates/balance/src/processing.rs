//! How much work the requests of a route are, and how servers of a service slow down when they have
//! more of it, learned from answers.

use crate::contention::ContentionCurve;
use model::{ServiceName, SlotCount};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Routes remembered at once; others count as typical.
const ROUTES_MAX: usize = 4096;
/// Work of a route before any answer, as a part of its objective: operators leave room for work that
/// takes longer than usual and for one more try.
const FIRST_PART: f64 = 1.0 / 3.0;
/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.05;
/// An observation counts at most as this many times the mean, so that stragglers move it little.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Answers after which the work of a route is known well enough to compare with.
const KNOWN_ANSWERS: u32 = 20;
/// Age up to which a report tells how many requests the server had and how it worked.
const FRESH_REPORT: Duration = Duration::from_millis(60);

/// One answered request and the server as it was when the request was sent.
#[derive(Debug, Clone, Copy)]
pub struct ProcessingSample<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: &'a SmolStr,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// How long the answer took.
    pub elapsed: Duration,
    /// Pace of the server.
    pub slowdown: f64,
    /// Requests that the server had.
    pub occupancy: u32,
    /// Slots of the server.
    pub slots: SlotCount,
    /// Age of the report on the server, if there was one.
    pub report_age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct RouteWork {
    mean_s: f64,
    answers: u32,
}

/// Mean work of each route, as time at a server that works at its usual pace and has no other work,
/// and the crowding of each service.
#[derive(Debug, Clone, Default)]
pub struct ProcessingTimes {
    routes: HashMap<SmolStr, RouteWork>,
    contention: HashMap<ServiceName, ContentionCurve>,
}

impl ProcessingTimes {
    /// Mean work of a route whose answers should take no longer than `objective`.
    pub fn processing_time(&self, route: &str, objective: Duration) -> Duration {
        match self.routes.get(route) {
            Some(known) => Duration::from_secs_f64(known.mean_s),
            None => objective.mul_f64(FIRST_PART),
        }
    }

    /// How servers of a service slow down when they have more work.
    pub fn contention(&mut self, service: &ServiceName) -> &ContentionCurve {
        self.contention.entry(service.clone()).or_default()
    }

    /// Learns from an answer.
    pub fn record(&mut self, sample: &ProcessingSample<'_>) {
        let normal_speed_s = sample.elapsed.as_secs_f64() / sample.slowdown.max(1.0);
        let curve = self.contention.get_mut(sample.service);
        let factor =
            curve.as_ref().map_or(1.0, |curve| curve.factor(sample.occupancy, sample.slots));
        let known = self.routes.get(sample.route).copied();
        let is_fresh = sample.report_age.is_some_and(|age| age <= FRESH_REPORT);
        if let (Some(curve), Some(known)) = (curve, known)
            && is_fresh
            && known.answers >= KNOWN_ANSWERS
        {
            curve.record(
                sample.occupancy,
                sample.slots,
                normal_speed_s / known.mean_s.max(f64::EPSILON),
            );
        }
        let work = normal_speed_s / factor;
        if let Some(known) = self.routes.get_mut(sample.route) {
            known.mean_s = blend(known.mean_s, work);
            known.answers = known.answers.saturating_add(1);
        } else if self.routes.len() < ROUTES_MAX {
            let guess = sample.objective.mul_f64(FIRST_PART).as_secs_f64();
            let first = RouteWork { mean_s: blend(guess, work), answers: 1 };
            self.routes.insert(sample.route.clone(), first);
        }
    }
}

fn blend(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest.min(mean * STRAGGLER_FACTOR) - mean)
}
