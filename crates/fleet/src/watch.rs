//! Which instances watch the store. Calls to it are limited and priced, so few do; the others are
//! told, and step in one after the other when nobody seems to hear the store any more.

use std::time::Duration;

/// Age of the newest confirmation after which others than the first watchers step in. Longer than a
/// watch of an idle store takes to return.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);
/// Age after which they step in if the watchers say that the store fails them.
const LOST_LIMIT: Duration = Duration::from_millis(150);
/// Pause between one instance stepping in and the next.
const STEP_SPAN: Duration = Duration::from_millis(150);
/// Longest total pause, so that the last of a large fleet still steps in.
const STEP_MAX: Duration = Duration::from_millis(2_500);

/// What an instance does about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchDuty {
    /// Watches.
    Watch,
    /// Relies on the other instances.
    Follow,
}

/// What the decision rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchInputs {
    /// Place among the usable members, zero for the first.
    pub rank: usize,
    /// Members that always watch.
    pub watchers: usize,
    /// Age of the newest confirmation by the store that reached this instance.
    pub confirmed_age: Duration,
    /// Whether every watcher that was heard says that the store fails it.
    pub all_lost: bool,
}

/// Decides whether an instance watches the store now.
pub fn watch_duty(inputs: WatchInputs) -> WatchDuty {
    if inputs.rank < inputs.watchers {
        return WatchDuty::Watch;
    }
    let place = u32::try_from(inputs.rank - inputs.watchers).unwrap_or(u32::MAX);
    let step = STEP_SPAN.saturating_mul(place).min(STEP_MAX);
    let limit = if inputs.all_lost { LOST_LIMIT } else { SILENCE_LIMIT };
    if inputs.confirmed_age > limit + step { WatchDuty::Watch } else { WatchDuty::Follow }
}
