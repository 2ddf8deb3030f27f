//! HTTP client with pooled connections, and HTTP server.
//!
//! The client reads complete responses, and its errors say whether the request may have reached the
//! server. A connection carries one exchange at a time and is closed if the exchange fails, so a late
//! response is never matched to another request. The server limits the length of request heads and
//! shuts down without truncating responses.

mod body;
mod error;
mod memory;
mod pool;
mod read_meter;
mod response_head;
mod server;

pub use body::{BodyBudget, BodyError, HeldBytes, read_body};
pub use error::{LinkError, SendState};
pub use memory::{BodyClass, ResponseMemory};
pub use pool::{ConnectionChoice, LinkPool, LinkPoolBuilder};
pub use read_meter::{MeteredBody, MeteredStream, ReadMeter};
pub use server::{HttpServer, serve_http, serve_limited};
