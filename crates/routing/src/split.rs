//! Distributes the requests of a split route over its services in proportion to their weights.

use crate::table::RouteEntry;
use model::ServiceName;
use smol_str::SmolStr;
use std::collections::HashMap;

/// Largest number of split routes with stored credits. When it is reached, all credits are reset.
const ROUTES_MAX: usize = 4096;

/// Smooth weighted round robin for each split route: in any sequence of requests, the count of each
/// service is within one request of its share by weight.
#[derive(Debug, Default)]
pub struct SplitCursor {
    /// Current weight of each service, by route name.
    credits: HashMap<SmolStr, Vec<f64>>,
}

impl SplitCursor {
    /// Returns the service for the next request of a route.
    pub fn next<'a>(&mut self, route: &'a RouteEntry) -> &'a ServiceName {
        if route.targets.len() == 1 {
            return &route.targets[0].service;
        }
        if self.credits.len() >= ROUTES_MAX {
            self.credits.clear();
        }
        let count = route.targets.len();
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != count {
            *credits = vec![0.0; count];
        }
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            *credit += target.weight;
        }
        let mut chosen = 0;
        for index in 1..count {
            if credits[index] > credits[chosen] {
                chosen = index;
            }
        }
        credits[chosen] -= total;
        &route.targets[chosen].service
    }
}
