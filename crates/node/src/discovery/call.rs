//! One HTTP call to discovery: a watch, or a poll of the whole list.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;
use kitefork_settings::json::ConfigError;
use rustix::event::PollFlags;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use thiserror::Error;

use super::object_scanner::ObjectScanner;
use super::update::EndpointUpdate;
use crate::clock::MS;
use crate::event_loop::{EventLoop, READ, READ_WRITE, TimerEvent, Token};
use crate::http1::{self, ParseError, Parser, Start};
use crate::net::{self, Registration};
use crate::ring_buffer::{ReadOutcome, RingBuffer, WriteOutcome};
use crate::timer_wheel::Deadline;

/// A call that receives nothing for this long, in nanoseconds, is closed, as TCP does not report an
/// unreachable peer. A watch receives data every 2 s, and discovery answers or rejects a call
/// within 3 s. The limit is short enough that missed updates are requested again within the 6 s
/// after which they count as notified.
const IDLE_TIMEOUT: Nanos = 4_200 * MS;
/// A watch that has received an object or an empty line is closed if it receives nothing more for
/// this long, in nanoseconds. Such a watch receives data every 2 s. The limit is shorter than
/// [`IDLE_TIMEOUT`] because the watch that replaces it may at first be rejected, which takes up to
/// 3 s more.
const WATCH_IDLE_TIMEOUT: Nanos = 3_200 * MS;
/// Maximum time to receive a complete object or list, in nanoseconds. A call whose sender is slower
/// is closed like an idle one, as the updates that it delays count as notified 6 s after they were
/// due.
const OBJECT_TIMEOUT: Nanos = IDLE_TIMEOUT;
/// Maximum length of an object or list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum number of reads of one call in a loop iteration: enough for the longest list at 2048
/// bytes a read, but a sender that never stops can't block the event loop.
const MAX_READS_PER_ITERATION: usize = MAX_LIST_BYTES / 2048;
/// Capacity of the outbox, which holds the request of a call, in bytes.
const OUTBOX_BYTES: usize = 4096;
/// Capacity of the inbox, in bytes. Longer responses are parsed in parts.
const INBOX_BYTES: usize = 64 * 1024;

/// What a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// The changes after the last known revision, as they happen.
    Watch,
    /// The whole list, once.
    Poll,
}

/// Why a call to discovery has ended; the text appears in the log.
#[derive(Debug, Error)]
pub enum CallEnd {
    /// A poll has received the whole list.
    #[error("done")]
    Complete,
    /// No data, or no complete object or list, was received within the time limit.
    #[error("timed out: no complete data from discovery")]
    TimedOut,
    /// The connection was closed or broke.
    #[error("the connection ended")]
    Disconnected,
    /// The response has a head that does not fit in the inbox.
    #[error("response head too long")]
    HeadTooLong,
    /// The response is not valid HTTP, or exceeds a limit.
    #[error("{0:?}: the response can't be read")]
    Malformed(ParseError),
    /// The response has a status other than 200.
    #[error("status is not 200: {0:?}")]
    Rejected(Start),
    /// The response to a watch is complete, although a watch must stay open.
    #[error("the watch ended")]
    WatchEnded,
    /// The response to a poll is not complete.
    #[error("incomplete response")]
    IncompleteResponse,
    /// The content of the response is not a valid endpoint update.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// Result of reading from a call.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// The updates that were received, oldest first.
    pub updates: Vec<EndpointUpdate>,
    /// Whether a complete object, a whole list or an empty line was received. An empty line only
    /// shows that discovery is reachable.
    pub received_object: bool,
    /// Why the call has ended; `None` while it is open.
    pub end: Option<CallEnd>,
    /// Whether the machine temporarily lacks resources, so that the call must be read again after a
    /// short delay.
    pub retry_later: bool,
}

impl CallProgress {
    /// The progress of a call that has ended for this reason, without updates.
    pub fn ended(end: CallEnd) -> CallProgress {
        CallProgress {
            end: Some(end),
            ..CallProgress::default()
        }
    }

