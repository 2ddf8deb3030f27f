//! How much work the requests of a route are, learned from answers.

use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Routes remembered at once; others count as typical.
const ROUTES_MAX: usize = 4096;
/// Work of a route before anything is known.
const FIRST_GUESS: Duration = Duration::from_millis(150);
/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.05;
/// An observation counts at most as this many times the mean, so that stragglers move it little.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Mean work of each route, as time at a backend server that works at its usual pace.
#[derive(Debug, Clone)]
pub struct WorkMemory {
    routes: HashMap<SmolStr, f64>,
    typical_s: f64,
}

impl Default for WorkMemory {
    fn default() -> Self {
        Self { routes: HashMap::new(), typical_s: FIRST_GUESS.as_secs_f64() }
    }
}

impl WorkMemory {
    /// Mean work of a route.
    pub fn work_of(&self, route: &str) -> Duration {
        Duration::from_secs_f64(self.routes.get(route).copied().unwrap_or(self.typical_s))
    }

    /// Mean work over all routes.
    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.typical_s)
    }

    /// Learns from an answer: the time it took divided by the pace of the server.
    pub fn record(&mut self, route: &SmolStr, work: Duration) {
        let work = work.as_secs_f64();
        self.typical_s = blend(self.typical_s, work);
        if let Some(mean) = self.routes.get_mut(route) {
            *mean = blend(*mean, work);
        } else if self.routes.len() < ROUTES_MAX {
            let first = blend(self.typical_s, work);
            self.routes.insert(route.clone(), first);
        }
    }
}

fn blend(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest.min(mean * STRAGGLER_FACTOR) - mean)
}
