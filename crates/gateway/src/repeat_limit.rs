//! Limits log lines that a peer, a server or a caller can cause at any rate.

use model::MonoTime;
use std::time::Duration;

/// Lines of one kind that are written in each period.
const LINES_MAX: u32 = 5;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Limits the lines of one kind, and counts those that are left out.
#[derive(Debug, Clone, Default)]
pub struct RepeatLimit {
    began_at: MonoTime,
    written: u32,
    left_out: u64,
}

impl RepeatLimit {
    /// Returns whether a line may be written now: the number of lines left out since the previous one,
    /// or `None` if it is left out too.
    pub fn admit(&mut self, now: MonoTime) -> Option<u64> {
        if now.since(self.began_at) >= PERIOD {
            (self.began_at, self.written) = (now, 0);
        }
        if self.written >= LINES_MAX {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
