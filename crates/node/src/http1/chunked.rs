//! Lines of a chunked body.

use super::ParseError;

pub(super) fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// A line without its end; `None` while its end has not come.
pub(super) fn line(input: &[u8], most: usize) -> Result<Option<&[u8]>, ParseError> {
    match find(input, b"\r\n") {
        Some(end) if end <= most => Ok(Some(&input[..end])),
        None if input.len() <= most => Ok(None),
        _ => Err(ParseError::Malformed),
    }
}

pub(super) fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ParseError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    usize::from_str_radix(text, 16).map_err(|_| ParseError::Malformed)
}
