//! Retry budget of a service, which all instances share without coordination.
//!
//! A retry here is any exchange beyond the first one of a request, hedges included. Operators limit
//! the retries of a service in any window to a ratio of the requests plus a fixed number of extra
//! retries, summed over all instances. Each instance applies the ratio to its own requests and uses a fixed share of the extra retries,
//! which keeps the sum within the limit independently of what the other instances do.

use model::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Period that one counting bucket covers.
const BUCKET_PERIOD: Duration = Duration::from_millis(100);
/// Fraction of the allowance that each priority level leaves to the levels before it. While servers
/// shed requests, those of high priority are retried first.
const PRIORITY_RESERVE_STEP: f64 = 0.2;
/// Priority value from which the reserve does not grow any more.
const PRIORITY_RESERVE_MAX: u8 = 3;
/// Fraction of the ratio that is used; the rest covers requests counted at the edges of a window.
const RATIO_USED: f64 = 0.96;

/// Limits that the operators set for retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetPolicy {
    /// Allowed ratio of retries to requests.
    pub ratio: f64,
    /// Further retries allowed in a window, over all instances together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: MonoTime,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    policy: BudgetPolicy,
    extra_share: f64,
    buckets: VecDeque<CountBucket>,
}

impl RetryWindow {
    /// Creates an empty window without a share of the extra retries.
    pub fn new(policy: BudgetPolicy) -> Self {
        Self { policy, extra_share: 0.0, buckets: VecDeque::new() }
    }

    /// Sets the fraction of the extra retries that this instance may use, 0 to 1.
    pub fn set_extra_share(&mut self, share: f64) {
        self.extra_share = share;
    }

    /// Counts a request, which adds to the allowance of the window.
    pub fn record_request(&mut self, now: MonoTime) {
        self.bucket(now).requests += 1;
    }

    /// Returns the fraction of the allowance that a retry of this priority leaves unused; none for
    /// 0, the highest priority.
    pub fn reserve_for_priority(priority: u8) -> f64 {
        f64::from(priority.min(PRIORITY_RESERVE_MAX)) * PRIORITY_RESERVE_STEP
    }

    /// Whether a retry is allowed now that leaves the fraction `reserve` of the allowance unused.
    pub fn allows(&mut self, now: MonoTime, reserve: f64) -> bool {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowance = f64::from(requests) * self.policy.ratio * RATIO_USED
            + self.policy.extra * self.extra_share;
        f64::from(retries) + 1.0 <= allowance * (1.0 - reserve)
    }

    /// Counts a retry if the budget allows it. Returns whether it does.
    pub fn take_retry(&mut self, now: MonoTime, reserve: f64) -> bool {
        let is_allowed = self.allows(now, reserve);
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: MonoTime) -> &mut CountBucket {
        self.expire(now);
        let is_current =
            self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < BUCKET_PERIOD);
        if !is_current {
            self.buckets.push_back(CountBucket { start: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }

    /// Removes buckets whose whole period has left the window; no retry is removed too early.
    fn expire(&mut self, now: MonoTime) {
        let age_max = self.policy.window + BUCKET_PERIOD;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > age_max) {
            self.buckets.pop_front();
        }
    }
}
