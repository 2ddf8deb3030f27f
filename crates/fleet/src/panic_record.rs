//! Decides from the panics of an instance's tasks whether it can still serve.

use model::MonoTime;
use std::time::Duration;

/// Panics in a row, without a request served between them, after which an instance is not ready.
const PANICS_MAX: u32 = 5;
/// Time for which it is then not ready. Callers leave it within that time; a request that it serves
/// meanwhile ends it.
const UNREADY_DURATION: Duration = Duration::from_secs(5);

/// Panics of the tasks of an instance since the last request that it served.
#[derive(Debug, Clone, Default)]
pub struct PanicRecord {
    panics: u32,
    unready_until: MonoTime,
}

impl PanicRecord {
    /// Records a panic.
    pub fn record_panic(&mut self, now: MonoTime) {
        self.panics = self.panics.saturating_add(1);
        if self.panics >= PANICS_MAX {
            self.unready_until = now.plus(UNREADY_DURATION);
        }
    }

    /// Records a request whose handler returned.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether the instance panicked so often that it should not get requests.
    pub fn is_unready(&self, now: MonoTime) -> bool {
        now < self.unready_until
    }
}
