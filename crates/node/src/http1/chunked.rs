//! Chunk sizes of the chunked transfer coding (RFC 9112, section 7.1).

use super::ParseError;

/// Maximum length of the line with a chunk's size, in bytes. The line includes chunk extensions,
/// which are ignored; without a limit, a line that never ends would be buffered.
pub(super) const MAX_CHUNK_LINE: usize = 256;

/// Maximum number of hexadecimal digits in a chunk's size. Sizes of up to 4 GiB are far above any
/// limit on bodies and can't overflow.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// Parses a chunk's size, in bytes, from the line that precedes the chunk.
///
/// # Errors
///
/// [`ParseError::Malformed`] if the line does not begin with a hexadecimal number, or if the number
/// has more than [`MAX_CHUNK_SIZE_DIGITS`] digits.
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
