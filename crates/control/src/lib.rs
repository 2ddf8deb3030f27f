//! The control state of an instance: its members, the configuration in force and the leaving
//! backend servers. A reducer applies all events and returns effects as values.
//!
//! The crate does no I/O. Callers pass the time with each event and carry out the effects. The code
//! that serves requests sees the state only as an immutable [`FleetView`].

pub mod event;
pub mod member;
pub mod reducer;
pub mod rendezvous;
pub mod ring;
pub mod view;

pub use event::{ControlEffect, ControlEvent, StateChange, StoreCall};
pub use member::{MemberStatus, MemberTable};
pub use reducer::{ControlSettings, ControlState};
pub use view::{FleetView, ServiceHomes};
