//! Limits on pulls of store changes, which come from a whole data centre at once when relayed changes
//! were lost or did not fit a datagram.

use model::MonoTime;
use std::time::Duration;

/// Bound on the first pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after the first failed pull; doubled with each further one.
const DELAY_FIRST: Duration = Duration::from_millis(100);
/// Number of failed pulls after which delay and bound no longer grow.
const DOUBLINGS_MAX: u32 = 3;
/// Time between two snapshots that an instance sends to others. Each takes much of a small instance's
/// link; changes take little.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);

/// Delays the pulls of an instance while they fail.
#[derive(Debug, Clone, Default)]
pub struct PullBackoff {
    failures: u32,
    next_at: MonoTime,
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
        *self = Self::default();
    }

    /// Records a failed pull. `jitter`, about 1, spreads the pulls of many instances.
    pub fn record_failure(&mut self, now: MonoTime, jitter: f64) {
        self.next_at = now.plus((DELAY_FIRST * 2_u32.pow(self.failures)).mul_f64(jitter));
        self.failures = (self.failures + 1).min(DOUBLINGS_MAX);
    }
}

/// Limits how often an instance sends whole snapshots.
#[derive(Debug, Clone, Default)]
pub struct SnapshotQuota {
    next_at: MonoTime,
}

impl SnapshotQuota {
    /// Whether a snapshot may be sent now. If so, counts it.
    pub fn take(&mut self, now: MonoTime) -> bool {
        let is_allowed = now >= self.next_at;
        if is_allowed {
            self.next_at = now.plus(SNAPSHOT_INTERVAL);
        }
        is_allowed
    }
}
