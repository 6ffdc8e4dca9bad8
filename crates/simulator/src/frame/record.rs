//! Typed access to the fields of one event record.

use kitefork_balancer::{BackendId, Nanos, Outcome, RequestId};

use super::bytes::{f32_at, u16_at, u32_at, u64_at};
use super::layout::{any_record, data_reference, load_report};
use super::{FrameError, FrameErrorKind};

/// One event record of a batch. Fields are named by their offset in the record.
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
    /// An error about the field at an offset.
    pub fn error(&self, field_offset: usize, kind: FrameErrorKind) -> FrameError {
        FrameError {
            batch: self.batch,
            offset: self.offset + field_offset,
            kind,
        }
    }

    /// The code of the record, see [`EventCode`](super::layout::EventCode).
    pub fn code(&self) -> u8 {
        self.u8(any_record::CODE)
    }

    /// The instance that the record concerns.
    pub fn instance(&self) -> u16 {
        self.u16(any_record::INSTANCE)
    }

    /// The 8-bit integer at an offset.
    pub fn u8(&self, field_offset: usize) -> u8 {
        self.bytes[field_offset]
    }

    /// The 16-bit integer at an offset.
    pub fn u16(&self, field_offset: usize) -> u16 {
        u16_at(self.bytes, field_offset)
    }

    /// The 32-bit integer at an offset.
    pub fn u32(&self, field_offset: usize) -> u32 {
        u32_at(self.bytes, field_offset)
    }

    /// The 64-bit integer at an offset.
    pub fn u64(&self, field_offset: usize) -> u64 {
        u64_at(self.bytes, field_offset)
    }

    /// The time or span at an offset.
    pub fn nanos(&self, field_offset: usize) -> Nanos {
        self.u64(field_offset)
    }

    /// The request at an offset.
    pub fn request(&self, field_offset: usize) -> RequestId {
        RequestId(self.u32(field_offset))
    }

    /// The backend at an offset.
    pub fn backend(&self, field_offset: usize) -> BackendId {
        BackendId(self.u32(field_offset))
    }

    /// How an attempt or a health check ended.
    pub fn outcome(&self, field_offset: usize) -> Result<Outcome, FrameError> {
        let code = self.u8(field_offset);
        outcome_from_wire(code)
            .ok_or_else(|| self.error(field_offset, FrameErrorKind::UnknownOutcome(code)))
    }

    /// The values of a load report. More than a record has space for are ignored.
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

    /// The data in the tail to which the field at an offset refers: an array of items of so many
    /// bytes each.
    pub fn data(&self, field_offset: usize, item_size: usize) -> Result<&'a [u8], FrameError> {
        let start = self.u32(field_offset + data_reference::START) as usize;
        let item_count = self.u32(field_offset + data_reference::ITEM_COUNT) as usize;
        item_count
            .checked_mul(item_size)
            .and_then(|length| start.checked_add(length))
            .and_then(|end| self.tail.get(start..end))
            .ok_or_else(|| self.error(field_offset, FrameErrorKind::DataOutsideTail))
    }

    /// A copy of the bytes in the tail to which the field at an offset refers.
    pub fn copied_bytes(&self, field_offset: usize) -> Result<Vec<u8>, FrameError> {
        Ok(self.data(field_offset, 1)?.to_vec())
    }
}

/// The codes are numbers of errno(3) on Linux.
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
