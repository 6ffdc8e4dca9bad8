//! The log and the trace, on standard error. Each log line has a word for its kind, which must not
//! change, and then details. The number of log lines of each kind is limited, so that a burst of
//! events neither fills the disk nor takes the CPU time that requests need.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};

use kitefork_balancer::Nanos;
use rustix::event::PollFlags;

use crate::clock::SECOND;
use crate::net;

/// Length of the window in which the lines of a kind are counted, in nanoseconds.
const WINDOW: Nanos = 10 * SECOND;

/// Maximum number of lines of one kind in a window: enough to follow events, and at most one per
/// second on average.
const MAX_LINES_PER_WINDOW: u32 = 10;

/// Writes log lines and limits the rate of each kind.
#[derive(Default)]
pub struct Log {
    kinds: BTreeMap<&'static str, KindWindow>,
}

/// Lines of one kind in the current window.
struct KindWindow {
    started_at: Nanos,
    /// Lines in this window, including the suppressed ones.
    lines: u32,
}

impl KindWindow {
    fn starting_at(now: Nanos) -> KindWindow {
        KindWindow {
            started_at: now,
            lines: 0,
        }
    }

    /// Starts a new window if this one has ended; returns how many lines were suppressed in the
    /// window that has ended, 0 if none has.
    fn roll_over(&mut self, now: Nanos) -> u32 {
        if now < self.started_at + WINDOW {
            return 0;
        }
        let suppressed = self.lines.saturating_sub(MAX_LINES_PER_WINDOW);
        *self = KindWindow::starting_at(now);
        suppressed
    }
}

impl Log {
    /// Writes the line `kitefork: KIND DETAILS`, unless the limit of its kind is reached in this
    /// window. The first line after a window with suppressed lines ends with `held_back=COUNT`.
    pub fn line(&mut self, now: Nanos, kind: &'static str, details: impl fmt::Display) {
        let Some(suppressed) = self.admit(now, kind) else {
            return;
        };
        let suffix = if suppressed > 0 {
            format!(" held_back={suppressed}")
        } else {
            String::new()
        };
        write(&format!("kitefork: {kind} {details}{suffix}\n"));
    }

    /// Counts a line. If it may be written, returns how many lines of its kind were suppressed in
    /// the previous window; that is 0 unless this line starts a window.
    fn admit(&mut self, now: Nanos, kind: &'static str) -> Option<u32> {
        let window = self
            .kinds
            .entry(kind)
            .or_insert_with(|| KindWindow::starting_at(now));
        let suppressed = window.roll_over(now);
        window.lines = window.lines.saturating_add(1);
        (window.lines <= MAX_LINES_PER_WINDOW).then_some(suppressed)
    }
}

/// Maximum length of a line, in bytes: a pipe that is ready for writing takes this many without
/// blocking (`PIPE_BUF`, see pipe(7)).
const MAX_LINE: usize = 4096;

/// Number of lines that were dropped and are not reported yet.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes a line if standard error is ready now; otherwise the line is dropped and counted. A log
/// whose reader has stopped reading must not block the event loop.
fn write(line: &str) {
    let stderr = std::io::stderr();
    let is_ready = || net::is_ready(&stderr, PollFlags::OUT).unwrap_or(false);
    let dropped = DROPPED_LINES.load(Ordering::Relaxed);
    if dropped > 0 && is_ready() {
        write_now(&format!("kitefork: log-dropped lines={dropped}\n"));
        DROPPED_LINES.store(0, Ordering::Relaxed);
    }
    if is_ready() {
        write_now(line);
    } else {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_now(line: &str) {
    let mut stderr = std::io::stderr();
    let result = if line.len() > MAX_LINE {
        let end = line.floor_char_boundary(MAX_LINE - 1);
        stderr.write_all(format!("{}\n", &line[..end]).as_bytes())
    } else {
        stderr.write_all(line.as_bytes())
    };
    // A closed pipe must not end the node, and the error can't be reported anywhere else.
    let _ = result;
}

/// The trace, from which runs are replayed: every event and decision as a line `kitefork: trace
/// t=UNIX_SECONDS WORD key=value ...`, without a rate limit. The trace is on only if
/// `BALANCER_TRACE` is 1; while the trace is off, no line is formatted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trace {
    /// Unix time at the clock's zero, in nanoseconds; `None` if the trace is off.
    unix_time_at_zero: Option<Nanos>,
}

impl Trace {
    /// Creates a trace that is on or off; `unix_time_at_zero` is the Unix time at the clock's zero,
    /// in nanoseconds.
    pub fn new(is_enabled: bool, unix_time_at_zero: Nanos) -> Trace {
        Trace {
            unix_time_at_zero: is_enabled.then_some(unix_time_at_zero),
        }
    }

    /// Whether trace lines are written; if not, callers can skip the preparation of their details.
    pub fn is_on(self) -> bool {
        self.unix_time_at_zero.is_some()
    }

    /// Writes a line with the Unix time of `now`, which is in nanoseconds on the node's clock, if
    /// the trace is on.
    pub fn line(self, now: Nanos, details: fmt::Arguments) {
        if let Some(line) = self.format(now, details) {
            write(&line);
        }
    }

    fn format(self, now: Nanos, details: fmt::Arguments) -> Option<String> {
        let unix_time = self.unix_time_at_zero? + now;
        let seconds = unix_time / SECOND;
        let microseconds = unix_time % SECOND / 1_000;
        Some(format!(
            "kitefork: trace t={seconds}.{microseconds:06} {details}\n"
        ))
    }
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
