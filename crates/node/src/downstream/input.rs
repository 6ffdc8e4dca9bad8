//! What is read from a client: bytes, messages, and when they can have arrived.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;

use super::arrival::ArrivalTracker;
use crate::http1::{Head, MAX_HEAD, ParseError, Parser};
use crate::net;
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome, RingBuffer};

/// Capacity of the inbox beside a head of the longest length, in bytes.
const INBOX_EXTRA_BYTES: usize = 1024;

/// A complete message.
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body; may be empty.
    pub body: Body,
    /// When its first byte can have arrived at the earliest, in nanoseconds on the node's clock.
    pub started_at: Nanos,
}

/// The reading side of a client connection.
pub struct ClientInput {
    inbox: RingBuffer,
    parser: Parser,
    arrival: ArrivalTracker,
    /// When the first byte of the current message can have arrived; `None` between two messages.
    message_started_at: Option<Nanos>,
    last_byte_at: Nanos,
    /// Complete messages so far.
    message_count: u32,
    /// `100 Continue` was sent for the current message.
    continue_sent: bool,
    /// The last message lets the connection live on.
    keep_alive: bool,
}

impl ClientInput {
    /// The input of a connection that was accepted at `now`, and was established at `queued_at` at
    /// the earliest.
    pub fn new(now: Nanos, queued_at: Nanos, budget: &BufferBudget) -> ClientInput {
        ClientInput {
            inbox: RingBuffer::new(MAX_HEAD + INBOX_EXTRA_BYTES).with_budget(budget),
            parser: Parser::requests().with_budget(budget),
            arrival: ArrivalTracker::new(now, queued_at),
            message_started_at: None,
            last_byte_at: now,
            message_count: 0,
            continue_sent: false,
            keep_alive: true,
        }
    }

    /// Complete messages so far.
    pub fn message_count(&self) -> u32 {
        self.message_count
    }

    /// When the last byte arrived.
    pub fn last_byte_at(&self) -> Nanos {
        self.last_byte_at
    }

    /// Whether the last message lets the connection live on.
    pub fn is_kept_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether it holds nothing of a message.
    pub fn is_between_messages(&self) -> bool {
        self.inbox.is_empty() && self.message_started_at.is_none()
    }

    /// Whether the next message has arrived, at least in part, and is not begun.
    pub fn has_next_message(&self) -> bool {
        self.parser.is_at_start() && !self.inbox.is_empty()
    }

    /// Whether the head of the current message is complete.
    pub fn has_head(&self) -> bool {
        self.parser.head.is_some()
    }

    /// Whether nothing that is read is left to parse.
    pub fn is_empty(&self) -> bool {
        self.inbox.is_empty()
    }

    /// Whether it can hold no more until the current request is answered.
    pub fn is_full(&self) -> bool {
        self.inbox.len() > MAX_HEAD
    }

    /// Throws away what is read.
    pub fn discard(&mut self) {
        let count = self.inbox.len();
        self.inbox.consume(count);
    }

    /// Reads once and throws away what came; whether something did.
    pub fn discard_from(&mut self, socket: &OwnedFd) -> bool {
        self.discard();
        self.inbox.read_from(socket) == ReadOutcome::Data
    }

    /// The socket is watched for bytes from now on.
    pub fn note_watched(&mut self, now: Nanos) {
        self.arrival.note_watched(now);
    }

    /// When bytes that are read at `now` can have arrived at the earliest; see
    /// [`Arrival::earliest_arrival`].
    pub fn earliest_arrival(&self, now: Nanos, previous_poll_at: Nanos) -> Nanos {
        self.arrival.earliest_arrival(now, previous_poll_at)
    }

    /// What lies behind a message that has only now become complete arrived with its end.
    pub fn set_first_byte_at(&mut self, arrived_at: Nanos) {
        self.arrival.set_first_byte_at(arrived_at);
    }

    /// Reads one piece of what has arrived.
    pub fn fill(&mut self, socket: &OwnedFd, now: Nanos, arrived_at: Nanos) -> ReadOutcome {
        let was_empty = self.inbox.is_empty();
        let outcome = self.inbox.read_from(socket);
        match outcome {
            ReadOutcome::Data => {
                self.last_byte_at = now;
                if was_empty {
                    self.arrival.set_first_byte_at(arrived_at);
                }
            }
            ReadOutcome::WouldBlock => self.arrival.note_empty(now),
            ReadOutcome::BufferFull | ReadOutcome::RetryLater => self.arrival.note_unread(),
            ReadOutcome::EndOfStream | ReadOutcome::Broken => {}
        }
        outcome
    }

    /// Whether the client has closed its side behind its message, as it may have while that waited
    /// in the accept queue, in a buffer or through a stall.
    pub fn has_peer_closed_after_message(
        &mut self,
        socket: &OwnedFd,
        now: Nanos,
        arrived_at: Nanos,
    ) -> bool {
        loop {
            if self.inbox.is_empty() {
                self.arrival.set_first_byte_at(arrived_at);
            }
            match self.inbox.read_from(socket) {
                ReadOutcome::Data => {}
                ReadOutcome::WouldBlock => {
                    self.arrival.note_empty(now);
                    return false;
                }
                ReadOutcome::BufferFull | ReadOutcome::RetryLater => {
                    self.arrival.note_unread();
                    return net::has_peer_closed(socket);
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken => return true,
            }
        }
    }

    /// Begins the current message with the oldest unread byte, if none is begun; whether that is a
    /// further message of this connection.
    pub fn begin_message(&mut self) -> bool {
        if self.message_started_at.is_some() {
            return false;
        }
        self.message_started_at = Some(self.arrival.first_byte_at());
        self.message_count > 0
    }

    /// Parses what is read.
    ///
    /// # Errors
    ///
    /// What is wrong with the message.
    pub fn parse(&mut self) -> Result<(), ParseError> {
        let consumed = self.parser.feed(self.inbox.bytes())?;
        self.inbox.consume(consumed);
        Ok(())
    }

    /// Whether the client waits for `100 Continue` before it sends its body.
    pub fn awaits_continue(&self) -> bool {
        self.parser.awaits_body()
            && !self.continue_sent
            && self
                .parser
                .head
                .as_ref()
                .is_some_and(Head::expects_continue)
    }

    /// Whether `100 Continue` was sent for the current message.
    pub fn set_continue_sent(&mut self, is_sent: bool) {
        self.continue_sent = is_sent;
    }

    /// The current message, once it is complete.
    pub fn take_message(&mut self, now: Nanos) -> Option<Message> {
        if self.parser.is_at_start() && self.inbox.is_empty() {
            self.message_started_at = None;
        }
        let (head, body) = self.parser.take_message()?;
        self.keep_alive = head.keep_alive;
        self.message_count = self.message_count.saturating_add(1);
        self.continue_sent = false;
        Some(Message {
            head,
            body,
            started_at: self.message_started_at.take().unwrap_or(now),
        })
    }
}
