//! Selects the route of a plain HTTP request by host and path, and the service of a route that is
//! split between several.
//!
//! Pure: no I/O, no clock.

mod split;
mod table;

pub use split::SplitCursor;
pub use table::{
    RepeatKind, RequestLimits, RouteBuilder, RouteEntry, RouteTable, RouteTarget, ServiceEntry,
    TableBuilder,
};
