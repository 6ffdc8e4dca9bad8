//! Accepts clients, and closes connections when file descriptors run short.

use std::ops::ControlFlow;
use std::os::fd::OwnedFd;

use super::Node;
use crate::counters::CloseReason;
use crate::descriptor_budget::Purpose;
use crate::downstream::{AcceptOutcome, EvictionCandidate};
use crate::net;
use crate::rules::{self, Denial};

impl Node {
    /// Accepts all waiting clients, since a connection that the kernel has accepted counts as
    /// accepted by the node. One iteration accepts no more than the kernel's queue holds, so that a
    /// flood of connections can't block the loop.
    pub(super) fn accept_clients(&mut self) {
        for _ in 0..=net::ACCEPT_BACKLOG {
            if !self.listener.is_accepting() || self.accept_client().is_break() {
                return;
            }
        }
        // Clients may remain in the queue, and it is unknown how long they have waited.
        self.listener.note_queue_not_emptied();
    }

    /// Accepts one client. Returns `Break` if no further client can be accepted in this iteration.
    fn accept_client(&mut self) -> ControlFlow<()> {
        let now = self.event_loop.now();
        // A connection is closed to free capacity only if a client is waiting.
        if !self.client_fits() {
            match self.listener.has_waiting_client() {
                Ok(true) => {}
                Ok(false) => {
                    self.listener.note_queue_empty(now);
                    return ControlFlow::Break(());
                }
                // It is unknown whether a client is waiting: tries again after a delay.
                Err(_) => {
                    self.listener.retry_later(&mut self.event_loop);
                    return ControlFlow::Break(());
                }
            }
        }
        if !self.ensure_client_capacity() {
            let open = self.clients.len();
            self.diagnostics
                .log(now, "client-connections-full", format_args!("open={open}"));
            self.listener.pause(&mut self.event_loop);
            return ControlFlow::Break(());
        }
        let outcome = self.listener.accept();
        self.handle_accept(outcome)
    }

    fn handle_accept(&mut self, outcome: AcceptOutcome) -> ControlFlow<()> {
        let now = self.event_loop.now();
        match outcome {
            AcceptOutcome::Client(socket) => {
                self.add_client(socket);
                ControlFlow::Continue(())
            }
            AcceptOutcome::ClientDisconnected => {
                self.diagnostics.count("accept", "client_disconnected");
                ControlFlow::Continue(())
            }
            AcceptOutcome::QueueEmpty => {
                self.listener.note_queue_empty(now);
                ControlFlow::Break(())
            }
            AcceptOutcome::RetryLater(error) => {
                self.diagnostics.log(now, "accept-failed", error);
                self.listener.retry_later(&mut self.event_loop);
                ControlFlow::Break(())
            }
            AcceptOutcome::Failed(error) => {
                self.diagnostics.log(now, "accept-failed", error);
                // Out of descriptors: closes an idle connection to free one, but only if a client
                // is waiting, since accept(2) also fails for lack of descriptors when none is.
                // Accepting then pauses, so that the loop does not spin on a client that it can't
                // accept.
                if matches!(self.listener.has_waiting_client(), Ok(true))
                    && let Some(candidate) = self.eviction_candidate()
                {
                    self.evict(candidate.number);
                }
                self.listener.pause(&mut self.event_loop);
                ControlFlow::Break(())
            }
        }
    }

    pub(super) fn resume_accepting(&mut self) {
        self.listener.resume(&mut self.event_loop);
        self.accept_clients();
    }

    fn client_fits(&self) -> bool {
        self.descriptor_budget
            .fits(Purpose::Client, self.clients.len(), self.upstreams.len())
    }

    /// Returns whether the descriptor budget has capacity for another client connection; if
    /// necessary, closes the most expendable connection first.
    fn ensure_client_capacity(&mut self) -> bool {
        if self.client_fits() {
            return true;
        }
        let now = self.event_loop.now();
        // A candidate that has sent a request in the meantime is not closed. Each round either
        // closes a connection or continues with another candidate.
        for _ in 0..=self.clients.len() {
            let candidate = self.eviction_candidate();
            let is_expendable = candidate.is_some_and(|c| c.rank.is_expendable());
            if !is_expendable
                && self
                    .descriptor_budget
                    .exceeds_reserve(Purpose::Upstream, self.upstreams.len())
                && let Some(has_closed) = self.upstreams.evict_idle(now, &mut self.diagnostics)
            {
                return has_closed;
            }
            let Some(candidate) = candidate else {
                return false;
            };
            if self.evict(candidate.number) {
                return true;
            }
        }
        false
    }

    pub(super) fn eviction_candidate(&self) -> Option<EvictionCandidate> {
        self.clients.eviction_candidate(self.event_loop.now())
    }

    /// Closes a connection to free its descriptor, unless an answer is pending on it, or it has
    /// unread input: that input may be a request, whose client would see the connection close
    /// without an answer. Returns whether the connection was closed.
    pub(super) fn evict(&mut self, number: u32) -> bool {
        self.close_if_allowed(number, CloseReason::Evicted)
    }

    /// Closes a connection on the node's own initiative if the protocol rules allow it; otherwise
    /// counts the denial and reads the connection's input. Returns whether the connection is closed
    /// afterwards.
    pub(super) fn close_if_allowed(&mut self, number: u32, reason: CloseReason) -> bool {
        let Some(connection) = self.clients.get(number) else {
            return false;
        };
        match rules::may_close(connection.close_facts()) {
            Ok(permit) => self.close_client(number, permit, reason),
            Err(denial) => {
                self.count_client_denial(denial, number);
                self.read_client(number);
                self.clients.get(number).is_none()
            }
        }
    }

    pub(super) fn count_client_denial(&mut self, denial: Denial, number: u32) {
        let now = self.event_loop.now();
        self.diagnostics
            .count_denial(now, denial, format_args!("connection={number}"));
    }

    /// Closes expendable connections if more than `DescriptorBudget::max_active_clients` connected
    /// clients have sent a request, and schedules the next check.
    pub(super) fn trim_clients(&mut self) {
        let max_active = self.descriptor_budget.max_active_clients();
        for candidate in self.clients.trim(self.event_loop.now(), max_active) {
            self.evict(candidate.number);
        }
        self.schedule_trim();
    }

    fn schedule_trim(&mut self) {
        let max_active = self.descriptor_budget.max_active_clients();
        self.clients.schedule_trim(max_active, &mut self.event_loop);
    }

    fn add_client(&mut self, socket: OwnedFd) {
        let now = self.event_loop.now();
        let queued_at = self
            .listener
            .queue_empty_at(self.event_loop.previous_poll_at());
        if let Some(number) = self
            .clients
            .add(socket, now, queued_at, &self.buffer_budget)
        {
            self.schedule_trim();
            self.read_client(number);
        }
    }
}
