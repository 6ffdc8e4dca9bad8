//! Counts of what the node has done, by reason, for operators who ask why requests were rejected,
//! retried or abandoned.
//!
//! The counts live as long as the process. They are bounded, as each key is a word of the code.

use std::collections::BTreeMap;
use std::fmt;

/// Why a client connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Its client ended it.
    ClientDisconnected,
    /// It broke: a reset, or a write that failed for good.
    Broken,
    /// Its last answer is written.
    Answered,
    /// Its descriptor was needed for another connection.
    Evicted,
    /// It sent nothing for too long, or took too long over a message or an answer.
    TimedOut,
    /// The node shuts down.
    Shutdown,
}

impl CloseReason {
    /// Whether its client has ended it, so that no answer is owed any more.
    pub fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientDisconnected | CloseReason::Broken)
    }

    /// The word in logs and counts.
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

/// What is counted; in the order of the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    kind: &'static str,
    reason: &'static str,
}

/// Counts by kind and reason.
#[derive(Debug, Default)]
pub struct Counters {
    counts: BTreeMap<CounterKey, u64>,
}

impl Counters {
    /// Counts one event of a kind and reason.
    pub fn add(&mut self, kind: &'static str, reason: &'static str) {
        *self.counts.entry(CounterKey { kind, reason }).or_default() += 1;
    }

    /// Counts a closed client connection.
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
