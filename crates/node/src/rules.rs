//! The rules of the protocol, decided in one place: whether an attempt may start, whether its first
//! byte may be written, whether a request may be rejected, and whether an idle client connection
//! may be closed, now. All times are in nanoseconds on the node's clock.
//!
//! Pure: facts come in, a permit or a [`Denial`] comes out; no sockets, no clock. A permit can only
//! be made here and is consumed by the act that it allows, so an act without one does not compile.
//! What was done is checked against the same rules afterwards; see [`Violation`].

use std::fmt;

use kitefork_balancer::{Idempotency, Nanos};

use crate::clock::MS;

/// Shortest time with a backend for which an attempt is started, in nanoseconds: less is sent as 0
/// ms, and such an attempt is over when it arrives.
const MIN_TIME_LEFT: Nanos = MS;

/// Why something is not allowed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The request has its final answer.
    Answered,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The client's time, or the attempt's, is over.
    DeadlinePassed,
    /// Another attempt of the request is out.
    AttemptInFlight,
    /// The request has had as many attempts as the settings allow.
    AttemptsExhausted,
    /// An earlier attempt may have been executed, and the class does not allow a retry.
    MayHaveBeenExecuted,
    /// Backends no longer drop a repeat by its idempotency key.
    WindowClosed,
    /// The endpoint list has the backend draining or removed.
    BackendNotReady,
    /// Bytes that nobody has read lie in the connection.
    UnreadInput,
    /// An answer is owed on the connection.
    AnswerPending,
}

impl Denial {
    /// The word in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::ClientDisconnected => "client_disconnected",
            Denial::DeadlinePassed => "deadline_passed",
            Denial::AttemptInFlight => "attempt_out",
            Denial::AttemptsExhausted => "attempts_spent",
            Denial::MayHaveBeenExecuted => "may_have_run",
            Denial::WindowClosed => "window_closed",
            Denial::BackendNotReady => "backend_not_ready",
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

/// What is known of a request's earlier attempts.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHistory {
    /// What executing the request twice means.
    pub idempotency: Idempotency,
    /// Attempts so far.
    pub attempts: usize,
    /// Attempts that have not ended.
    pub in_flight: usize,
    /// Some attempt may have been executed, or may still be.
    pub may_have_been_executed: bool,
    /// Until when a retry may be written: the earliest end of a window of those that may have been
    /// executed.
    pub write_by: Nanos,
}

/// What decides whether an attempt may start.
#[derive(Debug, Clone, Copy)]
pub struct StartFacts {
    /// The request has its final answer, or its client has gone.
    pub answered: bool,
    /// When the client gives up.
    pub deadline: Nanos,
    /// Attempts that the settings allow for a request.
    pub max_attempts: usize,
    /// Its earlier attempts.
    pub history: AttemptHistory,
}

/// Whether another attempt may start now.
///
/// # Errors
///
/// The first rule that forbids it.
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

/// What decides whether the first byte of an attempt may be written.
#[derive(Debug, Clone, Copy)]
pub struct WriteFacts {
    /// The request has its final answer.
    pub answered: bool,
    /// The client's connection shows an end or a reset.
    pub client_disconnected: bool,
    /// The endpoint list has the backend ready.
    pub backend_ready: bool,
    /// When the attempt is abandoned.
    pub abandon_at: Nanos,
    /// Until when it may be written.
    pub write_by: Nanos,
}

/// The right to write one attempt's bytes.
#[derive(Debug)]
pub struct WritePermit {
    time_left: Nanos,
    write_by: Nanos,
}

impl WritePermit {
    /// The time limit that the backend is given, in whole milliseconds: what is left, rounded down.
    pub fn timeout_ms(&self) -> u64 {
        self.time_left / MS
    }

    /// Checks whether what was written under this permit was written in time; `now` is read after
    /// the write.
    ///
    /// # Errors
    ///
    /// The rule that was broken.
    pub fn check(self, now: Nanos) -> Result<(), Violation> {
        if now > self.write_by.saturating_add(MAX_WRITE_DELAY) {
            Err(Violation::WrittenLate)
        } else {
            Ok(())
        }
    }
}

/// A process may be held up for this long, in nanoseconds, between its clock and its write; the
/// protocol allows for it.
const MAX_WRITE_DELAY: Nanos = 150 * MS;

/// Whether the first byte of an attempt may be written now; `now` is a fresh reading of the clock.
///
/// # Errors
///
/// The first rule that forbids it.
pub fn may_write(now: Nanos, facts: &WriteFacts) -> Result<WritePermit, Denial> {
    if facts.answered {
        Err(Denial::Answered)
    } else if facts.client_disconnected {
        Err(Denial::ClientDisconnected)
    } else if !facts.backend_ready {
        Err(Denial::BackendNotReady)
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

/// Whether a rejection, which says to the client that a retry is harmless, would be true.
///
/// # Errors
///
/// That the request may have been executed.
pub fn may_reject(idempotency: Idempotency, may_have_been_executed: bool) -> Result<(), Denial> {
    if idempotency.allows_rejection(may_have_been_executed) {
        Ok(())
    } else {
        Err(Denial::MayHaveBeenExecuted)
    }
}

/// A final answer this long after its client's timeout, in nanoseconds, is lost (protocol page).
const ANSWER_GRACE: Nanos = 500 * MS;

/// Whether a final answer that is given now is given in time.
///
/// # Errors
///
/// The rule that was broken.
pub fn check_answer(now: Nanos, deadline: Nanos) -> Result<(), Violation> {
    if now > deadline.saturating_add(ANSWER_GRACE) {
        Err(Violation::AnsweredLate)
    } else {
        Ok(())
    }
}

/// What decides whether a client connection may be closed for a reason of the node's own.
#[derive(Debug, Clone, Copy)]
pub struct CloseFacts {
    /// A request of this connection waits for its answer, or an answer is not written completely.
    pub answer_pending: bool,
    /// Bytes have come that nobody has read.
    pub has_unread_input: bool,
}

/// The right to close a client connection.
#[derive(Debug)]
pub struct ClosePermit(());

impl ClosePermit {
    /// For a connection that its client has ended or broken, or whose process ends: nothing is owed
    /// on it.
    pub fn nothing_owed() -> ClosePermit {
        ClosePermit(())
    }

    /// For a connection whose client has had all the time that it is given for a message or an
    /// answer.
    pub fn deadline_passed() -> ClosePermit {
        ClosePermit(())
    }
}

/// Whether a client connection may be closed now.
///
/// # Errors
///
/// The first rule that forbids it.
pub fn may_close(facts: CloseFacts) -> Result<ClosePermit, Denial> {
    if facts.answer_pending {
        Err(Denial::AnswerPending)
    } else if facts.has_unread_input {
        Err(Denial::UnreadInput)
    } else {
        Ok(ClosePermit(()))
    }
}

/// A rule that was found broken after the act. Counted and logged; a debug build panics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was written after the time in which it may be retried.
    WrittenLate,
    /// A connection was closed on which an answer was owed.
    ClosedUnanswered,
    /// A request got its answer long after its client's timeout.
    AnsweredLate,
}

impl Violation {
    /// The word in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            Violation::WrittenLate => "written_late",
            Violation::ClosedUnanswered => "closed_unanswered",
            Violation::AnsweredLate => "answered_late",
        }
    }
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
