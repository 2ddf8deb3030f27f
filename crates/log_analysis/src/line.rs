//! Log lines: their type, filter and reader.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::fmt;
use std::io::{BufRead, Read};

/// Longest accepted line, in bytes. Instances write far shorter ones.
const LINE_MAX_BYTES: u64 = 64 * 1024;

/// One decision logged by an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time by the instance's clock, in seconds since 1970.
    pub at: f64,
    /// Instance that logged the line.
    #[serde(rename = "on")]
    pub instance: SmolStr,
    /// Kind of decision, such as `request` or `attempt_failed`.
    pub event: SmolStr,
    /// Id of the request, if the decision concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// Further fields: inputs of the decision and its outcome.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the value of a text field, if present.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a numeric field, if present.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {} {}", self.at, self.instance, self.event)?;
        if let Some(request) = &self.request {
            write!(f, " {request}")?;
        }
        for (name, value) in &self.fields {
            match value {
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text:?}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Selects log lines. A line must meet each condition that is set.
#[derive(Debug, Clone, Default)]
pub struct LineFilter {
    /// Id of the request.
    pub request: Option<SmolStr>,
    /// Name of the instance.
    pub instance: Option<SmolStr>,
    /// Kind of decision.
    pub event: Option<SmolStr>,
    /// Earliest time, inclusive, in seconds since 1970.
    pub since: Option<f64>,
    /// Latest time, inclusive, in seconds since 1970.
    pub until: Option<f64>,
}

impl LineFilter {
    /// Whether `line` meets all conditions.
    pub fn matches(&self, line: &LogLine) -> bool {
        let is_equal = |expected: &Option<SmolStr>, found: &SmolStr| {
            expected.as_ref().is_none_or(|e| e == found)
        };
        let is_request =
            self.request.as_ref().is_none_or(|request| line.request.as_ref() == Some(request));
        is_request
            && is_equal(&self.instance, &line.instance)
            && is_equal(&self.event, &line.event)
            && self.since.is_none_or(|since| line.at >= since)
            && self.until.is_none_or(|until| line.at <= until)
    }
}

/// Number of lines read so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReadTally {
    /// Lines parsed.
    pub lines: u64,
    /// Lines skipped: truncated, too long, or not written by an instance.
    pub skipped: u64,
}

/// Calls `on_line` with each parsed line of `input` and the counts so far. Blank lines are ignored;
/// lines that cannot be parsed are counted as skipped.
///
/// # Errors
/// Reading from `input` failed.
pub fn read_lines(
    mut input: impl BufRead,
    tally: &mut ReadTally,
    mut on_line: impl FnMut(LogLine, &ReadTally),
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        let is_too_long = bytes.len() as u64 == LINE_MAX_BYTES && bytes.last() != Some(&b'\n');
        if is_too_long {
            tally.skipped += 1;
            input.skip_until(b'\n')?;
            continue;
        }
        if bytes.trim_ascii().is_empty() {
            continue;
        }
        match serde_json::from_slice(&bytes) {
            Ok(line) => {
                tally.lines += 1;
                on_line(line, tally);
            }
            Err(_) => tally.skipped += 1,
        }
    }
}
