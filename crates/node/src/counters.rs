//! Counters of the node's actions by reason, for operators who want to know why requests were
//! rejected, retried or abandoned.
//!
//! The counters live as long as the process. Their number is bounded, as each key is a string
//! literal in the code.

use std::collections::BTreeMap;
use std::fmt;

/// Why a client connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Its client closed it.
    ClientDisconnected,
    /// The connection failed: a reset, or a write error that can't be retried.
    Broken,
    /// Its last answer has been written.
    Answered,
    /// Its descriptor was needed for another connection.
    Evicted,
    /// The client sent nothing for too long, or took too long to send a message or to read an
    /// answer.
    TimedOut,
    /// The node is shutting down.
    Shutdown,
}

impl CloseReason {
    /// Whether the client closed or broke the connection, so that closing it without an answer is
    /// no violation.
    pub fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientDisconnected | CloseReason::Broken)
    }

    /// The stable word for it in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_disconnected",
            CloseReason::Broken => "broken",
            CloseReason::Answered => "answered",
            CloseReason::Evicted => "evicted",
            CloseReason::TimedOut => "timed_out",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// Key of a counter; the order is that of the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    kind: &'static str,
    reason: &'static str,
}

/// Event counters by kind and reason.
#[derive(Debug, Default)]
pub struct Counters {
    counts: BTreeMap<CounterKey, u64>,
}

impl Counters {
    /// Increments the counter of a kind and reason.
    pub fn add(&mut self, kind: &'static str, reason: &'static str) {
        *self.counts.entry(CounterKey { kind, reason }).or_default() += 1;
    }

    /// Increments the counter of client connections that were closed for this reason.
    pub fn add_closed(&mut self, reason: CloseReason) {
        self.add("closed", reason.name());
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (CounterKey { kind, reason }, count)) in self.counts.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{kind}.{reason}={count}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "counters_tests.rs"]
mod tests;
