//! A client connection: its state, time limits and events.

mod body_pace;
mod events;
mod held;
mod incomplete;
mod reading;

use std::os::fd::OwnedFd;

use body_pace::BodyPace;
use held::Held;
use kitefork_balancer::Nanos;

use super::eviction::{EvictionCandidate, EvictionRank};
use super::input::{ClientInput, Message};
use super::reply::Reply;
use crate::clock::{MS, SECOND};
use crate::http1::{MAX_HEAD, MAX_RESPONSE_BODY, ParseError};
use crate::net::{self, Registration, Unread};
use crate::ring_buffer::{BufferBudget, RingBuffer, WriteOutcome};
use crate::rules::{ClientState, CloseFacts};
use crate::timer_wheel::Deadline;

/// Time limit for the first message to begin, and for the head of any message to be complete, in
/// nanoseconds. A connection that exceeds the limit may be one of hundreds on which nothing more is
/// ever sent. For the first message the time counts from when the connection was accepted.
const HEAD_TIMEOUT: Nanos = 2_500 * MS;
/// Longest pause between two reads of a body, in nanoseconds. A slow client that keeps sending is
/// limited only by [`STALL_TIMEOUT`].
const BODY_PAUSE_TIMEOUT: Nanos = 2 * SECOND;
/// Time limit for the next message to begin after an answer, in nanoseconds.
const IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// Time limit for a client to send its whole body, or to read its answer, in nanoseconds.
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// Time limit for the bytes behind a request to show whether they begin another one, in
/// nanoseconds. Until then the request, or its answer, is held.
const FOLLOWING_TIMEOUT: Nanos = 250 * MS;
/// How long a connection stays open after its last answer is written, in nanoseconds, unless the
/// client closes it before.
const LINGER_TIMEOUT: Nanos = SECOND;
/// When descriptors are short, an idle connection whose client has sent at most one message is
/// among the first to be closed after this time, in nanoseconds.
const FIRST_MESSAGE_GRACE: Nanos = 50 * MS;
/// Interval between searches for expendable connections while many connections are open, in
/// nanoseconds.
pub const TRIM_INTERVAL: Nanos = FIRST_MESSAGE_GRACE / 5;
/// An idle connection whose client has sent more than one message becomes expendable after this
/// time, in nanoseconds.
const RETURNING_CLIENT_GRACE: Nanos = 2 * SECOND;
/// Maximum number of reads whose bytes are discarded before a connection closes: a client that
/// never stops sending must not block the event loop.
const MAX_DISCARDED_READS: usize = 16;

/// How far a client connection has come, from reading messages to its close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Messages are read and answered.
    Open,
    /// The rest of the outbox is being written; then the sending side is shut down.
    Closing,
    /// Everything is written and the sending side is shut down. Bytes that still arrive are
    /// discarded: closing at once would reset the connection, which could destroy the answer.
    Lingering,
}

/// The result of reading a client connection.
pub enum ReadEvent {
    /// No complete message is available.
    Incomplete,
    /// The machine temporarily lacks resources: read again after a short delay.
    RetryLater,
    /// One complete message; bytes of further messages may have been received.
    Message(Message),
    /// The received bytes can't be parsed as a message, or begin no request behind a complete one,
    /// whose length is then wrong. That one may wait for its answer.
    Invalid(ParseError),
    /// The client has closed its sending side.
    EndOfStream,
    /// The connection was reset or failed in another way.
    Broken,
}

/// A connection from a client, which carries one request at a time.
pub struct ClientConnection {
    socket: OwnedFd,
    outbox: RingBuffer,
    input: ClientInput,
    state: ConnectionState,
    /// The number of the request that waits for its answer; `None` if there is none.
    request: Option<u32>,
    /// What waits until the bytes behind the last message show whether its length is right.
    held: Option<Held>,
    /// The pace of the body that is being received; `None` unless its length is known.
    body_pace: Option<BodyPace>,
    /// The client has closed its side, or the connection is broken. A half-close can't be
    /// distinguished from a full close.
    peer_closed: bool,
    /// When the connection was accepted, a message after the first one began, a message or an
    /// answer was held, an answer was queued, or lingering began, whichever is the latest, in
    /// nanoseconds on the node's clock. The time limits of a client count from this time, so that
    /// a client that sends or reads one byte now and then doesn't keep its connection forever.
    state_since: Nanos,
    deadline: Deadline,
    registration: Registration,
}

