//! What can be wrong with a frame.

use thiserror::Error;

/// A frame that can't be decoded.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("batch {batch}, offset {offset}: {kind}")]
pub struct FrameError {
    /// Sequence number of the batch.
    pub batch: u32,
    /// Offset in bytes from the start of the frame.
    pub offset: usize,
    /// What is wrong.
    pub kind: FrameErrorKind,
}

/// What is wrong with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameErrorKind {
    /// The header announces more records than the frame has space for.
    #[error("records run past the end of the frame")]
    RecordsOutsideFrame,
    /// A record refers to data that the frame does not have.
    #[error("data outside the tail")]
    DataOutsideTail,
    /// A record has a code that is no event's.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// An attempt or a health check ended in a way that has no name.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// An entry of an endpoint list has an unknown state.
    #[error("unknown backend state {0}")]
    UnknownEndpointState(u8),
    /// An update of the endpoint list is to be read in an unknown way.
    #[error("unknown list mode {0}")]
    UnknownUpdateMode(u8),
    /// An update names an endpoint list that was not sent before.
    #[error("no list number {0}")]
    UnknownEndpointList(u16),
}
