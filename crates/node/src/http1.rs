//! HTTP/1.1 as bytes: a parser that is fed what has come, and a writer. No sockets, no clock.
//! Strict where a lenient reader would let two parties see two different messages.

mod chunked;
mod error;
mod head;
mod parser;
mod writer;

pub use error::ParseError;
pub use head::{Head, Start};
pub use parser::Parser;
pub use writer::write;

/// Longest head, and longest bodies that a request and an answer may have. Answers have been seen
/// that are several times as long as the 64 KiB of the protocol.
pub const MAX_HEAD: usize = 16 * 1024;
pub const MAX_BODY: usize = 64 * 1024;
pub const MAX_ANSWER: usize = 2 * 1024 * 1024;
/// Interim answers before one answer.
const MAX_INTERIM: u32 = 16;
const MAX_HEADERS: usize = 100;
/// Longest line that gives a chunk's size; extensions are passed over.
const MAX_CHUNK_LINE: usize = 256;

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
