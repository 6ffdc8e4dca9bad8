//! The frame codec: decodes batches of events and encodes replies with actions. All numbers are
//! little-endian; there is no padding between fields.
//!
//! ```text
//! batch: header | event records, 40 bytes each  | tail
//! reply: header | action records, 24 bytes each | tail
//! ```
//!
//! The tail holds data of variable length; a record refers to it by offset and length. The codes of
//! records and the offsets of their fields are in `layout`.

mod bytes;
mod endpoint_list;
mod error;
mod layout;
mod reader;
mod record;
mod writer;

pub use endpoint_list::EndpointLists;
pub use error::{FrameError, FrameErrorKind};
pub use layout::HEADER_SIZE;
pub use reader::{InstanceMessage, Message, decode};
pub use writer::Reply;

use bytes::{u32_at, u64_at};
use layout::header;

/// Header of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    /// Number of event records.
    pub record_count: u32,
    /// Size of the body, which follows the header, in bytes.
    pub body_length: u32,
    /// Clock time of the batch, in nanoseconds.
    pub now: u64,
    /// Sequence number of the batch.
    pub batch: u32,
}

impl Header {
    /// Decodes a header; any bytes of this length are a valid one.
    pub fn read(bytes: &[u8; HEADER_SIZE]) -> Header {
        Header {
            record_count: u32_at(bytes, header::RECORD_COUNT),
            body_length: u32_at(bytes, header::BODY_LENGTH),
            now: u64_at(bytes, header::NOW),
            batch: u32_at(bytes, header::BATCH),
        }
    }
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
