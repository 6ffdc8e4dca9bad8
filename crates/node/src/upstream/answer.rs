//! A backend's answer: what it means for the attempt and for its connection.

use kitefork_balancer::Outcome;

use crate::http1::{Head, Start};
use crate::ring_buffer::Body;

/// Whether a connection can carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The connection can carry another request.
    Yes,
    /// The connection must be closed: it has ended or closes after this answer, the answer came
    /// before the request was completely written, or the kernel can't tell what is unread.
    No,
    /// Bytes were received that belong to no expected answer: the connection must be closed.
    UnexpectedBytes,
}

/// A complete answer from a backend.
pub struct Answer {
    /// Status and headers, including those that are not forwarded to the client.
    pub head: Head,
    /// Body of the answer; may be empty.
    pub body: Body,
    /// Whether the connection can carry another request.
    pub reuse: Reuse,
}

/// The outcome of an attempt by the status and headers of the backend's answer.
pub fn outcome(head: &Head) -> Outcome {
    match head.start {
        Start::Response { status: 200 } => Outcome::Success,
        // A timeout (408), a request that came too early (425) and overload (429) are reported by a
        // 4xx too, but the request is not at fault.
        Start::Response {
            status: 408 | 425 | 429,
        } => Outcome::Error,
        Start::Response { status: 400..=499 } => Outcome::BadRequest,
        Start::Response { status: 503 | 504 } if head.unique("x-turned-away") == Ok(Some("1")) => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}
