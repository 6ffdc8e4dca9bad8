//! The frame codec: batches of events in, replies of actions out. Little-endian, no padding.

mod bytes;
mod reader;
mod writer;

pub use reader::{Lists, Message, decode};
pub use writer::Reply;

use thiserror::Error;

use bytes::{u32_at, u64_at};

/// Bytes of a batch header.
pub const HEADER: usize = 20;
const EVENT: usize = 40;
const ACTION: usize = 24;
const ENTRY: usize = 23;

/// A frame that can't be read.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("batch {batch}, offset {offset}: {what}")]
pub struct FrameError {
    /// Sequence number of the batch.
    pub batch: u32,
    /// Offset in bytes from the start of the frame.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

/// Header of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    /// Number of event records.
    pub records: u32,
    /// Bytes after the header.
    pub length: u32,
    /// Clock time of the batch.
    pub now: u64,
    /// Sequence number.
    pub batch: u32,
}

impl Header {
    /// Reads a header.
    pub fn read(bytes: &[u8; HEADER]) -> Header {
        Header {
            records: u32_at(bytes, 0),
            length: u32_at(bytes, 4),
            now: u64_at(bytes, 8),
            batch: u32_at(bytes, 16),
        }
    }

    fn error(&self, offset: usize, what: impl Into<String>) -> FrameError {
        FrameError {
            batch: self.batch,
            offset,
            what: what.into(),
        }
    }
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
