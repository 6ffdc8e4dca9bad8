//! What the request table takes and gives: requests, answers and commands.

use kitefork_balancer::{BackendId, LogEvent, Nanos, TimerId};

/// A request as its client put it.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The client's own name for it.
    pub txn: Box<str>,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// How long the client still waits, in nanoseconds.
    pub client_timeout: Nanos,
    /// How long the work takes by the client's estimate, in nanoseconds.
    pub work_hint: Option<Nanos>,
    /// Whether the client says that this is a retry.
    pub client_retry: bool,
}

/// A request that was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedRequest {
    /// Its number.
    pub id: u32,
    /// When the deadline guard answers it, in nanoseconds on the node's clock.
    pub guard_at: Nanos,
}

/// Why a request is not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The table is full.
    TableFull,
    /// One of this name is open.
    DuplicateId,
}

/// A final answer that no backend made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// Rejected: a retry by the client is harmless.
    Rejected {
        /// How long the client should wait before it retries, in nanoseconds; 0: no advice.
        retry_after: Nanos,
    },
    /// Failed: it may have been executed.
    Failed,
    /// No answer in time.
    TimedOut,
}

/// What is to be done on the connections. All times are in nanoseconds on the node's clock.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The request's number.
        request: u32,
        /// Which of its attempts this is, from 0.
        attempt: u8,
        /// Where it goes.
        backend: BackendId,
        /// When it must be abandoned.
        abandon_at: Nanos,
        /// Until when it may be written completely, or not at all.
        write_by: Nanos,
    },
    /// Close the connection of an attempt.
    CancelAttempt {
        /// The request's number.
        request: u32,
        /// Which of its attempts.
        attempt: u8,
    },
    /// Give a client its final answer.
    Reply {
        /// The client connection's number.
        connection: u32,
        /// The answer.
        reply: LocalReply,
    },
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Set a timer of the decision module.
    SetTimer {
        /// When it fires.
        at: Nanos,
        /// Which one.
        timer: TimerId,
    },
    /// Open a watch on the endpoint list, or close it.
    WatchEndpoints(bool),
    /// Read the whole endpoint list once.
    PollEndpoints,
    /// Write a line of the decision module to the log.
    Log(LogEvent),
    /// A gossip message was wanted, and this node carries none.
    GossipUnsupported,
}
