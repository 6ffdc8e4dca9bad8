//! Calls to the discovery service, its capacity and how it treats calls.

use std::time::Duration;

/// How fast the discovery service answers, how long calls may wait, and how many changes it keeps.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time that the service spends on each call; calls are served one after the other.
    pub call_time: Duration,
    /// Time that the service spends on each endpoint of an answer.
    pub endpoint_time: Duration,
    /// Maximum time that a call waits in the queue; a call that would wait longer gets 503 after
    /// this time.
    pub max_wait: Duration,
    /// Maximum number of changes that are kept for watches that resume after a revision.
    pub max_history: usize,
}

/// What the discovery service does with a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// The service answers calls, within its capacity.
    #[default]
    Up,
    /// The service answers 503 at once.
    Overloaded,
    /// The service reads calls and never answers.
    Silent,
    /// The service closes the connection in the middle of each answer.
    Truncates,
}

/// Whether and how a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with a list, or with the start of a watch.
    Answered,
    /// Answered with 503, or with a truncated list.
    Failed,
    /// Not answered yet, or never.
    Unanswered,
}

/// One call of a node: a poll of the whole list, or a watch.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    /// Number of the node that called. The service knows it because each node calls another port.
    pub node: usize,
    /// When the head of the call arrived at the service.
    pub arrived: Duration,
    /// When the call was answered; equal to `arrived` while it is unanswered.
    pub ended: Duration,
    /// How the call ended; [`CallOutcome::Unanswered`] until then.
    pub outcome: CallOutcome,
}

/// A list, or a watch event (a line with changes), that was written to a node.
#[derive(Clone, Debug)]
pub struct Notification {
    /// Number of the node that the notification was written to.
    pub node: usize,
    /// When the service began to write the notification.
    pub written_at: Duration,
    /// Revision of the node's endpoint list after this notification.
    pub revision: u64,
}
