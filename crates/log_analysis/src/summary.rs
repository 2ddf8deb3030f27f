//! Failed requests, counted by status, cause and service.

use crate::line::LogLine;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::fmt;

/// Lowest status of a failed request.
const FAILURE_STATUS_MIN: f64 = 400.0;
/// Number of sample request ids kept for each row.
const SAMPLES_MAX: usize = 3;

/// Failed requests with the same status, cause and service.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SummaryRow {
    /// Number of requests.
    pub count: u64,
    /// Number of requests by the instance that logged them.
    pub instances: BTreeMap<SmolStr, u64>,
    /// Time of the earliest request, in seconds since 1970.
    pub first: f64,
    /// Time of the latest request, in seconds since 1970.
    pub last: f64,
    /// Longest wait for a slot, in milliseconds.
    pub waited_max_ms: f64,
    /// Ids of the first few requests, whose traces may explain the cause.
    pub samples: Vec<SmolStr>,
}

/// Status, cause and service.
type CauseKey = (u16, SmolStr, SmolStr);

/// Counts failed requests by status, cause and service.
#[derive(Debug, Clone, Default)]
pub struct FailureSummary {
    rows: BTreeMap<CauseKey, SummaryRow>,
    served: u64,
}

impl FailureSummary {
    /// Counts `line` if it ends a request.
    pub fn add_line(&mut self, line: &LogLine) {
        if !matches!(line.event.as_str(), "request" | "rejected") {
            return;
        }
        let status = line.number("status").unwrap_or_default();
        if status < FAILURE_STATUS_MIN {
            self.served += 1;
            return;
        }
        let cause = strip_server(line.text("cause").unwrap_or("the server's own answer"));
        let service = line.text("service").unwrap_or("-");
        let row = self.rows.entry((status as u16, cause, service.into())).or_default();
        if row.count == 0 {
            row.first = line.at;
        }
        row.count += 1;
        row.first = row.first.min(line.at);
        row.last = row.last.max(line.at);
        *row.instances.entry(line.instance.clone()).or_default() += 1;
        row.waited_max_ms = row.waited_max_ms.max(line.number("waited_ms").unwrap_or_default());
        if row.samples.len() < SAMPLES_MAX {
            row.samples.extend(line.request.clone());
        }
    }

    /// Returns the number of served requests among the lines. Instances may not log all of them.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Returns the rows with their keys, the most frequent first.
    pub fn rows(&self) -> Vec<(&CauseKey, &SummaryRow)> {
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by(|left, right| right.1.count.cmp(&left.1.count).then(left.0.cmp(right.0)));
        rows
    }

    /// Returns the rows as JSON, in the order of [`rows`](Self::rows).
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

/// Cuts a cause at the first " at ", else at the first " from ". The name of the server follows
/// there; without it, the cause is counted once over all servers.
fn strip_server(cause: &str) -> SmolStr {
    let end = cause.find(" at ").or_else(|| cause.find(" from "));
    end.map_or(cause, |end| &cause[..end]).into()
}

impl fmt::Display for FailureSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "served requests in these logs: {}", self.served)?;
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
