//! A connection to a backend, carrying one attempt at a time.

use std::os::fd::OwnedFd;

use kitefork_balancer::{BackendId, Nanos, Outcome};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::sockopt;

use super::answer::{Answer, Reuse, outcome};
use super::answer_reader::{AnswerEvent, AnswerReader, Following, ReceivedAnswer};
use super::attempt::{AttemptLimits, UpstreamAttempt};
use crate::clock::{Clock, MS};
use crate::event_loop::{EventLoop, MIN_RETRY, READ, READ_WRITE, TimerEvent, Token};
use crate::http1::{MAX_HEAD, MAX_REQUEST_BODY};
use crate::net::{self, Registration, Unread};
use crate::ring_buffer::{BufferBudget, RingBuffer, WriteOutcome};
use crate::rules::WritePermit;
use crate::timer_wheel::Deadline;

/// A write that has taken longer than this, in nanoseconds, may have been delayed before its bytes
/// were sent, so what can be read right after it may be older than the request. This holds only on
/// a connection that has had an answer: a second one may follow it late.
const MAX_WRITE_DURATION: Nanos = 5 * MS;

/// How far an upstream connection and the request on it have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// The connection is not established.
    Connecting,
    /// Established, with no byte of the request written yet.
    Connected,
    /// The request is being written and is not complete yet.
    Sending,
    /// The request is completely written, so the backend may be executing it.
    Waiting,
    /// Idle in the pool, without an attempt.
    Idle,
}

/// Result of advancing a connection as far as its socket allows.
pub enum Progress {
    /// Nothing more can be done until the socket is ready.
    Pending,
    /// The machine temporarily lacks resources: continue after a short delay.
    RetryLater,
    /// The connection is established and its request can be written.
    Connected,
    /// A complete answer was received.
    Answered(Answer),
    /// The attempt has failed with this outcome.
    Failed(Outcome),
    /// Bytes were received that may be older than the request, so they can't be taken for its
    /// answer. The attempt has failed with this outcome.
    UnexpectedBytes(Outcome),
    /// More bytes followed the answer than its `Content-Length` allows, so its body may be cut off.
    /// The attempt has failed with this outcome.
    LengthMismatch(Outcome),
    /// An idle connection can't be reused, for this reason, and must be closed.
    Stale(Reuse),
}

/// A connection to a backend, and the attempt that it carries.
pub struct UpstreamConnection {
    socket: OwnedFd,
    backend: BackendId,
    state: UpstreamState,
    attempt: Option<UpstreamAttempt>,
    /// The time limits of the attempt. While the connection is in the pool, `abandon_at` is when it
    /// becomes too old to be reused.
    limits: AttemptLimits,
    /// When the last answer was complete, in nanoseconds on the node's clock; `None` before the
    /// first one.
    last_answer_at: Option<Nanos>,
    /// Whether the attempt has already waited once for updates of the endpoint list to be read.
    waited_for_discovery: bool,
    /// Length of the request that was put in the outbox last, in bytes.
    request_length: usize,
    outbox: RingBuffer,
    answers: AnswerReader,
    deadline: Deadline,
    registration: Registration,
}

impl UpstreamConnection {
    /// Creates a connection to `backend` that is being established and has no attempt yet. Its
    /// buffers are counted against `budget`.
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
            last_answer_at: None,
            request_length: 0,
            waited_for_discovery: false,
            // Space for a body and a head as long as a client may send, and for the headers that
            // the node adds.
            outbox: RingBuffer::new(MAX_REQUEST_BODY + 2 * MAX_HEAD).with_budget(budget),
            answers: AnswerReader::new(budget),
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// The backend at the other end of the connection.
    pub fn backend(&self) -> BackendId {
        self.backend
    }

    /// The current state; in [`UpstreamState::Waiting`], the request is completely written.
    pub fn state(&self) -> UpstreamState {
        self.state
    }

    /// The attempt that the connection carries; `None` before one is assigned and in the pool.
    pub fn attempt(&self) -> Option<UpstreamAttempt> {
        self.attempt
    }

    /// The time limits of the attempt, in nanoseconds on the node's clock.
    pub fn limits(&self) -> AttemptLimits {
        self.limits
    }

    /// Assigns an attempt and its time limits to the connection. The request itself is queued
    /// later, with [`UpstreamConnection::queue_request`].
    pub fn assign(&mut self, attempt: UpstreamAttempt, limits: AttemptLimits) {
        self.attempt = Some(attempt);
        self.limits = limits;
        self.waited_for_discovery = false;
    }

