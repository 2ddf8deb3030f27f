//! Reports on the logs of instances, from files or the standard input.

use anyhow::{Context, Result};
use log_analysis::{FailureSummary, LineFilter, LogLine, ReadTally, TraceBuilder, read_lines};
use smol_str::SmolStr;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;

/// Lines between two words on the progress.
const PROGRESS_LINES: u64 = 1_000_000;

/// What was found.
#[derive(Debug)]
pub struct LogReport {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: serde_json::Value,
    /// What was read.
    pub tally: ReadTally,
    /// Whether there is anything to tell.
    pub is_found: bool,
}

/// Tells what happened to a request.
///
/// # Errors
/// A log that can't be read.
pub fn explain_request(request: SmolStr, logs: &[PathBuf]) -> Result<LogReport> {
    let mut builder = TraceBuilder::new(request.clone());
    let tally = read_logs(logs, |line| builder.add_line(line))?;
    let Some(trace) = builder.finish() else {
        let text = format!("{request}: no line in {} lines is about it\n", tally.lines);
        return Ok(LogReport { text, json: serde_json::Value::Null, tally, is_found: false });
    };
    let json = serde_json::to_value(&trace)?;
    Ok(LogReport { text: trace.to_string(), json, tally, is_found: true })
}

/// Counts failed requests by cause.
///
/// # Errors
/// A log that can't be read.
pub fn summarize_failures(logs: &[PathBuf]) -> Result<LogReport> {
    let mut summary = FailureSummary::default();
    let tally = read_logs(logs, |line| summary.add_line(&line))?;
    let json = summary.to_json();
    Ok(LogReport { text: summary.to_string(), json, tally, is_found: true })
}

/// Lists lines in the order of their times.
///
/// # Errors
/// A log that can't be read.
pub fn list_lines(filter: &LineFilter, logs: &[PathBuf]) -> Result<LogReport> {
    let mut wanted: Vec<LogLine> = Vec::new();
    let tally = read_logs(logs, |line| {
        if filter.matches(&line) {
            wanted.push(line);
        }
    })?;
    wanted.sort_by(|left, right| left.at.total_cmp(&right.at));
    let text: String = wanted.iter().map(|line| format!("{line}\n")).collect();
    let json = serde_json::to_value(&wanted)?;
    Ok(LogReport { text, json, tally, is_found: !wanted.is_empty() })
}

fn read_logs(logs: &[PathBuf], mut take: impl FnMut(LogLine)) -> Result<ReadTally> {
    let mut tally = ReadTally::default();
    let mut read = |input: &mut dyn BufRead| {
        read_lines(input, &mut tally, |line, tally| {
            if tally.lines.is_multiple_of(PROGRESS_LINES) {
                eprintln!("{} lines read", tally.lines);
            }
            take(line);
        })
    };
    if logs.is_empty() {
        read(&mut stdin().lock()).context("standard input")?;
    }
    for log in logs {
        let file = File::open(log).with_context(|| format!("{}", log.display()))?;
        read(&mut BufReader::new(file)).with_context(|| format!("{}", log.display()))?;
    }
    Ok(tally)
}
