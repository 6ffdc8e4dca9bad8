//! How the end of a message's body is determined (RFC 9112, section 6.3).

use super::{Head, ParseError, Start};

/// The framing of a message's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// There is no body.
    Empty,
    /// `Content-Length` gives the length in bytes, at least one.
    Length(usize),
    /// The body consists of chunks (`Transfer-Encoding: chunked`).
    Chunked,
    /// A response without `Content-Length` and `Transfer-Encoding`: its body ends when the
    /// connection closes.
    UntilClose,
}

impl BodyFraming {
    /// The framing of the body that follows `head`.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if the head has both a length and a transfer coding, has either of
    /// them twice, has a coding other than chunked, or has a length that is not a decimal number:
    /// implementations may disagree about where such a message ends. [`ParseError::BodyTooLarge`]
    /// for a length above `max_body` bytes.
    pub(super) fn from_head(head: &Head, max_body: usize) -> Result<BodyFraming, ParseError> {
        let length = head.unique("content-length")?;
        match (head.unique("transfer-encoding")?, length) {
            (Some(_), Some(_)) => Err(ParseError::Malformed),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(BodyFraming::Chunked)
            }
            (Some(_), None) => Err(ParseError::Malformed),
            (None, Some(length)) => BodyFraming::from_content_length(length, max_body),
            (None, None) => Ok(BodyFraming::without_length_headers(&head.start)),
        }
    }

    fn from_content_length(length: &str, max_body: usize) -> Result<BodyFraming, ParseError> {
        // `parse` alone would accept a sign.
        if length.is_empty() || !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseError::Malformed);
        }
        match length.parse::<usize>() {
            Ok(0) => Ok(BodyFraming::Empty),
            Ok(size) if size <= max_body => Ok(BodyFraming::Length(size)),
            // A number that overflows `usize` is too large as well.
            _ => Err(ParseError::BodyTooLarge),
        }
    }

    fn without_length_headers(start: &Start) -> BodyFraming {
        match start {
            Start::Request { .. } | Start::Response { status: 204 | 304 } => BodyFraming::Empty,
            Start::Response { .. } => BodyFraming::UntilClose,
        }
    }
}
