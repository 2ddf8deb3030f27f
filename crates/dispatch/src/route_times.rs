//! Learns the class of work of a route from observed service times.

use model::WorkClass;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Routes remembered at once; others count as short.
const ROUTES_MAX: usize = 512;
/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.1;
/// A route is long when its mean exceeds the mean over all short work this many times.
const LONG_FACTOR: f64 = 5.0;

#[derive(Debug, Clone)]
struct RouteMean {
    micros: f64,
}

/// Mean service time of each route and of all short work.
#[derive(Debug, Clone, Default)]
pub struct RouteTimes {
    routes: HashMap<SmolStr, RouteMean>,
    short_micros: Option<f64>,
}

fn blend(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest - mean)
}

impl RouteTimes {
    /// Records that a request of `route` took `span`.
    pub fn record(&mut self, route: &str, span: Duration) {
        let micros = span.as_micros() as f64;
        let class = self.class_of(route);
        if class == WorkClass::Short {
            // A single straggler must not move the mean that routes are compared with.
            let bound = self.short_micros.map_or(micros, |mean| micros.min(mean * LONG_FACTOR));
            self.short_micros = Some(self.short_micros.map_or(bound, |mean| blend(mean, bound)));
        }
        if let Some(route) = self.routes.get_mut(route) {
            route.micros = blend(route.micros, micros);
        } else if self.routes.len() < ROUTES_MAX {
            // A new route starts at the common mean, so that one straggler does not make it long.
            let start = self.short_micros.unwrap_or(micros);
            self.routes.insert(route.into(), RouteMean { micros: blend(start, micros) });
        }
    }

    /// The class of a route; an unknown one is short.
    pub fn class_of(&self, route: &str) -> WorkClass {
        match (self.routes.get(route), self.short_micros) {
            (Some(route), Some(short)) if route.micros > short * LONG_FACTOR => WorkClass::Long,
            _ => WorkClass::Short,
        }
    }
}

/// The part of a path by which routes are told apart: its first segment.
pub fn route_of(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    &rest[..end]
}
