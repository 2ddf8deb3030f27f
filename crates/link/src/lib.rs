//! Whole HTTP exchanges over pooled connections, with errors that say whether the request may have
//! reached the other end.
//!
//! One exchange at a time runs on a connection, so a late answer dies with its connection and can
//! never be taken for the answer to another request. The server side is here as well, with limits on
//! heads and a stop that cuts off no answer.

mod error;
mod pool;
mod server;

pub use error::{LinkError, SendState};
pub use pool::{ConnectionChoice, LinkPool, LinkPoolBuilder};
pub use server::{HttpServer, serve_http, serve_limited};
