//! Which body follows a head (RFC 9112, section 6.3).

use super::{Head, ParseError, Start};

/// How the end of a body is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// There is no body.
    Empty,
    /// `Content-Length` gives this many bytes, at least one.
    Length(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither is given, in a response: the body ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// The framing of the body that follows `head`.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] for both a length and a transfer coding, for either of them twice,
    /// and for codings other than chunked: two implementations may read such a message in two ways.
    /// [`ParseError::BodyTooLarge`] for a length above `max_body`.
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
            // A number that overflows is too large as well.
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
