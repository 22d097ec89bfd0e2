//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    path: PathBuf,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { started_at: Instant::now(), path, lines: Mutex::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self) {
        let lines = self.lines.lock().unwrap();
        fs::write(&self.path, lines.join("\n") + "\n").expect("the record cannot be written");
    }
}
