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

    /// Accepts the clients that still wait, closes the listener, and closes the connections without
    /// a request. Runs again later while clients wait for a descriptor or an idle connection could
    /// not be closed, unless it is time for the last answers.
    pub(super) fn stop_accepting(&mut self) {
        let now = self.event_loop.now();
        self.resume_accepting();
        let is_answering_last = self.shutdown.is_answering_last(now);
        // Closing the listener would reset the connections that wait for a descriptor.
        if self.listener.is_paused() && !is_answering_last {
            self.diagnostics
                .log(now, "late-clients", "wait for a connection to end");
            return self
                .event_loop
                .schedule(now + ACCEPT_PAUSE, TimerEvent::StopAccepting);
        }
        self.listener.close();
        if !self.close_idle_clients() && !is_answering_last {
            // Tries again later to close the idle connections that could not be closed now.
            self.event_loop
                .schedule(now + MIN_RETRY, TimerEvent::StopAccepting);
        }
    }

    /// Closes the connections on which nothing is in progress; a request that has arrived but is
    /// not read yet is served. Returns whether all idle connections were closed.
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

    /// SIGKILL is imminent: answers all pending requests now, and rejects requests that have
    /// arrived but are not read yet. Each connection closes once its answer is written.
    pub(super) fn give_last_answers(&mut self) {
        let now = self.event_loop.now();
        for request in self.requests.unanswered() {
            self.requests.fail_for_shutdown(now, request);
        }
        for number in self.clients.numbers() {
            if self
                .clients
                .get(number)
                .is_some_and(ClientConnection::is_holding)
            {
                self.reply_incomplete(number);
            }
        }
        self.flush_pending();
        self.stop_accepting();
        let open = self.clients.len();
        self.diagnostics
            .log(now, "last-answers", format_args!("connections={open}"));
    }

    /// Closes all connections, because SIGKILL is imminent. Closing a socket with unread bytes
    /// resets its connection, and the part of an answer that the kernel has not yet sent is lost.
    pub(super) fn force_close(&mut self) {
        self.shutdown.force();
        for number in self.clients.numbers() {
            self.close_client(
                number,
                ClosePermit::client_or_process_ended(),
                CloseReason::Shutdown,
            );
        }
    }
}
