//! What a client connection holds until the bytes behind a request show whether its length is
//! right.
//!
//! If the bytes behind a complete request may be the beginning of another request or the rest of
//! its body, the request is not opened yet. If such bytes arrive later, while the request waits for
//! its answer, a successful answer is not sent yet.

use kitefork_balancer::Nanos;

use super::{ClientConnection, ConnectionState, ReadEvent};
use crate::downstream::input::{DrainOutcome, Message};
use crate::downstream::reply::Reply;
use crate::http1::{Following, ParseError};

/// What is held until the bytes behind the last request show whether its length is right.
pub(super) enum Held {
    /// A complete request that is not opened yet.
    Message(Message),
    /// An encoded successful answer that is not queued yet.
    Reply {
        /// The answer's bytes.
        bytes: Vec<u8>,
        /// Whether the connection closes after the answer.
        close: bool,
    },
}

impl ClientConnection {
    /// Handles a message that has just become complete: reads what follows it, and holds the
    /// message if that does not show yet whether its length is right.
    pub(super) fn complete_message(
        &mut self,
        message: Message,
        now: Nanos,
        arrived_at: Nanos,
    ) -> ReadEvent {
        let outcome = self.input.drain(&self.socket, now, arrived_at);
        match outcome {
            DrainOutcome::PeerClosed => self.peer_closed = true,
            DrainOutcome::InboxFull => self.peer_closed |= self.has_peer_closed_now(),
            DrainOutcome::Drained | DrainOutcome::RetryLater => {}
        }
        self.hold(Held::Message(message), now);
        match outcome {
            DrainOutcome::RetryLater => ReadEvent::RetryLater,
            _ => self.release_held(),
        }
    }

    /// Whether a request or an answer waits for what follows the request.
    pub fn is_holding(&self) -> bool {
        self.held.is_some()
    }

    fn hold(&mut self, held: Held, now: Nanos) {
        self.held = Some(held);
        self.state_since = now;
    }

    /// Decides by the bytes that were received whether what is held, if anything, can go on. After
    /// the end of the client's stream nothing more can complete another request.
    pub(super) fn release_held(&mut self) -> ReadEvent {
        if !self.is_holding() {
            return self.check_open_request();
        }
        match self.input.following() {
            Following::Undecided if !self.peer_closed => ReadEvent::Incomplete,
            Following::Undecided | Following::Invalid => {
                self.held = None;
                ReadEvent::Invalid(ParseError::Malformed)
            }
            Following::Nothing | Following::Request => self.take_held(),
        }
    }

    fn take_held(&mut self) -> ReadEvent {
        match self.held.take() {
            Some(Held::Message(message)) => ReadEvent::Message(message),
            Some(Held::Reply { bytes, close }) => {
                self.push_reply(&bytes, close);
                ReadEvent::Incomplete
            }
            None => ReadEvent::Incomplete,
        }
    }

    /// Checks the bytes that have arrived behind a request that waits for its answer.
    fn check_open_request(&mut self) -> ReadEvent {
        let is_waiting = self.request.is_some() && self.state == ConnectionState::Open;
        if is_waiting && self.input.following() == Following::Invalid {
            return ReadEvent::Invalid(ParseError::Malformed);
        }
        ReadEvent::Incomplete
    }

    /// Holds a successful answer if the bytes behind its request do not show yet whether the
    /// request's length is right; otherwise queues the answer.
    pub(super) fn hold_or_push_reply(&mut self, now: Nanos, reply: Reply) {
        let bytes = reply.encode();
        let close = reply.close;
        if reply.is_success() && !self.peer_closed && self.input.following() == Following::Undecided
        {
            self.hold(Held::Reply { bytes, close }, now);
        } else {
            self.push_reply(&bytes, close);
        }
    }

    /// An answer that doesn't fit the outbox is dropped and the connection closes: to the client
    /// this is a connection that ends without a complete answer.
    fn push_reply(&mut self, bytes: &[u8], close: bool) {
        if !self.outbox.push(bytes) || close {
            self.state = ConnectionState::Closing;
        }
    }
}
