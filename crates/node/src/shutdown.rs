//! The phases of a graceful shutdown, and when each ends.

use kitefork_balancer::Nanos;

use crate::clock::{MS, SECOND};
use crate::event_loop::{EventLoop, TimerEvent};

/// New connections are still accepted for this long after SIGTERM, in nanoseconds: the front does
/// not know yet ...
const ACCEPT_AFTER_SIGTERM: Nanos = 600 * MS;
/// ... but no longer than up to this before the last answers, in nanoseconds, where every client
/// timeout is short.
const LAST_ACCEPT_BEFORE_ANSWERS: Nanos = 100 * MS;
/// The last answers are given this long after the longest client timeout, in nanoseconds; SIGKILL
/// may come 0.2 s later.
const DRAIN_AFTER_TIMEOUT: Nanos = 500 * MS;
/// Client timeouts count as no longer than this, in nanoseconds.
const MAX_CLIENT_TIMEOUT: Nanos = 3 * SECOND;
/// Time for the last answers to be written, in nanoseconds.
const LAST_ANSWERS_FLUSH: Nanos = 150 * MS;

/// Where the node stands between its start and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// Requests are finished; whatever waits at `last_answers_at` gets its answer then.
    Draining { last_answers_at: Nanos },
    /// No time is left: the process ends whatever is open.
    Forced { last_answers_at: Nanos },
}

/// The graceful shutdown.
#[derive(Debug)]
pub struct Shutdown {
    phase: ShutdownPhase,
}

impl Shutdown {
    /// A node that serves.
    pub fn new() -> Shutdown {
        Shutdown {
            phase: ShutdownPhase::Serving,
        }
    }

    /// Begins the shutdown and schedules its phases; `longest_client_timeout` in nanoseconds.
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

    /// No time is left: the process ends whatever is open.
    pub fn force(&mut self) {
        if let Some(last_answers_at) = self.last_answers_at() {
            self.phase = ShutdownPhase::Forced { last_answers_at };
        }
    }

    /// Whether a shutdown was requested.
    pub fn is_draining(&self) -> bool {
        self.phase != ShutdownPhase::Serving
    }

    /// Whether the process ends whatever is open.
    pub fn is_forced(&self) -> bool {
        matches!(self.phase, ShutdownPhase::Forced { .. })
    }

    /// When whatever waits gets its answer, in nanoseconds on the node's clock; `None` while no
    /// shutdown was requested.
    pub fn last_answers_at(&self) -> Option<Nanos> {
        match self.phase {
            ShutdownPhase::Serving => None,
            ShutdownPhase::Draining { last_answers_at }
            | ShutdownPhase::Forced { last_answers_at } => Some(last_answers_at),
        }
    }

    /// Whether the time of the last answers has come.
    pub fn is_answering_last(&self, now: Nanos) -> bool {
        self.last_answers_at().is_some_and(|at| now >= at)
    }
}
