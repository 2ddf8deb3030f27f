//! The time line: each process keeps its latest events in a bounded ring buffer. A hybrid logical
//! clock orders them over all processes.

pub mod clock;
pub mod event;
pub mod ring;

pub use clock::{HybridClock, HybridTime};
pub use event::{EventKind, TimelineEvent, TimelineQuery};
pub use ring::EventRing;
