//! Traces one request over all instances: the decisions about it and the state behind them.

use crate::line::LogLine;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Events that report the state of an instance. A trace includes the latest of each kind before a
/// decision.
const STATE_EVENTS: [&str; 7] =
    ["start", "stopping", "config", "ready", "homes", "store_lost", "store_regained"];
/// Events that end a request: its final response, or its rejection.
const FINAL_EVENTS: [&str; 2] = ["request", "rejected"];

/// State of one instance, as last logged.
#[derive(Debug, Default)]
struct InstanceContext {
    /// Latest line of each event in [`STATE_EVENTS`].
    states: BTreeMap<&'static str, LogLine>,
    /// Latest line about each backend server.
    servers: HashMap<SmolStr, LogLine>,
}

impl InstanceContext {
    fn update(&mut self, line: &LogLine) {
        if let Some(event) = STATE_EVENTS.iter().find(|event| **event == line.event) {
            self.states.insert(event, line.clone());
            if *event == "store_regained" {
                self.states.remove("store_lost");
            }
        }
        if !matches!(line.event.as_str(), "server" | "record_gone") {
            return;
        }
        // The detail of a line about a server begins with its name or the key of its record.
        let name = line.text("detail").and_then(|detail| detail.split_whitespace().next());
        let name = name.map(|name| name.rsplit('/').next().unwrap_or(name));
        if let Some(name) = name {
            self.servers.insert(name.into(), line.clone());
        }
    }
}

/// Builds the trace of a request. The lines of each instance must be added in the order in which it
/// wrote them.
#[derive(Debug)]
pub struct TraceBuilder {
    request: SmolStr,
    instances: HashMap<SmolStr, InstanceContext>,
    steps: Vec<LogLine>,
    context: Vec<LogLine>,
}

impl TraceBuilder {
    /// Creates a builder without lines.
    pub fn new(request: SmolStr) -> Self {
        Self { request, instances: HashMap::new(), steps: Vec::new(), context: Vec::new() }
    }

    /// Adds the next line of an instance.
    pub fn add_line(&mut self, line: LogLine) {
        let instance = self.instances.entry(line.instance.clone()).or_default();
        if line.request.as_ref() != Some(&self.request) {
            instance.update(&line);
            return;
        }
        let server = line.text("server").and_then(|server| instance.servers.get(server));
        for state in instance.states.values().chain(server) {
            if !self.context.contains(state) {
                self.context.push(state.clone());
            }
        }
        self.steps.push(line);
    }

    /// Returns the trace, or `None` if no line concerns the request.
    pub fn finish(mut self) -> Option<RequestTrace> {
        let by_time = |left: &LogLine, right: &LogLine| left.at.total_cmp(&right.at);
        self.steps.sort_by(by_time);
        self.context.sort_by(by_time);
        let first = self.steps.first()?.at;
        let end = self.steps.iter().rev().find(|line| FINAL_EVENTS.contains(&line.event.as_str()));
        Some(RequestTrace {
            request: self.request,
            verdict: verdict_of(end, &self.steps),
            first,
            steps: self.steps,
            context: self.context,
        })
    }
}

fn verdict_of(end: Option<&LogLine>, steps: &[LogLine]) -> SmolStr {
    let Some(end) = end else {
        return "no final response in these lines: the caller disconnected, the instance ended, or the \
                line is missing"
            .into();
    };
    let status = end.number("status").unwrap_or_default();
    let cause = end.text("cause").unwrap_or("no cause logged");
    let may_have_run = steps.iter().any(|step| {
        step.text("outcome").is_some_and(|outcome| outcome.starts_with("may have run"))
    });
    let verdict = match status as u16 {
        200..=299 => "served".to_owned(),
        408 | 421 | 429 | 503 => format!("refused, not run: {cause}"),
        502 | 504 => format!("failed, may have run: {cause}"),
        400..=499 => format!("rejected, not run: {cause}"),
        _ if may_have_run => format!("failed, may have run: {cause}"),
        _ => "failed at the backend server".to_owned(),
    };
    format!("{verdict} (status {status})").into()
}

/// Trace of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub request: SmolStr,
    /// How the request ended, and its status.
    pub verdict: SmolStr,
    /// Time of the first line, in seconds since 1970.
    pub first: f64,
    /// Decisions about the request, ordered by time.
    pub steps: Vec<LogLine>,
    /// Lines that the deciding instances had last logged about themselves and the servers they
    /// chose, ordered by time.
    #[serde(rename = "beliefs")]
    pub context: Vec<LogLine>,
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.request, self.verdict)?;
        writeln!(f, "decisions, in seconds after {:.3}:", self.first)?;
        for step in &self.steps {
            writeln!(f, "  {:+8.3} {}", step.at - self.first, LineDetail(step))?;
        }
        if !self.context.is_empty() {
            writeln!(f, "state last logged by these instances:")?;
        }
        for state in &self.context {
            writeln!(f, "  {:+8.3} {}", state.at - self.first, LineDetail(state))?;
        }
        Ok(())
    }
}

/// Displays a line without its time and request id.
struct LineDetail<'a>(&'a LogLine);

impl fmt::Display for LineDetail<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.0.instance, self.0.event)?;
        for (name, value) in &self.0.fields {
            match value.as_str() {
                Some("") => {}
                Some(text) if name == "detail" => write!(f, " {text}")?,
                Some(text) => write!(f, " {name}={text:?}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