    /// Removes and returns the attempt, which has ended; `None` if the connection carries none.
    pub fn take_attempt(&mut self) -> Option<UpstreamAttempt> {
        self.attempt.take()
    }

    /// When the last answer was complete, in nanoseconds on the node's clock; `None` before the
    /// first one.
    pub fn last_answer_at(&self) -> Option<Nanos> {
        self.last_answer_at
    }

    /// Records that the answer on the connection was complete at `now`.
    pub fn set_answered(&mut self, now: Nanos) {
        self.last_answer_at = Some(now);
    }

    /// Marks the connection as idle; it can be reused before `reusable_until`.
    pub fn set_idle(&mut self, reusable_until: Nanos) {
        self.state = UpstreamState::Idle;
        self.limits.abandon_at = reusable_until;
    }

    /// Prepares an idle connection for another attempt; returns `false` if it is too old to be
    /// reused.
    pub fn leave_pool(&mut self, now: Nanos) -> bool {
        // After a stall of the process, the timer that closes the idle connection may not have
        // fired yet.
        let is_fresh = now < self.limits.abandon_at;
        if is_fresh {
            self.state = UpstreamState::Connected;
        }
        is_fresh
    }

    /// Whether the connection carries an attempt of `request` that is not completely written and so
    /// was not executed.
    pub fn is_unwritten_attempt_of(&self, request: u32) -> bool {
        self.state != UpstreamState::Waiting
            && self.attempt.and_then(UpstreamAttempt::request) == Some(request)
    }

