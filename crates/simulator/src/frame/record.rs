//! Typed access to the fields of one event record.

use kitefork_balancer::{BackendId, Nanos, Outcome, RequestId};

use super::bytes::{f32_at, u16_at, u32_at, u64_at};
use super::layout::{any_record, data_reference, load_report};
use super::{FrameError, FrameErrorKind};

/// One event record of a batch. Its methods take the offset of a field within the record, and panic
/// if the record ends before the last byte of the field.
pub(super) struct Record<'a> {
    /// The bytes of the record itself.
    pub bytes: &'a [u8],
    /// The tail of the frame.
    pub tail: &'a [u8],
    /// Sequence number of the batch.
    pub batch: u32,
    /// Offset of the record from the start of the frame.
    pub offset: usize,
}

impl<'a> Record<'a> {
    /// Returns an error about the field at the given offset.
    pub fn error(&self, field_offset: usize, kind: FrameErrorKind) -> FrameError {
        FrameError {
            batch: self.batch,
            offset: self.offset + field_offset,
            kind,
        }
    }

    /// Returns the code of the record, see [`EventCode`](super::layout::EventCode).
    pub fn code(&self) -> u8 {
        self.u8(any_record::CODE)
    }

    /// Returns the number of the instance that the record concerns.
    pub fn instance(&self) -> u16 {
        self.u16(any_record::INSTANCE)
    }

    /// Returns the 8-bit integer at the given offset.
    pub fn u8(&self, field_offset: usize) -> u8 {
        self.bytes[field_offset]
    }

    /// Returns the 16-bit integer at the given offset.
    pub fn u16(&self, field_offset: usize) -> u16 {
        u16_at(self.bytes, field_offset)
    }

    /// Returns the 32-bit integer at the given offset.
    pub fn u32(&self, field_offset: usize) -> u32 {
        u32_at(self.bytes, field_offset)
    }

    /// Returns the 64-bit integer at the given offset.
    pub fn u64(&self, field_offset: usize) -> u64 {
        u64_at(self.bytes, field_offset)
    }

    /// Returns the 64-bit integer at the given offset as a clock time or a duration.
    pub fn nanos(&self, field_offset: usize) -> Nanos {
        self.u64(field_offset)
    }

    /// Returns the 32-bit integer at the given offset as the id of a request.
    pub fn request(&self, field_offset: usize) -> RequestId {
        RequestId(self.u32(field_offset))
    }

    /// Returns the 32-bit integer at the given offset as the id of a backend.
    pub fn backend(&self, field_offset: usize) -> BackendId {
        BackendId(self.u32(field_offset))
    }

    /// Returns the outcome of an attempt or of a health check; fails if its code is unknown.
    pub fn outcome(&self, field_offset: usize) -> Result<Outcome, FrameError> {
        let code = self.u8(field_offset);
        outcome_from_wire(code)
            .ok_or_else(|| self.error(field_offset, FrameErrorKind::UnknownOutcome(code)))
    }

    /// Returns the values of a load report. A count above
    /// [`MAX_VALUES`](super::layout::load_report::MAX_VALUES) is reduced to it.
    pub fn load_report(&self, field_offset: usize) -> Vec<f32> {
        let count =
            usize::from(self.u8(field_offset + load_report::COUNT)).min(load_report::MAX_VALUES);
        (0..count)
            .map(|index| {
                f32_at(
                    self.bytes,
                    field_offset + load_report::VALUES + size_of::<f32>() * index,
                )
            })
            .collect()
    }

    /// Returns the data in the tail to which the field at the given offset refers: an array of
    /// items of `item_size` bytes each. Fails if the array is not within the tail.
    pub fn data(&self, field_offset: usize, item_size: usize) -> Result<&'a [u8], FrameError> {
        let start = self.u32(field_offset + data_reference::START) as usize;
        let item_count = self.u32(field_offset + data_reference::ITEM_COUNT) as usize;
        item_count
            .checked_mul(item_size)
            .and_then(|length| start.checked_add(length))
            .and_then(|end| self.tail.get(start..end))
            .ok_or_else(|| self.error(field_offset, FrameErrorKind::DataOutsideTail))
    }

    /// Returns a copy of the bytes in the tail to which the field at the given offset refers. Fails
    /// if they are not within the tail.
    pub fn copied_bytes(&self, field_offset: usize) -> Result<Vec<u8>, FrameError> {
        Ok(self.data(field_offset, 1)?.to_vec())
    }
}

/// Decodes an outcome. Except for 0, the codes are the errno(3) numbers of Linux.
fn outcome_from_wire(code: u8) -> Option<Outcome> {
    match code {
        0 => Some(Outcome::Success),
        5 => Some(Outcome::Error),
        11 => Some(Outcome::Overloaded),
        104 => Some(Outcome::Reset),
        110 => Some(Outcome::Timeout),
        111 => Some(Outcome::ConnectFailed),
        114 => Some(Outcome::NotSent),
        125 => Some(Outcome::Cancelled),
        _ => None,
    }
}
