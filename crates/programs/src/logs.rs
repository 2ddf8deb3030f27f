//! Reports on the logs of instances, read from files or standard input.

use anyhow::{Context, Result};
use log_analysis::{FailureSummary, LineFilter, LogLine, ReadTally, TraceBuilder, read_lines};
use smol_str::SmolStr;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;

/// Number of lines read between two progress messages.
const PROGRESS_INTERVAL: u64 = 1_000_000;

/// Report on logs.
#[derive(Debug)]
pub struct LogReport {
    /// The report as text.
    pub text: String,
    /// The report as JSON; null for a request that no line is about.
    pub json: serde_json::Value,
    /// Numbers of lines read and skipped.
    pub tally: ReadTally,
    /// Whether anything was found; a summary of failures always counts as found.
    pub is_found: bool,
}

/// Reports what happened to a request.
///
/// # Errors
/// A log can't be read.
pub fn explain_request(request: SmolStr, logs: &[PathBuf]) -> Result<LogReport> {
    let mut builder = TraceBuilder::new(request.clone());
    let tally = read_logs(logs, |line| builder.add_line(line))?;
    let Some(trace) = builder.finish() else {
        let text = format!("{request}: none of {} lines is about this request\n", tally.lines);
        return Ok(LogReport { text, json: serde_json::Value::Null, tally, is_found: false });
    };
    let json = serde_json::to_value(&trace)?;
    Ok(LogReport { text: trace.to_string(), json, tally, is_found: true })
}

/// Counts failed requests by cause.
///
/// # Errors
/// A log can't be read.
pub fn summarize_failures(logs: &[PathBuf]) -> Result<LogReport> {
    let mut summary = FailureSummary::default();
    let tally = read_logs(logs, |line| summary.add_line(&line))?;
    let json = summary.to_json();
    Ok(LogReport { text: summary.to_string(), json, tally, is_found: true })
}

/// Lists the lines that match `filter`, sorted by time.
///
/// # Errors
/// A log can't be read.
pub fn list_lines(filter: &LineFilter, logs: &[PathBuf]) -> Result<LogReport> {
    let mut matching: Vec<LogLine> = Vec::new();
    let tally = read_logs(logs, |line| {
        if filter.matches(&line) {
            matching.push(line);
        }
    })?;
    matching.sort_by(|left, right| left.at.total_cmp(&right.at));
    let text: String = matching.iter().map(|line| format!("{line}\n")).collect();
    let json = serde_json::to_value(&matching)?;
    Ok(LogReport { text, json, tally, is_found: !matching.is_empty() })
}

fn read_logs(logs: &[PathBuf], mut on_line: impl FnMut(LogLine)) -> Result<ReadTally> {
    let mut tally = ReadTally::default();
    let mut read = |input: &mut dyn BufRead| {
        read_lines(input, &mut tally, |line, tally| {
            if tally.lines.is_multiple_of(PROGRESS_INTERVAL) {
                eprintln!("{} lines read", tally.lines);
            }
            on_line(line);
        })
    };
    if logs.is_empty() {
        read(&mut stdin().lock()).context("can't read standard input")?;
    }
    for log in logs {
        let file = File::open(log).with_context(|| format!("can't open log {}", log.display()))?;
        read(&mut BufReader::new(file))
            .with_context(|| format!("can't read log {}", log.display()))?;
    }
    Ok(tally)
}
