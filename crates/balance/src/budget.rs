//! The retry budget of a service, shared by all instances without asking each other.
//!
//! The operators bound what reaches a service beyond the first arrival of each request: in any window
//! a ratio of the requests and a fixed extra, summed over all instances. Each instance counts the
//! ratio of its own requests and takes a fixed part of the extra, so the sum holds whatever the
//! others do.

use model::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Span of one counting bucket.
const BUCKET_SPAN: Duration = Duration::from_millis(100);
/// Part of the allowance that requests of each lower rank leave to those above, and the rank from which
/// it does not grow any more. When servers turn work away, what matters most is sent again first.
const RANK_RESERVE: f64 = 0.2;
const RANK_MAX: u8 = 3;
/// Part of the ratio that is used; the rest covers requests counted at the edges of a window.
const RATIO_SHARE: f64 = 0.96;

/// What the operators allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetPolicy {
    /// Further arrivals as a part of the requests.
    pub ratio: f64,
    /// Further arrivals beyond that in a window, over all instances together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: MonoTime,
    requests: u32,
    repeats: u32,
}

/// Counts the requests and repeats of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    policy: BudgetPolicy,
    extra_share: f64,
    buckets: VecDeque<CountBucket>,
}

impl RetryWindow {
    /// Starts empty, without any part of the extra.
    pub fn new(policy: BudgetPolicy) -> Self {
        Self { policy, extra_share: 0.0, buckets: VecDeque::new() }
    }

    /// Sets the part of the extra that this instance may use, 0 to 1.
    pub fn set_extra_share(&mut self, part: f64) {
        self.extra_share = part;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.bucket(now).requests += 1;
    }

    /// The part of the allowance that a request of a rank leaves unused; rank 0 goes first.
    pub fn reserve_for_priority(rank: u8) -> f64 {
        f64::from(rank.min(RANK_MAX)) * RANK_RESERVE
    }

    /// Whether a repeat is allowed now while `reserve` of the allowance stays unused.
    pub fn allows(&mut self, now: MonoTime, reserve: f64) -> bool {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowance = f64::from(requests) * self.policy.ratio * RATIO_SHARE
            + self.policy.extra * self.extra_share;
        f64::from(repeats) + 1.0 <= allowance * (1.0 - reserve)
    }

    /// Counts a repeat if the budget allows it.
    pub fn take_retry(&mut self, now: MonoTime, reserve: f64) -> bool {
        let is_allowed = self.allows(now, reserve);
        if is_allowed {
            self.bucket(now).repeats += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: MonoTime) -> &mut CountBucket {
        self.expire(now);
        let is_current =
            self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < BUCKET_SPAN);
        if !is_current {
            self.buckets.push_back(CountBucket { start: now, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }

    /// Buckets leave the window with their last moment, so repeats never count too short.
    fn expire(&mut self, now: MonoTime) {
        let span = self.policy.window + BUCKET_SPAN;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > span) {
            self.buckets.pop_front();
        }
    }
}
