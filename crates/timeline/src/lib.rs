//! Typed events in a bounded ring for each process, ordered over all processes by a hybrid logical
//! clock.

pub mod clock;
pub mod event;
pub mod ring;

pub use clock::{HybridClock, HybridTime};
pub use event::{EventKind, TimelineEvent, TimelineQuery};
pub use ring::EventRing;
