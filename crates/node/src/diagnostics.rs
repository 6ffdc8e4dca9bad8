//! The node's diagnostic output: the log, the trace and the counters.

use std::fmt;

use kitefork_balancer::Nanos;

use crate::counters::{AnswerReason, CloseReason, Counters};
use crate::log::{Log, Trace};
use crate::rules::{Denial, Violation};

/// The node's log, trace and counters. All times are in nanoseconds on the node's clock.
pub struct Diagnostics {
    log: Log,
    trace: Trace,
    counters: Counters,
}

impl Diagnostics {
    /// Creates the output with this trace, a new log and empty counters.
    pub fn new(trace: Trace) -> Diagnostics {
        Diagnostics {
            log: Log::default(),
            trace,
            counters: Counters::default(),
        }
    }

    /// Writes a log line of a kind; see [`Log::line`].
    pub fn log(&mut self, now: Nanos, kind: &'static str, details: impl fmt::Display) {
        self.log.line(now, kind, details);
    }

    /// Writes a trace line, if the trace is on.
    pub fn trace(&self, now: Nanos, details: fmt::Arguments) {
        self.trace.line(now, details);
    }

    /// Whether trace lines are written; if not, callers can skip the preparation of their details.
    pub fn is_tracing(&self) -> bool {
        self.trace.is_on()
    }

    /// Increments the counter of a kind and reason.
    pub fn count(&mut self, kind: &'static str, reason: &'static str) {
        self.counters.add(kind, reason);
    }

    /// Increments the counter of client connections that were closed for this reason.
    pub fn count_closed(&mut self, reason: CloseReason) {
        self.counters.add_closed(reason);
    }

    /// Counts and traces the answer that a client connection gets.
    pub fn count_answered(
        &mut self,
        now: Nanos,
        connection: u32,
        status: u16,
        reason: AnswerReason,
    ) {
        self.counters.add_answered(reason);
        self.trace.line(
            now,
            format_args!(
                "answered connection={connection} status={status} why={}",
                reason.name()
            ),
        );
    }

    /// Counts and traces an action that the protocol rules did not allow; `subject` is the
    /// `key=value` that the trace line ends with.
    pub fn count_denial(&mut self, now: Nanos, denial: Denial, subject: fmt::Arguments) {
        self.counters.add("denied", denial.name());
        self.trace
            .line(now, format_args!("denied why={denial} {subject}"));
    }

    /// Counts and logs that the node has violated a protocol rule, which is a bug in the program;
    /// `subject` is the `key=value` that the log line ends with.
    pub fn count_violation(&mut self, now: Nanos, violation: Violation, subject: fmt::Arguments) {
        self.counters.add("violation", violation.name());
        self.log.line(
            now,
            "violation",
            format_args!("rule={} {subject}", violation.name()),
        );
    }

    /// The counters, which are logged in one line at the end of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
