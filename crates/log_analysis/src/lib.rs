//! Reads the decision logs of one or more instances and reports what happened to a request, or why
//! requests failed.
//!
//! Input is read once, in order, so logs of any length can be piped in. Memory use grows with the
//! size of the report, not of the input.

mod line;
mod summary;
mod trace;

pub use line::{LineFilter, LogLine, ReadTally, read_lines};
pub use summary::{FailureSummary, SummaryRow};
pub use trace::{RequestTrace, TraceBuilder};
