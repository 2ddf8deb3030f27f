//! Baselines for the dispatch rule, kept for the bench alone.
//!
//! They send each request at once and leave the waiting to the backend server.

use crate::slots::{DispatchRule, LateBinding, ServerView};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::str::FromStr;

/// Names a dispatch rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleName {
    /// The product's rule: a request waits at the service's home for a slot believed free.
    LateBinding,
    /// Any server.
    Random,
    /// The server with the fewest requests of this instance.
    LeastInFlight,
    /// Of two servers the one with the lower reported load.
    TwoChoices,
}

impl RuleName {
    /// All rules, the product's first.
    pub const ALL: [Self; 4] =
        [Self::LateBinding, Self::Random, Self::LeastInFlight, Self::TwoChoices];

    /// The name as it stands in settings and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LateBinding => "late-binding",
            Self::Random => "random",
            Self::LeastInFlight => "least-in-flight",
            Self::TwoChoices => "two-choices",
        }
    }

    /// Whether calls go to the home of their service. Baselines serve wherever a call arrives.
    pub fn uses_homes(self) -> bool {
        self == Self::LateBinding
    }

    /// Makes the rule.
    pub fn rule(self) -> Box<dyn DispatchRule> {
        let random = SmallRng::from_rng(&mut rand::rng());
        match self {
            Self::LateBinding => Box::new(LateBinding::default()),
            Self::Random => Box::new(RandomServer { random }),
            Self::LeastInFlight => Box::new(LeastInFlight { random }),
            Self::TwoChoices => Box::new(TwoChoices { random }),
        }
    }
}

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names no rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseRuleError;

impl FromStr for RuleName {
    type Err = ParseRuleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|rule| rule.as_str() == text).ok_or(ParseRuleError)
    }
}

struct RandomServer {
    random: SmallRng,
}

impl DispatchRule for RandomServer {
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize> {
        Some(self.random.random_range(0..servers.len()))
    }
}

struct LeastInFlight {
    random: SmallRng,
}

impl DispatchRule for LeastInFlight {
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize> {
        // A random start breaks ties without favour.
        let start = self.random.random_range(0..servers.len());
        let order = (0..servers.len()).map(|offset| (start + offset) % servers.len());
        order.min_by_key(|index| servers[*index].in_flight)
    }
}

struct TwoChoices {
    random: SmallRng,
}

impl DispatchRule for TwoChoices {
    fn choose(&mut self, servers: &[ServerView]) -> Option<usize> {
        let mut pick = || self.random.random_range(0..servers.len());
        let (first, second) = (pick(), pick());
        let load = |index: usize| servers[index].foreign + servers[index].in_flight;
        Some(if load(second) < load(first) { second } else { first })
    }
}
