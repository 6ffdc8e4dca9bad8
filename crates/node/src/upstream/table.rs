//! The table of upstream connections, with the pool of idle ones and the dials that are postponed.

use std::net::SocketAddr;

use kitefork_balancer::{BackendId, Nanos, Outcome};
use rustix::io::Errno;

use super::attempt::{AttemptLimits, PostponedDial, UpstreamAttempt};
use super::connection::{Answer, Progress, Reuse, UpstreamConnection, UpstreamState};
use super::pool::Pool;
use crate::diagnostics::Diagnostics;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent};
use crate::net;
use crate::ring_buffer::BufferBudget;
use crate::slab::Slab;

/// Why a connection to a backend could not be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialError {
    /// The backend can't be reached or is not ready.
    Endpoint,
    /// This machine or process lacks resources for a moment.
    Local,
}

/// What follows from a step of a connection.
pub enum UpstreamEvent {
    /// It is established: the request is to be begun.
    Connected,
    /// The attempt has its answer.
    Answered(Answer),
    /// The attempt has failed, and the connection is to be closed.
    Failed(Outcome),
}

/// All upstream connections.
pub struct UpstreamConnections {
    table: Slab<UpstreamConnection>,
    pool: Pool,
    postponed: Vec<PostponedDial>,
    connect_timeout: Nanos,
    idle_timeout: Nanos,
}

impl UpstreamConnections {
    /// A table for `max` connections at a time. A connection must be established within
    /// `connect_timeout`; the backends' machines close idle ones after `idle_limit` (both in
    /// nanoseconds).
    pub fn new(max: usize, connect_timeout: Nanos, idle_limit: Nanos) -> UpstreamConnections {
        UpstreamConnections {
            table: Slab::new(max),
            pool: Pool::default(),
            postponed: Vec::new(),
            connect_timeout,
            // Clearly before the backend's machine would close it: what crosses that close is a
            // reset.
            idle_timeout: idle_limit / 4 * 3,
        }
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// A connection by its number.
    pub fn get(&self, number: u32) -> Option<&UpstreamConnection> {
        self.table.get(number)
    }

    /// A connection by its number.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut UpstreamConnection> {
        self.table.get_mut(number)
    }

    fn find(&self, is_wanted: impl Fn(&UpstreamConnection) -> bool) -> Option<u32> {
        self.table
            .iter()
            .find(|(_, connection)| is_wanted(connection))
            .map(|(number, _)| number)
    }

    /// The connection that carries this attempt.
    pub fn find_attempt(&self, attempt: UpstreamAttempt) -> Option<u32> {
        self.find(|connection| connection.attempt() == Some(attempt))
    }

    /// The connection that carries an attempt of this request which is not written completely.
    pub fn find_unwritten(&self, request: u32) -> Option<u32> {
        self.find(|connection| connection.is_unwritten_attempt_of(request))
    }

    /// Whether the attempt of a request that is in flight, if one is, has not been written
    /// completely and so was not executed.
    pub fn has_unwritten(&self, request: u32) -> bool {
        self.find_postponed(request).is_some() || self.find_unwritten(request).is_some()
    }

    /// The connections to a backend that are not established yet.
    pub fn connecting_to(&self, backend: BackendId) -> Vec<u32> {
        self.table
            .iter()
            .filter(|(_, connection)| connection.backend() == backend)
            .filter(|(_, connection)| connection.state() == UpstreamState::Connecting)
            .map(|(number, _)| number)
            .collect()
    }

    /// The newest idle connection to a backend that can be used again.
    pub fn take_idle(&mut self, backend: BackendId, now: Nanos) -> Option<u32> {
        while let Some(number) = self.pool.take(backend, now) {
            let Some(connection) = self.table.get_mut(number) else {
                continue;
            };
            let reuse = connection.check_reuse();
            self.pool.record_reuse(reuse, now);
            if reuse == Reuse::Yes && connection.leave_pool(now) {
                return Some(number);
            }
            self.table.remove(number);
        }
        None
    }

    /// Starts a new connection to a backend.
    ///
    /// # Errors
    ///
    /// Whether the backend or this machine is in the way.
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

    /// When a connection that is started now for an attempt of these limits must be established.
    pub fn connect_by(&self, limits: AttemptLimits, now: Nanos) -> Nanos {
        limits
            .write_deadline()
            .min(now.saturating_add(self.connect_timeout))
    }

    /// Gives a connection an attempt.
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

