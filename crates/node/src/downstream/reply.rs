//! Answers to clients: their encoding, and the answers that the node itself makes.

use crate::clock::SECOND;
use crate::http1;
use crate::request_table::LocalReply;

/// An answer to a client, before it is encoded.
#[derive(Debug, Clone, Copy)]
pub struct Reply<'a> {
    /// The HTTP status, which also determines the reason phrase.
    pub status: u16,
    /// Headers other than `content-length` and `connection`.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; may be empty. Its length is always sent as `content-length`.
    pub body: &'a [u8],
    /// Whether the connection closes after the answer; the header `connection` then says `close`.
    pub close: bool,
}

impl<'a> Reply<'a> {
    /// An answer without additional headers, which does not itself require the connection to close.
    pub fn new(status: u16, body: &'a [u8]) -> Reply<'a> {
        Reply {
            status,
            headers: &[],
            body,
            close: false,
        }
    }

    /// An answer without additional headers, after which the connection closes.
    pub fn closing(status: u16, body: &'a [u8]) -> Reply<'a> {
        Reply {
            close: true,
            ..Reply::new(status, body)
        }
    }

    /// Whether the answer says that the request was served.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The serialised answer.
    pub fn encode(&self) -> Vec<u8> {
        let connection_header = self.close.then_some(("connection", "close"));
        let status_line = format!("HTTP/1.1 {} {}", self.status, reason_phrase(self.status));
        http1::write(
            &status_line,
            self.headers.iter().copied().chain(connection_header),
            Some(self.body),
        )
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        // Any other status comes from a backend. The reason phrase has no meaning for clients.
        _ => "Rejected",
    }
}

/// The status of an answer that the node itself makes, and the value of its header `Retry-After`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalReplyHead {
    /// The HTTP status: 502, 503 or 504.
    pub status: u16,
    /// The value of `Retry-After`, in seconds; `None` for an answer without the header.
    pub retry_after: Option<String>,
}

impl LocalReplyHead {
    /// The status and the value of `Retry-After` for `reply`.
    pub fn new(reply: LocalReply) -> LocalReplyHead {
        let (status, retry_after) = match reply {
            LocalReply::Rejected { retry_after: 0 } => (503, None),
            // Rounded up to whole seconds, which all clients understand.
            LocalReply::Rejected { retry_after } => {
                (503, Some(retry_after.div_ceil(SECOND).to_string()))
            }
            LocalReply::Failed => (502, None),
            LocalReply::TimedOut => (504, None),
        };
        LocalReplyHead {
            status,
            retry_after,
        }
    }
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod tests;
