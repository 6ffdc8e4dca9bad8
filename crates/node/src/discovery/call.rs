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

/// A call silent for this long, in nanoseconds, is cut off: a watch says something every 2 s, a
/// call is answered or rejected within 3 s, and TCP would not tell. Short enough that what was
/// missed is requested again within the 6 s after which it counts as notified.
const IDLE_TIMEOUT: Nanos = 4_200 * MS;
/// The same for a watch that has spoken before: it says something every 2 s, and its successor may
/// at first be rejected, which takes up to 3 s more.
const WATCH_IDLE_TIMEOUT: Nanos = 3_200 * MS;
/// An object or a list is complete within this time, in nanoseconds, or its sender only trickles:
/// such a call is as good as silent, and what it withholds counts as notified 6 s after it was due.
const OBJECT_TIMEOUT: Nanos = IDLE_TIMEOUT;
/// Longest object or list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Reads of one call in a loop iteration: enough for the longest list, while a sender without end
/// can't hold the loop.
const MAX_READS_PER_ITERATION: usize = MAX_LIST_BYTES / 2048;
/// Capacity for the request of a call, in bytes.
const OUTBOX_BYTES: usize = 4096;
/// Capacity for what is read at a time, in bytes.
const INBOX_BYTES: usize = 64 * 1024;

/// What a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// The changes after the last known revision, as they happen.
    Watch,
    /// The whole list, once.
    Poll,
}

/// Why a call to discovery is over; the text is what the log says.
#[derive(Debug, Error)]
pub enum CallEnd {
    /// It has brought the whole list.
    #[error("done")]
    Complete,
    /// Nothing has come for too long.
    #[error("silent for too long")]
    Silent,
    /// The connection ended or broke.
    #[error("the connection ended")]
    Disconnected,
    /// The head of the answer is too long.
    #[error("a head without end")]
    HeadTooLong,
    /// The answer is no HTTP.
    #[error("{0:?} answer")]
    Malformed(ParseError),
    /// Another answer than 200.
    #[error("answered {0:?}")]
    Rejected(Start),
    /// The answer to a watch is complete, which it never should be.
    #[error("the watch ended")]
    WatchEnded,
    /// The answer has no body.
    #[error("no answer")]
    IncompleteResponse,
    /// The answer is no endpoint list.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// What reading a call has brought.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// The updates that have arrived, oldest first.
    pub updates: Vec<EndpointUpdate>,
    /// A complete object has arrived, or an empty line, which only says that discovery is there.
    pub spoke: bool,
    /// The call is over, and why.
    pub end: Option<CallEnd>,
    /// The machine lacks resources for a moment: read again a little later.
    pub retry_later: bool,
}

impl CallProgress {
    /// The progress of a call that is over for this reason.
    pub fn ended(end: CallEnd) -> CallProgress {
        CallProgress {
            end: Some(end),
            ..CallProgress::default()
        }
    }

    /// Why the call has failed; `None` if it goes on or ended as it should.
    pub fn into_failure(self) -> Option<CallEnd> {
        self.end.filter(|end| !matches!(end, CallEnd::Complete))
    }
}

/// Whether a call can be read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// Go on and read.
    Continue,
    /// The machine lacks resources for a moment: go on a little later.
    RetryLater,
}

/// An open call.
pub struct DiscoveryCall {
    socket: OwnedFd,
    kind: CallKind,
    outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    scanner: ObjectScanner,
    last_byte_at: Nanos,
    opened_at: Nanos,
    /// When it was opened, or had its last complete object or empty line.
    last_object_at: Nanos,
    has_received_data: bool,
    deadline: Deadline,
    registration: Registration,
}

impl DiscoveryCall {
    /// A call on a connection that is being established to `host`; a watch resumes after
    /// `revision`.
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
        debug_assert!(is_queued, "a call fits its ring");
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
            has_received_data: false,
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// What it requests.
    pub fn kind(&self) -> CallKind {
        self.kind
    }

    /// When it was opened, in nanoseconds on the node's clock.
    pub fn opened_at(&self) -> Nanos {
        self.opened_at
    }

    /// Whether something has arrived that is not read, as far as that can be known.
    pub fn has_unread_bytes(&self) -> bool {
        net::is_ready(&self.socket, PollFlags::IN).unwrap_or(true)
    }

    /// Has the events given for it that it needs as the call `number`: none while it is paused.
    ///
    /// # Errors
    ///
    /// As [`Registration::set`].
    pub fn register(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        let wanted = if self.outbox.is_empty() {
            READ
        } else {
            READ_WRITE
        };
        self.set_events(number, event_loop, wanted)
    }

    /// Has no events given for it, which would come without a pause.
    ///
    /// # Errors
    ///
    /// As [`Registration::set`].
    pub fn pause(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        self.set_events(number, event_loop, EventFlags::empty())
    }

    fn set_events(
        &mut self,
        number: u32,
        event_loop: &EventLoop,
        wanted: EventFlags,
    ) -> Result<(), Errno> {
        let token = Token::Discovery(number);
        event_loop.register(&mut self.registration, &self.socket, token, wanted)
    }

    /// Moves its time limit to `at`.
    pub fn set_deadline(&mut self, at: Nanos, number: u32, event_loop: &mut EventLoop) {
        let event = TimerEvent::DiscoveryDeadline(number);
        event_loop.set_deadline(&mut self.deadline, at, event);
    }

    /// Moves its time limit to when it counts as silent, once its request is written.
    pub fn set_receive_deadline(&mut self, number: u32, event_loop: &mut EventLoop) {
        if self.outbox.is_empty() {
            self.set_deadline(self.receive_deadline(), number, event_loop);
        }
    }

    /// Whether its time limit is over, now that its timer has fired.
    pub fn is_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        event_loop.is_due(&mut self.deadline, TimerEvent::DiscoveryDeadline(number))
    }

    /// When it counts as silent.
    fn receive_deadline(&self) -> Nanos {
        let idle_timeout = if self.has_received_data {
            WATCH_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        (self.last_byte_at + idle_timeout).min(self.last_object_at + OBJECT_TIMEOUT)
    }

    /// Writes what is left of its request. A connection that could not be established shows when it
    /// is read.
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

    /// Reads what has arrived.
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

    /// The end of the connection completes a list without a length, and cuts anything else off.
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
        let used = self.parser.feed(bytes).map_err(CallEnd::Malformed)?;
        self.inbox.consume(used);
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

    /// Takes the complete objects of a watch.
    fn take_objects(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        while let Some(end) = self.scanner.find_end(&self.parser.body) {
            let line = self.parser.body.split_front(end);
            self.last_object_at = self.last_byte_at;
            self.has_received_data = true;
            progress.spoke = true;
            if !line.trim_ascii().is_empty() {
                progress.updates.push(EndpointUpdate::parse(&line)?);
            }
        }
        Ok(())
    }

    /// Takes the whole list of a poll.
    fn complete(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        if self.kind == CallKind::Watch {
            return Err(CallEnd::WatchEnded);
        }
        let (_, body) = self
            .parser
            .take_message()
            .ok_or(CallEnd::IncompleteResponse)?;
        progress.updates.push(EndpointUpdate::parse(&body)?);
        progress.spoke = true;
        Ok(())
    }
}
