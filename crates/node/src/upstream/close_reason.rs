//! Why an upstream connection was closed.

use super::answer::Reuse;

/// Why an upstream connection was closed; counted and traced by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCloseReason {
    /// Its attempt ended without an answer: it failed, timed out or was cancelled.
    AttemptEnded,
    /// The backend or the end of the connection does not allow another request, or the kernel could
    /// not tell what was unread.
    NotReusable,
    /// Bytes were received that are not part of the answer to a request on the connection.
    UnexpectedBytes,
    /// The answer was followed by more bytes than its `Content-Length` allows, and failed.
    LengthMismatch,
    /// The connection was idle for too long.
    IdleTimeout,
    /// The node closed the idle connection to free its descriptor.
    Evicted,
    /// The backend is draining or removed, or its address belongs to another backend.
    BackendNotReady,
}

impl UpstreamCloseReason {
    /// The name of the reason in the trace and in the counters, which must not change.
    pub fn name(self) -> &'static str {
        match self {
            UpstreamCloseReason::AttemptEnded => "attempt_ended",
            UpstreamCloseReason::NotReusable => "not_reusable",
            UpstreamCloseReason::UnexpectedBytes => "unexpected_bytes",
            UpstreamCloseReason::LengthMismatch => "length_mismatch",
            UpstreamCloseReason::IdleTimeout => "idle_timeout",
            UpstreamCloseReason::Evicted => "evicted",
            UpstreamCloseReason::BackendNotReady => "backend_not_ready",
        }
    }

    /// Why a connection is closed whose check for reuse had this result.
    pub fn of_reuse(reuse: Reuse) -> UpstreamCloseReason {
        match reuse {
            Reuse::UnexpectedBytes => UpstreamCloseReason::UnexpectedBytes,
            Reuse::Yes | Reuse::No => UpstreamCloseReason::NotReusable,
        }
    }
}
