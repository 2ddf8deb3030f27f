//! What an instance knows of one member.

use super::HEARTBEAT_TIMEOUT;
use crate::datagram::HeartbeatMessage;
use crate::record::MemberRecord;
use model::MonoTime;
use std::time::Duration;

#[derive(Debug, Clone)]
pub(super) struct MemberState {
    pub record: MemberRecord,
    /// Whether the store has a record of the member.
    pub is_registered: bool,
    /// Time from which heartbeats of the member are expected; `None` if it need not send any.
    pub expected_since: Option<MonoTime>,
    /// Whether expected heartbeats are overdue.
    pub is_overdue: bool,
    /// Whether the member was last known to be gone or not ready: it said so, or its heartbeats became
    /// overdue while others arrived. Remains until it is heard again, expected or not.
    pub is_lost: bool,
    /// Since when the member is unresponsive; `None` while it is not.
    pub unresponsive_since: Option<MonoTime>,
}

impl MemberState {
    pub fn new(record: MemberRecord, is_registered: bool) -> Self {
        Self {
            record,
            is_registered,
            expected_since: None,
            is_overdue: false,
            is_lost: false,
            unresponsive_since: None,
        }
    }

    /// Forgets that heartbeats were expected, but not that the member was lost.
    pub fn expect_none(&mut self) {
        self.expected_since = None;
        self.is_overdue = false;
    }

    /// Forgets that the member was lost; new heartbeats are waited for if any are expected.
    pub fn forget_loss(&mut self) {
        self.is_lost = false;
        self.expect_none();
    }

    /// Returns whether heartbeats of the member, which are expected, are overdue.
    ///
    /// Once overdue, they remain so until one arrives, whatever else starts a new wait:
    /// `direct_since` changes when this instance takes over the member's duty.
    pub fn check_overdue(&mut self, heard_at: Option<MonoTime>, wait: HeartbeatWait) -> bool {
        let HeartbeatWait { now, direct_since, timeout, hears_others } = wait;
        let has_passed = |since: MonoTime| now.since(since) > timeout;
        let expected_since = *self.expected_since.get_or_insert(now);
        let waited = has_passed(expected_since) && direct_since.is_none_or(has_passed);
        let was_overdue = self.is_overdue || self.is_lost;
        self.is_overdue = heard_at.is_none_or(has_passed) && (was_overdue || waited);
        self.is_lost |= self.is_overdue && hears_others;
        self.is_overdue
    }
}

/// What decides whether the heartbeats of a member are overdue.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatWait {
    pub now: MonoTime,
    /// Since when this instance receives heartbeats from their senders; `None` if they are relayed.
    pub direct_since: Option<MonoTime>,
    pub timeout: Duration,
    /// Whether heartbeats of some members arrive. If none do, this instance may be the one that is cut
    /// off.
    pub hears_others: bool,
}

#[derive(Debug, Clone)]
pub(super) struct HeardState {
    /// When the heartbeat was received, by this instance or by the one that relayed it.
    pub at: MonoTime,
    pub message: HeartbeatMessage,
    /// Whether a relay reported the member as unresponsive since.
    pub is_unresponsive: bool,
}

impl HeardState {
    pub fn is_recent(&self, now: MonoTime) -> bool {
        !self.is_unresponsive && now.since(self.at) <= HEARTBEAT_TIMEOUT
    }
}
