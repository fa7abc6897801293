//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run that could not be carried out.
pub const NOT_RUN: i32 = 2;

/// Writes lines to the record and to standard output.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the record.
    ///
    /// # Panics
    /// Panics when the file can't be created.
    #[must_use]
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("create the record")),
            started: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // A lost line does not change the verdict.
            let _ = file.write_all(line.as_bytes());
        }
    }
}
