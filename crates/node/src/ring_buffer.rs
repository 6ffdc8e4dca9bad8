//! Buffers between sockets and codecs: a ring buffer for each direction of a connection, bodies of
//! messages, and the memory budget that both share.

mod body;
mod budget;

pub use body::Body;
pub use budget::BufferBudget;

use std::os::fd::AsFd;

use rustix::net::{RecvFlags, SendFlags};

use crate::errno::{self, ErrorClass};

/// Size of a ring buffer when it is first used, in bytes. A buffer of at most this size keeps its
/// memory when it becomes empty, so that small messages on a persistent connection allocate
/// nothing.
const INITIAL_SIZE: usize = 2 * 1024;

/// A first-in, first-out buffer of bytes. It starts small, grows up to its maximum size, and frees
/// its memory when it becomes empty after it has grown.
pub struct RingBuffer {
    budget: BufferBudget,
    storage: Vec<u8>,
    /// Index of the first byte in the storage.
    start: usize,
    len: usize,
    max_size: usize,
}

/// The result of a read from a socket.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// At least one byte was read.
    Data,
    /// No bytes are available now.
    WouldBlock,
    /// The buffer is full and at its maximum size.
    BufferFull,
    /// The machine temporarily lacks resources: retry after a short delay.
    RetryLater,
    /// The peer has closed its sending side.
    EndOfStream,
    /// The connection was reset or failed with another permanent error.
    Broken,
}

/// The result of writing a buffer to a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Everything is written.
    Done,
    /// The socket accepts no more bytes now.
    Blocked,
    /// The machine temporarily lacks resources: retry after a short delay.
    RetryLater,
    /// The connection was reset or failed with another permanent error.
    Broken,
}

impl RingBuffer {
    /// An empty buffer that holds at most `max_size` bytes. It allocates nothing yet.
    pub fn new(max_size: usize) -> RingBuffer {
        RingBuffer {
            budget: BufferBudget::default(),
            storage: Vec::new(),
            start: 0,
            len: 0,
            max_size,
        }
    }

    /// Counts the buffer's memory against `budget`. The buffer may grow even if the budget is
    /// exhausted: it holds received data, or messages made from received data, and the length of
    /// received data is limited.
    pub fn with_budget(mut self, budget: &BufferBudget) -> RingBuffer {
        self.budget = budget.clone();
        self
    }

    /// Number of bytes that are buffered and not consumed yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The whole content as one slice; moves it within the storage if it wraps around.
    pub fn bytes(&mut self) -> &[u8] {
        if self.start + self.len > self.storage.len() {
            self.make_contiguous();
        }
        &self.storage[self.start..self.start + self.len]
    }

    /// Removes the first `count` bytes; the buffer must hold at least that many.
    pub fn consume(&mut self, count: usize) {
        self.len -= count;
        if self.len > 0 {
            self.start = (self.start + count) % self.storage.len();
            return;
        }
        self.start = 0;
        if self.storage.len() > INITIAL_SIZE {
            self.budget.resize(self.storage.len(), 0);
            self.storage = Vec::new();
        }
    }

    /// Appends `bytes` if all of them fit into the maximum size, otherwise none; returns whether
    /// they fit.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if !self.reserve(bytes.len()) {
            return false;
        }
        let end = self.end();
        let before_wrap = bytes.len().min(self.storage.len() - end);
        let (first, wrapped) = bytes.split_at(before_wrap);
        self.storage[end..end + first.len()].copy_from_slice(first);
        self.storage[..wrapped.len()].copy_from_slice(wrapped);
        self.len += bytes.len();
        true
    }

    /// Reads from a socket once, into the contiguous free space. An interrupted call is repeated.
    pub fn read_from(&mut self, socket: impl AsFd) -> ReadOutcome {
        if self.len == self.storage.len() && !self.reserve(self.growth_bytes()) {
            return ReadOutcome::BufferFull;
        }
        let end = self.end();
        let limit = if end < self.start {
            self.start
        } else {
            self.storage.len()
        };
        let free = &mut self.storage[end..limit];
        loop {
            match rustix::net::recv(&socket, &mut *free, RecvFlags::empty()) {
                Ok((0, _)) => return ReadOutcome::EndOfStream,
                Ok((count, _)) => {
                    self.len += count;
                    return ReadOutcome::Data;
                }
                Err(error) => match errno::of_transfer(error) {
                    ErrorClass::RetryNow => {}
                    ErrorClass::WouldBlock => return ReadOutcome::WouldBlock,
                    ErrorClass::RetryLater => return ReadOutcome::RetryLater,
                    _ => return ReadOutcome::Broken,
                },
            }
        }
    }

    /// Writes to a socket until the buffer is empty or the socket accepts no more bytes.
    pub fn write_to(&mut self, socket: impl AsFd) -> WriteOutcome {
        while self.len > 0 {
            let end = (self.start + self.len).min(self.storage.len());
            let contiguous = &self.storage[self.start..end];
            match rustix::net::send(&socket, contiguous, SendFlags::NOSIGNAL) {
                Ok(count) => self.consume(count),
                Err(error) => match errno::of_transfer(error) {
                    ErrorClass::RetryNow => {}
                    ErrorClass::WouldBlock => return WriteOutcome::Blocked,
                    ErrorClass::RetryLater => return WriteOutcome::RetryLater,
                    _ => return WriteOutcome::Broken,
                },
            }
        }
        WriteOutcome::Done
    }

    /// Index in the storage after the last byte, where the next one is written.
    fn end(&self) -> usize {
        match self.storage.len() {
            0 => 0,
            size => (self.start + self.len) % size,
        }
    }

    /// Number of bytes by which a full buffer grows: it doubles, up to its maximum size. At the
    /// maximum size it is 1, which [`RingBuffer::reserve`] rejects.
    fn growth_bytes(&self) -> usize {
        let growth = self.len.max(INITIAL_SIZE);
        growth.min(self.max_size - self.len).max(1)
    }

    /// Makes space for `additional` bytes; returns whether they fit into the maximum size.
    fn reserve(&mut self, additional: usize) -> bool {
        let needed = self.len + additional;
        if needed > self.max_size {
            return false;
        }
        if needed > self.storage.len() {
            self.make_contiguous();
            let size = needed
                .next_power_of_two()
                .max(INITIAL_SIZE)
                .min(self.max_size);
            self.budget.resize(self.storage.len(), size);
            self.storage.resize(size, 0);
        }
        true
    }

    /// Rotates the storage so that the content begins at index 0.
    fn make_contiguous(&mut self) {
        self.storage.rotate_left(self.start);
        self.start = 0;
    }
}

impl Drop for RingBuffer {
    fn drop(&mut self) {
        self.budget.resize(self.storage.len(), 0);
    }
}

#[cfg(test)]
#[path = "ring_buffer_tests.rs"]
mod tests;
