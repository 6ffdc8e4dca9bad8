//! A connection to a backend, carrying one attempt at a time.

use std::os::fd::OwnedFd;

use kitefork_balancer::{BackendId, Nanos, Outcome};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::sockopt;

use super::attempt::{AttemptLimits, UpstreamAttempt};
use crate::event_loop::{EventLoop, MIN_RETRY, READ, READ_WRITE, TimerEvent, Token};
use crate::http1::{Head, MAX_HEAD, MAX_REQUEST_BODY, Parser, Start};
use crate::net::{self, Registration, Unread};
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome, RingBuffer, WriteOutcome};
use crate::timer_wheel::Deadline;

/// Capacity of the inbox beside a head of the longest length, in bytes.
const INBOX_EXTRA_BYTES: usize = 1024;

/// The state of an upstream connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// The connection is not established.
    Connecting,
    /// Established, and nothing of the request is written: that takes a permit.
    Connected,
    /// The request is not written completely.
    Sending,
    /// All is written: the backend may be at work.
    Waiting,
    /// In the pool.
    Idle,
}

/// Whether a connection can carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It can.
    Yes,
    /// It has ended, or ends after this answer.
    No,
    /// More has come on it than was requested.
    UnexpectedBytes,
}

/// A complete answer of a backend.
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body; may be empty.
    pub body: Body,
    /// Whether the connection can carry another request.
    pub reuse: Reuse,
}

/// What a step of a connection came to.
pub enum Progress {
    /// It waits for its socket.
    Pending,
    /// The machine lacks resources for a moment: go on a little later.
    RetryLater,
    /// The connection is established; the request is to be begun.
    Connected,
    /// A complete answer.
    Answered(Answer),
    /// The attempt has failed.
    Failed(Outcome),
    /// An idle connection that can't be used again.
    Stale(Reuse),
}

/// A connection to a backend.
pub struct UpstreamConnection {
    socket: OwnedFd,
    backend: BackendId,
    state: UpstreamState,
    attempt: Option<UpstreamAttempt>,
    /// The limits of its attempt; in the pool, when it is too old to be used again.
    limits: AttemptLimits,
    /// The attempt has waited for an update of the endpoint list to be read.
    waited_for_discovery: bool,
    outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    deadline: Deadline,
    registration: Registration,
}