impl ClientConnection {
    /// A connection that was accepted at `now` and was not established before `queued_at`.
    pub fn new(
        socket: OwnedFd,
        now: Nanos,
        queued_at: Nanos,
        budget: &BufferBudget,
    ) -> ClientConnection {
        ClientConnection {
            socket,
            // Space for one answer with its head, and for `100 Continue` before it.
            outbox: RingBuffer::new(MAX_RESPONSE_BODY + 2 * MAX_HEAD).with_budget(budget),
            input: ClientInput::new(now, queued_at, budget),
            state: ConnectionState::Open,
            request: None,
            held: None,
            body_pace: None,
            peer_closed: false,
            state_since: now,
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// The number of the request that waits for its answer; `None` if there is none.
    pub fn request(&self) -> Option<u32> {
        self.request
    }

    /// Sets the number of the request that the last message has opened and that waits for its
    /// answer.
    pub fn set_request(&mut self, request: u32) {
        self.request = Some(request);
    }

    /// Whether the client is known to have closed its sending side, or the connection to be broken.
    pub fn is_peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Records that the client has closed its sending side, or that the connection is broken.
    pub fn note_peer_closed(&mut self) {
        self.peer_closed = true;
    }

    /// Whether a new check of the socket shows that the client has closed its sending side or reset
    /// the connection.
    fn has_peer_closed_now(&self) -> bool {
        net::has_peer_closed(&self.socket)
    }

    /// Whether the client may have closed its connection, as far as its socket has been read. Its
    /// close arrives behind the bytes that it has sent, so while the inbox is full nothing shows
    /// it.
    pub fn client_state(&self) -> ClientState {
        if self.peer_closed {
            ClientState::Disconnected
        } else if self.is_input_full() {
            ClientState::Unknown
        } else {
            ClientState::Connected
        }
    }

    /// The same by a new check of the socket.
    pub fn client_state_now(&self) -> ClientState {
        match self.client_state() {
            ClientState::Connected if self.has_peer_closed_now() => ClientState::Disconnected,
            ClientState::Connected if self.may_have_unread() => ClientState::Unknown,
            known => known,
        }
    }

    /// Whether everything queued for the client is written to the socket.
    pub fn is_outbox_empty(&self) -> bool {
        self.outbox.is_empty()
    }

    /// When the current state times out, in nanoseconds on the node's clock; [`Deadline::NEVER`]
    /// while a request waits for its answer.
    fn state_deadline(&self) -> Nanos {
        let timeout = match self.state {
            ConnectionState::Lingering => LINGER_TIMEOUT,
            ConnectionState::Open if self.request.is_some() => return Deadline::NEVER,
            ConnectionState::Open if self.held.is_some() => FOLLOWING_TIMEOUT,
            ConnectionState::Open if self.is_idle() && self.has_sent_message() => IDLE_TIMEOUT,
            ConnectionState::Open if self.is_idle() => HEAD_TIMEOUT,
            ConnectionState::Open if self.is_outbox_empty() && self.input.head().is_none() => {
                HEAD_TIMEOUT
            }
            ConnectionState::Open if self.is_outbox_empty() => {
                let next_byte_deadline = self.input.last_byte_at() + BODY_PAUSE_TIMEOUT;
                let check_at = self.body_pace.map_or(Nanos::MAX, |pace| pace.check_at());
                return (self.state_since + STALL_TIMEOUT)
                    .min(next_byte_deadline)
                    .min(check_at);
            }
            ConnectionState::Open | ConnectionState::Closing => STALL_TIMEOUT,
        };
        self.state_since.saturating_add(timeout)
    }

    /// This connection, whose number is `number`, as a candidate for eviction. `None` while a
    /// request waits for its answer or an answer is being written.
    pub fn eviction_candidate(&self, number: u32, now: Nanos) -> Option<EvictionCandidate> {
        if self.is_answer_pending() {
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

    /// Whether the client has sent at least one complete message.
    pub fn has_sent_message(&self) -> bool {
        self.input.message_count() > 0
    }

    /// Whether the connection is between two messages: no request waits for its answer, nothing is
    /// left to write, and no byte of a message is buffered.
    pub fn is_idle(&self) -> bool {
        self.accepts_message() && self.input.is_between_messages()
    }

    /// Whether a message has been received in part. Meaningful only while no request waits for its
    /// answer.
    pub fn has_partial_message(&self) -> bool {
        self.state == ConnectionState::Open && self.is_outbox_empty() && !self.is_idle()
    }

    /// Measures the pace of the body that is being received, if its length is known.
    fn track_body_pace(&mut self, now: Nanos) {
        let remaining = self.input.remaining_body();
        self.body_pace = match (self.body_pace, remaining) {
            (Some(pace), Some(_)) => Some(pace),
            (None, Some(remaining)) => Some(BodyPace::new(now, remaining)),
            (_, None) => None,
        };
    }

    /// Whether the deadline of a body that has come so far is only that of its pace, and the pace
    /// is sufficient. Measures it anew then.
    pub fn extend_for_body_pace(&mut self, now: Nanos) -> bool {
        let (Some(pace), Some(remaining)) = (self.body_pace, self.input.remaining_body()) else {
            return false;
        };
        let complete_by = self.state_since.saturating_add(STALL_TIMEOUT);
        let pause_ends_at = self.input.last_byte_at() + BODY_PAUSE_TIMEOUT;
        if now >= complete_by
            || now >= pause_ends_at
            || !pace.is_sufficient(now, remaining, complete_by)
        {
            return false;
        }
        self.body_pace = Some(BodyPace::new(now, remaining));
        true
    }

    /// Whether bytes that were read can be parsed now. No poll reports them: whoever leaves them in
    /// the inbox must schedule another read of the connection.
    pub fn has_parsable_input(&self) -> bool {
        self.accepts_message() && self.input.has_new_bytes()
    }

    fn accepts_message(&self) -> bool {
        self.state == ConnectionState::Open && !self.is_answer_pending()
    }

    /// Whether a request has no answer yet, or an answer is not completely written.
    fn is_answer_pending(&self) -> bool {
        self.request.is_some() || self.held.is_some() || !self.is_outbox_empty()
    }

    /// Whether the inbox is full, so that nothing more can be read until the current request is
    /// answered.
    pub fn is_input_full(&self) -> bool {
        self.input.is_full()
    }

    /// Writes as much of the outbox as the socket accepts. After the last byte of a closing
    /// connection, shuts down its sending side.
    pub fn flush(&mut self, now: Nanos) -> WriteOutcome {
        let outcome = self.outbox.write_to(&self.socket);
        if self.state == ConnectionState::Closing && self.is_outbox_empty() {
            self.shut_down_write();
            self.state = ConnectionState::Lingering;
            self.state_since = now;
        }
        outcome
    }

    fn shut_down_write(&self) {
        // An error means that the connection is broken, which the next read reports.
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write);
    }

    /// The facts by which the rules decide whether the node may close the connection on its own
    /// initiative.
    pub fn close_facts(&self) -> CloseFacts {
        CloseFacts {
            answer_pending: self.is_answer_pending(),
            has_unread_input: self.may_have_unread() || self.has_parsable_input(),
        }
    }

    /// Whether the socket may hold unread bytes, possibly of a request.
    fn may_have_unread(&self) -> bool {
        self.state == ConnectionState::Open
            && matches!(net::unread(&self.socket), Unread::Bytes | Unread::Unknown)
    }

    /// Shuts down the sending side and then discards received bytes, before the socket is closed.
    /// Closing a socket with unread bytes resets the connection, which discards what the kernel has
    /// not yet sent of an answer. The end of the stream is sent before the bytes are read: the
    /// client of a request that arrives later sees that the connection was closed before, and
    /// retries elsewhere. If the end of the stream were sent last, the client would take such a
    /// request for accepted. Does nothing on an open connection without a complete message.
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

    /// Puts an answer into the outbox, a successful one as soon as the bytes behind its request
    /// show that the request's length is right. The connection closes after the answer if the
    /// answer or the last message requires that.
    pub fn queue_reply(&mut self, now: Nanos, reply: Reply) {
        self.request = None;
        self.held = None;
        self.state_since = now;
        let reply = Reply {
            close: reply.close || !self.input.is_kept_alive(),
            ..reply
        };
        self.hold_or_push_reply(now, reply);
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
