//! What an upstream connection is used for, and until when.

use kitefork_balancer::{BackendId, Nanos};

/// What an upstream connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAttempt {
    /// An attempt of a client's request.
    Request {
        /// The request's number in the request table.
        request: u32,
        /// Which of its attempts this is, from 0.
        attempt: u8,
    },
    /// A health check of the node's own.
    HealthCheck {
        /// The backend that is checked.
        backend: BackendId,
        /// When it was started, in nanoseconds on the node's clock.
        sent_at: Nanos,
    },
}

impl UpstreamAttempt {
    /// The request of which this is an attempt; `None` for a health check.
    pub fn request(self) -> Option<u32> {
        match self {
            UpstreamAttempt::Request { request, .. } => Some(request),
            UpstreamAttempt::HealthCheck { .. } => None,
        }
    }
}

/// The time limits of an attempt, in nanoseconds on the node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// When it is abandoned.
    pub abandon_at: Nanos,
    /// Until when it may be written.
    pub write_by: Nanos,
}

impl AttemptLimits {
    /// Until when an attempt that is not written completely may go on.
    pub fn write_deadline(self) -> Nanos {
        self.abandon_at.min(self.write_by)
    }
}

/// An attempt whose connection the machine could not start for a moment. It is neither a failed one
/// nor does it speak against the backend.
#[derive(Debug, Clone, Copy)]
pub struct PostponedDial {
    /// The backend to connect to.
    pub backend: BackendId,
    /// What the connection will carry.
    pub attempt: UpstreamAttempt,
    /// The time limits of the attempt.
    pub limits: AttemptLimits,
    /// When it ends as not sent, through no fault of the backend.
    pub give_up_at: Nanos,
}
