//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        self.lines.lock().unwrap().push((at, text.to_owned()));
    }

    /// Returns the seconds from the start to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, text)| format!("{:8.3} {text}\n", self.seconds(*at))).collect();
        std::fs::write(path, text)
    }
}
