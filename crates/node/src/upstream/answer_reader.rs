//! Reads the answers on an upstream connection, and checks what follows each of them: that is the
//! only evidence that an answer ends where its length says.

use std::os::fd::OwnedFd;

use crate::http1::{Head, INBOX_BYTES, Parser};
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome, RingBuffer};

/// What follows a complete answer on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Following {
    /// Nothing yet.
    Nothing,
    /// The end of the connection.
    End,
    /// Bytes that belong to no answer. The end of the answer is certain all the same: its body is
    /// chunked, or the bytes begin with a complete copy of the answer.
    OtherBytes,
    /// Bytes that may be the rest of the body: a `Content-Length` that is too short looks like a
    /// correct one with other bytes behind the body.
    PossibleRest,
}

/// A complete answer and what follows it.
pub struct ReceivedAnswer {
    /// Status and headers.
    pub head: Head,
    /// Body of the answer; may be empty.
    pub body: Body,
    /// What follows the answer.
    pub following: Following,
}

/// The result of reading the socket.
pub enum AnswerEvent {
    /// No complete answer is available.
    Incomplete,
    /// The machine temporarily lacks resources: read again after a short delay.
    RetryLater,
    /// A complete answer.
    Complete(ReceivedAnswer),
    /// The received bytes can't be parsed as an answer.
    Malformed,
    /// The connection has ended before the answer was complete.
    Ended,
}

/// Reads answers from the socket of one upstream connection.
pub struct AnswerReader {
    inbox: RingBuffer,
    parser: Parser,
    /// A complete answer, while it is not known yet what follows it.
    unchecked: Option<(Head, Body)>,
}

impl AnswerReader {
    /// A reader that has received nothing. Its buffers are counted against `budget`.
    pub fn new(budget: &BufferBudget) -> AnswerReader {
        AnswerReader {
            inbox: RingBuffer::new(INBOX_BYTES).with_budget(budget),
            // An answer may have neither a Content-Length nor chunks: an orderly close of the
            // connection completes it, a reset does not.
            parser: Parser::responses()
                .allow_close_delimited()
                .with_budget(budget),
            unchecked: None,
        }
    }

    /// Whether a part of an answer was received.
    pub fn has_received_part(&self) -> bool {
        !self.inbox.is_empty() || !self.parser.is_at_start() || self.unchecked.is_some()
    }

    /// Reads the socket until an answer is complete or nothing more can be read now.
    pub fn read(&mut self, socket: &OwnedFd) -> AnswerEvent {
        loop {
            if let Some((head, body)) = self.unchecked.take() {
                return self.check_following(head, body, socket);
            }
            let is_end_of_stream = match self.inbox.read_from(socket) {
                ReadOutcome::Data => false,
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => {
                    return AnswerEvent::Incomplete;
                }
                ReadOutcome::RetryLater => return AnswerEvent::RetryLater,
                ReadOutcome::EndOfStream => true,
                ReadOutcome::Broken => return AnswerEvent::Ended,
            };
            if !self.parse() {
                return AnswerEvent::Malformed;
            }
            if is_end_of_stream {
                return self.end_of_stream();
            }
            self.unchecked = self.parser.take_message();
        }
    }

    /// Parses the content of the inbox, at most up to the end of an answer; returns whether it can
    /// be parsed.
    fn parse(&mut self) -> bool {
        let Ok(consumed) = self.parser.feed(self.inbox.bytes()) else {
            return false;
        };
        self.inbox.consume(consumed);
        true
    }

    /// Handles the orderly end of the connection, which completes an answer without a length.
    fn end_of_stream(&mut self) -> AnswerEvent {
        if !self.parser.end_of_input() {
            return AnswerEvent::Ended;
        }
        match self.parser.take_message() {
            Some((head, body)) => AnswerEvent::Complete(ReceivedAnswer {
                head,
                body,
                following: Following::End,
            }),
            None => AnswerEvent::Ended,
        }
    }

    /// Reads the socket once more after a complete answer, and checks what is behind it by then. If
    /// the kernel can't tell what follows, keeps the answer for the next call.
    fn check_following(&mut self, head: Head, body: Body, socket: &OwnedFd) -> AnswerEvent {
        let outcome = self.inbox.read_from(socket);
        let following = if !self.inbox.is_empty() {
            self.classify_following_bytes(&head, &body, socket)
        } else if outcome == ReadOutcome::RetryLater {
            self.unchecked = Some((head, body));
            return AnswerEvent::RetryLater;
        } else if outcome == ReadOutcome::WouldBlock {
            Following::Nothing
        } else {
            Following::End
        };
        AnswerEvent::Complete(ReceivedAnswer {
            head,
            body,
            following,
        })
    }

    fn classify_following_bytes(
        &mut self,
        head: &Head,
        body: &Body,
        socket: &OwnedFd,
    ) -> Following {
        if head.is_chunked() || self.is_copy_next(head, body, socket) {
            Following::OtherBytes
        } else {
            Following::PossibleRest
        }
    }

    /// Whether the bytes behind an answer begin with a complete copy of it. The bytes are consumed.
    fn is_copy_next(&mut self, head: &Head, body: &Body, socket: &OwnedFd) -> bool {
        loop {
            if !self.parse() {
                return false;
            }
            if let Some((next_head, next_body)) = self.parser.take_message() {
                return next_head == *head && *next_body == **body;
            }
            if self.inbox.read_from(socket) != ReadOutcome::Data {
                return false;
            }
        }
    }
}
