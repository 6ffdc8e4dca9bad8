//! The bytes that were read from a client and not parsed yet.
//!
//! A poll reports only what the kernel still has, so bytes that were read and that the parser has
//! not been fed must not be forgotten: the inbox knows whether it holds such bytes.

use std::os::fd::OwnedFd;

use crate::http1::{INBOX_BYTES, ParseError, Parser};
use crate::ring_buffer::{BufferBudget, ReadOutcome, RingBuffer};

/// The bytes that were read from a client and not parsed yet.
pub struct Inbox {
    buffer: RingBuffer,
    has_new_bytes: bool,
}

impl Inbox {
    /// An empty inbox, whose buffer is counted against `budget`.
    pub fn new(budget: &BufferBudget) -> Inbox {
        Inbox {
            buffer: RingBuffer::new(INBOX_BYTES).with_budget(budget),
            has_new_bytes: false,
        }
    }

    /// Number of bytes that were read and not parsed.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether every byte that was read is parsed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether there are bytes that the parser has not been fed: they were read after it was last
    /// fed, or stand behind a complete message.
    pub fn has_new_bytes(&self) -> bool {
        self.has_new_bytes
    }

    /// All bytes that were read and not parsed.
    pub fn bytes(&mut self) -> &[u8] {
        self.buffer.bytes()
    }

    /// Reads from the socket once.
    pub fn read_from(&mut self, socket: &OwnedFd) -> ReadOutcome {
        let outcome = self.buffer.read_from(socket);
        self.has_new_bytes |= outcome == ReadOutcome::Data;
        outcome
    }

    /// Feeds the parser, at most up to the end of one message.
    ///
    /// # Errors
    ///
    /// The reason why the message can't be parsed.
    pub fn feed(&mut self, parser: &mut Parser) -> Result<(), ParseError> {
        let consumed = parser.feed(self.buffer.bytes())?;
        self.buffer.consume(consumed);
        self.has_new_bytes = parser.is_done() && !self.is_empty();
        Ok(())
    }

    /// Discards all bytes.
    pub fn discard(&mut self) {
        self.buffer.consume(self.buffer.len());
        self.has_new_bytes = false;
    }
}
