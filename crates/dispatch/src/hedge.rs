//! Decides when a request is hedged beside an exchange that takes long.

use model::{CallDepth, WorkClass};
use std::time::Duration;

/// An exchange of short work counts as slow after this many times the typical service time.
const SLOW_EXCHANGE_RATIO: u32 = 30;
/// Age below which an exchange never counts as slow.
const SLOW_EXCHANGE_MIN: Duration = Duration::from_millis(150);

/// When to hedge a request whose exchange with a backend server has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeTiming {
    /// Never.
    Never,
    /// Once half of the time to the deadline has passed.
    HalfTime,
    /// Once the exchange has lasted this long, or at half-time if that is earlier.
    SlowerThan(Duration),
}

/// Returns when to hedge a request. `typical` is the typical service time of short work; zero if
/// unknown.
///
/// Nested requests are not hedged: the exchanges of all layers above a slow server take equally
/// long, and a hedge at each layer would repeat all layers below it.
pub fn hedge_timing(depth: CallDepth, class: WorkClass, typical: Duration) -> HedgeTiming {
    if depth.0 > 0 {
        return HedgeTiming::Never;
    }
    match class {
        WorkClass::Short if !typical.is_zero() => {
            HedgeTiming::SlowerThan((typical * SLOW_EXCHANGE_RATIO).max(SLOW_EXCHANGE_MIN))
        }
        WorkClass::Short | WorkClass::Long => HedgeTiming::HalfTime,
    }
}
