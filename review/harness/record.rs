//! The record of what was sent, answered and run.

use std::sync::Mutex;
use std::time::Instant;

/// Lines with the seconds since the start of the script.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn note(&self, line: &str) {
        let secs = self.start.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{secs:8.3} {line}"));
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &std::path::Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
