//! Counters of events by kind and reason, which show operators why client connections were closed,
//! why clients got their answers, which actions the protocol rules denied, and how often
//! connections could not be made or accepted.
//!
//! The counters are kept until the process ends. Their number is bounded, as kinds and reasons are
//! string literals in the code.

use std::collections::BTreeMap;
use std::fmt;

/// Why a client connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed the connection.
    ClientDisconnected,
    /// The connection failed: a reset, or another error that can't be retried.
    Broken,
    /// The last answer has been written, and the client has closed its side.
    Answered,
    /// The node closed the connection to free its descriptor.
    Evicted,
    /// The client sent nothing for too long, took too long to send a message or to read an answer,
    /// or did not close the connection after its last answer.
    TimedOut,
    /// The node is shutting down.
    Shutdown,
}

impl CloseReason {
    /// Whether the client closed the connection or it failed, so that closing it without an answer
    /// is no violation.
    pub fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientDisconnected | CloseReason::Broken)
    }

    /// The name of the reason in logs and counters, which must not change.
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

/// Why a client got its answer: who made it, and for what reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerReason {
    /// A backend made the answer.
    Forwarded,
    /// The decision module rejected the request, or the node is about to end.
    Rejected,
    /// The decision module gave the request up.
    Failed,
    /// There was no answer in time.
    TimedOut,
    /// The message can't be parsed, or its length is wrong.
    Unparsable,
    /// The message did not come whole in its time.
    Incomplete,
    /// The message is no valid request.
    Invalid,
    /// Another request with the same transaction ID is pending or may have been executed.
    RepeatedId,
    /// The request table is full.
    TableFull,
    /// The client has closed its side.
    ClientDisconnected,
    /// So much stands behind the request that a close would not be seen.
    ClientStateUnknown,
    /// Discovery has sent nothing since the start, and the cached list may be old.
    NotSynced,
    /// A request for the health of the node itself.
    Health,
}

impl AnswerReason {
    /// The name of the reason in the trace and in counters, which must not change.
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Forwarded => "forwarded",
            AnswerReason::Rejected => "rejected",
            AnswerReason::Failed => "failed",
            AnswerReason::TimedOut => "timed_out",
            AnswerReason::Unparsable => "unparsable",
            AnswerReason::Incomplete => "incomplete",
            AnswerReason::Invalid => "invalid",
            AnswerReason::RepeatedId => "repeated_id",
            AnswerReason::TableFull => "table_full",
            AnswerReason::ClientDisconnected => "client_disconnected",
            AnswerReason::ClientStateUnknown => "client_state_unknown",
            AnswerReason::NotSynced => "not_synced",
            AnswerReason::Health => "health",
        }
    }
}

/// Key of a counter; counters are printed in the order of their keys.
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

    /// Increments the counter of answers that clients got for this reason.
    pub fn add_answered(&mut self, reason: AnswerReason) {
        self.add("answered", reason.name());
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
