//! Classifies routes as short or long work by their observed service times.

use model::WorkClass;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of routes with a recorded mean; others count as short.
const ROUTES_MAX: usize = 512;
/// Weight of the newest service time in a mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// A route is long if its mean exceeds this multiple of the mean of all short work.
const LONG_FACTOR: f64 = 5.0;

#[derive(Debug, Clone)]
struct RouteMean {
    micros: f64,
}

/// Mean service times of each route and of all short work.
#[derive(Debug, Clone, Default)]
pub struct RouteTimes {
    routes: HashMap<SmolStr, RouteMean>,
    short_micros: Option<f64>,
}

fn blend(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest - mean)
}

impl RouteTimes {
    /// Records the service time of a request of `route`.
    pub fn record(&mut self, route: &str, service_time: Duration) {
        let micros = service_time.as_micros() as f64;
        let class = self.class_of(route);
        if class == WorkClass::Short {
            // Caps outliers, because all routes are compared with this mean.
            let bound = self.short_micros.map_or(micros, |mean| micros.min(mean * LONG_FACTOR));
            self.short_micros = Some(self.short_micros.map_or(bound, |mean| blend(mean, bound)));
        }
        if let Some(route) = self.routes.get_mut(route) {
            route.micros = blend(route.micros, micros);
        } else if self.routes.len() < ROUTES_MAX {
            // Starting from the mean of short work keeps one outlier from making the route long.
            let start = self.short_micros.unwrap_or(micros);
            self.routes.insert(route.into(), RouteMean { micros: blend(start, micros) });
        }
    }

    /// Returns the class of a route. An unknown route is short.
    pub fn class_of(&self, route: &str) -> WorkClass {
        match (self.routes.get(route), self.short_micros) {
            (Some(route), Some(short)) if route.micros > short * LONG_FACTOR => WorkClass::Long,
            _ => WorkClass::Short,
        }
    }
}

/// Returns the part of a path that names its route: the first segment, without the query.
pub fn route_of(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    &rest[..end]
}
