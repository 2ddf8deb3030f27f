//! Deals the requests of a split route out in the proportions of the weights.

use crate::table::RouteEntry;
use model::ServiceName;
use smol_str::SmolStr;
use std::collections::HashMap;

/// Routes remembered at once; a configuration of many more starts the proportions anew.
const ROUTES_MAX: usize = 4096;

/// Smooth weighted round robin for each split route: over any run of requests the parts are within
/// one request of their weights.
#[derive(Debug, Default)]
pub struct SplitCursor {
    credits: HashMap<SmolStr, Vec<f64>>,
}

impl SplitCursor {
    /// The service for the next request of a route.
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
