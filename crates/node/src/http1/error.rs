//! Why a message can't be parsed, and the HTTP status with which it is answered.

use thiserror::Error;

/// Why a message can't be parsed. The name of a variant, its `Debug` form, appears in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The message breaks the grammar, or its framing is ambiguous.
    #[error("malformed message")]
    Malformed,
    /// The head or the trailers are longer than [`MAX_HEAD`](super::MAX_HEAD), or there are too
    /// many headers.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is longer than the parser accepts.
    #[error("body too large")]
    BodyTooLarge,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("unsupported HTTP version")]
    UnsupportedVersion,
    /// The memory budget that all buffers share is exhausted; the message itself may be valid.
    #[error("the memory budget of all buffers is exhausted")]
    BufferBudgetSpent,
}

impl ParseError {
    /// The HTTP status with which a request with this error is answered.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
            ParseError::UnsupportedVersion => 505,
            ParseError::BufferBudgetSpent => 503,
        }
    }
}
