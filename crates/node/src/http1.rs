//! HTTP/1.1 codec: an incremental parser and a writer. It uses no sockets and no clock.
//!
//! The parser is strict where a lenient one would let two implementations see two different
//! messages, which is how requests are smuggled past a proxy.
//!
//! | module | content |
//! |---|---|
//! | `parser` | the state machine over the bytes of a connection |
//! | `head` | the start line and the headers |
//! | `framing` | how the end of a body is determined |
//! | `following` | what the bytes behind a request say about its length |
//! | `chunked` | chunk sizes of the chunked transfer coding |
//! | `lines` | search for the ends of lines |
//! | `writer` | serialisation of messages |
//! | `error` | errors of the parser |

mod chunked;
mod error;
mod following;
mod framing;
mod head;
mod lines;
mod parser;
mod writer;

pub use error::ParseError;
pub use following::Following;
pub use head::{Head, Start};
pub use parser::Parser;
pub use writer::write;

/// Maximum length of the head of a message, in bytes, including the empty line. Trailers have the
/// same limit.
pub const MAX_HEAD: usize = 16 * 1024;
/// Capacity of the buffer for received bytes that are not parsed yet, in bytes. It exceeds the
/// maximum length of a head, as a longer one would otherwise fill the buffer and never be rejected.
pub const INBOX_BYTES: usize = MAX_HEAD + 1024;
/// Maximum length of the body of a request, in bytes, as the protocol defines it.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Maximum length of the body of a response, in bytes. Some responses are several times as long as
/// the 64 KiB that the protocol defines.
pub const MAX_RESPONSE_BODY: usize = 2 * 1024 * 1024;

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
