//! Inputs and outputs of the request table: requests, answers and commands.

use kitefork_balancer::{BackendId, LogEvent, Nanos, TimerId};

/// A request with the parameters that its client gave.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The transaction ID that the client chose (header `X-Txn`).
    pub txn: Box<str>,
    /// Index of the request's class in the settings.
    pub class: u16,
    /// Index of the request's tenant in the settings.
    pub tenant: u16,
    /// How long the client still waits from when the request is added to the table, in nanoseconds.
    pub client_timeout: Nanos,
    /// The client's estimate of how long the work takes, in nanoseconds; `None` if it gave none.
    pub work_hint: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
}

/// A request that was added to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedRequest {
    /// Number of the request in the request table.
    pub id: u32,
    /// When the deadline guard answers the request if it still waits then, in nanoseconds on the
    /// node's clock.
    pub guard_at: Nanos,
}

/// Why a request can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The table already has the maximum number of requests.
    TableFull,
    /// The table has a request with the same transaction ID.
    DuplicateId,
    /// A request with the same transaction ID may have been executed a while ago.
    ExecutedId,
}

/// A final answer that the node itself gives, without an answer from a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// Rejected: the client may retry without harm.
    Rejected {
        /// How long the client should wait before it retries, in nanoseconds; 0 if no delay is
        /// advised.
        retry_after: Nanos,
    },
    /// Failed: the request may have been executed.
    Failed,
    /// Timed out: there was no answer in time.
    TimedOut,
}

/// An action that the owner of the connections and timers is to execute. All times are in
/// nanoseconds on the node's clock.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Send a request to a backend, on an idle connection or on a new one.
    StartAttempt {
        /// Number of the request in the request table.
        request: u32,
        /// Index of the attempt among those of its request, from 0.
        attempt: u8,
        /// The backend that the attempt is sent to.
        backend: BackendId,
        /// When to abandon the attempt if it has not been answered.
        abandon_at: Nanos,
        /// Latest time at which bytes of the attempt may be written; [`Nanos::MAX`] without a
        /// limit.
        write_by: Nanos,
    },
    /// Close the connection of an attempt.
    CancelAttempt {
        /// Number of the request in the request table.
        request: u32,
        /// Index of the attempt among those of its request, from 0.
        attempt: u8,
    },
    /// Send a client its final answer.
    Reply {
        /// Number of the client connection that sent the request.
        connection: u32,
        /// The final answer; it is a rejection only if a retry is harmless.
        reply: LocalReply,
    },
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Send a health check to a backend, and report its outcome to the decision module.
    CheckHealth(BackendId),
    /// Set a timer of the decision module.
    SetTimer {
        /// The earliest time at which the timer fires.
        at: Nanos,
        /// The timer, as the decision module identifies it.
        timer: TimerId,
    },
    /// Open a watch on the endpoint list (`true`), or close it (`false`).
    WatchEndpoints(bool),
    /// Poll the complete endpoint list once.
    PollEndpoints,
    /// Write a line of the decision module to the log.
    Log(LogEvent),
    /// Log that the decision module wants to send a gossip message, which this node does not
    /// support.
    GossipUnsupported,
}
