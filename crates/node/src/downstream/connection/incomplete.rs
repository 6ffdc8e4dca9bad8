//! What was there of a message that did not come whole, for the log.

use std::fmt;

use kitefork_balancer::Nanos;

use super::ClientConnection;
use super::held::Held;
use crate::clock::MS;
use crate::downstream::route::transaction_id;

/// The part of a message that a client has not sent in its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MissingPart {
    /// The end of the head.
    Head,
    /// The end of the body; `remaining` bytes of it are missing, if its length is known.
    Body { remaining: Option<usize> },
    /// The rest of the bytes behind the message, which show whether its length is right.
    Following,
}

impl fmt::Display for MissingPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MissingPart::Head => f.write_str("head"),
            MissingPart::Body { remaining: None } => f.write_str("body"),
            MissingPart::Body {
                remaining: Some(remaining),
            } => write!(f, "body remaining={remaining}"),
            MissingPart::Following => f.write_str("following"),
        }
    }
}

/// A message that did not come whole in its time. Displayed as the `key=value` pairs of a log line.
#[derive(Debug)]
pub struct IncompleteMessage<'a> {
    connection: u32,
    missing: MissingPart,
    /// Number of bytes that were read and not parsed. Unless the bytes behind the message are
    /// missing, more than the beginning of a line is a fault of this program.
    unparsed: usize,
    /// Time since the last byte was read, in nanoseconds.
    silent_for: Nanos,
    /// The transaction ID of the message; `None` if it is not known or not valid.
    txn: Option<&'a str>,
}

impl fmt::Display for IncompleteMessage<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connection={} txn={} silent_ms={} unparsed={} missing={}",
            self.connection,
            self.txn.unwrap_or("-"),
            self.silent_for / MS,
            self.unparsed,
            self.missing,
        )
    }
}

impl ClientConnection {
    /// Describes the message of this connection, whose number is `number`, that has not come whole
    /// by `now`.
    pub fn incomplete_message(&self, number: u32, now: Nanos) -> IncompleteMessage<'_> {
        let (missing, head) = match &self.held {
            Some(Held::Message(message)) => (MissingPart::Following, Some(&message.head)),
            Some(Held::Reply { .. }) => (MissingPart::Following, None),
            None => match self.input.head() {
                Some(head) => {
                    let remaining = self.input.remaining_body();
                    (MissingPart::Body { remaining }, Some(head))
                }
                None => (MissingPart::Head, None),
            },
        };
        IncompleteMessage {
            connection: number,
            missing,
            unparsed: self.input.unparsed_bytes(),
            silent_for: now.saturating_sub(self.input.last_byte_at()),
            txn: head.and_then(transaction_id),
        }
    }
}
