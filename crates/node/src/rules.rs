//! The protocol rules, in one place: whether an attempt may start now, whether its first byte may
//! be written, whether a request may be rejected, and whether an idle client connection may be
//! closed. All times are in nanoseconds on the node's clock.
//!
//! This module does no I/O and reads no clock: each function takes facts and returns a [`Denial`]
//! if a rule forbids the action. For a write or a close it otherwise returns a permit, which can
//! only be created in this module. Closing a client connection consumes a permit, so that a close
//! without one does not compile; the timeout that is sent with an attempt comes from its permit. A
//! rule that the node has broken nevertheless is reported as a [`Violation`].

use std::fmt;

use kitefork_balancer::{Idempotency, Nanos};

use crate::clock::MS;
use crate::net::Unread;

/// Minimum time between the write of an attempt and its abandonment, in nanoseconds. Less than a
/// millisecond would be sent as a timeout of 0 ms, and the attempt would have expired on arrival.
const MIN_TIME_LEFT: Nanos = MS;

/// Why the rules do not allow an action now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The request has its final answer.
    Answered,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The client has sent more behind its request than the node reads, so that a close behind it
    /// would not be seen.
    ClientStateUnknown,
    /// The client's timeout or the attempt's time limit has passed.
    DeadlinePassed,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request has used all attempts that the settings allow.
    AttemptsExhausted,
    /// An earlier attempt may have been executed, and the class does not allow a retry.
    MayHaveBeenExecuted,
    /// The deduplication window is over: backends no longer drop a repeated request by its
    /// idempotency key.
    WindowClosed,
    /// The backend is not ready according to the endpoint list: it is draining or removed.
    BackendNotReady,
    /// Bytes were received on the connection to the backend before the request was written. They
    /// would be taken for its answer.
    UnexpectedBytes,
    /// The connection may have received bytes that are not parsed yet.
    UnreadInput,
    /// A request on the connection waits for its answer, or an answer is not completely written.
    AnswerPending,
}

impl Denial {
    /// The name of the denial in logs and counters, which must not change.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::ClientDisconnected => "client_disconnected",
            Denial::ClientStateUnknown => "client_state_unknown",
            Denial::DeadlinePassed => "deadline_passed",
            Denial::AttemptInFlight => "attempt_out",
            Denial::AttemptsExhausted => "attempts_spent",
            Denial::MayHaveBeenExecuted => "may_have_run",
            Denial::WindowClosed => "window_closed",
            Denial::BackendNotReady => "backend_not_ready",
            Denial::UnexpectedBytes => "unexpected_bytes",
            Denial::UnreadInput => "unread",
            Denial::AnswerPending => "answer_owed",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The earlier attempts of a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHistory {
    /// Whether the request can be executed twice without harm; set by its class.
    pub idempotency: Idempotency,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Number of attempts that have not ended.
    pub in_flight: usize,
    /// Whether some attempt may have been executed, or may still be executed.
    pub may_have_been_executed: bool,
    /// Latest time at which a retry may be written: the earliest end of the deduplication windows
    /// of those attempts that may have been executed; [`Nanos::MAX`] if no window limits the retry.
    pub write_by: Nanos,
}

/// The facts that decide whether an attempt may start.
#[derive(Debug, Clone, Copy)]
pub struct StartFacts {
    /// Whether the request has its final answer, or its client has disconnected.
    pub answered: bool,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// Maximum number of attempts of a request, from the settings.
    pub max_attempts: usize,
    /// The earlier attempts of the request.
    pub history: AttemptHistory,
}

/// Whether another attempt may start now.
///
/// # Errors
///
/// The [`Denial`] by the first rule that forbids the attempt.
pub fn may_start(now: Nanos, facts: &StartFacts) -> Result<(), Denial> {
    let history = &facts.history;
    if facts.answered {
        Err(Denial::Answered)
    } else if now >= facts.deadline {
        Err(Denial::DeadlinePassed)
    } else if history.in_flight > 0 {
        Err(Denial::AttemptInFlight)
    } else if history.attempts >= facts.max_attempts {
        Err(Denial::AttemptsExhausted)
    } else if history.idempotency == Idempotency::NotIdempotent && history.may_have_been_executed {
        Err(Denial::MayHaveBeenExecuted)
    } else if now > history.write_by {
        Err(Denial::WindowClosed)
    } else {
        Ok(())
    }
}

/// What is known of the client of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientState {
    /// Everything that has arrived from the client is read, and it has not closed its connection.
    Connected,
    /// The client has closed or reset its connection.
    Disconnected,
    /// The client may have closed its connection: a close would stand behind bytes that are not
    /// read.
    Unknown,
}

/// The facts that decide whether the first byte of an attempt may be written.
#[derive(Debug, Clone, Copy)]
pub struct WriteFacts {
    /// Whether the request has its final answer.
    pub answered: bool,
    /// Whether the client may have closed its connection.
    pub client: ClientState,
    /// Whether the backend is ready according to the endpoint list.
    pub backend_ready: bool,
    /// What can be read from the connection to the backend.
    pub unread: Unread,
    /// When the attempt is abandoned.
    pub abandon_at: Nanos,
    /// Latest time at which the attempt may be written; [`Nanos::MAX`] without a limit.
    pub write_by: Nanos,
}

