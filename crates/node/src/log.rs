//! Log lines: one stable word for each kind of event, then its details. Each kind is limited, so
//! that a storm neither fills the disk nor costs the CPU that reqs need.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};

use kitefork_balancer::Nanos;
use rustix::event::PollFlags;

use crate::clock::SECOND;
use crate::net;

const WINDOW: Nanos = 10 * SECOND;
const MOST: u32 = 10;

#[derive(Default)]
pub struct Log {
    kinds: BTreeMap<&'static str, (Nanos, u32)>,
}

impl Log {
    pub fn line(&mut self, now: Nanos, kind: &'static str, details: impl std::fmt::Display) {
        if let Some(held_back) = self.admit(now, kind) {
            let more = if held_back > 0 {
                format!(" held_back={held_back}")
            } else {
                String::new()
            };
            write(&format!("kitefork: {kind} {details}{more}\n"));
        }
    }

    /// Whether a line may go out, and how many of its kind were held back before it.
    fn admit(&mut self, now: Nanos, kind: &'static str) -> Option<u32> {
        let (since, count) = self.kinds.entry(kind).or_insert((now, 0));
        let held_back = if now >= *since + WINDOW {
            let over = count.saturating_sub(MOST);
            (*since, *count) = (now, 0);
            over
        } else {
            0
        };
        *count = count.saturating_add(1);
        (*count <= MOST).then_some(held_back)
    }
}

/// Longest line: a pipe that has any room takes so much without blocking (`PIPE_BUF`).
const LONGEST: usize = 4096;

/// Lines for which standard error had no room, since one last had.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes a line if standard error has room for it now; else it is dropped and counted. A log that
/// nobody reads must not hold up the loop, and one whose reader has gone must not end the node.
fn write(line: &str) {
    let stderr = std::io::stderr();
    let has_room = || net::is_ready(&stderr, PollFlags::OUT).unwrap_or(false);
    let dropped = DROPPED.load(Ordering::Relaxed);
    if dropped > 0 && has_room() {
        write_now(&format!("kitefork: log-dropped lines={dropped}\n"));
        DROPPED.store(0, Ordering::Relaxed);
    }
    if has_room() {
        write_now(line);
    } else {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_now(line: &str) {
    let mut stderr = std::io::stderr();
    // A reader that has gone is no fault of the node's.
    let _ = if line.len() > LONGEST {
        let end = line.floor_char_boundary(LONGEST - 1);
        stderr.write_all(format!("{}\n", &line[..end]).as_bytes())
    } else {
        stderr.write_all(line.as_bytes())
    };
}

/// The trace: every event and decision as a line `kitefork: trace t=UNIX_SECONDS WORD key=value
/// ...`, without a limit. For replays; off unless `BALANCER_TRACE` is 1, and then nothing is
/// formatted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trace {
    /// Unix time at the clock's zero; `None`: off.
    unix_zero: Option<Nanos>,
}

impl Trace {
    pub fn new(on: bool, unix_zero: Nanos) -> Trace {
        Trace {
            unix_zero: on.then_some(unix_zero),
        }
    }

    pub fn is_on(self) -> bool {
        self.unix_zero.is_some()
    }

    pub fn line(self, now: Nanos, details: std::fmt::Arguments) {
        if let Some(line) = self.format(now, details) {
            write(&line);
        }
    }

    fn format(self, now: Nanos, details: std::fmt::Arguments) -> Option<String> {
        let at = self.unix_zero? + now;
        Some(format!(
            "kitefork: trace t={}.{:06} {details}\n",
            at / SECOND,
            at % SECOND / 1_000
        ))
    }
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
