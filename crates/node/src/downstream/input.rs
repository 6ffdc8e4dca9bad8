//! The input of a client connection: received bytes, complete messages, and their arrival times.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;

use super::arrival::ArrivalTracker;
use super::inbox::Inbox;
use crate::http1::{Following, Head, MAX_HEAD, ParseError, Parser};
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome};

/// A complete message from a client, and the earliest time at which it can have begun to arrive.
pub struct Message {
    /// The request line and the headers, including those that are not forwarded.
    pub head: Head,
    /// The body of the message; may be empty.
    pub body: Body,
    /// Earliest possible arrival time of the first byte, in nanoseconds on the node's clock.
    pub started_at: Nanos,
}

/// The receiving side of a client connection: its inbox, its parser, and the earliest time at which
/// the received bytes can have arrived.
pub struct ClientInput {
    inbox: Inbox,
    parser: Parser,
    arrival: ArrivalTracker,
    /// Earliest possible arrival time of the first byte of the current message; `None` between two
    /// messages.
    message_started_at: Option<Nanos>,
    last_byte_at: Nanos,
    /// Number of complete messages so far.
    message_count: u32,
    /// Whether `100 Continue` was sent for the current message.
    continue_sent: bool,
    /// Whether the last message allows the connection to stay open after its answer; `true` before
    /// the first message.
    keep_alive: bool,
    /// Whether the last message has a body that ends with its `Content-Length`.
    has_sized_body: bool,
}

/// The result of reading the socket after a complete message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Everything that has arrived is read.
    Drained,
    /// The inbox is full. Bytes that are not read, and a close behind them, may have arrived.
    InboxFull,
    /// The machine temporarily lacks resources: read again after a short delay.
    RetryLater,
    /// The client has closed its sending side, or the connection is broken.
    PeerClosed,
}

impl ClientInput {
    /// The input of a connection that was accepted at `now` and was not established before
    /// `queued_at`. Its buffers are counted against `budget`.
    pub fn new(now: Nanos, queued_at: Nanos, budget: &BufferBudget) -> ClientInput {
        ClientInput {
            inbox: Inbox::new(budget),
            parser: Parser::requests().with_budget(budget),
            arrival: ArrivalTracker::new(now, queued_at),
            message_started_at: None,
            last_byte_at: now,
            message_count: 0,
            continue_sent: false,
            keep_alive: true,
            has_sized_body: false,
        }
    }

    /// Number of complete messages so far, including the one that is being answered.
    pub fn message_count(&self) -> u32 {
        self.message_count
    }

    /// When bytes were last read, in nanoseconds on the node's clock; before that, when the
    /// connection was accepted.
    pub fn last_byte_at(&self) -> Nanos {
        self.last_byte_at
    }

    /// Whether the last message allows the connection to stay open after its answer; `true` before
    /// the first message.
    pub fn is_kept_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether the connection is between two messages: the inbox is empty and no message has been
    /// received in part.
    pub fn is_between_messages(&self) -> bool {
        self.inbox.is_empty() && self.message_started_at.is_none()
    }

    /// Whether the inbox holds bytes that the parser has not been fed.
    pub fn has_new_bytes(&self) -> bool {
        self.inbox.has_new_bytes()
    }

    /// The head of the current message; `None` while it is incomplete.
    pub fn head(&self) -> Option<&Head> {
        self.parser.head.as_ref()
    }

    /// Number of bytes of the current message's body that have not been received; `None` unless its
    /// head is complete and gives the body's length.
    pub fn remaining_body(&self) -> Option<usize> {
        self.parser.remaining_body()
    }

    /// Whether the inbox holds no unparsed bytes.
    pub fn is_empty(&self) -> bool {
        self.inbox.is_empty()
    }

    /// Number of bytes in the inbox, which were read and not parsed.
    pub fn unparsed_bytes(&self) -> usize {
        self.inbox.len()
    }

    /// Whether the inbox counts as full: it holds more bytes than a head of the maximum length. The
    /// socket is then not watched for further bytes until the current request is answered.
    pub fn is_full(&self) -> bool {
        self.inbox.len() > MAX_HEAD
    }

    /// Discards the bytes that were received and not parsed.
    pub fn discard(&mut self) {
        self.inbox.discard();
    }

