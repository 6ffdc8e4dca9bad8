//! Actions that a balancer returns to its caller.

use std::fmt;

use crate::ids::{BackendId, Nanos, RequestId, TimerId};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request at a backend;
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded) reports its end.
    StartAttempt {
        /// Request to send. The index of the attempt is the number of attempts of this request that
        /// were started before.
        request: RequestId,
        /// Backend to send the attempt to.
        backend: BackendId,
        /// When to abandon the attempt if it has not been answered.
        abandon_at: Nanos,
    },
    /// Final answer: the request is rejected, and a retry by the client is harmless.
    Reject {
        /// Request to answer. Only cancellations of its attempts may follow.
        request: RequestId,
        /// How long the client should wait before it retries; 0 if it gets no advice.
        retry_after: Nanos,
    },
    /// Final answer: the request failed and may have been executed.
    Fail {
        /// Request to answer. Only cancellations of its attempts may follow.
        request: RequestId,
    },
    /// Cancel an attempt that is in flight; [`Event::AttemptEnded`](crate::Event::AttemptEnded)
    /// must still report its end.
    CancelAttempt {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt among those of the request, from 0.
        attempt: u8,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at a given time. This timer replaces the one
    /// set before.
    SetTimer {
        /// When the timer is due; always later than the event that this action results from.
        at: Nanos,
        /// Id that [`Event::Timer`](crate::Event::Timer) must carry when the timer is due.
        timer: TimerId,
    },
    /// Send a health check to a backend;
    /// [`Event::HealthCheckEnded`](crate::Event::HealthCheckEnded) reports its end. The balancer
    /// never returns this action.
    CheckHealth {
        /// Backend to send the health check to.
        backend: BackendId,
    },
    /// Close the idle connections to a backend; connections with an attempt in flight stay open.
    CloseIdleConnections {
        /// Backend that is draining or removed.
        backend: BackendId,
    },
    /// Send a gossip message to one proxy, or to all of them. The balancer never returns this
    /// action.
    Gossip {
        /// Index of the receiving proxy; `None` for all.
        to: Option<u16>,
        /// Content of the message, to be passed on unchanged.
        bytes: Vec<u8>,
    },
    /// Start (`true`) or stop (`false`) watching the endpoint list for changes. The balancer only
    /// returns `true`.
    WatchEndpoints(bool),
    /// Read the whole endpoint list once. The balancer never returns this action.
    PollEndpoints,
    /// Write an event to the log.
    Log(LogEvent),
}

/// An event for the log; its text is the [`Display`](fmt::Display) form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// An outlier was ejected: it receives no attempts for a while.
    BackendEjected {
        /// The outlier: a backend that failed far more often than the others.
        backend: BackendId,
        /// Duration of the ejection, in seconds.
        seconds: f64,
    },
    /// The endpoint list has no ready backend after an update.
    NoBackendReady,
    /// The endpoint list could not be read; the last known list stays in use.
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
