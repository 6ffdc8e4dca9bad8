//! What the bytes behind a complete request say about its length.
//!
//! A client whose `Content-Length` is less than the length of its body leaves the rest of the body
//! behind the request. Only another request may stand there, so anything else shows that the body
//! is cut off.

use super::head::{MessageKind, StartLine, has_control_character, parse_header};
use super::lines::{CRLF, find};
use super::{MAX_HEAD, ParseError};

/// The methods of the requests that exist here.
const METHODS: [&str; 2] = ["GET", "POST"];

/// What stands behind a complete request on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Following {
    /// Nothing that could be a part of the request's body.
    Nothing,
    /// Another request, whose head is complete.
    Request,
    /// Bytes that may be the beginning of another request or the rest of the body: more bytes are
    /// needed to tell.
    Undecided,
    /// Bytes that begin no request: the length of the request is wrong.
    Invalid,
}

impl Following {
    /// Classifies the bytes behind a request. `has_body` is whether the request has a body, of
    /// which an empty line could be the rest; without a body, empty lines are ignored (RFC 9112,
    /// section 2.2).
    pub fn classify(bytes: &[u8], has_body: bool) -> Following {
        let rest = skip_empty_lines(bytes);
        if rest.is_empty() {
            return if bytes.is_empty() || !has_body {
                Following::Nothing
            } else {
                Following::Undecided
            };
        }
        let following = match split_line(rest) {
            Some((line, headers)) if is_request_line(line) => Following::of_headers(headers),
            Some(_) => Following::Invalid,
            None if may_begin_request_line(rest) => Following::Undecided,
            None => Following::Invalid,
        };
        if following == Following::Undecided && rest.len() > MAX_HEAD {
            return Following::Invalid;
        }
        following
    }

    /// Classifies the bytes behind a request line.
    fn of_headers(bytes: &[u8]) -> Following {
        let mut rest = bytes;
        while let Some((line, next)) = split_line(rest) {
            if line.is_empty() {
                return Following::Request;
            }
            if !is_header(line) {
                return Following::Invalid;
            }
            rest = next;
        }
        Following::Undecided
    }
}

fn skip_empty_lines(bytes: &[u8]) -> &[u8] {
    let mut rest = bytes;
    while let Some(next_line) = rest.strip_prefix(CRLF) {
        rest = next_line;
    }
    rest
}

/// The first line, without its line end, and the bytes behind it; `None` if no line is complete.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = find(bytes, CRLF)?;
    Some((&bytes[..end], &bytes[end + CRLF.len()..]))
}

/// Whether the line is a request line with one of [`METHODS`], of any version of HTTP.
fn is_request_line(line: &[u8]) -> bool {
    let Ok(line) = std::str::from_utf8(line) else {
        return false;
    };
    let method = line.split(' ').next().unwrap_or_default();
    let parsed = StartLine::parse(line, MessageKind::Request);
    METHODS.contains(&method)
        && !has_control_character(line)
        && !matches!(parsed, Err(ParseError::Malformed))
}

fn is_header(line: &[u8]) -> bool {
    std::str::from_utf8(line)
        .is_ok_and(|line| !has_control_character(line) && parse_header(line).is_ok())
}

/// Whether a request line, or an empty line before it, may begin with `bytes`, which hold no
/// complete line.
fn may_begin_request_line(bytes: &[u8]) -> bool {
    if CRLF.starts_with(bytes) {
        return true;
    }
    METHODS.iter().any(|method| {
        let begin = format!("{method} /");
        begin.as_bytes().starts_with(bytes)
            || bytes
                .strip_prefix(begin.as_bytes())
                .is_some_and(may_continue_target)
    })
}

/// Whether a request line whose target begins before `bytes` may go on with them.
fn may_continue_target(bytes: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/";
    // The last byte may be the first one of the line end.
    let line = bytes.strip_suffix(b"\r").unwrap_or(bytes);
    if line.iter().any(u8::is_ascii_control) {
        return false;
    }
    let mut parts = line.splitn(2, |byte| *byte == b' ').skip(1);
    parts.next().is_none_or(|version| {
        VERSION.starts_with(version) || (version.starts_with(VERSION) && !version.contains(&b' '))
    })
}

#[cfg(test)]
#[path = "following_tests.rs"]
mod tests;
