//! The graceful shutdown: from SIGTERM to the last answer.

use super::Node;
use crate::counters::CloseReason;
use crate::downstream::{ACCEPT_PAUSE, ClientConnection};
use crate::event_loop::{MIN_RETRY, TimerEvent};
use crate::rules::ClosePermit;

impl Node {
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_draining() {
            return;
        }
        let open = self.clients.len();
        self.diagnostics.log(
            self.event_loop.now(),
            "sigterm",
            format_args!("connections={open}"),
        );
        let longest_client_timeout = self
            .deployment
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .max()
            .unwrap_or(0);
        self.shutdown
            .begin(longest_client_timeout, &mut self.event_loop);
    }

    /// Accepts whoever still waits, then nobody; connections without a request end.
    pub(super) fn stop_accepting(&mut self) {
        let now = self.event_loop.now();
        self.resume_accepting();
        let is_answering_last = self.shutdown.is_answering_last(now);
        // Clients that wait for a descriptor would be reset with the listener.
        if self.listener.is_paused() && !is_answering_last {
            self.diagnostics
                .log(now, "late-clients", "wait for a connection to end");
            return self
                .event_loop
                .schedule(now + ACCEPT_PAUSE, TimerEvent::StopAccepting);
        }
        self.listener.close();
        if !self.close_idle_clients() && !is_answering_last {
            // What could not be read for a moment is reviewed again.
            self.event_loop
                .schedule(now + MIN_RETRY, TimerEvent::StopAccepting);
        }
    }

    /// Closes the connections on which nothing is in progress; a request that has come unread is
    /// served, not cut off. Whether all that are idle have closed.
    fn close_idle_clients(&mut self) -> bool {
        let mut all_closed = true;
        for number in self.clients.numbers() {
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

    /// SIGKILL is near: whatever waits gets its answer now, and what has come unread is rejected.
    /// Connections then end by themselves once their answer is written.
    pub(super) fn give_last_answers(&mut self) {
        let now = self.event_loop.now();
        for request in self.requests.unanswered() {
            self.requests.fail_for_shutdown(now, request);
        }
        self.flush_pending();
        self.stop_accepting();
        let open = self.clients.len();
        self.diagnostics
            .log(now, "last-answers", format_args!("connections={open}"));
    }

    /// No time is left. A socket that closes with bytes unread resets its connection, and what the
    /// kernel still holds of an answer is lost with it.
    pub(super) fn force_close(&mut self) {
        self.shutdown.force();
        for number in self.clients.numbers() {
            self.close_client(number, ClosePermit::nothing_owed(), CloseReason::Shutdown);
        }
    }
}
