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
/// Replace [`TAKEOVER_INTERVAL`] and [`TAKEOVER_DELAY_MAX`] while no watcher is heard. Changes must be in force 2 s
/// after the store accepted them, of which [`CONFIRMATION_AGE_MAX`] takes most.
const SILENT_TAKEOVER_INTERVAL: Duration = Duration::from_millis(20);
const SILENT_TAKEOVER_DELAY_MAX: Duration = Duration::from_millis(300);
/// Number of instances, in rank order, that call a store which the watchers report as failing. It
/// may serve some of them, which then relay its changes; calls of a whole fleet would only load it.
const LOST_CALLERS: usize = 12;
/// Age of the newest confirmation beyond which further instances join those, one after another.
const LOST_CALLERS_AGE_MAX: Duration = Duration::from_secs(3);
/// Replace [`LOST_CALLERS_AGE_MAX`] and [`TAKEOVER_INTERVAL`] in a fleet without relays. By then those that are cut
/// off from the store know it, and its changes can still be in force in time. Through relays a confirmation may
/// be that old while the store works.
const DIRECT_CALLERS_AGE_MAX: Duration = Duration::from_millis(1_500);
const DIRECT_CALLERS_INTERVAL: Duration = Duration::from_millis(50);

/// How an instance receives changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchDuty {
    /// Watches the store itself.
    Watch,
    /// Receives the changes from other instances.
    Follow,
}

/// What an instance hears from the watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherContact {
    /// One of them was heard lately and did not report that its calls to the store fail, or their silence says
    /// nothing.
    Heard,
    /// All that were heard lately report that their calls to the store fail.
    Lost,
    /// None was heard lately, although heartbeats come from their senders, and the next in rank may be lost as
    /// well.
    Silent,
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
    /// What this instance hears from the watchers.
    pub contact: WatcherContact,
    /// Whether this instance watches the store and its latest call succeeded.
    pub is_served: bool,
    /// Whether heartbeats come from their senders, not through relays.
    pub is_direct: bool,
}

/// Returns whether an instance should watch the store now.
pub fn watch_duty(inputs: WatchInputs) -> WatchDuty {
    let Some(before) = inputs.rank.checked_sub(inputs.watchers) else {
        return WatchDuty::Watch;
    };
    let delay = total_delay(TAKEOVER_INTERVAL, before);
    let age_limit = match inputs.contact {
        WatcherContact::Heard => CONFIRMATION_AGE_MAX + delay.min(TAKEOVER_DELAY_MAX),
        WatcherContact::Silent => {
            let delay = total_delay(SILENT_TAKEOVER_INTERVAL, before);
            CONFIRMATION_AGE_MAX + delay.min(SILENT_TAKEOVER_DELAY_MAX)
        }
        WatcherContact::Lost => match inputs.rank.checked_sub(LOST_CALLERS) {
            None => STORE_LOST_AGE_MAX + delay,
            Some(_) if !inputs.is_direct => LOST_CALLERS_AGE_MAX + delay,
            // The store serves none of those before it.
            Some(_) if inputs.is_served => return WatchDuty::Watch,
            Some(before) => DIRECT_CALLERS_AGE_MAX + total_delay(DIRECT_CALLERS_INTERVAL, before),
        },
    };
    if inputs.confirmed_age > age_limit { WatchDuty::Watch } else { WatchDuty::Follow }
}

/// Returns the delay of an instance with this many before it.
fn total_delay(interval: Duration, before: usize) -> Duration {
    interval.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX))
}
