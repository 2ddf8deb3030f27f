//! One line of a log, and reading many.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::fmt;
use std::io::{BufRead, Read};

/// Longest line that is read, in bytes; instances write far shorter ones.
const LINE_MAX_BYTES: u64 = 64 * 1024;

/// A decision line of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// When, in seconds since 1970, by the instance's clock.
    pub at: f64,
    /// The instance.
    pub on: SmolStr,
    /// What kind of decision.
    pub event: SmolStr,
    /// The request that it was about, if it was about one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// What decided it, and the outcome.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// A field as text, if there is one.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field as a number, if there is one.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {} {}", self.at, self.on, self.event)?;
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

/// Which lines are wanted.
#[derive(Debug, Clone, Default)]
pub struct LineFilter {
    /// Only of this request.
    pub request: Option<SmolStr>,
    /// Only of this instance.
    pub instance: Option<SmolStr>,
    /// Only of this kind.
    pub event: Option<SmolStr>,
    /// Only at or after this time, in seconds since 1970.
    pub since: Option<f64>,
    /// Only at or before this time, in seconds since 1970.
    pub until: Option<f64>,
}

impl LineFilter {
    /// Whether a line is wanted.
    pub fn matches(&self, line: &LogLine) -> bool {
        let is_wanted =
            |wanted: &Option<SmolStr>, found: &SmolStr| wanted.as_ref().is_none_or(|w| w == found);
        let is_request =
            self.request.as_ref().is_none_or(|request| line.request.as_ref() == Some(request));
        is_request
            && is_wanted(&self.instance, &line.on)
            && is_wanted(&self.event, &line.event)
            && self.since.is_none_or(|since| line.at >= since)
            && self.until.is_none_or(|until| line.at <= until)
    }
}

/// What was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReadTally {
    /// Lines that could be read.
    pub lines: u64,
    /// Lines that could not: cut off, too long, or of another program.
    pub skipped: u64,
}

/// Hands each line of `input` to `take`, with what was read so far. Lines that can't be read are
/// counted and passed over.
///
/// # Errors
/// The input can't be read any further.
pub fn read_lines(
    mut input: impl BufRead,
    tally: &mut ReadTally,
    mut take: impl FnMut(LogLine, &ReadTally),
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        let is_cut = bytes.len() as u64 == LINE_MAX_BYTES && bytes.last() != Some(&b'\n');
        if is_cut {
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
                take(line, tally);
            }
            Err(_) => tally.skipped += 1,
        }
    }
}
