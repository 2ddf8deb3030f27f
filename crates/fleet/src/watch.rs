//! Decides which instances watch the store. Calls to the store are limited and priced, so only a few
//! watch it and relay its changes. If the watchers' confirmations stop, the other instances start to
//! watch one after another.

use std::time::Duration;

/// Age of the newest confirmation beyond which other instances than the regular watchers start to
/// watch. It is longer than a watch of an idle store takes to return.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_millis(1_300);
/// Replaces [`CONFIRMATION_AGE_MAX`] while the watchers report that their calls to the store fail.
const STORE_LOST_AGE_MAX: Duration = Duration::from_millis(150);
/// Delay between two instances, adjacent in rank order, that start to watch.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(150);
/// Longest total delay of an instance; without this bound the last instances of a large fleet would
/// wait too long.
const TAKEOVER_DELAY_MAX: Duration = Duration::from_millis(2_500);
/// Number of instances, in rank order, that call a store which the watchers report as failing. It
/// may serve some of them, which then relay its changes; calls of a whole fleet would only load it.
const LOST_CALLERS: usize = 12;
/// Age of the newest confirmation beyond which further instances join those, one after another.
const LOST_CALLERS_AGE_MAX: Duration = Duration::from_secs(3);

/// How an instance receives changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchDuty {
    /// Watches the store itself.
    Watch,
    /// Receives the changes from other instances.
    Follow,
}

/// Inputs of [`watch_duty`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchInputs {
    /// Rank of this instance among the usable members, zero for the first.
    pub rank: usize,
    /// Number of members, in rank order, that always watch.
    pub watchers: usize,
    /// Age of the newest confirmation by the store that this instance received, directly or relayed.
    pub confirmed_age: Duration,
    /// Whether every watcher with a recent heartbeat reports that its calls to the store fail.
    pub all_lost: bool,
}

/// Returns whether an instance should watch the store now.
pub fn watch_duty(inputs: WatchInputs) -> WatchDuty {
    if inputs.rank < inputs.watchers {
        return WatchDuty::Watch;
    }
    let position = u32::try_from(inputs.rank - inputs.watchers).unwrap_or(u32::MAX);
    let delay = TAKEOVER_INTERVAL.saturating_mul(position);
    let age_limit = match (inputs.all_lost, inputs.rank < LOST_CALLERS) {
        (false, _) => CONFIRMATION_AGE_MAX + delay.min(TAKEOVER_DELAY_MAX),
        (true, true) => STORE_LOST_AGE_MAX + delay,
        (true, false) => LOST_CALLERS_AGE_MAX + delay,
    };
    if inputs.confirmed_age > age_limit { WatchDuty::Watch } else { WatchDuty::Follow }
}
