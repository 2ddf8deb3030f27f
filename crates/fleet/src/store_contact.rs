//! Contact with the store: when failed calls mean that it fails, and when records may have vanished
//! because it failed.

use model::MonoTime;
use std::time::Duration;

/// Delay before the call that decides whether a failed one was cut or the store fails.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Delay after the first failed call beyond that; doubled with each further one.
const RETRY_DELAY_FIRST: Duration = Duration::from_millis(100);
/// Number of failed calls after which the delay no longer grows.
const DOUBLINGS_MAX: u32 = 3;
/// Shortest time without a confirmation after which records may have expired though their owners
/// live. Owners write every 1.5 s and a record expires after 4.5 s, so a shorter outage harms none.
const OUTAGE_MIN: Duration = Duration::from_secs(2);
/// Longest time in which the instances that call a failing store notice that it serves again: the longest
/// delay between two calls, and the second one. Beyond that nobody called it.
const NOTICE_MAX: Duration = Duration::from_millis(1_200);

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The store or its machine refused it, or no reply arrived in time.
    NoReply,
    /// It was sent, and its connection broke.
    Broken,
}

/// Repeats an instance's calls to the store. A waiting watch may be cut while the store works; the
/// next call doesn't wait and shows which it is.
#[derive(Debug, Clone, Default)]
pub struct StoreRetry {
    failures: u32,
}

impl StoreRetry {
    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call. Returns whether the store counts as failing: it did not reply, or the call
    /// before failed too.
    pub fn record_failure(&mut self, failure: CallFailure) -> bool {
        let earlier = match failure {
            CallFailure::NoReply => self.failures.max(1),
            CallFailure::Broken => self.failures,
        };
        self.failures = earlier.saturating_add(1);
        self.failures > 1
    }

    /// Whether the latest call failed and none before it. The next watch must not wait for changes
    /// then; once the store counts as failing, short calls would only be more of them.
    pub fn is_unsure(&self) -> bool {
        self.failures == 1
    }

    /// Returns the delay before the next call, after a failed one.
    pub fn delay(&self) -> Duration {
        match self.failures.checked_sub(2) {
            None => CHECK_DELAY,
            Some(doublings) => RETRY_DELAY_FIRST * 2_u32.pow(doublings.min(DOUBLINGS_MAX)),
        }
    }
}

/// When the store confirmed the replica and when calls to it failed, at this instance or at one that reported
/// it. The store fails if calls fail; without calls nothing is known of it.
#[derive(Debug, Clone, Default)]
pub struct ConfirmationRecord {
    confirmed_at: Option<MonoTime>,
    /// When a call last failed.
    failed_at: Option<MonoTime>,
    /// When the latest outage ended, by the first confirmation after it.
    regained_at: Option<MonoTime>,
}

impl ConfirmationRecord {
    /// Records that a call to the store failed at the time `at`.
    pub fn record_failure(&mut self, at: MonoTime) {
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// Records a confirmation of the time `at`, which arrived at `now`.
    pub fn record(&mut self, now: MonoTime, at: MonoTime) {
        let Some(earlier) = self.confirmed_at else {
            self.confirmed_at = Some(at);
            return;
        };
        if at.since(earlier) >= OUTAGE_MIN && self.has_failed_since(earlier) {
            self.regained_at = Some(self.returned_at(now));
        }
        self.confirmed_at = Some(earlier.max(at));
    }

    fn has_failed_since(&self, confirmed_at: MonoTime) -> bool {
        self.failed_at.is_some_and(|at| at > confirmed_at)
    }

    /// Time of the latest confirmation.
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }

    /// Estimates when the store returned that is found at `now` to serve again. Instances that call it
    /// notice its return within `NOTICE_MAX` of the last contact. If `now` is later, nobody called it, and it
    /// may have returned that early.
    pub fn returned_at(&self, now: MonoTime) -> MonoTime {
        let contact = self.confirmed_at.max(self.failed_at);
        contact.map_or(now, |at| now.min(at.plus(NOTICE_MAX)))
    }

    /// Until when the owner of a record that vanishes now may live, if the record may have expired during
    /// an outage of the store. Owners write it again within `period` after the outage.
    pub fn may_live_until(&self, now: MonoTime, period: Duration) -> Option<MonoTime> {
        let lasts = self
            .confirmed_at
            .is_some_and(|at| now.since(at) >= OUTAGE_MIN && self.has_failed_since(at));
        if lasts {
            return Some(now.plus(period));
        }
        self.regained_at.map(|at| at.plus(period)).filter(|until| now < *until)
    }
}
