//! What happened to one request, over all instances, and what they believed when they decided.

use crate::line::LogLine;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Events that tell what an instance believes. The latest of each kind goes with a decision.
const STATE_EVENTS: [&str; 7] =
    ["start", "stopping", "config", "ready", "homes", "store_lost", "store_regained"];
/// The event of a request's final answer, and those of a request that ended without being served.
const FINAL_EVENTS: [&str; 2] = ["request", "rejected"];

/// Lines of one instance that hold until others replace them.
#[derive(Debug, Default)]
struct InstanceContext {
    states: BTreeMap<&'static str, LogLine>,
    /// Latest line on each backend server.
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
        // The detail of a line on a server begins with its name, or with the key of its record.
        let name = line.text("detail").and_then(|detail| detail.split_whitespace().next());
        let name = name.map(|name| name.rsplit('/').next().unwrap_or(name));
        if let Some(name) = name {
            self.servers.insert(name.into(), line.clone());
        }
    }
}

/// Collects the story of a request from lines in the order of each instance.
#[derive(Debug)]
pub struct TraceBuilder {
    request: SmolStr,
    contexts: HashMap<SmolStr, InstanceContext>,
    steps: Vec<LogLine>,
    beliefs: Vec<LogLine>,
}

impl TraceBuilder {
    /// Starts without any line.
    pub fn new(request: SmolStr) -> Self {
        Self { request, contexts: HashMap::new(), steps: Vec::new(), beliefs: Vec::new() }
    }

    /// Takes the next line.
    pub fn add_line(&mut self, line: LogLine) {
        let context = self.contexts.entry(line.on.clone()).or_default();
        if line.request.as_ref() != Some(&self.request) {
            context.update(&line);
            return;
        }
        let server = line.text("server").and_then(|server| context.servers.get(server));
        for belief in context.states.values().chain(server) {
            if !self.beliefs.contains(belief) {
                self.beliefs.push(belief.clone());
            }
        }
        self.steps.push(line);
    }

    /// Gives the story, or none if no line is about the request.
    pub fn finish(mut self) -> Option<RequestTrace> {
        let by_time = |left: &LogLine, right: &LogLine| left.at.total_cmp(&right.at);
        self.steps.sort_by(by_time);
        self.beliefs.sort_by(by_time);
        let first = self.steps.first()?.at;
        let end = self.steps.iter().rev().find(|line| FINAL_EVENTS.contains(&line.event.as_str()));
        Some(RequestTrace {
            request: self.request,
            verdict: verdict_of(end, &self.steps),
            first,
            steps: self.steps,
            beliefs: self.beliefs,
        })
    }
}

fn verdict_of(end: Option<&LogLine>, steps: &[LogLine]) -> SmolStr {
    let Some(end) = end else {
        return "no final answer in these lines: the caller left, the instance ended, or the line was \
                left out"
            .into();
    };
    let status = end.number("status").unwrap_or_default();
    let cause = end.text("cause").unwrap_or("none given");
    let may_have_run = steps.iter().any(|step| {
        step.text("outcome").is_some_and(|outcome| outcome.starts_with("may have run"))
    });
    let verdict = match status as u16 {
        200..=299 => "served".to_owned(),
        408 | 421 | 429 | 503 => format!("refused, not run: {cause}"),
        502 | 504 => format!("failed, may have run: {cause}"),
        400..=499 => format!("rejected, not run: {cause}"),
        _ if may_have_run => format!("failed, may have run: {cause}"),
        _ => "the backend server's own failure".to_owned(),
    };
    format!("{verdict} (status {status})").into()
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Its id.
    pub request: SmolStr,
    /// How it ended.
    pub verdict: SmolStr,
    /// Time of the first line, in seconds since 1970.
    pub first: f64,
    /// Decisions about it, in order.
    pub steps: Vec<LogLine>,
    /// What the instances that decided had last logged about themselves and about the servers they
    /// chose.
    pub beliefs: Vec<LogLine>,
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.request, self.verdict)?;
        writeln!(f, "decisions, seconds after {:.3}:", self.first)?;
        for step in &self.steps {
            writeln!(f, "  {:+8.3} {}", step.at - self.first, Decision(step))?;
        }
        if !self.beliefs.is_empty() {
            writeln!(f, "known to these instances then:")?;
        }
        for belief in &self.beliefs {
            writeln!(f, "  {:+8.3} {}", belief.at - self.first, Decision(belief))?;
        }
        Ok(())
    }
}

/// A line without its time and without the request's id.
struct Decision<'a>(&'a LogLine);

impl fmt::Display for Decision<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.0.on, self.0.event)?;
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
