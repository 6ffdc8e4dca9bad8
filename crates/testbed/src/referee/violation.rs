//! Violations, as values and as text.

use std::fmt;
use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::clients::RequestRecord;
use kitefork_standin::misbehaving::MisbehavingRecord;

use crate::node::{Exit, Incarnation};

/// A rule that the referee holds, named by what breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An answer 200 comes from an attempt at a backend for the same request.
    AnswerOfNoBackend,
    /// A request that may have been executed is not rejected, as its client would send it again.
    RejectedThoughExecuted,
    /// Each request gets a final answer.
    NeverAnswered,
    /// The final answer comes in time.
    AnsweredTooLate,
    /// A request has one attempt at a time.
    ConcurrentAttempts,
    /// A request that is not idempotent is executed once at most.
    RepeatedNotIdempotent,
    /// Repeats of an idempotency key go to the cell of the first attempt.
    KeyLeftCell,
    /// Repeats of an idempotency key go out within its window.
    KeyAfterWindow,
    /// The time left that a backend is notified of is at most the client's.
    RemainingTimeTooLong,
    /// No attempt begins after the client has disconnected.
    AttemptAfterDisconnect,
    /// A request that was read is answered, whatever its client does.
    ReadButNotAnswered,
    /// Half a request gets an error or a close in time.
    HalfRequestIgnored,
    /// Nothing new goes to a backend after the grace of its drain.
    SentAfterDrain,
    /// All nodes together send a backend in slow start no more than it can take.
    SlowStartOverload,
    /// A process ends only after a signal, and with exit code 0 unless killed.
    BadExit,
    /// The node itself found a rule broken.
    FoundByNode,
}

impl Rule {
    /// What broke the rule, for a report.
    pub fn text(self) -> &'static str {
        match self {
            Rule::AnswerOfNoBackend => "served with something that no backend made for it",
            Rule::RejectedThoughExecuted => "refused though it may have run",
            Rule::NeverAnswered => "never answered",
            Rule::AnsweredTooLate => "answered too late",
            Rule::ConcurrentAttempts => "two attempts at a time",
            Rule::RepeatedNotIdempotent => "an unsafe request went out again",
            Rule::KeyLeftCell => "a keyed request left its cell",
            Rule::KeyAfterWindow => "a keyed request went out after its window",
            Rule::RemainingTimeTooLong => "a backend was told more time than the client has left",
            Rule::AttemptAfterDisconnect => "an attempt began after its client had left",
            Rule::ReadButNotAnswered => "a request that was read was never answered",
            Rule::HalfRequestIgnored => {
                "a client that stopped midway got neither error nor close in time"
            }
            Rule::SentAfterDrain => "sent after a drain was told",
            Rule::SlowStartOverload => "a cold backend was pushed over",
            Rule::BadExit => "a node ended by itself or badly",
            Rule::FoundByNode => "a node found a rule broken",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}

/// A rule that was broken, and by what. Its text names the rule and everything that the records
/// have of it.
#[derive(Clone, Debug)]
pub enum Violation {
    /// By what became of a request.
    Request {
        /// The rule.
        rule: Rule,
        /// The request, and how it ended for its client.
        record: RequestRecord,
        /// Its attempts, by arrival.
        attempts: Vec<Attempt>,
    },
    /// By what became of a misbehaving client.
    MisbehavingClient {
        /// The rule.
        rule: Rule,
        /// The client.
        record: MisbehavingRecord,
        /// The attempts of its request, by arrival.
        attempts: Vec<Attempt>,
    },
    /// By an attempt at a backend that the node knew to drain or to be removed.
    SentAfterDrain {
        /// Number of the node.
        node: usize,
        /// The attempt.
        attempt: Attempt,
    },
    /// By the attempts at a backend in slow start.
    SlowStartOverload {
        /// The backend.
        uid: String,
        /// Attempts that it received ...
        sent: usize,
        /// ... of so many that it can take, ...
        capacity: f64,
        /// ... in a time that begins this long after its start.
        from: Duration,
    },
    /// By the end of a process.
    BadExit {
        /// The process.
        incarnation: Incarnation,
        /// Its end.
        exit: Exit,
    },
    /// By what a node logged of itself.
    FoundByNode {
        /// The line of the log, with the node.
        line: String,
    },
}

impl Violation {
    /// The rule that was broken.
    pub fn rule(&self) -> Rule {
        match self {
            Violation::Request { rule, .. } | Violation::MisbehavingClient { rule, .. } => *rule,
            Violation::SentAfterDrain { .. } => Rule::SentAfterDrain,
            Violation::SlowStartOverload { .. } => Rule::SlowStartOverload,
            Violation::BadExit { .. } => Rule::BadExit,
            Violation::FoundByNode { .. } => Rule::FoundByNode,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = self.rule();
        match self {
            Violation::Request {
                record, attempts, ..
            } => write!(f, "{rule}: {record:?}; {attempts:?}"),
            Violation::MisbehavingClient {
                record, attempts, ..
            } => write!(f, "{rule}: {record:?}; {attempts:?}"),
            Violation::SentAfterDrain { node, attempt } => {
                write!(f, "{rule}: node {node}: {attempt:?}")
            }
            Violation::SlowStartOverload {
                uid,
                sent,
                capacity,
                from,
            } => write!(
                f,
                "{rule}: {uid}: {sent} of {capacity:.0} from {from:?} after its start"
            ),
            Violation::BadExit { incarnation, exit } => {
                write!(f, "{rule}: {incarnation:?} {exit:?}")
            }
            Violation::FoundByNode { line } => f.write_str(line),
        }
    }
}
