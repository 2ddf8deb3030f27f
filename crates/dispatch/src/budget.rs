//! Limits retries to a share of the requests.

/// Number of retries that each request adds to the budget.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of unused retries, and so the longest burst of them.
const RETRY_BURST_MAX: f64 = 20.0;

/// A token bucket: each request adds a fraction of a token, each retry takes a whole one.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RETRY_BURST_MAX }
    }
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST_MAX);
    }

    /// Takes one retry from the budget. Returns whether the budget allows it.
    pub fn take_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
