//! A client's connection: its state, time limits and events.

mod events;

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;

use super::eviction::{EvictionCandidate, EvictionRank};
use super::input::{ClientInput, Message};
use super::reply::Reply;
use crate::clock::{MS, SECOND};
use crate::http1::{MAX_HEAD, MAX_RESPONSE_BODY, ParseError};
use crate::net::{self, Registration, Unread};
use crate::ring_buffer::{BufferBudget, ReadOutcome, RingBuffer, WriteOutcome};
use crate::rules::CloseFacts;
use crate::timer_wheel::Deadline;

/// A connection on which no message was ever complete, or whose head is incomplete, ends after
/// this, in nanoseconds: it may be one of hundreds that will never say more. For a first message it
/// counts from the connection's start.
const HEAD_TIMEOUT: Nanos = 2_500 * MS;
/// A connection whose message's body does not go on ends after this, in nanoseconds; a slow but
/// honest one goes on.
const BODY_PAUSE_TIMEOUT: Nanos = 2 * SECOND;
/// An answered connection without a new message ends after this, in nanoseconds.
const IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// A connection that has not sent its whole body, or not read its answer, ends after this, in
/// nanoseconds.
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// A connection whose last answer is written ends after this, in nanoseconds.
const LINGER_TIMEOUT: Nanos = SECOND;
/// Where descriptors are short, a client that has sent no message, or no second one, by then, in
/// nanoseconds, is among the first to go.
const FIRST_MESSAGE_GRACE: Nanos = 50 * MS;
/// Where many connections are open, expendable ones are searched for this often, in nanoseconds.
pub const TRIM_INTERVAL: Nanos = FIRST_MESSAGE_GRACE / 5;
/// A client that has come back keeps its connection for this long, in nanoseconds, before it is
/// among those to go.
const RETURNING_CLIENT_GRACE: Nanos = 2 * SECOND;
/// Most pieces that are read and thrown away before a connection closes.
const MAX_DISCARDED_READS: usize = 16;
/// What a client that expects it gets before it sends its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Messages come and go.
    Open,
    /// What is written goes out, then the connection ends.
    Closing,
    /// All is written. What still comes is thrown away: closing at once would reset the connection
    /// and could take the answer with it.
    Lingering,
}

/// What reading a connection came to.
pub enum ReadEvent {
    /// No message is complete.
    Incomplete,
    /// The machine lacks resources for a moment: read again a little later.
    RetryLater,
    /// A complete message.
    Message(Message),
    /// What has come is no message.
    Invalid(ParseError),
    /// The client has closed its side.
    EndOfStream,
    /// The connection has broken.
    Broken,
}

/// A connection of a client.
pub struct ClientConnection {
    socket: OwnedFd,
    outbox: RingBuffer,
    input: ClientInput,
    state: ConnectionState,
    /// The request that waits for its answer.
    request: Option<u32>,
    /// The client has closed its side, or the connection has broken. A half-close looks the same.
    peer_closed: bool,
    /// When it came to its present state: every time limit on a client counts from here, so that a
    /// client which sends or reads a byte now and then does not stay for ever.
    state_since: Nanos,
    deadline: Deadline,
    registration: Registration,
}

