//! The table of upstream connections, with the pool of idle ones and the postponed dials.

use std::net::SocketAddr;

use kitefork_balancer::{BackendId, Nanos, Outcome};
use rustix::io::Errno;

use super::answer::{Answer, Reuse};
use super::attempt::{AttemptLimits, PostponedDial, UpstreamAttempt};
use super::close_reason::UpstreamCloseReason;
use super::connection::{Progress, UpstreamConnection, UpstreamState};
use super::pool::{IdleConnection, Pool};
use super::postponed::PostponedDials;
use crate::diagnostics::Diagnostics;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent};
use crate::net;
use crate::ring_buffer::BufferBudget;
use crate::slab::Slab;

/// Why an attempt has no connection to its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialError {
    /// The backend can't be reached or is not ready.
    Endpoint,
    /// This machine or process temporarily lacks resources.
    Local,
    /// An idle connection may be reused shortly.
    Resting,
}

/// An event on a connection that the node must handle.
pub enum UpstreamEvent {
    /// The connection is established and its request can be written.
    Connected,
    /// A complete answer to the attempt was received.
    Answered(Answer),
    /// The attempt has failed with this outcome, and the connection must be closed for this reason.
    Failed(Outcome, UpstreamCloseReason),
}

impl UpstreamEvent {
    /// The attempt has failed with this outcome, without an answer.
    fn attempt_ended(outcome: Outcome) -> UpstreamEvent {
        UpstreamEvent::Failed(outcome, UpstreamCloseReason::AttemptEnded)
    }
}

/// All upstream connections, including idle ones, and the dials that are postponed.
pub struct UpstreamConnections {
    table: Slab<UpstreamConnection>,
    pool: Pool,
    postponed: PostponedDials,
    connect_timeout: Nanos,
    idle_timeout: Nanos,
}

impl UpstreamConnections {
    /// Creates a table for at most `capacity` connections at a time. A connection must be
    /// established within `connect_timeout`; the backends' machines close connections that are idle
    /// for `idle_limit` (both in nanoseconds).
    pub fn new(capacity: usize, connect_timeout: Nanos, idle_limit: Nanos) -> UpstreamConnections {
        UpstreamConnections {
            table: Slab::new(capacity),
            pool: Pool::default(),
            postponed: PostponedDials::default(),
            connect_timeout,
            // Clearly before the backend's machine closes the connection: a request that is sent
            // while that happens ends in a reset.
            idle_timeout: idle_limit / 4 * 3,
        }
    }

    /// Number of connections, including those being established and idle ones.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The connection with this number; `None` if it has been closed.
    pub fn get(&self, number: u32) -> Option<&UpstreamConnection> {
        self.table.get(number)
    }

