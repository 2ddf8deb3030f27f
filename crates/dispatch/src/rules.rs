//! The dispatch rules by name, with baseline rules that only the bench uses.
//!
//! The baselines send each request at once, so requests queue at the backend servers.

use crate::slots::{DispatchRule, LateBinding, ServerView};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::str::FromStr;

/// Names a dispatch rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleName {
    /// The default: a request waits at the service's home until a server has a free slot.
    LateBinding,
    /// Baseline: a random server.
    Random,
    /// Baseline: the server with the fewest requests of this instance in progress.
    LeastInFlight,
    /// Baseline: of two random servers, the one with the lower load.
    TwoChoices,
}

impl RuleName {
    /// All rules, the default first.
    pub const ALL: [Self; 4] =
        [Self::LateBinding, Self::Random, Self::LeastInFlight, Self::TwoChoices];

    /// Returns the name used in settings and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LateBinding => "late-binding",
            Self::Random => "random",
            Self::LeastInFlight => "least-in-flight",
            Self::TwoChoices => "two-choices",
        }
    }

    /// Whether a request is forwarded to the home of its service. With a baseline rule, the
    /// instance at which the request arrives serves it.
    pub fn uses_homes(self) -> bool {
        self == Self::LateBinding
    }

    /// Creates the rule.
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

/// Error of parsing a text that is not the name of a rule.
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
        // Starting at a random index breaks ties evenly.
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
        let load = |index: usize| servers[index].occupancy();
        Some(if load(second) < load(first) { second } else { first })
    }
}
