//! Calls to the service, and what it does with them.

use std::time::Duration;

/// What the service can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Work for each call; calls are served one after the other.
    pub call: Duration,
    /// Work for each endpoint of an answer.
    pub endpoint: Duration,
    /// A call that would wait longer than this gets 503 after it.
    pub max_wait: Duration,
    /// Changes that are kept for watches that resume.
    pub history: usize,
}

/// How the service treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It answers 503 at once.
    Overloaded,
    /// It takes calls and never answers.
    Silent,
    /// It ends the connection in the middle of an answer.
    Truncates,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with a list or the beginning of a watch.
    Answered,
    /// Answered with 503, or broken off.
    Failed,
    /// Never answered.
    Unanswered,
}

/// One call of a node: a poll of the whole list, or a watch.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    /// Number of the node whose listener it came to.
    pub node: usize,
    /// When it had arrived.
    pub arrived: Duration,
    /// When it was answered.
    pub ended: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// A list or a watch event written to a node.
#[derive(Clone, Debug)]
pub struct Notification {
    /// Number of the node.
    pub node: usize,
    /// When it was written.
    pub at: Duration,
    /// The revision that it brought the node to.
    pub revision: u64,
}