impl UpstreamConnection {
    /// A connection to `backend` that is being established, without an attempt.
    pub fn new(socket: OwnedFd, backend: BackendId, budget: &BufferBudget) -> UpstreamConnection {
        UpstreamConnection {
            socket,
            backend,
            state: UpstreamState::Connecting,
            attempt: None,
            limits: AttemptLimits {
                abandon_at: 0,
                write_by: Nanos::MAX,
            },
            waited_for_discovery: false,
            // A head as long as a client's, and what the node adds to it.
            outbox: RingBuffer::new(MAX_REQUEST_BODY + 2 * MAX_HEAD).with_budget(budget),
            inbox: RingBuffer::new(MAX_HEAD + INBOX_EXTRA_BYTES).with_budget(budget),
            // An answer may have neither length nor chunks: an orderly end of the connection makes
            // it complete, a reset does not.
            parser: Parser::responses()
                .allow_close_delimited()
                .with_budget(budget),
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// The backend that it leads to.
    pub fn backend(&self) -> BackendId {
        self.backend
    }

    /// Its state.
    pub fn state(&self) -> UpstreamState {
        self.state
    }

    /// What it carries; `None` in the pool.
    pub fn attempt(&self) -> Option<UpstreamAttempt> {
        self.attempt
    }

    /// The limits of its attempt.
    pub fn limits(&self) -> AttemptLimits {
        self.limits
    }

    /// Gives it an attempt.
    pub fn assign(&mut self, attempt: UpstreamAttempt, limits: AttemptLimits) {
        self.attempt = Some(attempt);
        self.limits = limits;
        self.waited_for_discovery = false;
    }

    /// Takes its attempt, which has ended.
    pub fn take_attempt(&mut self) -> Option<UpstreamAttempt> {
        self.attempt.take()
    }

    /// It is idle from now on, and can be used again until `reusable_until`.
    pub fn set_idle(&mut self, reusable_until: Nanos) {
        self.state = UpstreamState::Idle;
        self.limits.abandon_at = reusable_until;
    }

    /// Takes it out of the pool for another attempt, if it is not too old.
    pub fn leave_pool(&mut self, now: Nanos) -> bool {
        // After a stall its timer may not have fired yet.
        let is_fresh = now < self.limits.abandon_at;
        if is_fresh {
            self.state = UpstreamState::Connected;
        }
        is_fresh
    }

    /// Whether it carries an attempt of this request that is not written completely, and so was not
    /// executed.
    pub fn is_unwritten_attempt_of(&self, request: u32) -> bool {
        self.state != UpstreamState::Waiting
            && self.attempt.and_then(UpstreamAttempt::request) == Some(request)
    }

    /// Whether the time for what is not written is over. A connection may become established, or
    /// take more, through a stall, before its timer fires.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        let is_written = matches!(self.state, UpstreamState::Waiting | UpstreamState::Idle);
        !is_written && (now > self.limits.write_by || now >= self.limits.abandon_at)
    }

    /// Whether its attempt waits for an update of the endpoint list to be read. It waits once, as
    /// discovery may never stop talking.
    pub fn begin_discovery_wait(&mut self) -> bool {
        !std::mem::replace(&mut self.waited_for_discovery, true)
    }

    /// How its attempt ends if the connection is closed now: what is not written completely was not
    /// executed, otherwise it ends as `outcome_if_written`.
    pub fn outcome_if_closed(&self, outcome_if_written: Outcome) -> Outcome {
        if self.state == UpstreamState::Waiting {
            outcome_if_written
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Begins the request; `false` where it is too long for the outbox.
    #[must_use]
    pub fn begin(&mut self, bytes: &[u8]) -> bool {
        self.state = UpstreamState::Sending;
        self.outbox.push(bytes)
    }

    /// Goes on after the socket has become ready, or a request has been put in the outbox.
    pub fn advance(&mut self, is_ready: bool) -> Progress {
        if self.state == UpstreamState::Connecting {
            if !is_ready {
                return Progress::Pending;
            }
            match sockopt::socket_error(&self.socket) {
                Ok(Ok(())) => self.state = UpstreamState::Connected,
                _ => return Progress::Failed(Outcome::ConnectFailed),
            }
        }
        if self.state == UpstreamState::Connected {
            return Progress::Connected;
        }
        let write_outcome = self.write();
        // A backend that rejects a request may answer and close before it has read all of it.
        match self.read() {
            Progress::Pending if write_outcome == WriteOutcome::Broken => {
                Progress::Failed(Outcome::ConnectFailed)
            }
            Progress::Pending if write_outcome == WriteOutcome::RetryLater => Progress::RetryLater,
            other => other,
        }
    }

    fn write(&mut self) -> WriteOutcome {
        if self.state != UpstreamState::Sending {
            return WriteOutcome::Done;
        }
        let write_outcome = self.outbox.write_to(&self.socket);
        if self.outbox.is_empty() {
            self.state = UpstreamState::Waiting;
        }
        write_outcome
    }

    fn read(&mut self) -> Progress {
        loop {
            let is_end_of_stream = match self.inbox.read_from(&self.socket) {
                ReadOutcome::Data if self.state == UpstreamState::Idle => {
                    return Progress::Stale(Reuse::UnexpectedBytes);
                }
                ReadOutcome::Data => false,
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return Progress::Pending,
                ReadOutcome::RetryLater => return Progress::RetryLater,
                ReadOutcome::EndOfStream if self.state == UpstreamState::Idle => {
                    return self.closed_by_peer();
                }
                ReadOutcome::EndOfStream => true,
                ReadOutcome::Broken => return self.closed_by_peer(),
            };
            let Ok(used) = self.parser.feed(self.inbox.bytes()) else {
                return Progress::Failed(self.outcome_if_closed(Outcome::Reset));
            };
            self.inbox.consume(used);
            if is_end_of_stream && !self.parser.end_of_input() {
                return self.closed_by_peer();
            }
            if let Some((head, body)) = self.parser.take_message() {
                return self.complete(head, body, is_end_of_stream);
            }
        }
    }

    /// A complete answer has come; `is_end_of_stream`: with the end of the connection.
    fn complete(&mut self, head: Head, body: Body, is_end_of_stream: bool) -> Progress {
        let is_sent = self.state == UpstreamState::Waiting;
        // It can't be the answer to what is not sent yet, whoever's it is.
        if !is_sent && outcome(&head) == Outcome::Success {
            return Progress::Failed(Outcome::ConnectFailed);
        }
        // What comes behind an answer would be taken for the next one.
        let following_read = if is_end_of_stream {
            ReadOutcome::EndOfStream
        } else {
            self.inbox.read_from(&self.socket)
        };
        let reuse = match following_read {
            _ if !self.inbox.is_empty() => Reuse::UnexpectedBytes,
            ReadOutcome::WouldBlock if head.keep_alive && is_sent => Reuse::Yes,
            _ => Reuse::No,
        };
        Progress::Answered(Answer { head, body, reuse })
    }

    fn closed_by_peer(&self) -> Progress {
        if self.state == UpstreamState::Idle {
            Progress::Stale(Reuse::No)
        } else {
            Progress::Failed(self.outcome_if_closed(Outcome::Reset))
        }
    }

    /// Whether an idle connection can be used again: neither an end nor stray bytes have come.
    pub fn check_reuse(&self) -> Reuse {
        match net::unread(&self.socket) {
            Unread::Nothing => Reuse::Yes,
            Unread::Bytes => Reuse::UnexpectedBytes,
            Unread::Closed | Unread::Unknown => Reuse::No,
        }
    }

    /// Has the events given for it that its state needs.
    ///
    /// # Errors
    ///
    /// As [`Registration::set`].
    pub fn register(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        let wanted = match self.state {
            UpstreamState::Connecting | UpstreamState::Connected | UpstreamState::Sending => {
                READ_WRITE
            }
            UpstreamState::Waiting | UpstreamState::Idle => READ,
        };
        self.set_events(number, event_loop, wanted)
    }

    fn set_events(
        &mut self,
        number: u32,
        event_loop: &EventLoop,
        wanted: EventFlags,
    ) -> Result<(), Errno> {
        let token = Token::Upstream(number);
        event_loop.register(&mut self.registration, &self.socket, token, wanted)
    }

    /// The machine lacks resources for a moment, or an update of the endpoint list is to be read
    /// first: the connection `number` is resumed a little later, and has no event before that,
    /// which would come without a pause.
    pub fn pause(&mut self, number: u32, event_loop: &mut EventLoop) {
        // Where this fails too, events come early and find the same.
        let _ = self.set_events(number, event_loop, EventFlags::empty());
        let at = event_loop.now() + MIN_RETRY;
        event_loop.schedule(at, TimerEvent::ResumeUpstream(number));
    }

    /// Moves its time limit to `at`.
    pub fn set_deadline(&mut self, at: Nanos, number: u32, event_loop: &mut EventLoop) {
        let event = TimerEvent::UpstreamDeadline(number);
        event_loop.set_deadline(&mut self.deadline, at, event);
    }

    /// Whether its time limit is over, now that its timer has fired.
    pub fn is_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        event_loop.is_due(&mut self.deadline, TimerEvent::UpstreamDeadline(number))
    }
}

/// What a backend's answer means for the attempt.
pub fn outcome(head: &Head) -> Outcome {
    match head.start {
        Start::Response { status: 200 } => Outcome::Success,
        // Overload and haste are reported by a 4xx too, but they are no fault of the request's.
        Start::Response {
            status: 408 | 425 | 429,
        } => Outcome::Error,
        Start::Response { status: 400..=499 } => Outcome::BadRequest,
        Start::Response { status: 503 | 504 } if head.unique("x-turned-away") == Ok(Some("1")) => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
