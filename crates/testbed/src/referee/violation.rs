//! Rules, violations and their texts in reports.

use std::fmt;
use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::clients::RequestRecord;
use kitefork_standin::misbehaving::MisbehavingRecord;

use crate::node::{Exit, Incarnation};

/// A rule that the referee checks, named after its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The body of an answer 200 is one that a backend sent for an attempt of the same request.
    AnswerOfNoBackend,
    /// A request that is not idempotent is not rejected if it may have been executed, as its client
    /// would send it again.
    RejectedThoughExecuted,
    /// Each request gets a final answer.
    NeverAnswered,
    /// The final answer arrives within the client's timeout and the allowed slack.
    AnsweredTooLate,
    /// The attempts of a request do not overlap.
    ConcurrentAttempts,
    /// A request that is not idempotent is not sent again once it may have been executed.
    RepeatedNotIdempotent,
    /// Repeats of an idempotency key are sent to the cell of the first attempt.
    KeyLeftCell,
    /// Repeats of an idempotency key are sent within the key's window.
    KeyAfterWindow,
    /// The remaining time that a backend is sent is at most that of the client, with slack.
    RemainingTimeTooLong,
    /// The body of a request passes unchanged.
    BodyChanged,
    /// No attempt begins after the client has disconnected.
    AttemptAfterDisconnect,
    /// A request that was read completely is answered, unless its client disconnects.
    ReadButNotAnswered,
    /// A client that stops in the middle of a request gets an error or a closed connection in time.
    HalfRequestIgnored,
    /// A node that was notified of a backend's drain or removal sends the backend no attempt after
    /// the grace that follows.
    SentAfterDrain,
    /// All nodes together send a backend in slow start no more attempts than it can take.
    SlowStartOverload,
    /// A process ends only after a signal, and with exit code 0 unless it is killed.
    BadExit,
    /// A node detects no violation of its own rules.
    FoundByNode,
}

impl Rule {
    /// Text that describes a violation of the rule in a report.
    pub fn text(self) -> &'static str {
        match self {
            Rule::AnswerOfNoBackend => {
                "answered 200, but no backend served this request with that body"
            }
            Rule::RejectedThoughExecuted => "rejected although it may have been executed",
            Rule::NeverAnswered => "never answered",
            Rule::AnsweredTooLate => "answered too late",
            Rule::ConcurrentAttempts => "two attempts overlapped",
            Rule::RepeatedNotIdempotent => "a request that is not idempotent was sent again",
            Rule::KeyLeftCell => "a request with an idempotency key was sent to another cell",
            Rule::KeyAfterWindow => {
                "a request with an idempotency key was sent again after its window"
            }
            Rule::RemainingTimeTooLong => {
                "a backend was sent a longer remaining time than the client has"
            }
            Rule::BodyChanged => "a backend got another body than the client has sent",
            Rule::AttemptAfterDisconnect => "an attempt began after its client had disconnected",
            Rule::ReadButNotAnswered => "a request that was read was never answered",
            Rule::HalfRequestIgnored => {
                "an incomplete request got neither an error nor a close in time"
            }
            Rule::SentAfterDrain => "sent to a backend after the grace of its drain or removal",
            Rule::SlowStartOverload => "a backend in slow start was overloaded",
            Rule::BadExit => "a node ended without a signal or with a wrong exit code",
            Rule::FoundByNode => "a node detected a violation",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}

/// A broken rule with the records that show it. Its text describes the violation and contains all
/// of these records.
#[derive(Clone, Debug)]
pub enum Violation {
    /// The outcome or the attempts of a request broke a rule.
    Request {
        /// Rule that the outcome or the attempts broke.
        rule: Rule,
        /// Request and its outcome for the client.
        record: RequestRecord,
        /// Attempts of the request, in order of arrival.
        attempts: Vec<Attempt>,
    },
    /// A rule was broken for a misbehaving client.
    MisbehavingClient {
        /// Rule that was broken for the client.
        rule: Rule,
        /// Request and its outcome for the client.
        record: MisbehavingRecord,
        /// Attempts of the request, in order of arrival.
        attempts: Vec<Attempt>,
    },
    /// A node sent an attempt to a backend that it knew to be draining or removed.
    SentAfterDrain {
        /// Number of the node that sent the attempt.
        node: usize,
        /// Attempt as the backend received it.
        attempt: Attempt,
    },
    /// A backend in slow start received more attempts than it can take.
    SlowStartOverload {
        /// Name of the backend in the endpoint list.
        uid: String,
        /// Number of attempts that the backend received in the window.
        sent: usize,
        /// Number of attempts that the backend can take in the window.
        capacity: f64,
        /// Start of the window, relative to the restart of the backend.
        from: Duration,
    },
    /// A process ended without a signal, or with a wrong exit code.
    BadExit {
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Time and exit code of the end.
        exit: Exit,
    },
    /// A node logged a violation that it detected itself.
    FoundByNode {
        /// Line of the log, prefixed with the number of the node.
        line: String,
    },
}

impl Violation {
    /// Returns the rule that was broken.
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
