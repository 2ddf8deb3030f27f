//! Client library for callers: looks up the addresses of instances and caches them, fails over
//! between instances, and sends non-idempotent work under tickets.

mod client;
mod report;

pub use client::{CallerClient, NoInstanceError};
pub use report::CallReport;