    /// Why the call has failed; `None` if it is still open or has received the whole list.
    pub fn into_failure(self) -> Option<CallEnd> {
        self.end.filter(|end| !matches!(end, CallEnd::Complete))
    }
}

/// Result of writing the request of a call: whether the call can be read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The call can be read now, even if its request is not completely written.
    Continue,
    /// The machine temporarily lacks resources: continue after a short delay.
    RetryLater,
}

/// An open call to discovery, on a connection of its own.
pub struct DiscoveryCall {
    socket: OwnedFd,
    kind: CallKind,
    outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    scanner: ObjectScanner,
    /// When bytes were last received, the request was completely written, or the call was opened,
    /// whichever is the latest.
    last_byte_at: Nanos,
    opened_at: Nanos,
    /// When the call was opened, or the last complete object or empty line was received.
    last_object_at: Nanos,
    /// Whether a watch has received a complete object or an empty line; always `false` for a poll.
    has_received_object: bool,
    deadline: Deadline,
    registration: Registration,
}

impl DiscoveryCall {
    /// Creates a call on `socket`, whose connection to `host` is being established; a watch resumes
    /// after `revision`.
    pub fn new(
        socket: OwnedFd,
        kind: CallKind,
        revision: u64,
        host: SocketAddr,
        now: Nanos,
    ) -> DiscoveryCall {
        let query = match kind {
            CallKind::Watch => format!("?watch=1&after={revision}"),
            CallKind::Poll => String::new(),
        };
        let request_line = format!("GET /catalog/members{query} HTTP/1.1");
        let mut outbox = RingBuffer::new(OUTBOX_BYTES);
        let is_queued = outbox.push(&http1::write(
            &request_line,
            [("host", host.to_string().as_str())],
            None,
        ));
        debug_assert!(is_queued, "the request of a call fits in its outbox");
        DiscoveryCall {
            socket,
            kind,
            outbox,
            inbox: RingBuffer::new(INBOX_BYTES),
            parser: Parser::responses()
                .with_max_body(MAX_LIST_BYTES)
                .allow_close_delimited(),
            scanner: ObjectScanner::default(),
            last_byte_at: now,
            opened_at: now,
            last_object_at: now,
            has_received_object: false,
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// Whether the call is a watch or a poll.
    pub fn kind(&self) -> CallKind {
        self.kind
    }

    /// Whether this is a watch that has received neither an object nor an empty line.
    pub fn is_unanswered_watch(&self) -> bool {
        self.kind == CallKind::Watch && !self.has_received_object
    }

    /// When the call was opened, in nanoseconds on the node's clock.
    pub fn opened_at(&self) -> Nanos {
        self.opened_at
    }

    /// Whether received data may be waiting to be read; also `true` if the kernel can't tell.
    pub fn has_unread_bytes(&self) -> bool {
        net::is_ready(&self.socket, PollFlags::IN).unwrap_or(true)
    }

    /// Registers the socket with epoll, as call `number`, for reading, and also for writing while
    /// the request is not completely written. Ends a pause.
    ///
    /// # Errors
    ///
    /// Those of [`Registration::set`].
    pub fn register(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        let interest = if self.outbox.is_empty() {
            READ
        } else {
            READ_WRITE
        };
        self.set_events(number, event_loop, interest)
    }

    /// Deregisters all events of the call `number` until [`DiscoveryCall::register`] ends the
    /// pause, as every poll would report them again.
    ///
    /// # Errors
    ///
    /// Those of [`Registration::set`].
    pub fn pause(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        self.set_events(number, event_loop, EventFlags::empty())
    }

    fn set_events(
        &mut self,
        number: u32,
        event_loop: &EventLoop,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        let token = Token::Discovery(number);
        event_loop.register(&mut self.registration, &self.socket, token, interest)
    }

    /// Sets the deadline of the call `number` to `at`, in nanoseconds on the node's clock.
    pub fn set_deadline(&mut self, at: Nanos, number: u32, event_loop: &mut EventLoop) {
        let event = TimerEvent::DiscoveryDeadline(number);
        event_loop.set_deadline(&mut self.deadline, at, event);
    }

    /// Sets the deadline of the call `number` by the time limits for receiving data; does nothing
    /// before the request is completely written.
    pub fn set_receive_deadline(&mut self, number: u32, event_loop: &mut EventLoop) {
        if self.outbox.is_empty() {
            self.set_deadline(self.receive_deadline(), number, event_loop);
        }
    }

    /// Returns whether the deadline of the call `number` has passed, after its timer has fired.
    pub fn is_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        event_loop.is_due(&mut self.deadline, TimerEvent::DiscoveryDeadline(number))
    }

    /// When the call is closed if nothing more is received, in nanoseconds on the node's clock.
    fn receive_deadline(&self) -> Nanos {
        let idle_timeout = if self.has_received_object {
            WATCH_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        (self.last_byte_at + idle_timeout).min(self.last_object_at + OBJECT_TIMEOUT)
    }

    /// Writes the rest of the request. If the connection could not be established, the next read
    /// reports that.
    pub fn send(&mut self, now: Nanos) -> SendOutcome {
        if self.outbox.is_empty() {
            return SendOutcome::Continue;
        }
        if self.outbox.write_to(&self.socket) == WriteOutcome::RetryLater {
            return SendOutcome::RetryLater;
        }
        if self.outbox.is_empty() {
            self.last_byte_at = now;
        }
        SendOutcome::Continue
    }

    /// Reads and parses the data that was received.
    pub fn read(&mut self, now: Nanos) -> CallProgress {
        let mut progress = CallProgress::default();
        for _ in 0..MAX_READS_PER_ITERATION {
            if progress.end.is_some() {
                break;
            }
            match self.inbox.read_from(&self.socket) {
                ReadOutcome::Data => {
                    self.last_byte_at = now;
                    if let Err(end) = self.parse(&mut progress) {
                        progress.end = Some(end);
                    }
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::RetryLater => {
                    progress.retry_later = true;
                    break;
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken => {
                    progress.end = Some(self.end_of_stream(&mut progress));
                }
                ReadOutcome::BufferFull => progress.end = Some(CallEnd::HeadTooLong),
            }
        }
        progress
    }

    /// Handles the end of the connection. The end completes a list whose response gives no length;
    /// any other response is truncated.
    fn end_of_stream(&mut self, progress: &mut CallProgress) -> CallEnd {
        if !self.parser.end_of_input() || self.kind == CallKind::Watch {
            return CallEnd::Disconnected;
        }
        match self.complete(progress) {
            Ok(()) => CallEnd::Complete,
            Err(end) => end,
        }
    }

    fn parse(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        let bytes = self.inbox.bytes();
        let consumed = self.parser.feed(bytes).map_err(CallEnd::Malformed)?;
        self.inbox.consume(consumed);
        match self.parser.head.as_ref().map(|head| &head.start) {
            None => return Ok(()),
            Some(Start::Response { status: 200 }) => {}
            Some(start) => return Err(CallEnd::Rejected(start.clone())),
        }
        if self.kind == CallKind::Watch {
            self.take_objects(progress)?;
        }
        if self.parser.is_done() {
            self.complete(progress)?;
            progress.end = Some(CallEnd::Complete);
        }
        Ok(())
    }

    /// Removes the complete objects of a watch from the body and parses them.
    fn take_objects(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        while let Some(end) = self.scanner.find_end(&self.parser.body) {
            let line = self.parser.body.split_front(end);
            self.last_object_at = self.last_byte_at;
            self.has_received_object = true;
            progress.received_object = true;
            if !line.trim_ascii().is_empty() {
                progress.updates.push(EndpointUpdate::parse(&line)?);
            }
        }
        Ok(())
    }

    /// Handles a complete response: parses the whole list of a poll, or ends a watch, which must
    /// stay open.
    fn complete(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        if self.kind == CallKind::Watch {
            return Err(CallEnd::WatchEnded);
        }
        let (_, body) = self
            .parser
            .take_message()
            .ok_or(CallEnd::IncompleteResponse)?;
        progress.updates.push(EndpointUpdate::parse(&body)?);
        progress.received_object = true;
        Ok(())
    }
}
