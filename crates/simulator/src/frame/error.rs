//! Errors in the input frames.

use thiserror::Error;

/// Why a frame can't be decoded, and where.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("batch {batch}, offset {offset}: {kind}")]
pub struct FrameError {
    /// Sequence number of the batch that the frame holds.
    pub batch: u32,
    /// Offset of the invalid field in bytes from the start of the frame; 0 if the number of records
    /// is invalid.
    pub offset: usize,
    /// The kind of error found at this offset.
    pub kind: FrameErrorKind,
}

/// What is wrong with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameErrorKind {
    /// The header gives a number of records that does not fit into the frame.
    #[error("records run past the end of the frame")]
    RecordsOutsideFrame,
    /// A record refers to data that is not within the tail of the frame.
    #[error("a record refers to data outside the tail of the frame")]
    DataOutsideTail,
    /// The code of a record is not an event code.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// The outcome code of an attempt or of a health check is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The state code of an entry of an endpoint list is unknown.
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    /// The mode of an endpoint list update is unknown.
    #[error("unknown update mode {0}")]
    UnknownUpdateMode(u8),
    /// An update refers to an endpoint list that was not sent before.
    #[error("unknown endpoint list {0}")]
    UnknownEndpointList(u16),
}
