//! What a balancer decides.

use std::fmt;

use crate::ids::{BackendId, Nanos, RequestId, TimerId};

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// Of which request.
        request: RequestId,
        /// At which backend.
        backend: BackendId,
        /// When to abandon it.
        abandon_at: Nanos,
    },
    /// Final answer: rejected, and a retry by the client is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// Final answer: failed, and it may have been executed.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Of which request.
        request: RequestId,
        /// Which attempt.
        attempt: u8,
    },
    /// Ask for [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// When.
        at: Nanos,
        /// Which.
        timer: TimerId,
    },
    /// Send a health check.
    CheckHealth {
        /// To which backend.
        backend: BackendId,
    },
    /// Close the idle connections to a backend.
    CloseIdleConnections {
        /// Which.
        backend: BackendId,
    },
    /// Send a gossip message to one proxy, or to all.
    Gossip {
        /// Index of the proxy; `None`: all.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list for changes, or stop.
    WatchEndpoints(bool),
    /// Read the whole endpoint list once.
    PollEndpoints,
    /// Write a line to the log.
    Log(LogEvent),
}

/// What a balancer reports to the log; its text is the [`Display`](fmt::Display) form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// An outlier gets no requests for a while.
    BackendEjected {
        /// Which backend.
        backend: BackendId,
        /// For how many seconds.
        seconds: f64,
    },
    /// The endpoint list holds no ready backend.
    NoBackendReady,
    /// The endpoint list could not be read; the one known stays in force.
    DiscoveryUnreachable,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::BackendEjected { backend, seconds } => {
                write!(f, "backend {} ejected for {seconds:.1} s", backend.0)
            }
            LogEvent::NoBackendReady => f.write_str("no backend is ready"),
            LogEvent::DiscoveryUnreachable => f.write_str("list out of reach, the old one stays"),
        }
    }
}
