//! Retry budget of a service, which all instances share without coordination.
//!
//! A retry here is any exchange beyond the first one of a request, hedges included. Operators limit
//! the retries of a service in any window to a ratio of the requests plus a fixed number of extra
//! retries, summed over all instances. Each instance applies the ratio to its own requests and uses a
//! share of the extra retries by its duty in the fleet. The shares of all instances add up to one at
//! most; what an instance may use of its share follows from what an earlier holder may have used in the
//! same window.

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

/// Time for which an instance that hears other views of the homes, or none, still uses its share. Views
/// differ for less than that after a loss.
const DOUBT_PERIOD: Duration = Duration::from_millis(1_500);
/// Time, beyond the window, for which a share is held before it is used: an earlier holder may use it
/// for [`DOUBT_PERIOD`] after its last heartbeat from others, which may be a second old by then.
const EARNING_MARGIN: Duration = Duration::from_millis(2_600);
/// Time after the first start of a whole fleet in which shares need not be earned, as nobody held
/// them before.
const FIRST_START_PERIOD: Duration = Duration::from_secs(4);

/// The share of the extra retries that an instance claims by its duty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareClaim {
    /// Fraction of the extra retries, 0 to 1.
    pub share: f64,
    /// Whether the other instances that are heard name the same homes. `false` if others are known and
    /// none is heard.
    pub is_agreed: bool,
}

/// What an instance may use of the extra retries.
///
/// A share counts once it has been held for longer than a window. The one that held it before has
/// stopped using it by then, and what it used has left the window: it ended, its duty went to others
/// by its own view, or it noticed that its view is not that of the others.
#[derive(Debug, Clone)]
pub struct ExtraAccount {
    earning_period: Duration,
    started_at: MonoTime,
    is_first_start: bool,
    /// Claimed shares, each with the time since when; those that ended within the earning period, and
    /// the latest.
    claims: VecDeque<(MonoTime, f64)>,
    agreed_at: Option<MonoTime>,
    updated_at: Option<MonoTime>,
}

impl ExtraAccount {
    /// Creates the account of a process that starts now. `is_first_start` tells that the whole fleet
    /// starts for the first time.
    pub fn new(now: MonoTime, window: Duration, is_first_start: bool) -> Self {
        Self {
            earning_period: window + BUCKET_PERIOD + EARNING_MARGIN,
            started_at: now,
            is_first_start,
            claims: VecDeque::new(),
            agreed_at: None,
            updated_at: None,
        }
    }

    /// Records the present claim. Must be called several times a second.
    pub fn update(&mut self, now: MonoTime, claim: ShareClaim) {
        self.updated_at = Some(now);
        if claim.is_agreed {
            self.agreed_at = Some(now);
        }
        let is_doubted = self.agreed_at.is_none_or(|at| now.since(at) > DOUBT_PERIOD);
        let share = if is_doubted { 0.0 } else { claim.share };
        if self.is_first_start && now.since(self.started_at) < FIRST_START_PERIOD {
            self.claims.clear();
        }
        if self.claims.back().is_none_or(|(_, latest)| *latest != share) {
            self.claims.push_back((now, share));
        }
        let has_left = |end: MonoTime| now.since(end) > self.earning_period;
        while self.claims.get(1).is_some_and(|(end, _)| has_left(*end)) {
            self.claims.pop_front();
        }
    }

    /// Returns the fraction of the extra retries that may be used now: the least share claimed within
    /// the earning period. None if the latest claim is old, as after a pause of the process.
    pub fn usable(&self, now: MonoTime) -> f64 {
        let is_outdated = self.updated_at.is_none_or(|at| now.since(at) > DOUBT_PERIOD);
        let is_held = self.is_first_start || now.since(self.started_at) >= self.earning_period;
        if is_outdated || !is_held {
            return 0.0;
        }
        self.claims.iter().map(|(_, share)| *share).reduce(f64::min).unwrap_or(0.0)
    }
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