impl ClientConnection {
    /// A connection that was accepted at `now`, and was established at `queued_at` at the earliest.
    pub fn new(
        socket: OwnedFd,
        now: Nanos,
        queued_at: Nanos,
        budget: &BufferBudget,
    ) -> ClientConnection {
        ClientConnection {
            socket,
            // An answer, its head, and `100 Continue` before it.
            outbox: RingBuffer::new(MAX_RESPONSE_BODY + 2 * MAX_HEAD).with_budget(budget),
            input: ClientInput::new(now, queued_at, budget),
            state: ConnectionState::Open,
            request: None,
            peer_closed: false,
            state_since: now,
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// The request that waits for its answer.
    pub fn request(&self) -> Option<u32> {
        self.request
    }

    /// A request of the last message waits for its answer from now on.
    pub fn set_request(&mut self, request: u32) {
        self.request = Some(request);
    }

    /// Whether the client is known to have closed its side.
    pub fn is_peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Takes note that the client has closed its side.
    pub fn note_peer_closed(&mut self) {
        self.peer_closed = true;
    }

    /// Whether the client has closed its side by a fresh check of the socket.
    pub fn has_peer_closed_now(&self) -> bool {
        net::has_peer_closed(&self.socket)
    }

    /// Whether nothing is left to write.
    pub fn is_written(&self) -> bool {
        self.outbox.is_empty()
    }

    /// When it has taken too long over its present state.
    fn state_deadline(&self) -> Nanos {
        let timeout = match self.state {
            ConnectionState::Lingering => LINGER_TIMEOUT,
            ConnectionState::Open if self.request.is_some() => return Deadline::NEVER,
            ConnectionState::Open if self.is_idle() && self.has_sent_message() => IDLE_TIMEOUT,
            ConnectionState::Open if self.is_idle() => HEAD_TIMEOUT,
            ConnectionState::Open if self.is_written() && !self.input.has_head() => HEAD_TIMEOUT,
            ConnectionState::Open if self.is_written() => {
                let next_byte_deadline = self.input.last_byte_at() + BODY_PAUSE_TIMEOUT;
                return (self.state_since + STALL_TIMEOUT).min(next_byte_deadline);
            }
            ConnectionState::Open | ConnectionState::Closing => STALL_TIMEOUT,
        };
        self.state_since.saturating_add(timeout)
    }

    /// How readily the connection, which has this number, is closed for another one. `None`: not at
    /// all, as a request waits or an answer is on its way.
    pub fn eviction_candidate(&self, number: u32, now: Nanos) -> Option<EvictionCandidate> {
        if self.request.is_some() || !self.is_written() {
            return None;
        }
        let age = now.saturating_sub(self.state_since);
        let rank = match self.state {
            ConnectionState::Open if self.is_idle() => match self.input.message_count() {
                1 if age > FIRST_MESSAGE_GRACE => EvictionRank::SentOnce,
                0 if age > FIRST_MESSAGE_GRACE => EvictionRank::NeverSent,
                2.. if age > RETURNING_CLIENT_GRACE => EvictionRank::Returned,
                0 | 1 => EvictionRank::Recent,
                _ => EvictionRank::RecentlyReturned,
            },
            ConnectionState::Lingering => EvictionRank::Lingering,
            ConnectionState::Open | ConnectionState::Closing => EvictionRank::Active,
        };
        Some(EvictionCandidate {
            rank,
            state_since: self.state_since,
            number,
        })
    }

    /// Whether it has had a complete message.
    pub fn has_sent_message(&self) -> bool {
        self.input.message_count() > 0
    }

    /// Whether it stands between two messages.
    pub fn is_idle(&self) -> bool {
        self.accepts_message() && self.input.is_between_messages()
    }

    /// Whether its client takes its time over a message.
    pub fn has_partial_message(&self) -> bool {
        self.state == ConnectionState::Open && self.is_written() && !self.is_idle()
    }

    /// Whether its last message is answered, and the next has come behind it.
    fn has_next_message(&self) -> bool {
        self.accepts_message() && self.input.has_next_message()
    }

    fn accepts_message(&self) -> bool {
        self.state == ConnectionState::Open && self.request.is_none() && self.is_written()
    }

    /// Whether it can read no more until the current request is answered.
    pub fn is_input_full(&self) -> bool {
        self.input.is_full()
    }

    /// Writes what it can; a closing connection whose last byte is written shows its end.
    pub fn flush(&mut self, now: Nanos) -> WriteOutcome {
        let outcome = self.outbox.write_to(&self.socket);
        if self.state == ConnectionState::Closing && self.is_written() {
            self.shut_down_write();
            self.state = ConnectionState::Lingering;
            self.state_since = now;
        }
        outcome
    }

    fn shut_down_write(&self) {
        // One that is broken already shows so when it is read.
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write);
    }

    /// Reads what has come, up to a complete message. While a request waits or an answer is not
    /// written, what comes waits in the ring. `previous_poll_at` is when the loop last saw all
    /// sockets without an event.
    pub fn read(&mut self, now: Nanos, previous_poll_at: Nanos) -> ReadEvent {
        let arrived_at = self.input.earliest_arrival(now, previous_poll_at);
        let mut has_read = false;
        loop {
            if self.accepts_message()
                && let Some(event) = self.parse(now)
            {
                if matches!(event, ReadEvent::Message(_)) {
                    if has_read {
                        self.input.set_first_byte_at(arrived_at);
                    }
                    self.peer_closed |=
                        self.input
                            .has_peer_closed_after_message(&self.socket, now, arrived_at);
                }
                return event;
            }
            match self.input.fill(&self.socket, now, arrived_at) {
                // One piece an iteration: a client that never stops must not hold the loop.
                ReadOutcome::Data if self.state != ConnectionState::Open => {
                    self.input.discard();
                    return ReadEvent::Incomplete;
                }
                ReadOutcome::Data => has_read = true,
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return ReadEvent::Incomplete,
                ReadOutcome::RetryLater => return ReadEvent::RetryLater,
                ReadOutcome::EndOfStream => return ReadEvent::EndOfStream,
                ReadOutcome::Broken => return ReadEvent::Broken,
            }
        }
    }

    fn parse(&mut self, now: Nanos) -> Option<ReadEvent> {
        if self.input.is_empty() {
            return None;
        }
        if self.input.begin_message() {
            self.state_since = now;
        }
        if let Err(error) = self.input.parse() {
            return Some(ReadEvent::Invalid(error));
        }
        if self.input.awaits_continue() {
            // Small, and before any answer: it always fits.
            let is_sent = self.outbox.push(CONTINUE_RESPONSE);
            self.input.set_continue_sent(is_sent);
        }
        self.input.take_message(now).map(ReadEvent::Message)
    }

    /// What decides whether it may be closed for a reason of the node's own.
    pub fn close_facts(&self) -> CloseFacts {
        CloseFacts {
            answer_pending: self.request.is_some() || !self.is_written(),
            has_unread_input: self.may_have_unread() || self.has_next_message(),
        }
    }

    /// Whether bytes may have come, maybe of a request, that nobody has read.
    fn may_have_unread(&self) -> bool {
        self.state == ConnectionState::Open
            && matches!(net::unread(&self.socket), Unread::Bytes | Unread::Unknown)
    }

    /// The last act before its socket closes. With bytes unread that is a reset, which throws away
    /// what the kernel has not yet sent of an answer. The end goes out first: a request that comes
    /// in this very moment has met a close, and its client retries elsewhere; read before the end
    /// it would look accepted.
    pub fn close_gracefully(&mut self) {
        if !self.has_sent_message() && self.state == ConnectionState::Open {
            return;
        }
        self.shut_down_write();
        for _ in 0..MAX_DISCARDED_READS {
            if !self.input.discard_from(&self.socket) {
                return;
            }
        }
    }

    /// Puts an answer in the outbox.
    pub fn reply(&mut self, now: Nanos, reply: Reply) {
        self.request = None;
        self.state_since = now;
        let reply = Reply {
            close: reply.close || !self.input.is_kept_alive(),
            ..reply
        };
        // An answer that doesn't fit can't be distinguished from none: the connection ends
        // without a complete one.
        if !self.outbox.push(&reply.encode()) || reply.close {
            self.state = ConnectionState::Closing;
        }
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
