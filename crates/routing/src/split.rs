//! Distributes the requests of a split route over its services in proportion to their weights.

use crate::table::RouteEntry;
use model::ServiceName;
use smol_str::SmolStr;
use std::collections::HashMap;

/// Largest number of split routes with stored credits. When it is reached, all credits are reset.
const ROUTES_MAX: usize = 4096;

/// Credit of a service of a split route: by how many requests it is behind its share.
#[derive(Debug)]
struct ServiceCredit {
    service: ServiceName,
    requests: f64,
}

/// Smooth weighted round robin for each split route: in any sequence of requests, the count of each
/// service is within one request of its share by weight.
///
/// Credits are counted in requests, not in units of the weights, so they stay valid when the weights
/// change: a change moves the counts by less than one request for each service.
#[derive(Debug, Default)]
pub struct SplitCursor {
    /// Credits of the services of each route, in the order of its targets.
    credits: HashMap<SmolStr, Vec<ServiceCredit>>,
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
        let credits = self.credits.entry(route.name.clone()).or_default();
        let is_current = credits.len() == route.targets.len()
            && credits.iter().zip(&route.targets).all(|(known, now)| known.service == now.service);
        if !is_current {
            *credits = carry_over(credits, route);
        }
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            credit.requests += target.weight / total;
        }
        let mut chosen = 0;
        for index in 1..credits.len() {
            let is_ahead = credits[index].requests > credits[chosen].requests;
            // A service without weight gets nothing, whatever credit it earned before.
            if route.targets[chosen].weight <= 0.0
                || (is_ahead && route.targets[index].weight > 0.0)
            {
                chosen = index;
            }
        }
        credits[chosen].requests -= 1.0;
        &route.targets[chosen].service
    }
}

/// Returns the credits for the targets of a route. Those that were not among its targets before start
/// without credit, and the sum stays zero, so that none is ahead of a new one for long.
fn carry_over(earlier: &[ServiceCredit], route: &RouteEntry) -> Vec<ServiceCredit> {
    let known = |service: &ServiceName| {
        let credit = earlier.iter().find(|credit| credit.service == *service);
        credit.map_or(0.0, |credit| credit.requests)
    };
    let sum: f64 = route.targets.iter().map(|target| known(&target.service)).sum();
    let mean = sum / route.targets.len() as f64;
    let credit = |service: &ServiceName| ServiceCredit {
        service: service.clone(),
        requests: (known(service) - mean).clamp(-1.0, 1.0),
    };
    route.targets.iter().map(|target| credit(&target.service)).collect()
}
