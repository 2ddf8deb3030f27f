//! What backend servers say about the requests that they want: none any more, or none for a time.
//!
//! A notice belongs to one start of a server. It outlasts the server's record, which may vanish and come
//! back while the store fails.

use super::{BackendState, LoadEstimates};
use model::{MonoTime, ServerKey};
use std::time::Duration;

/// Time for which the notice of a server without a record is remembered.
const NOTICE_TTL: Duration = Duration::from_secs(3_600);
/// Requests at a time at a server that asked for quiet, from the end of that time until it has answered
/// one.
const RETURN_REQUESTS_MAX: usize = 2;

/// The notices of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerNotice {
    is_leaving: bool,
    quiet_until: MonoTime,
    told_at: MonoTime,
}

impl BackendState {
    /// Whether the server asked for no requests at this time.
    pub fn is_quiet(&self, now: MonoTime) -> bool {
        now < self.quiet_until
    }

    /// Returns the time until the server takes requests again; zero if it takes them now.
    pub fn quiet_left(&self, now: MonoTime) -> Duration {
        self.quiet_until.since(now)
    }

    /// Whether the server may get one more request, as far as its notices go.
    pub fn accepts_one_more(&self, now: MonoTime) -> bool {
        !self.is_quiet(now) && (!self.is_returning || self.in_flight() < RETURN_REQUESTS_MAX)
    }

    pub(super) fn apply_notice(&mut self, notice: ServerNotice) {
        self.spec.is_leaving |= notice.is_leaving;
        self.quiet_until = self.quiet_until.max(notice.quiet_until);
        self.is_returning |= notice.quiet_until > MonoTime(0);
    }
}

impl LoadEstimates {
    /// Records that a server said that it leaves; it gets no further requests. Returns whether that is
    /// new.
    pub fn mark_leaving(&mut self, now: MonoTime, key: &ServerKey) -> bool {
        let is_new = !self.notices.get(key).is_some_and(|notice| notice.is_leaving);
        self.record_notice(now, key, |notice| notice.is_leaving = true);
        is_new
    }

    /// Records that a server wants no requests for a time. It gets few at a time after that, until it
    /// has answered one.
    pub fn record_quiet(&mut self, now: MonoTime, key: &ServerKey, period: Duration) {
        let until = now.plus(period);
        self.record_notice(now, key, |notice| notice.quiet_until = notice.quiet_until.max(until));
    }

    fn record_notice(
        &mut self,
        now: MonoTime,
        key: &ServerKey,
        change: impl FnOnce(&mut ServerNotice),
    ) {
        if !self.notices.contains_key(key) {
            self.notices.retain(|_, notice| now.since(notice.told_at) < NOTICE_TTL);
        }
        let notice = self.notices.entry(key.clone()).or_default();
        change(notice);
        notice.told_at = now;
        if let Some(state) = self.servers.get_mut(key) {
            state.apply_notice(*notice);
        }
    }
}
