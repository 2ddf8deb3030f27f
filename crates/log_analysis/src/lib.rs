//! Reads the decision lines that instances write, of one or many, and tells from them what happened
//! to a request and why requests failed.
//!
//! Everything is read once and in order, so that a log of any length can be piped in; memory grows
//! with what is told, not with what is read.

mod line;
mod summary;
mod trace;

pub use line::{LineFilter, LogLine, ReadTally, read_lines};
pub use summary::{FailureSummary, SummaryRow};
pub use trace::{RequestTrace, TraceBuilder};