    /// Discards the bytes that were received and not parsed, then reads the socket once; returns
    /// whether bytes were read.
    pub fn discard_from(&mut self, socket: &OwnedFd) -> bool {
        self.discard();
        self.inbox.read_from(socket) == ReadOutcome::Data
    }

    /// Records that the socket is registered for readable events since `now`.
    pub fn note_watched(&mut self, now: Nanos) {
        self.arrival.note_watched(now);
    }

    /// Records that the last read may have left bytes in the socket.
    pub fn note_unread(&mut self) {
        self.arrival.note_unread();
    }

    /// Earliest possible arrival time of bytes that are read at `now`; see
    /// [`ArrivalTracker::earliest_arrival`].
    pub fn earliest_arrival(&self, now: Nanos, previous_poll_at: Nanos) -> Nanos {
        self.arrival.earliest_arrival(now, previous_poll_at)
    }

    /// Sets `arrived_at` as the earliest possible arrival time of the bytes that follow a complete
    /// message in the inbox; they may have arrived together with the end of that message.
    pub fn set_first_byte_at(&mut self, arrived_at: Nanos) {
        self.arrival.set_first_byte_at(arrived_at);
    }

    /// Reads from the socket once and updates the arrival times. `arrived_at` is the earliest
    /// possible arrival time of the bytes that are read.
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

    /// Reads the socket again after a complete message, until nothing is left or the inbox is full:
    /// the client may have sent more, or have closed its side, while the message waited in the
    /// accept queue, in a buffer or during a stall of the process.
    pub fn drain(&mut self, socket: &OwnedFd, now: Nanos, arrived_at: Nanos) -> DrainOutcome {
        loop {
            if self.inbox.is_empty() {
                self.arrival.set_first_byte_at(arrived_at);
            }
            match self.inbox.read_from(socket) {
                ReadOutcome::Data => {}
                ReadOutcome::WouldBlock => {
                    self.arrival.note_empty(now);
                    return DrainOutcome::Drained;
                }
                ReadOutcome::BufferFull => {
                    self.arrival.note_unread();
                    return DrainOutcome::InboxFull;
                }
                ReadOutcome::RetryLater => {
                    self.arrival.note_unread();
                    return DrainOutcome::RetryLater;
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken => return DrainOutcome::PeerClosed,
            }
        }
    }

    /// Begins a message with the first byte in the inbox, unless one has begun already. Returns
    /// `true` if this begins a message that is not the first one on the connection.
    pub fn begin_message(&mut self) -> bool {
        if self.message_started_at.is_some() {
            return false;
        }
        self.message_started_at = Some(self.arrival.first_byte_at());
        self.message_count > 0
    }

    /// Parses the content of the inbox, at most up to the end of one message.
    ///
    /// # Errors
    ///
    /// The reason why the message can't be parsed.
    pub fn parse(&mut self) -> Result<(), ParseError> {
        self.inbox.feed(&mut self.parser)
    }

    /// What stands behind the last complete message.
    pub fn following(&mut self) -> Following {
        Following::classify(self.inbox.bytes(), self.has_sized_body)
    }

    /// Whether the client waits for `100 Continue` before it sends its body, and none was sent yet.
    pub fn awaits_continue(&self) -> bool {
        self.parser.awaits_body()
            && !self.continue_sent
            && self.head().is_some_and(Head::expects_continue)
    }

    /// Records whether `100 Continue` was sent for the current message.
    pub fn set_continue_sent(&mut self, is_sent: bool) {
        self.continue_sent = is_sent;
    }

    /// Removes and returns the current message; `None` while it is incomplete.
    pub fn take_message(&mut self, now: Nanos) -> Option<Message> {
        if self.parser.is_at_start() && self.inbox.is_empty() {
            self.message_started_at = None;
        }
        let (head, body) = self.parser.take_message()?;
        self.keep_alive = head.keep_alive;
        self.has_sized_body = !body.is_empty() && !head.is_chunked();
        self.message_count = self.message_count.saturating_add(1);
        self.continue_sent = false;
        Some(Message {
            head,
            body,
            started_at: self.message_started_at.take().unwrap_or(now),
        })
    }
}
