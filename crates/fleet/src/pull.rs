//! Limits on pulls of store changes, which come from a whole data centre at once when relayed changes
//! were lost or did not fit a datagram.

use model::{MonoTime, bounded_duration};
use std::time::Duration;

/// Bound on the first pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after the first failed pull; doubled with each further one.
const DELAY_FIRST: Duration = Duration::from_millis(100);
/// Number of failed pulls after which delay and bound no longer grow.
const DOUBLINGS_MAX: u32 = 3;
/// Shortest time between two snapshots that an instance sends to others.
const SNAPSHOT_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Share of an instance's link that snapshots may take.
const SNAPSHOT_LINK_SHARE: f64 = 0.25;
/// Number of failed pulls after which an instance reads the store instead.
const FAILURES_BEFORE_READ: u32 = 2;
/// Time between two such reads.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which heartbeats or changes confirm the first snapshot of an instance that others know.
const FIRST_CONFIRMATION_WAIT: Duration = Duration::from_millis(400);

/// Delays the pulls of an instance while they fail.
#[derive(Debug, Clone, Default)]
pub struct PullBackoff {
    failures: u32,
    next_at: MonoTime,
    read_at: Option<MonoTime>,
}

impl PullBackoff {
    /// Whether the instance may pull now.
    pub fn is_due(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Returns the bound on the next pull. It grows with each failure, since a snapshot takes long
    /// over a busy link.
    pub fn timeout(&self) -> Duration {
        PULL_TIMEOUT * 2_u32.pow(self.failures)
    }

    /// Records a successful pull.
    pub fn record_success(&mut self) {
        *self = Self { read_at: self.read_at, ..Self::default() };
    }

    /// Whether the instance should read the store, since no other one supplies what it lacks. If so,
    /// counts the read.
    pub fn take_read(&mut self, now: MonoTime) -> bool {
        let is_due = self.failures >= FAILURES_BEFORE_READ
            && self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if is_due {
            self.read_at = Some(now);
        }
        is_due
    }

    /// Records a failed pull. `jitter`, about 1, spreads the pulls of many instances.
    pub fn record_failure(&mut self, now: MonoTime, jitter: f64) {
        self.next_at = now.plus((DELAY_FIRST * 2_u32.pow(self.failures)).mul_f64(jitter));
        self.failures = (self.failures + 1).min(DOUBLINGS_MAX);
    }
}

/// What an instance knows of its first snapshot.
#[derive(Debug, Clone, Copy)]
pub struct FirstSnapshot {
    /// Time since it was read.
    pub age: Duration,
    /// Whether the store has confirmed it, to this instance or to another one.
    pub is_confirmed: bool,
    /// Whether it has the record of this instance. Nobody sends changes to an instance without a record.
    pub is_registered: bool,
}

/// Pulls by which an instance has its first snapshot confirmed, which may be out of date.
///
/// Answers this load: all instances of a large fleet start together, and none of them can confirm anything
/// until some watch the store. So a pull that confirms nothing delays the next one, like one that fails.
#[derive(Debug, Clone, Default)]
pub struct ConfirmationPulls {
    backoff: PullBackoff,
}

impl ConfirmationPulls {
    /// Whether the instance should pull now.
    pub fn is_due(&self, now: MonoTime, first: FirstSnapshot) -> bool {
        let is_expected = first.is_registered && first.age < FIRST_CONFIRMATION_WAIT;
        !first.is_confirmed && !is_expected && self.backoff.is_due(now)
    }

    /// Records a pull that ended. `jitter`, about 1, spreads the pulls of many instances.
    pub fn record(&mut self, now: MonoTime, jitter: f64) {
        self.backoff.record_failure(now, jitter);
    }
}

/// Limits how often an instance sends whole snapshots, by the rate of its link.
#[derive(Debug, Clone)]
pub struct SnapshotQuota {
    bytes_per_s: f64,
    next_at: MonoTime,
}

impl SnapshotQuota {
    /// Creates a quota for a link with this rate in megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_s: (link_mbps * 1e6 / 8.0 * SNAPSHOT_LINK_SHARE).max(1.0),
            next_at: MonoTime(0),
        }
    }

    /// Whether a snapshot may be sent now.
    pub fn is_allowed(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Counts a snapshot of `bytes`.
    pub fn record_snapshot(&mut self, now: MonoTime, bytes: usize) {
        let on_link = bounded_duration(bytes as f64 / self.bytes_per_s);
        self.next_at = now.plus(on_link.max(SNAPSHOT_INTERVAL_MIN));
    }
}
