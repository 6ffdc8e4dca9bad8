//! The purpose of an upstream connection and the time limits of its attempt.

use kitefork_balancer::{BackendId, Nanos};

/// What a request on an upstream connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAttempt {
    /// An attempt of a client request.
    Request {
        /// The request's number in the request table.
        request: u32,
        /// Index of this attempt among those of the request, starting at 0.
        attempt: u8,
    },
    /// A health check that the node itself sends.
    HealthCheck {
        /// The backend that is checked.
        backend: BackendId,
        /// When the health check was started, in nanoseconds on the node's clock.
        sent_at: Nanos,
    },
}

impl UpstreamAttempt {
    /// Number of the client request that this is an attempt of; `None` for a health check.
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
    /// When the attempt is abandoned, even if its answer is still pending.
    pub abandon_at: Nanos,
    /// Latest time at which bytes of the request may be written.
    pub write_by: Nanos,
}

impl AttemptLimits {
    /// The earlier of the two limits; an attempt that is not completely written by then is ended.
    pub fn write_deadline(self) -> Nanos {
        self.abandon_at.min(self.write_by)
    }
}

/// An attempt that has no connection yet, because this machine temporarily lacks resources or an
/// idle connection may be reused shortly. The attempt does not count as failed, nor does the delay
/// count against the backend.
#[derive(Debug, Clone, Copy)]
pub struct PostponedDial {
    /// The backend to connect to.
    pub backend: BackendId,
    /// The request or health check that the connection is needed for.
    pub attempt: UpstreamAttempt,
    /// The time limits of the attempt, which the postponement does not extend.
    pub limits: AttemptLimits,
    /// When the node stops trying to connect and the attempt ends as not sent, which does not count
    /// against the backend.
    pub give_up_at: Nanos,
}
