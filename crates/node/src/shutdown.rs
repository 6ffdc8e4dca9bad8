//! The phases of a graceful shutdown and their schedule.

use kitefork_balancer::Nanos;

use crate::clock::{MS, SECOND};
use crate::event_loop::{EventLoop, TimerEvent};

/// How long new connections are still accepted after SIGTERM, in nanoseconds: the front does not
/// know of the shutdown yet.
const ACCEPT_AFTER_SIGTERM: Nanos = 600 * MS;
/// Accepting ends at least this long before the last answers, in nanoseconds; this takes effect
/// only if every client timeout is short.
const LAST_ACCEPT_BEFORE_ANSWERS: Nanos = 100 * MS;
/// The last answers are sent this long after the longest client timeout, in nanoseconds; SIGKILL
/// may follow 0.2 s later.
const DRAIN_AFTER_TIMEOUT: Nanos = 500 * MS;
/// Maximum client timeout that the shutdown waits for, in nanoseconds.
const MAX_CLIENT_TIMEOUT: Nanos = 3 * SECOND;
/// Time allowed for writing the last answers, in nanoseconds.
const LAST_ANSWERS_FLUSH: Nanos = 150 * MS;

/// Phase of the graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// Pending requests are completed; those that still wait at `last_answers_at` are answered
    /// then.
    Draining { last_answers_at: Nanos },
    /// The process ends regardless of open connections, because SIGKILL is imminent.
    Forced { last_answers_at: Nanos },
}

/// State of the graceful shutdown.
#[derive(Debug)]
pub struct Shutdown {
    phase: ShutdownPhase,
}

impl Shutdown {
    /// Creates the state of a node that serves requests.
    pub fn new() -> Shutdown {
        Shutdown {
            phase: ShutdownPhase::Serving,
        }
    }

    /// Starts the shutdown and schedules its phases; `longest_client_timeout` is in nanoseconds.
    pub fn begin(&mut self, longest_client_timeout: Nanos, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        let last_answers_at =
            now + longest_client_timeout.min(MAX_CLIENT_TIMEOUT) + DRAIN_AFTER_TIMEOUT;
        self.phase = ShutdownPhase::Draining { last_answers_at };
        let stop_accepting_at =
            (now + ACCEPT_AFTER_SIGTERM).min(last_answers_at - LAST_ACCEPT_BEFORE_ANSWERS);
        event_loop.schedule(stop_accepting_at, TimerEvent::StopAccepting);
        event_loop.schedule(last_answers_at, TimerEvent::LastAnswers);
        event_loop.schedule(last_answers_at + LAST_ANSWERS_FLUSH, TimerEvent::ForceClose);
    }

    /// Lets the process end regardless of open connections, because SIGKILL is imminent. Does
    /// nothing before a shutdown is requested.
    pub fn force(&mut self) {
        if let Some(last_answers_at) = self.last_answers_at() {
            self.phase = ShutdownPhase::Forced { last_answers_at };
        }
    }

    /// Whether a shutdown was requested; stays true in the forced phase.
    pub fn is_draining(&self) -> bool {
        self.phase != ShutdownPhase::Serving
    }

    /// Whether the process ends regardless of open connections.
    pub fn is_forced(&self) -> bool {
        matches!(self.phase, ShutdownPhase::Forced { .. })
    }

    /// When the requests that still wait are answered, in nanoseconds on the node's clock; `None`
    /// while no shutdown was requested.
    pub fn last_answers_at(&self) -> Option<Nanos> {
        match self.phase {
            ShutdownPhase::Serving => None,
            ShutdownPhase::Draining { last_answers_at }
            | ShutdownPhase::Forced { last_answers_at } => Some(last_answers_at),
        }
    }

    /// Whether a shutdown was requested and the time for its last answers has come.
    pub fn is_answering_last(&self, now: Nanos) -> bool {
        self.last_answers_at().is_some_and(|at| now >= at)
    }
}
