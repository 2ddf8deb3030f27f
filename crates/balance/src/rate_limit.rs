//! Request rate that a backend server accepts from all instances together, and this instance's part of
//! it.

use model::{MonoTime, RequestRate};
use std::time::Duration;

/// Rate at which a server gets requests even if it accepts fewer. Only its responses tell that the
/// limit has ended.
const RATE_MIN: RequestRate = RequestRate(0.25);
/// Period whose requests may be sent at once after an idle time.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// Smallest number of requests that may be sent at once after an idle time.
const BURST_MIN: f64 = 1.0;

/// A token bucket with this instance's part of the rate that a server accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateAllowance {
    /// The rate that the server accepts from all instances.
    rate: RequestRate,
    /// Part of that rate that this instance may use, 0 to 1.
    share: f64,
    /// Requests that may be sent at `counted_at`.
    tokens: f64,
    counted_at: MonoTime,
}

impl RateAllowance {
    /// Creates an empty bucket: the requests in progress were sent without regard to the limit.
    pub fn new(now: MonoTime, rate: RequestRate, share: f64) -> Self {
        Self { rate, share, tokens: 0.0, counted_at: now }
    }

    /// The rate that the server accepts from all instances.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate or this instance's share of it from now on.
    pub fn adjust(&mut self, now: MonoTime, rate: RequestRate, share: f64) {
        self.tokens = self.tokens(now);
        self.counted_at = now;
        self.rate = rate;
        self.share = share;
        self.tokens = self.tokens.min(self.burst());
    }

    /// The rate that this instance may use, in requests a second.
    pub fn own_rate(&self) -> f64 {
        self.rate.0.max(RATE_MIN.0) * self.share
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, now: MonoTime) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn record_request(&mut self, now: MonoTime) {
        self.tokens = self.tokens(now) - 1.0;
        self.counted_at = now;
    }

    /// Returns the number of requests that may be sent now, with the started part of the next one.
    pub fn tokens(&self, now: MonoTime) -> f64 {
        let earned = now.since(self.counted_at).as_secs_f64() * self.own_rate();
        (self.tokens + earned).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (self.own_rate() * BURST_PERIOD.as_secs_f64()).max(BURST_MIN)
    }
}
