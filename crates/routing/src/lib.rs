//! Selects the route of an HTTP request by host and path, and the service for a request of a route
//! that is split between several services.
//!
//! The crate does no I/O and uses no clock.

mod split;
mod table;

pub use split::SplitCursor;
pub use table::{
    Idempotency, RequestLimits, RouteBuilder, RouteEntry, RouteTable, RouteTarget, ServiceEntry,
    TableBuilder,
};
