//! Reads and writes little-endian numbers at byte offsets.

/// Copies `bytes` into a record, to the given offset; panics if they don't fit there.
pub(super) fn put(record: &mut [u8], offset: usize, bytes: &[u8]) {
    record[offset..offset + bytes.len()].copy_from_slice(bytes);
}

/// Returns the 16-bit integer at the given offset; panics if `bytes` ends within it.
pub(super) fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(array_at(bytes, offset))
}

/// Returns the 32-bit integer at the given offset; panics if `bytes` ends within it.
pub(super) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(array_at(bytes, offset))
}

/// Returns the 64-bit integer at the given offset; panics if `bytes` ends within it.
pub(super) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(array_at(bytes, offset))
}

/// Returns the 32-bit floating-point number at the given offset; panics if `bytes` ends within it.
pub(super) fn f32_at(bytes: &[u8], offset: usize) -> f32 {
    f32::from_bits(u32_at(bytes, offset))
}

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}
