//! The record of a run: what was sent, answered and run, each with its time.

use std::fs;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the seconds since the start of the run, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line with the present time, and returns that time.
    pub fn add(&self, line: impl Into<String>) -> f64 {
        let now = self.now();
        self.add_at(now, line);
        now
    }

    /// Adds a line with the time `at`.
    pub fn add_at(&self, at: f64, line: impl Into<String>) {
        self.lines
            .lock()
            .expect("no thread panics with the lock held")
            .push((at, line.into()));
    }

    /// Writes all lines, in the order of their times, to a file.
    ///
    /// # Errors
    ///
    /// Those of writing the file.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self
            .lines
            .lock()
            .expect("no thread panics with the lock held")
            .clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: Vec<String> = lines
            .iter()
            .map(|(at, line)| format!("{at:9.4} {line}\n"))
            .collect();
        fs::write(path, text.concat())
    }
}

/// Ends the run: prints and records the verdict, writes `record.txt` into the folder that `CASE`
/// names, and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could
/// not run.
pub fn finish(record: &Record, code: i32, verdict: &str) -> i32 {
    let line = format!("verdict {code}: {verdict}");
    println!("{line}");
    record.add(line);
    let folder = std::env::var("CASE").unwrap_or_else(|_| ".".into());
    match record.write(&format!("{folder}/record.txt")) {
        Ok(()) => code,
        Err(error) => {
            println!("the record can't be written: {error}");
            2
        }
    }
}
