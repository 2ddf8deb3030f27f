//! Detects that the process stood still: frozen, suspended with its machine, or starved of processor
//! time. What it knew about the fleet may be out of date then.

use model::MonoTime;
use std::time::Duration;

/// Time between two ticks beyond which the process was paused. It ticks several times a second.
const TICK_GAP_MAX: Duration = Duration::from_secs(1);
/// Time after a pause for which the process waits for its knowledge to be confirmed. Without the
/// store or other instances it then serves by what it has.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Compares the times of ticks, which must come from a clock that counts suspensions.
#[derive(Debug, Clone, Default)]
pub struct PauseDetector {
    ticked_at: Option<MonoTime>,
    resumed_at: Option<MonoTime>,
}

impl PauseDetector {
    /// Records that the process runs. Returns the length of the pause that just ended, if any.
    pub fn tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = self.ticked_at.map(|at| now.since(at));
        self.ticked_at = Some(now);
        let pause = gap.filter(|gap| *gap > TICK_GAP_MAX)?;
        self.resumed_at = Some(now);
        Some(pause)
    }

    /// Whether knowledge that was last confirmed at `confirmed_at` may have become outdated by a pause
    /// that ended just now.
    pub fn is_outdated(&self, now: MonoTime, confirmed_at: Option<MonoTime>) -> bool {
        self.resumed_at.is_some_and(|resumed_at| {
            now.since(resumed_at) < CONFIRMATION_TIMEOUT
                && confirmed_at.is_some_and(|at| at < resumed_at)
        })
    }
}
