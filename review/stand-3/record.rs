//! What was seen, in the order of time, and the file that holds it.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Lines {
    started: Instant,
    lines: Vec<String>,
}

/// The record of a run. Clones share it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Lines>>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(Lines { started: Instant::now(), lines: Vec::new() })))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut lines = self.0.lock().unwrap();
        let at = lines.started.elapsed().as_secs_f64();
        lines.lines.push(format!("{at:9.3} {}", text.as_ref()));
    }

    /// Adds a line and shows it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn save(&self, folder: &str) {
        let lines = self.0.lock().unwrap();
        if let Ok(mut file) = std::fs::File::create(format!("{folder}/record.txt")) {
            for line in &lines.lines {
                let _ = writeln!(file, "{line}");
            }
        }
    }
}
