//! Requests that were not served, counted by cause.

use crate::line::LogLine;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::fmt;

/// Status from which a request counts as not served.
const FAILURE_STATUS: f64 = 400.0;
/// Requests whose ids are told for each row.
const SAMPLES: usize = 3;

/// One cause of failure.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SummaryRow {
    /// Requests.
    pub count: u64,
    /// Instances that told it.
    pub instances: BTreeMap<SmolStr, u64>,
    /// Time of the first and of the last, in seconds since 1970.
    pub first: f64,
    /// Time of the last, in seconds since 1970.
    pub last: f64,
    /// Longest time that one of them waited for a slot, in milliseconds.
    pub waited_max_ms: f64,
    /// Ids of a few, to be explained.
    pub samples: Vec<SmolStr>,
}

/// Status, cause and service.
type CauseKey = (u16, SmolStr, SmolStr);

/// Failed requests by status, cause and service.
#[derive(Debug, Clone, Default)]
pub struct FailureSummary {
    rows: BTreeMap<CauseKey, SummaryRow>,
    served: u64,
}

impl FailureSummary {
    /// Takes the next line.
    pub fn add_line(&mut self, line: &LogLine) {
        if !matches!(line.event.as_str(), "request" | "rejected") {
            return;
        }
        let status = line.number("status").unwrap_or_default();
        if status < FAILURE_STATUS {
            self.served += 1;
            return;
        }
        let cause = without_server(line.text("cause").unwrap_or("the server's own answer"));
        let service = line.text("service").unwrap_or("-");
        let row = self.rows.entry((status as u16, cause, service.into())).or_default();
        if row.count == 0 {
            row.first = line.at;
        }
        row.count += 1;
        row.first = row.first.min(line.at);
        row.last = row.last.max(line.at);
        *row.instances.entry(line.on.clone()).or_default() += 1;
        row.waited_max_ms = row.waited_max_ms.max(line.number("waited_ms").unwrap_or_default());
        if row.samples.len() < SAMPLES {
            row.samples.extend(line.request.clone());
        }
    }

    /// Requests that were served, as far as they were logged.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// The rows with their keys, the most frequent first.
    pub fn rows(&self) -> Vec<(&CauseKey, &SummaryRow)> {
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by(|left, right| right.1.count.cmp(&left.1.count).then(left.0.cmp(right.0)));
        rows
    }

    /// The rows as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let rows = self.rows();
        rows.into_iter()
            .map(|((status, cause, service), row)| {
                serde_json::json!({
                    "status": status, "cause": cause, "service": service, "row": row,
                })
            })
            .collect()
    }
}

/// The cause without the server that it names, so that a cause is one row.
fn without_server(cause: &str) -> SmolStr {
    let cut = cause.find(" at ").or_else(|| cause.find(" from "));
    cut.map_or(cause, |at| &cause[..at]).into()
}

impl fmt::Display for FailureSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "served, as far as logged: {}", self.served)?;
        for ((status, cause, service), row) in self.rows() {
            writeln!(
                f,
                "{:6}  {status}  {cause}  service {service}  {} instances  {:.3} to {:.3}  waited at \
                 most {:.0} ms  for example {}",
                row.count,
                row.instances.len(),
                row.first,
                row.last,
                row.waited_max_ms,
                row.samples.join(" ")
            )?;
        }
        Ok(())
    }
}
