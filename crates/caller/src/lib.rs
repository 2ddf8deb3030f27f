//! A thin library for callers: asks for addresses, keeps them, fails over, and uses tickets for
//! work that must not repeat.

mod client;
mod report;

pub use client::{CallerClient, NoInstanceError};
pub use report::CallReport;
