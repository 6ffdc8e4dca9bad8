//! Reading a client connection: received bytes up to the end of one message, and the interim
//! response.
//!
//! Bytes that are read leave the kernel, so no poll reports them. What a read leaves unparsed is
//! parsed by a later read, which [`ClientConnection::flush_and_register`] schedules.

use kitefork_balancer::Nanos;

use super::{ClientConnection, ConnectionState, ReadEvent};
use crate::downstream::input::Message;
use crate::http1::ParseError;
use crate::ring_buffer::ReadOutcome;

/// Maximum number of reads of a connection in one loop iteration: a client that sends empty lines
/// without end must not block the loop.
const MAX_READS_PER_ITERATION: usize = 16;
/// The interim response for a client that expects it before it sends its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl ClientConnection {
    /// Reads received bytes up to the end of one complete message. While a request waits for its
    /// answer, or the answer is not completely written, further bytes stay unparsed in the inbox.
    /// `previous_poll_at` is the time of the previous poll; see
    /// [`ClientInput::earliest_arrival`](crate::downstream::input::ClientInput::earliest_arrival).
    pub fn read(&mut self, now: Nanos, previous_poll_at: Nanos) -> ReadEvent {
        let arrived_at = self.input.earliest_arrival(now, previous_poll_at);
        let mut has_read = false;
        for _ in 0..MAX_READS_PER_ITERATION {
            if let Some(event) = self.read_message(now, arrived_at, has_read) {
                return event;
            }
            match self.input.fill(&self.socket, now, arrived_at) {
                // A connection that is no longer open is read once per loop iteration: a client
                // that never stops sending must not block the loop.
                ReadOutcome::Data if self.state != ConnectionState::Open => {
                    self.input.discard();
                    return ReadEvent::Incomplete;
                }
                ReadOutcome::Data => has_read = true,
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return self.release_held(),
                ReadOutcome::RetryLater => return ReadEvent::RetryLater,
                ReadOutcome::EndOfStream if self.held.is_some() => {
                    self.peer_closed = true;
                    return self.release_held();
                }
                ReadOutcome::EndOfStream => return ReadEvent::EndOfStream,
                ReadOutcome::Broken => return ReadEvent::Broken,
            }
        }
        // The next poll reports what the socket still has, but not what was read last.
        self.input.note_unread();
        match self.read_message(now, arrived_at, has_read) {
            Some(event) => event,
            None => self.release_held(),
        }
    }

    /// Parses the inbox, unless an answer is pending. Returns an event if a message is complete or
    /// can't be parsed. `has_read`: bytes were read in this iteration, and arrived at `arrived_at`
    /// at the earliest.
    fn read_message(&mut self, now: Nanos, arrived_at: Nanos, has_read: bool) -> Option<ReadEvent> {
        if !self.accepts_message() {
            return None;
        }
        let message = match self.parse(now) {
            Ok(message) => message?,
            Err(error) => return Some(ReadEvent::Invalid(error)),
        };
        if has_read {
            self.input.set_first_byte_at(arrived_at);
        }
        Some(self.complete_message(message, now, arrived_at))
    }

    /// Parses the inbox, at most up to the end of one message, and returns that message.
    fn parse(&mut self, now: Nanos) -> Result<Option<Message>, ParseError> {
        if self.input.is_empty() {
            return Ok(None);
        }
        if self.input.begin_message() {
            self.state_since = now;
        }
        self.input.parse()?;
        self.track_body_pace(now);
        if self.input.awaits_continue() {
            self.send_continue();
        }
        Ok(self.input.take_message(now))
    }

    /// Writes the interim response as far as the socket accepts it. While a part of it is left,
    /// nothing more is parsed.
    fn send_continue(&mut self) {
        // The interim response is short and precedes any answer, so it always fits in the outbox.
        let is_queued = self.outbox.push(CONTINUE_RESPONSE);
        self.input.set_continue_sent(is_queued);
        // Whatever fails is seen again when the outbox is flushed after the read.
        let _ = self.outbox.write_to(&self.socket);
    }
}