    /// Whether a time limit has passed while the request is not completely written. After a stall
    /// of the process, the connection may become established or writable before its timer fires.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        let is_written = matches!(self.state, UpstreamState::Waiting | UpstreamState::Idle);
        !is_written && (now > self.limits.write_by || now >= self.limits.abandon_at)
    }

    /// Returns whether the attempt must now wait until updates of the endpoint list are read:
    /// `true` only the first time for each attempt, as discovery may send data without end.
    pub fn begin_discovery_wait(&mut self) -> bool {
        !std::mem::replace(&mut self.waited_for_discovery, true)
    }

    /// The outcome of the attempt if the connection is closed now: `outcome_if_written` if the
    /// request is completely written, otherwise `ConnectFailed`, as the request was not executed.
    pub fn outcome_if_closed(&self, outcome_if_written: Outcome) -> Outcome {
        if self.state == UpstreamState::Waiting {
            outcome_if_written
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Puts a request in the outbox, whose write `_permit` allows; returns `false` if it does not
    /// fit.
    #[must_use]
    pub fn queue_request(&mut self, bytes: &[u8], _permit: &WritePermit) -> bool {
        self.state = UpstreamState::Sending;
        self.request_length = bytes.len();
        self.outbox.push(bytes)
    }

    /// Advances the connection after its socket has become ready (`is_ready`), or after a request
    /// has been put in the outbox. A connection that is being established advances only once its
    /// socket is ready. `clock` shows how long a write takes.
    pub fn advance(&mut self, is_ready: bool, clock: &Clock) -> Progress {
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
        if self.state == UpstreamState::Sending {
            self.send(clock)
        } else {
            self.read()
        }
    }

    /// Writes the request as far as the socket accepts it, and reads its answer.
    fn send(&mut self, clock: &Clock) -> Progress {
        if self.is_partly_written() {
            // What was received before the rest is written can't be the answer to the request, so
            // it is read first.
            match self.read() {
                Progress::Pending if self.answers.has_received_part() => {
                    return Progress::UnexpectedBytes(Outcome::ConnectFailed);
                }
                Progress::Pending => {}
                other => return other,
            }
        }
        let started_at = clock.read();
        let write_outcome = self.write();
        let duration = clock.read().saturating_sub(started_at);
        if self.state == UpstreamState::Waiting
            && self.last_answer_at.is_some()
            && duration > MAX_WRITE_DURATION
            && matches!(self.unread(), Unread::Bytes | Unread::Unknown)
        {
            return Progress::UnexpectedBytes(Outcome::Reset);
        }
        // A backend that rejects a request may answer and close before it has read the whole
        // request, so the answer is read even if the write failed.
        match self.read() {
            Progress::Pending if write_outcome == WriteOutcome::Broken => {
                Progress::Failed(Outcome::ConnectFailed)
            }
            Progress::Pending if write_outcome == WriteOutcome::RetryLater => Progress::RetryLater,
            other => other,
        }
    }

    /// Whether some of the request is written, but not all of it.
    fn is_partly_written(&self) -> bool {
        self.state == UpstreamState::Sending && self.outbox.len() < self.request_length
    }

    fn write(&mut self) -> WriteOutcome {
        let write_outcome = self.outbox.write_to(&self.socket);
        if self.outbox.is_empty() {
            self.state = UpstreamState::Waiting;
        }
        write_outcome
    }

    fn read(&mut self) -> Progress {
        if self.state == UpstreamState::Idle {
            return self.check_idle();
        }
        match self.answers.read(&self.socket) {
            AnswerEvent::Incomplete => Progress::Pending,
            AnswerEvent::RetryLater => Progress::RetryLater,
            AnswerEvent::Complete(received) => self.complete(received),
            AnswerEvent::Malformed | AnswerEvent::Ended => {
                Progress::Failed(self.outcome_if_closed(Outcome::Reset))
            }
        }
    }

    /// Checks an idle connection whose socket has become ready.
    fn check_idle(&self) -> Progress {
        match self.unread() {
            Unread::Nothing => Progress::Pending,
            Unread::Bytes => Progress::Stale(Reuse::UnexpectedBytes),
            Unread::Closed => Progress::Stale(Reuse::No),
            Unread::Unknown => Progress::RetryLater,
        }
    }

    /// Decides about a complete answer, and whether the connection can be reused.
    fn complete(&self, received: ReceivedAnswer) -> Progress {
        let ReceivedAnswer {
            head,
            body,
            following,
        } = received;
        let is_sent = self.state == UpstreamState::Waiting;
        // A success before the request is completely sent can't be the answer to this request.
        if !is_sent && outcome(&head) == Outcome::Success {
            return Progress::UnexpectedBytes(Outcome::ConnectFailed);
        }
        let reuse = match following {
            Following::PossibleRest => {
                return Progress::LengthMismatch(self.outcome_if_closed(Outcome::Reset));
            }
            Following::Nothing if head.keep_alive && is_sent => Reuse::Yes,
            Following::Nothing | Following::End => Reuse::No,
            // They would be taken for the answer to the next request.
            Following::OtherBytes => Reuse::UnexpectedBytes,
        };
        Progress::Answered(Answer { head, body, reuse })
    }

    /// What can be read from the connection now.
    pub fn unread(&self) -> Unread {
        net::unread(&self.socket)
    }

    /// Checks whether an idle connection can be reused: it can't if the peer has closed it or bytes
    /// are unread.
    pub fn check_reuse(&self) -> Reuse {
        match self.unread() {
            Unread::Nothing => Reuse::Yes,
            Unread::Bytes => Reuse::UnexpectedBytes,
            Unread::Closed | Unread::Unknown => Reuse::No,
        }
    }

    /// Registers the socket with epoll, as connection `number`, for the events that its state
    /// needs.
    ///
    /// # Errors
    ///
    /// Those of [`Registration::set`].
    pub fn register(&mut self, number: u32, event_loop: &EventLoop) -> Result<(), Errno> {
        let interest = match self.state {
            UpstreamState::Connecting | UpstreamState::Connected | UpstreamState::Sending => {
                READ_WRITE
            }
            UpstreamState::Waiting | UpstreamState::Idle => READ,
        };
        self.set_events(number, event_loop, interest)
    }

    fn set_events(
        &mut self,
        number: u32,
        event_loop: &EventLoop,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        let token = Token::Upstream(number);
        event_loop.register(&mut self.registration, &self.socket, token, interest)
    }

    /// Pauses the connection `number` and resumes it after [`MIN_RETRY`], because the machine
    /// temporarily lacks resources or updates of the endpoint list must be read first. Until then
    /// its events are deregistered, as every poll would report them again.
    pub fn pause(&mut self, number: u32, event_loop: &mut EventLoop) {
        // If deregistering fails, events are still reported during the pause, and the connection
        // continues early.
        let _ = self.set_events(number, event_loop, EventFlags::empty());
        let at = event_loop.now() + MIN_RETRY;
        event_loop.schedule(at, TimerEvent::ResumeUpstream(number));
    }

    /// Sets the deadline of the connection `number` to `at`, in nanoseconds on the node's clock.
    pub fn set_deadline(&mut self, at: Nanos, number: u32, event_loop: &mut EventLoop) {
        let event = TimerEvent::UpstreamDeadline(number);
        event_loop.set_deadline(&mut self.deadline, at, event);
    }

    /// Returns whether the deadline of the connection `number` has passed, after its timer has
    /// fired.
    pub fn is_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        event_loop.is_due(&mut self.deadline, TimerEvent::UpstreamDeadline(number))
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