    /// The connection with this number; `None` if it has been closed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut UpstreamConnection> {
        self.table.get_mut(number)
    }

    fn find(&self, predicate: impl Fn(&UpstreamConnection) -> bool) -> Option<u32> {
        self.table
            .iter()
            .find(|(_, connection)| predicate(connection))
            .map(|(number, _)| number)
    }

    /// Number of the connection that carries this attempt; `None` if there is none.
    pub fn find_attempt(&self, attempt: UpstreamAttempt) -> Option<u32> {
        self.find(|connection| connection.attempt() == Some(attempt))
    }

    /// Number of the connection that carries an attempt of this request that is not completely
    /// written; `None` if there is none.
    pub fn find_unwritten(&self, request: u32) -> Option<u32> {
        self.find(|connection| connection.is_unwritten_attempt_of(request))
    }

    /// Whether a request has an attempt that is postponed or not completely written, and so was not
    /// executed.
    pub fn has_unwritten(&self, request: u32) -> bool {
        self.postponed.contains(request) || self.find_unwritten(request).is_some()
    }

    /// Numbers of the connections to a backend that are not established yet.
    pub fn connecting_to(&self, backend: BackendId) -> Vec<u32> {
        self.table
            .iter()
            .filter(|(_, connection)| connection.backend() == backend)
            .filter(|(_, connection)| connection.state() == UpstreamState::Connecting)
            .map(|(number, _)| number)
            .collect()
    }

    /// Takes an idle connection to a backend that can be reused; see [`Pool::take`]. Closes those
    /// that were used more recently but can't be reused.
    pub fn take_idle(
        &mut self,
        backend: BackendId,
        now: Nanos,
        wait_until: Nanos,
        diagnostics: &mut Diagnostics,
    ) -> IdleConnection {
        loop {
            let idle = self.pool.take(backend, now, wait_until);
            let IdleConnection::Reusable(number) = idle else {
                return idle;
            };
            let Some(connection) = self.table.get_mut(number) else {
                continue;
            };
            let reuse = connection.check_reuse();
            if reuse == Reuse::Yes && connection.leave_pool(now) {
                return idle;
            }
            let reason = UpstreamCloseReason::of_reuse(reuse);
            self.discard(number, reason, now, diagnostics);
        }
    }

    /// Closes and returns the connection with this number; `None` if it is already closed. Counts
    /// and traces the reason; bytes that belong to no answer are also logged, and unexpected ones
    /// are recorded by the pool.
    fn discard(
        &mut self,
        number: u32,
        reason: UpstreamCloseReason,
        now: Nanos,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamConnection> {
        let connection = self.table.remove(number)?;
        let backend = connection.backend().0;
        diagnostics.count("upstream_closed", reason.name());
        diagnostics.trace(
            now,
            format_args!(
                "upstream-closed upstream={number} b={backend} why={}",
                reason.name()
            ),
        );
        match reason {
            UpstreamCloseReason::UnexpectedBytes => {
                let lateness = connection
                    .last_answer_at()
                    .map_or(0, |answered_at| now.saturating_sub(answered_at));
                self.pool.record_unexpected_bytes(lateness, now);
                let after_us = lateness / 1_000;
                let details =
                    format_args!("backend={backend} upstream={number} after_us={after_us}");
                diagnostics.log(now, "unexpected-bytes", details);
            }
            UpstreamCloseReason::LengthMismatch => {
                let details = format_args!("backend={backend} upstream={number}");
                diagnostics.log(now, "length-mismatch", details);
            }
            _ => {}
        }
        Some(connection)
    }

    /// Starts a new connection to a backend and returns its number.
    ///
    /// # Errors
    ///
    /// [`DialError::Endpoint`] if the backend can't be reached; [`DialError::Local`] if this
    /// machine temporarily lacks resources or the table is full.
    pub fn dial(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        budget: &BufferBudget,
        now: Nanos,
        diagnostics: &mut Diagnostics,
    ) -> Result<u32, DialError> {
        let open = self.table.len();
        diagnostics.trace(now, format_args!("connect b={} open={open}", backend.0));
        let opened = net::dial(address).and_then(|socket| {
            self.table
                .insert(UpstreamConnection::new(socket, backend, budget))
                .ok_or(Errno::MFILE)
        });
        opened.map_err(|error| {
            let details = format_args!("backend={} {error}", backend.0);
            diagnostics.log(now, "dial-failed", details);
            match errno::of_connect(error) {
                ErrorClass::ConnectionLost => DialError::Endpoint,
                _ => DialError::Local,
            }
        })
    }

    /// Latest time at which a connection that is started at `now` for an attempt with these limits
    /// must be established.
    pub fn connect_by(&self, limits: AttemptLimits, now: Nanos) -> Nanos {
        limits
            .write_deadline()
            .min(now.saturating_add(self.connect_timeout))
    }

    /// Assigns an attempt to a connection and sets the deadline that its state requires.
    pub fn assign(
        &mut self,
        number: u32,
        attempt: UpstreamAttempt,
        limits: AttemptLimits,
        event_loop: &mut EventLoop,
    ) {
        let connect_by = self.connect_by(limits, event_loop.now());
        if let Some(connection) = self.table.get_mut(number) {
            connection.assign(attempt, limits);
            let deadline = match connection.state() {
                UpstreamState::Connecting => connect_by,
                _ => limits.write_deadline(),
            };
            connection.set_deadline(deadline, number, event_loop);
        }
    }

    /// Delays an attempt so that updates of the endpoint list are read first, at most once for each
    /// attempt; returns whether the attempt is delayed.
    pub fn delay_for_discovery(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        let Some(connection) = self.table.get_mut(number) else {
            return false;
        };
        if !connection.begin_discovery_wait() {
            return false;
        }
        self.delay_write(number, event_loop);
        true
    }

    /// Delays the write of the request on an established connection by [`MIN_RETRY`].
    pub fn delay_write(&mut self, number: u32, event_loop: &mut EventLoop) {
        if let Some(connection) = self.table.get_mut(number) {
            // The connection is established, so the connect timeout no longer applies.
            let deadline = connection.limits().write_deadline();
            connection.set_deadline(deadline, number, event_loop);
            connection.pause(number, event_loop);
        }
    }

    /// Advances a connection as far as its socket allows (`is_ready`: the socket has become ready);
    /// `None` if the node need not act on it now.
    pub fn advance(
        &mut self,
        number: u32,
        is_ready: bool,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamEvent> {
        let connection = self.table.get_mut(number)?;
        if connection.is_overdue(event_loop.now()) {
            return Some(UpstreamEvent::attempt_ended(Outcome::ConnectFailed));
        }
        let previous_state = connection.state();
        match connection.advance(is_ready, event_loop.clock()) {
            Progress::Connected => Some(UpstreamEvent::Connected),
            Progress::Answered(answer) => Some(UpstreamEvent::Answered(answer)),
            Progress::Failed(outcome) => Some(UpstreamEvent::attempt_ended(outcome)),
            Progress::UnexpectedBytes(outcome) => {
                let reason = UpstreamCloseReason::UnexpectedBytes;
                Some(UpstreamEvent::Failed(outcome, reason))
            }
            Progress::LengthMismatch(outcome) => {
                let reason = UpstreamCloseReason::LengthMismatch;
                Some(UpstreamEvent::Failed(outcome, reason))
            }
            Progress::RetryLater => {
                connection.pause(number, event_loop);
                None
            }
            Progress::Pending => {
                if connection.state() != previous_state {
                    let deadline = match connection.state() {
                        UpstreamState::Waiting => connection.limits().abandon_at,
                        _ => connection.limits().write_deadline(),
                    };
                    connection.set_deadline(deadline, number, event_loop);
                }
                self.register(number, event_loop, diagnostics)
            }
            Progress::Stale(reuse) => {
                let backend = connection.backend();
                let now = event_loop.now();
                self.pool.remove(backend, number);
                let reason = UpstreamCloseReason::of_reuse(reuse);
                self.discard(number, reason, now, diagnostics);
                None
            }
        }
    }

    /// Registers a connection for the events that its state needs. A temporary failure is retried
    /// after [`MIN_RETRY`]; any other one fails the attempt.
    fn register(
        &mut self,
        number: u32,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamEvent> {
        let connection = self.table.get_mut(number)?;
        let error = connection.register(number, event_loop).err()?;
        let now = event_loop.now();
        diagnostics.log(now, "epoll-failed", error);
        if errno::of_register(error) != ErrorClass::RetryLater {
            let outcome = connection.outcome_if_closed(Outcome::Reset);
            return Some(UpstreamEvent::attempt_ended(outcome));
        }
        event_loop.schedule(now + MIN_RETRY, TimerEvent::ResumeUpstream(number));
        None
    }

    /// Ends and returns the attempt of a connection that was answered. The connection goes to the
    /// pool if it can be reused and its backend is ready; otherwise it is closed.
    pub fn release(
        &mut self,
        number: u32,
        reuse: Reuse,
        is_backend_ready: bool,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamAttempt> {
        let now = event_loop.now();
        let connection = self.table.get_mut(number)?;
        let attempt = connection.take_attempt();
        // The iteration may have lasted: the answer was read now, not at its start.
        let answered_at = event_loop.clock().read();
        connection.set_answered(answered_at);
        if reuse == Reuse::Yes && is_backend_ready {
            let reusable_until = now.saturating_add(self.idle_timeout);
            connection.set_idle(reusable_until);
            connection.set_deadline(reusable_until, number, event_loop);
            self.pool.put(connection.backend(), number, answered_at);
        } else {
            let reason = if is_backend_ready {
                UpstreamCloseReason::of_reuse(reuse)
            } else {
                UpstreamCloseReason::BackendNotReady
            };
            self.discard(number, reason, now, diagnostics);
        }
        attempt
    }

    /// Handles the fired timer of a connection. If its deadline has passed, closes an idle
    /// connection, or returns the outcome with which its attempt must be ended.
    pub fn expire(
        &mut self,
        number: u32,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Option<Outcome> {
        let connection = self.table.get_mut(number)?;
        if !connection.is_due(number, event_loop) {
            return None;
        }
        if connection.state() == UpstreamState::Idle {
            let backend = connection.backend();
            self.pool.remove(backend, number);
            let reason = UpstreamCloseReason::IdleTimeout;
            self.discard(number, reason, event_loop.now(), diagnostics);
            return None;
        }
        Some(connection.outcome_if_closed(Outcome::Timeout))
    }

    /// Closes a connection for this reason and returns the attempt that it carried; `None` if it
    /// carried none or is already closed.
    pub fn close(
        &mut self,
        number: u32,
        reason: UpstreamCloseReason,
        now: Nanos,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamAttempt> {
        self.discard(number, reason, now, diagnostics)?
            .take_attempt()
    }

    /// Closes all idle connections to a backend.
    pub fn close_idle(&mut self, backend: BackendId, now: Nanos, diagnostics: &mut Diagnostics) {
        for number in self.pool.drain(backend) {
            let reason = UpstreamCloseReason::BackendNotReady;
            self.discard(number, reason, now, diagnostics);
        }
    }

    /// Closes an idle connection to free its descriptor; `None` if no connection is idle, otherwise
    /// whether the chosen one was still open.
    pub fn evict_idle(&mut self, now: Nanos, diagnostics: &mut Diagnostics) -> Option<bool> {
        let number = self.pool.evict()?;
        let evicted = self.discard(number, UpstreamCloseReason::Evicted, now, diagnostics);
        Some(evicted.is_some())
    }

    /// Postpones an attempt that has no connection; see [`PostponedDials::add`].
    pub fn postpone(&mut self, dial: PostponedDial, event_loop: &mut EventLoop) {
        self.postponed.add(dial, event_loop);
    }

    /// Removes and returns all postponed dials, to try them again.
    pub fn take_postponed(&mut self) -> Vec<PostponedDial> {
        self.postponed.take_all()
    }

    /// Removes and returns the postponed attempt of a request, if it has one.
    pub fn remove_postponed(&mut self, request: u32) -> Option<UpstreamAttempt> {
        self.postponed.remove(request)
    }
}
