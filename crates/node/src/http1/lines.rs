//! Search for the ends of lines in the input.

use super::ParseError;

pub(super) const CRLF: &[u8] = b"\r\n";

/// Index of the first occurrence of `needle`; `None` if there is none.
pub(super) fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// The first line of `input` without its CRLF; `None` if the CRLF has not been received yet.
///
/// # Errors
///
/// [`ParseError::Malformed`] if the line is longer than `max_length` bytes.
pub(super) fn first_line(input: &[u8], max_length: usize) -> Result<Option<&[u8]>, ParseError> {
    match find(input, CRLF) {
        Some(end) if end <= max_length => Ok(Some(&input[..end])),
        None if input.len() <= max_length => Ok(None),
        _ => Err(ParseError::Malformed),
    }
}
