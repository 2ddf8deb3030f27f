//! Types shared by all crates: names, sizes and rates, the configuration document, the verdict on a
//! request, and the headers and bodies that callers and instances exchange.
//!
//! The crate does no I/O and depends only on serde and smol_str.

pub mod backend;
pub mod document;
pub mod fleet;
pub mod name;
pub mod operator;
pub mod quantity;
pub mod route_preview;
pub mod time;
pub mod verdict;
pub mod wire;

pub use backend::{BackendSpec, ServerKey};
pub use document::{
    BackendServer, ConfigDocument, RouteRule, ServerBuilder, ServiceConfig, WorkClass,
};
pub use fleet::{DigestLine, FleetDigest, InstanceRecord, InstanceState, Leaving};
pub use name::{
    CallerName, ChangeId, DataCentre, InstanceName, ParseNameError, RequestId, RoutePrefix,
    ServerName, ServiceName, TeamName,
};
pub use quantity::{
    ByteCount, CallDepth, ConfigVersion, ConnectionCount, HomeCount, IncarnationId, Millis,
    ProbeRate, RequestRate, SlotCount, StoreEra, StoreRevision,
};
pub use time::{COMPUTED_DURATION_MAX, MonoTime, ProcessClock, bounded_duration};
pub use verdict::RunVerdict;
