//! Sizes of chunks in the chunked transfer coding (RFC 9112, section 7.1).

use super::ParseError;

/// Longest line that gives the size of a chunk, in bytes. Extensions are ignored but count: without
/// a limit a line that never ends would be buffered.
pub(super) const MAX_CHUNK_LINE: usize = 256;

/// Most hexadecimal digits of a chunk's size: 4 GiB, far above any limit on bodies, and no
/// overflow.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// The size of a chunk in bytes, out of the line that announces it.
///
/// # Errors
///
/// [`ParseError::Malformed`] if the line does not begin with a hexadecimal number.
pub(super) fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    // `from_str_radix` alone would accept a sign.
    if digits.is_empty()
        || digits.len() > MAX_CHUNK_SIZE_DIGITS
        || !digits.iter().all(u8::is_ascii_hexdigit)
    {
        return Err(ParseError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    usize::from_str_radix(digits, 16).map_err(|_| ParseError::Malformed)
}
