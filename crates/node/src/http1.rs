//! HTTP/1.1 codec: an incremental parser and a writer. No sockets, no clock.
//!
//! The parser is strict where a lenient one would let two implementations see two different
//! messages, which is how requests are smuggled past a proxy.
//!
//! | module | holds |
//! |---|---|
//! | `parser` | the state machine over the bytes of a connection |
//! | `head` | start line and headers |
//! | `framing` | which body follows a head |
//! | `chunked` | sizes of chunks in the chunked transfer coding |
//! | `lines` | ends of lines in the input |
//! | `writer` | serialises a message |
//! | `error` | what can be wrong with a message |

mod chunked;
mod error;
mod framing;
mod head;
mod lines;
mod parser;
mod writer;

pub use error::ParseError;
pub use head::{Head, Start};
pub use parser::Parser;
pub use writer::write;

/// Longest head of a message, in bytes, the empty line included. Trailers have the same limit.
pub const MAX_HEAD: usize = 16 * 1024;
/// Longest body of a request, in bytes, as the protocol has it.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Longest body of a response, in bytes. Responses have been seen that are several times as long as
/// the 64 KiB of the protocol.
pub const MAX_RESPONSE_BODY: usize = 2 * 1024 * 1024;

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
