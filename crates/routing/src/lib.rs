//! Selects the route of an HTTP request by host and path, the service for a request of a route that is
//! split between several services, and the team of a caller by its key.
//!
//! The crate does no I/O and uses no clock.

mod split;
mod table;
mod team;

pub use split::SplitCursor;
pub use table::{
    Idempotency, RequestLimits, RouteBuilder, RouteEntry, RouteTable, RouteTarget, ServiceEntry,
    TableBuilder, WarmUpLimit,
};
pub use team::{ApiKey, TeamConflict, TeamEntry, TeamQuota, TeamTable};
