//! The end of a node: from SIGTERM to the last answer.

use kitefork_balancer::Nanos;

use super::Node;
use crate::clock::{MS, SECOND};
use crate::counters::CloseReason;
use crate::downstream::{ACCEPT_PAUSE, ClientConnection};
use crate::event_loop::{MIN_RETRY, TimerEvent};
use crate::rules::ClosePermit;

/// New connections are still taken for this long after SIGTERM: the front does not know yet ...
const ACCEPT_ON: Nanos = 600 * MS;
/// ... but no longer than up to this before the last answers, where every deadline is short.
const LAST_TAKEN: Nanos = 100 * MS;
/// After SIGTERM all is answered within the longest deadline, counted as 3 s where it is longer,
/// and this: SIGKILL may come 0.2 s later ...
const DRAIN_MORE: Nanos = 500 * MS;
const LONGEST_DRAIN: Nanos = 3 * SECOND;
/// ... of which the last answers have this to go out.
const FLUSH: Nanos = 150 * MS;

impl Node {
    pub(super) fn begin_drain(&mut self) {
        if self.is_draining() {
            return;
        }
        self.diagnostics.log(
            self.event_loop.now(),
            "sigterm",
            format_args!("connections={}", self.clients.len()),
        );
        let longest = self
            .deployment
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .max()
            .unwrap_or(0);
        let ends = self.event_loop.now() + longest.min(LONGEST_DRAIN) + DRAIN_MORE;
        self.ends = Some(ends);
        self.event_loop.schedule(
            (self.event_loop.now() + ACCEPT_ON).min(ends - LAST_TAKEN),
            TimerEvent::StopAccepting,
        );
        self.event_loop.schedule(ends, TimerEvent::LastAnswers);
        self.event_loop
            .schedule(ends + FLUSH, TimerEvent::ForceClose);
    }

    /// Takes whoever still waits, then nobody; sessions without a req end.
    pub(super) fn stop_accepting(&mut self) {
        self.resume_accepting();
        // Guards against clients that wait for a descriptor: with the listener they would be reset.
        let ending = self.ends.is_some_and(|ends| self.event_loop.now() >= ends);
        if self.listener.is_paused() && !ending {
            self.diagnostics.log(
                self.event_loop.now(),
                "late-clients",
                "wait for a connection to end",
            );
            return self.event_loop.schedule(
                self.event_loop.now() + ACCEPT_PAUSE,
                TimerEvent::StopAccepting,
            );
        }
        self.listener.close();
        if !self.close_idle_clients() && !ending {
            // What could not be read for a moment is looked at again.
            self.event_loop
                .schedule(self.event_loop.now() + MIN_RETRY, TimerEvent::StopAccepting);
        }
    }

    /// Closes the sessions on which nothing is under way; a request that has come while nobody
    /// looked is served, not cut off. Tells whether all that are idle have closed.
    fn close_idle_clients(&mut self) -> bool {
        let numbers = self.clients.numbers();
        let mut all_closed = true;
        for number in numbers {
            self.read_client(number);
            if self
                .clients
                .get(number)
                .is_some_and(ClientConnection::is_idle)
            {
                all_closed &= self.close_if_allowed(number, CloseReason::Shutdown);
            }
        }
        all_closed
    }

    /// SIGKILL is near: whatever waits gets its answer now, and what has come unread is refused.
    /// Sessions then end by themselves once their answer is written.
    pub(super) fn end_drain(&mut self) {
        for request in self.requests.unanswered() {
            self.requests
                .fail_for_shutdown(self.event_loop.now(), request);
        }
        self.flush_pending();
        self.stop_accepting();
        self.diagnostics.log(
            self.event_loop.now(),
            "last-answers",
            format_args!("connections={}", self.clients.len()),
        );
    }

    /// No time is left. A socket that closes with bytes unread resets its connection, and what the
    /// kernel still holds of an answer is lost with it.
    pub(super) fn quit(&mut self) {
        self.quit = true;
        let numbers = self.clients.numbers();
        for number in numbers {
            self.close_client(number, ClosePermit::nothing_owed(), CloseReason::Shutdown);
        }
    }
}
