//! Bounds retries to a share of the requests.

/// Share of requests that may be retried.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may follow each other after a quiet time.
const RETRY_BURST: f64 = 20.0;

/// Allows retries up to a share of the requests seen.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RETRY_BURST }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Takes one retry, if the budget allows it.
    pub fn take_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