/// Permission to write the bytes of one attempt.
#[derive(Debug)]
pub struct WritePermit {
    time_left: Nanos,
    write_by: Nanos,
}

impl WritePermit {
    /// The timeout that is sent to the backend, in whole milliseconds: the time left, rounded down.
    pub fn timeout_ms(&self) -> u64 {
        self.time_left / MS
    }

    /// Checks whether the attempt was written in time under this permit; `now` is read after the
    /// write.
    ///
    /// # Errors
    ///
    /// [`Violation::WrittenLate`], if the attempt was written too late.
    pub fn check(self, now: Nanos) -> Result<(), Violation> {
        if now > self.write_by.saturating_add(MAX_WRITE_DELAY) {
            Err(Violation::WrittenLate)
        } else {
            Ok(())
        }
    }
}

/// Time after the end of the deduplication window within which an attempt may still be written
/// without a violation, in nanoseconds: the protocol allows for a process that is delayed this long
/// between its clock reading and its write.
const MAX_WRITE_DELAY: Nanos = 150 * MS;

/// Whether the first byte of an attempt may be written now; `now` is a fresh reading of the clock.
///
/// # Errors
///
/// The [`Denial`] by the first rule that forbids the write.
pub fn may_write(now: Nanos, facts: &WriteFacts) -> Result<WritePermit, Denial> {
    if facts.answered {
        Err(Denial::Answered)
    } else if facts.client == ClientState::Disconnected {
        Err(Denial::ClientDisconnected)
    } else if facts.client == ClientState::Unknown {
        Err(Denial::ClientStateUnknown)
    } else if !facts.backend_ready {
        Err(Denial::BackendNotReady)
    } else if facts.unread == Unread::Bytes {
        Err(Denial::UnexpectedBytes)
    } else if now.saturating_add(MIN_TIME_LEFT) > facts.abandon_at {
        Err(Denial::DeadlinePassed)
    } else if now > facts.write_by {
        Err(Denial::WindowClosed)
    } else {
        Ok(WritePermit {
            time_left: facts.abandon_at - now,
            write_by: facts.write_by,
        })
    }
}

/// Whether a request may be rejected, which promises the client that a retry is harmless.
///
/// # Errors
///
/// [`Denial::MayHaveBeenExecuted`], if the request may have been executed and a retry would not be
/// harmless.
pub fn may_reject(idempotency: Idempotency, may_have_been_executed: bool) -> Result<(), Denial> {
    if idempotency.allows_rejection(may_have_been_executed) {
        Ok(())
    } else {
        Err(Denial::MayHaveBeenExecuted)
    }
}

/// How long after the client's timeout a final answer may still be given, in nanoseconds; a later
/// answer counts as lost (protocol page).
const ANSWER_GRACE: Nanos = 500 * MS;

/// Checks whether a final answer that is given now is in time.
///
/// # Errors
///
/// [`Violation::AnsweredLate`], if the answer is too late.
pub fn check_answer(now: Nanos, deadline: Nanos) -> Result<(), Violation> {
    if now > deadline.saturating_add(ANSWER_GRACE) {
        Err(Violation::AnsweredLate)
    } else {
        Ok(())
    }
}

/// The facts that decide whether a client connection may be closed on the node's own initiative.
#[derive(Debug, Clone, Copy)]
pub struct CloseFacts {
    /// Whether a request on the connection waits for its answer, or an answer is not completely
    /// written.
    pub answer_pending: bool,
    /// Whether the connection may have received bytes that are not parsed yet.
    pub has_unread_input: bool,
}

/// Permission to close a client connection.
#[derive(Debug)]
pub struct ClosePermit(());

impl ClosePermit {
    /// Permits closing a connection because its client has closed it, it has failed, or the process
    /// ends. An answer may still be pending on the connection.
    pub fn client_or_process_ended() -> ClosePermit {
        ClosePermit(())
    }

    /// Permits closing a connection whose client has used up the time allowed for sending a message
    /// or for reading an answer.
    pub fn deadline_passed() -> ClosePermit {
        ClosePermit(())
    }
}

/// Whether a client connection may be closed now.
///
/// # Errors
///
/// The [`Denial`] by the first rule that forbids the close.
pub fn may_close(facts: CloseFacts) -> Result<ClosePermit, Denial> {
    if facts.answer_pending {
        Err(Denial::AnswerPending)
    } else if facts.has_unread_input {
        Err(Denial::UnreadInput)
    } else {
        Ok(ClosePermit(()))
    }
}

/// A violation of a protocol rule by an action that the node has already taken. The violation is
/// counted and logged; a debug build panics, unless the process was stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was written too long after the end of its deduplication window.
    WrittenLate,
    /// The node closed a connection although a request on it waited for its answer.
    ClosedUnanswered,
    /// A request was answered more than [`ANSWER_GRACE`] after its client's timeout.
    AnsweredLate,
    /// A message counted as incomplete although bytes of it were read and not parsed.
    UnparsedInput,
}

impl Violation {
    /// The name of the violation in logs and counters, which must not change.
    pub fn name(self) -> &'static str {
        match self {
            Violation::WrittenLate => "written_late",
            Violation::ClosedUnanswered => "closed_unanswered",
            Violation::AnsweredLate => "answered_late",
            Violation::UnparsedInput => "unparsed_input",
        }
    }
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