    /// Holds an attempt back, once, until discovery has been read; whether it is held back.
    pub fn delay_for_discovery(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        let Some(connection) = self.table.get_mut(number) else {
            return false;
        };
        if !connection.begin_discovery_wait() {
            return false;
        }
        // It is established, so the time for that no longer counts.
        let deadline = connection.limits().write_deadline();
        connection.set_deadline(deadline, number, event_loop);
        connection.pause(number, event_loop);
        true
    }

    /// Moves a connection on as far as its socket lets it; `None` if nothing follows now.
    pub fn advance(
        &mut self,
        number: u32,
        is_ready: bool,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Option<UpstreamEvent> {
        let connection = self.table.get_mut(number)?;
        if connection.is_overdue(event_loop.now()) {
            return Some(UpstreamEvent::Failed(Outcome::ConnectFailed));
        }
        let previous_state = connection.state();
        match connection.advance(is_ready) {
            Progress::Connected => Some(UpstreamEvent::Connected),
            Progress::Answered(answer) => Some(UpstreamEvent::Answered(answer)),
            Progress::Failed(outcome) => Some(UpstreamEvent::Failed(outcome)),
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
                self.pool.record_reuse(reuse, event_loop.now());
                self.pool.remove(backend, number);
                self.table.remove(number);
                None
            }
        }
    }

    /// Has the events given for a connection that its state needs; a little later where that fails
    /// now.
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
            return Some(UpstreamEvent::Failed(outcome));
        }
        event_loop.schedule(now + MIN_RETRY, TimerEvent::ResumeUpstream(number));
        None
    }

    /// Ends the attempt of a connection that was answered, and puts the connection in the pool if
    /// it can be used again: the connections of a backend that is not ready get closed.
    pub fn release(
        &mut self,
        number: u32,
        reuse: Reuse,
        is_backend_ready: bool,
        event_loop: &mut EventLoop,
    ) -> Option<UpstreamAttempt> {
        let now = event_loop.now();
        let connection = self.table.get_mut(number)?;
        let attempt = connection.take_attempt();
        self.pool.record_reuse(reuse, now);
        if reuse == Reuse::Yes && is_backend_ready {
            let reusable_until = now.saturating_add(self.idle_timeout);
            connection.set_idle(reusable_until);
            connection.set_deadline(reusable_until, number, event_loop);
            self.pool.put(connection.backend(), number, now);
        } else {
            self.table.remove(number);
        }
        attempt
    }

    /// The time limit of a connection may be over, now that its timer has fired: closes an idle
    /// one, gives the outcome of an attempt that is to be ended.
    pub fn expire(&mut self, number: u32, event_loop: &mut EventLoop) -> Option<Outcome> {
        let connection = self.table.get_mut(number)?;
        if !connection.is_due(number, event_loop) {
            return None;
        }
        if connection.state() == UpstreamState::Idle {
            let backend = connection.backend();
            self.pool.remove(backend, number);
            self.table.remove(number);
            return None;
        }
        Some(connection.outcome_if_closed(Outcome::Timeout))
    }

    /// Closes a connection; gives the attempt that it carried.
    pub fn close(&mut self, number: u32) -> Option<UpstreamAttempt> {
        self.table.remove(number)?.take_attempt()
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&mut self, backend: BackendId) {
        for number in self.pool.drain(backend) {
            self.table.remove(number);
        }
    }

    /// Closes an idle connection whose descriptor is needed; `None` if there is none, otherwise
    /// whether it was still open.
    pub fn evict_idle(&mut self) -> Option<bool> {
        let number = self.pool.evict()?;
        Some(self.table.remove(number).is_some())
    }

    /// Postpones an attempt whose connection this machine can't start now.
    pub fn postpone(&mut self, dial: PostponedDial, event_loop: &mut EventLoop) {
        if self.postponed.is_empty() {
            let at = event_loop.now() + MIN_RETRY;
            event_loop.schedule(at, TimerEvent::RetryPostponedDials);
        }
        self.postponed.push(dial);
    }

    /// Takes all postponed dials, to try them again.
    pub fn take_postponed(&mut self) -> Vec<PostponedDial> {
        std::mem::take(&mut self.postponed)
    }

    fn find_postponed(&self, request: u32) -> Option<usize> {
        self.postponed
            .iter()
            .position(|dial| dial.attempt.request() == Some(request))
    }

    /// Takes the postponed attempt of a request, if it has one.
    pub fn remove_postponed(&mut self, request: u32) -> Option<UpstreamAttempt> {
        let position = self.find_postponed(request)?;
        Some(self.postponed.remove(position).attempt)
    }
}
