//! The control state of an instance: membership, the configuration in force, leaving backend
//! servers. One reducer takes all events and returns effects as data.
//!
//! The crate is pure: time comes in with each event, and nothing here knows sockets or the store's
//! protocol. Traffic sees the state only as an immutable [`FleetView`].

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
