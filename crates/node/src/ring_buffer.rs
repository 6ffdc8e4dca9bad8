//! One ring buffer for each direction of a connection: starts small, grows to its cap, and gives
//! its memory back when it has run empty.

use std::cell::Cell;
use std::ops::Deref;
use std::os::fd::AsFd;
use std::rc::Rc;

use rustix::net::{RecvFlags, SendFlags};

use crate::errno::{self, ErrorClass};

const START: usize = 2 * 1024;

/// Bytes that all buffers together may hold. Buffers count themselves; bodies that come are turned
/// down while it is spent. Guards against memory that grows with connections times the worst that
/// each can hold.
#[derive(Clone)]
pub struct BufferBudget(Rc<Cell<isize>>);

impl Default for BufferBudget {
    /// As good as none.
    fn default() -> BufferBudget {
        BufferBudget::new(usize::MAX)
    }
}

impl BufferBudget {
    pub fn new(bytes: usize) -> BufferBudget {
        BufferBudget(Rc::new(Cell::new(
            bytes.min(isize::MAX as usize / 2) as isize
        )))
    }

    pub fn is_spent(&self) -> bool {
        self.0.get() <= 0
    }

    fn change(&self, before: usize, after: usize) {
        self.0.set(self.0.get() + before as isize - after as isize);
    }
}

/// A body on the budget.
#[derive(Default)]
pub struct Body {
    bytes: Vec<u8>,
    budget: BufferBudget,
}

impl Body {
    pub fn with_budget(budget: &BufferBudget) -> Body {
        Body {
            bytes: Vec::new(),
            budget: budget.clone(),
        }
    }

    /// Appends, unless the budget is spent.
    #[must_use]
    pub fn extend(&mut self, more: &[u8]) -> bool {
        if self.budget.is_spent() && !more.is_empty() {
            return false;
        }
        self.budget.change(0, more.len());
        self.bytes.extend_from_slice(more);
        true
    }

    /// The first `count` bytes, out of it.
    pub fn split_front(&mut self, count: usize) -> Vec<u8> {
        self.budget.change(count, 0);
        self.bytes.drain(..count).collect()
    }

    /// All of it, which leaves it empty.
    pub fn take(&mut self) -> Body {
        Body {
            bytes: std::mem::take(&mut self.bytes),
            budget: self.budget.clone(),
        }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.budget.change(self.bytes.len(), 0);
    }
}

pub struct RingBuffer {
    budget: BufferBudget,
    store: Vec<u8>,
    head: usize,
    len: usize,
    cap: usize,
}

/// What reading a socket came to.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes have come.
    Data,
    /// Nothing there now.
    WouldBlock,
    /// The ring is at its cap.
    BufferFull,
    /// The machine lacks something for a moment.
    RetryLater,
    /// The other side has ended its sending.
    EndOfStream,
    /// The connection has broken.
    Broken,
}

/// What writing to a socket came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All is written.
    Done,
    /// The socket takes no more now.
    Blocked,
    /// The machine lacks something for a moment.
    RetryLater,
    /// The connection has broken.
    Broken,
}

impl RingBuffer {
    pub fn new(cap: usize) -> RingBuffer {
        RingBuffer {
            budget: BufferBudget::default(),
            store: Vec::new(),
            head: 0,
            len: 0,
            cap,
        }
    }

    /// Counted on a budget from here on. It is never turned down: what it holds is at most what has
    /// come in, or is made of it.
    pub fn with_budget(mut self, budget: &BufferBudget) -> RingBuffer {
        self.budget = budget.clone();
        self
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Room for at least `more` bytes, within the cap; tells whether there is.
    fn grow(&mut self, more: usize) -> bool {
        let wanted = self.len + more;
        if wanted > self.cap {
            return false;
        }
        if wanted > self.store.len() {
            self.straighten();
            let size = wanted.next_power_of_two().max(START).min(self.cap);
            self.budget.change(self.store.len(), size);
            self.store.resize(size, 0);
        }
        true
    }

    fn straighten(&mut self) {
        self.store.rotate_left(self.head);
        self.head = 0;
    }

    /// All that it holds, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        if self.head + self.len > self.store.len() {
            self.straighten();
        }
        &self.store[self.head..self.head + self.len]
    }

    pub fn consume(&mut self, count: usize) {
        self.len -= count;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.store.len()
        };
        if self.len == 0 && self.store.len() > START {
            self.budget.change(self.store.len(), 0);
            self.store = Vec::new();
        }
    }

    /// Appends; tells whether it had room, and appends nothing otherwise.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if !self.grow(bytes.len()) {
            return false;
        }
        let size = self.store.len();
        let start = if size == 0 {
            0
        } else {
            (self.head + self.len) % size
        };
        let first = bytes.len().min(size - start);
        self.store[start..start + first].copy_from_slice(&bytes[..first]);
        self.store[..bytes.len() - first].copy_from_slice(&bytes[first..]);
        self.len += bytes.len();
        true
    }

    /// One read from a socket.
    pub fn read_from(&mut self, socket: impl AsFd) -> ReadOutcome {
        if self.len == self.store.len()
            && !self.grow((self.len.max(START)).min(self.cap - self.len).max(1))
        {
            return ReadOutcome::BufferFull;
        }
        let size = self.store.len();
        let start = (self.head + self.len) % size;
        let end = if start < self.head { self.head } else { size };
        loop {
            return match rustix::net::recv(&socket, &mut self.store[start..end], RecvFlags::empty())
            {
                Ok((0, _)) => ReadOutcome::EndOfStream,
                Ok((count, _)) => {
                    self.len += count;
                    ReadOutcome::Data
                }
                Err(error) => match errno::of_transfer(error) {
                    ErrorClass::RetryNow => continue,
                    ErrorClass::WouldBlock => ReadOutcome::WouldBlock,
                    ErrorClass::RetryLater => ReadOutcome::RetryLater,
                    _ => ReadOutcome::Broken,
                },
            };
        }
    }

    /// Writes as much as the socket takes.
    pub fn write_to(&mut self, socket: impl AsFd) -> WriteOutcome {
        while self.len > 0 {
            let end = (self.head + self.len).min(self.store.len());
            match rustix::net::send(&socket, &self.store[self.head..end], SendFlags::NOSIGNAL) {
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
}

impl Drop for RingBuffer {
    fn drop(&mut self) {
        self.budget.change(self.store.len(), 0);
    }
}

#[cfg(test)]
#[path = "ring_buffer_tests.rs"]
mod tests;
