//! State of the event loop: `epoll`, the timers, the clock reading of the current iteration, and
//! the times of the last polls.
//!
//! One clock reading serves a whole iteration, so all its events happen at the same time. A poll
//! whose events may be stale is repeated, so that after a stall of the process no deadline fires
//! and nothing is sent while an answer, a client's close or an update about a draining backend is
//! unread.

use std::os::fd::{AsFd, OwnedFd};

use kitefork_balancer::{Nanos, TimerId};
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;

use crate::clock::{Clock, MS, SECOND};
use crate::net::{self, Registration};
use crate::signals::SignalKind;
use crate::timer_wheel::{Deadline, TimerWheel};

/// Maximum wait of a poll, in nanoseconds. The loop checks every socket at least this often, which
/// bounds how long a readable socket can have had unread bytes.
const MAX_POLL_WAIT: Nanos = 50 * MS;
/// A poll that returns more than this after its intended wake-up time, in nanoseconds, shows that
/// the process was stopped meanwhile.
const MAX_WAKE_DELAY: Nanos = 50 * MS;
/// Events of a poll that took longer than this, in nanoseconds, may be stale, so the poll is
/// repeated, which costs one system call.
const MAX_EVENT_AGE: Nanos = 20 * MS;
/// Maximum number of repeated polls in one iteration, so that a process that is delayed in every
/// poll still handles events.
const MAX_REPEATED_POLLS: u32 = 4;
/// A gap between two polls that is longer than this, in nanoseconds, shows that the process was
/// stopped.
const STALL_THRESHOLD: Nanos = 250 * MS;
/// Delay before an operation is retried that is not possible now, for example because the machine
/// lacks resources, in nanoseconds: short, but long enough to avoid a busy loop.
pub const MIN_RETRY: Nanos = 2 * MS;

/// Events of a socket that is only read from.
pub const READ: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);
/// Events of a socket that is read from and written to.
pub const READ_WRITE: EventFlags = READ.union(EventFlags::OUT);
/// Events that show that the peer has closed its side, or that the connection has broken.
pub const PEER_CLOSED: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);

/// Identifies the owner of a registered descriptor. `epoll` carries it as 64 bits: the kind in the
/// upper half, the owner's number in its table in the lower half.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token {
    /// The listening socket.
    Listener,
    /// The wake-up socket of a signal, see [`crate::signals::Signal::wake_up`].
    Signal(SignalKind),
    /// A client connection.
    Client(u32),
    /// A connection to a backend.
    Upstream(u32),
    /// A call to the discovery service.
    Discovery(u32),
}

impl Token {
    /// Encodes the token as the data that `epoll` returns with an event.
    pub fn encode(self) -> EventData {
        let (kind, number) = match self {
            Token::Listener => (0, 0),
            Token::Signal(SignalKind::Terminate) => (1, 0),
            Token::Signal(SignalKind::Reload) => (1, 1),
            Token::Client(number) => (2, number),
            Token::Upstream(number) => (3, number),
            Token::Discovery(number) => (4, number),
        };
        EventData::new_u64(kind << 32 | u64::from(number))
    }

    /// Decodes the token of an event; `None` for data that [`Token::encode`] never produces.
    pub fn decode(data: EventData) -> Option<Token> {
        let number = data.u64() as u32;
        match (data.u64() >> 32, number) {
            (0, _) => Some(Token::Listener),
            (1, 0) => Some(Token::Signal(SignalKind::Terminate)),
            (1, 1) => Some(Token::Signal(SignalKind::Reload)),
            (2, _) => Some(Token::Client(number)),
            (3, _) => Some(Token::Upstream(number)),
            (4, _) => Some(Token::Discovery(number)),
            _ => None,
        }
    }
}

/// An event that is scheduled on the timer wheel. The number in a variant identifies a client
/// connection, a request, an upstream connection or a discovery call in its table, from which it
/// may have been removed by the time the timer fires.
#[derive(Debug, Clone, Copy)]
pub enum TimerEvent {
    /// The deadline of a client connection's current state has passed.
    ClientDeadline(u32),
    /// Read and write a client connection again: its next message has already arrived, or the
    /// machine lacked resources before.
    ResumeClient(u32),
    /// Answer a request that nothing else has answered.
    DeadlineGuard(u32),
    /// The deadline of an upstream connection's current state has passed.
    UpstreamDeadline(u32),
    /// Continue with an upstream connection that was paused because the machine lacked resources or
    /// updates of the endpoint list had to be read first.
    ResumeUpstream(u32),
    /// Connect again for the attempts that are postponed.
    RetryPostponedDials,
    /// The deadline of a discovery call has passed.
    DiscoveryDeadline(u32),
    /// Continue with a discovery call for which the machine lacked resources.
    ResumeDiscoveryCall(u32),
    /// Open a watch that could not be opened before.
    RetryDiscoveryWatch,
    /// Open another watch if none of the open ones is answered.
    HedgeWatch,
    /// Start a poll that could not be started before.
    RetryDiscoveryPoll,
    /// A timer of the decision module has fired.
    BalancerTimer(TimerId),
    /// Accept clients again after a pause.
    ResumeAccepting,
    /// Close expendable client connections if too many connected clients have sent a request.
    TrimClients,
    /// Graceful shutdown: accept no more clients.
    StopAccepting,
    /// Graceful shutdown: answer all requests that are still pending.
    LastAnswers,
    /// Graceful shutdown: end the process regardless of open connections.
    ForceClose,
    /// Reopen the watch after a backoff, in deployments that push endpoint lists.
    OpenWatch,
    /// Serve from the cached list although discovery has sent nothing yet.
    ServeStaleList,
}

/// The poller, the timers and the clock reading of the current iteration.
pub struct EventLoop {
    clock: Clock,
    epoll: OwnedFd,
    timers: TimerWheel<TimerEvent>,
    now: Nanos,
    /// When the previous poll was made, in nanoseconds on the node's clock. Its events have been
    /// handled, so bytes that are reported now arrived later, unless some were left unread.
    previous_poll_at: Nanos,
    /// When the poll of this iteration was made, in nanoseconds on the node's clock.
    last_poll_at: Nanos,
}

impl EventLoop {
    /// Creates an event loop at `now` (a reading of `clock`) with timers of granularity `tick`, in
    /// nanoseconds.
    ///
    /// # Errors
    ///
    /// If `epoll` can't be created, even after several retries.
    pub fn new(clock: Clock, now: Nanos, tick: Nanos) -> Result<EventLoop, Errno> {
        let epoll = net::retry_at_start(|| epoll::create(epoll::CreateFlags::CLOEXEC))?;
        Ok(EventLoop {
            clock,
            epoll,
            timers: TimerWheel::new(tick, now),
            now,
            previous_poll_at: now,
            last_poll_at: now,
        })
    }

    /// The time of the current iteration, in nanoseconds on the node's clock.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// The node's clock, for a fresh reading within an iteration.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// When the previous poll was made, in nanoseconds on the node's clock. Its events have been
    /// handled, so bytes that are reported now arrived later, unless some were left unread.
    pub fn previous_poll_at(&self) -> Nanos {
        self.previous_poll_at
    }

    /// Whether the iteration has lasted longer than `duration` at `clock_now`, a fresh reading of
    /// the clock, so that the result of its poll may be that old.
    pub fn has_run_longer_than(&self, clock_now: Nanos, duration: Nanos) -> bool {
        clock_now.saturating_sub(self.now) > duration
    }

    /// Whether the process was stopped for long before this iteration, so that it can't have acted
    /// in time.
    pub fn was_stalled(&self) -> bool {
        self.now > self.previous_poll_at.saturating_add(STALL_THRESHOLD)
    }

    /// Schedules `event` for the time `at`, in nanoseconds on the node's clock; if that time has
    /// passed, the timer fires at the next tick.
    pub fn schedule(&mut self, at: Nanos, event: TimerEvent) {
        self.timers.schedule(at, event);
    }

    /// Moves a deadline to `at`, when `event` fires; see [`Deadline::set`].
    pub fn set_deadline(&mut self, deadline: &mut Deadline, at: Nanos, event: TimerEvent) {
        deadline.set(at, &mut self.timers, event);
    }

    /// Whether a deadline whose timer has fired is due. If the deadline has been moved, schedules
    /// its timer again.
    pub fn is_due(&mut self, deadline: &mut Deadline, event: TimerEvent) -> bool {
        deadline.is_due(self.now, &mut self.timers, event)
    }

    /// Removes and returns the timers that are due, in the order of their ticks.
    pub fn expire_timers(&mut self) -> Vec<TimerEvent> {
        self.timers.expire(self.now)
    }

    /// Registers a descriptor for read events, at the start of the process.
    ///
    /// # Errors
    ///
    /// Those of `epoll_ctl(2)`, after several retries.
    pub fn add_at_start(&self, source: impl AsFd, token: Token) -> Result<(), Errno> {
        net::retry_at_start(|| epoll::add(&self.epoll, &source, token.encode(), EventFlags::IN))
    }

    /// Changes the events for which a registered descriptor is polled.
    ///
    /// # Errors
    ///
    /// Those of `epoll_ctl(2)`.
    pub fn modify(
        &self,
        source: impl AsFd,
        token: Token,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        epoll::modify(&self.epoll, source, token.encode(), interest)
    }

    /// Registers a socket for the events `interest`, unless exactly these are registered already.
    ///
    /// # Errors
    ///
    /// Those of [`Registration::set`].
    pub fn register(
        &self,
        registration: &mut Registration,
        socket: &OwnedFd,
        token: Token,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        registration.set(&self.epoll, socket, token.encode(), interest)
    }

    /// Waits until a socket has an event or a timer is due, and starts an iteration. One poll
    /// returns everything that is ready, if that is no more than `capacity` events. A poll whose
    /// events may be stale when it returns is repeated, at most [`MAX_REPEATED_POLLS`] times.
    ///
    /// # Errors
    ///
    /// Those of `epoll_wait(2)`, except for an interruption, which is retried.
    pub fn poll(&mut self, events: &mut Vec<epoll::Event>, capacity: usize) -> Result<(), Errno> {
        self.previous_poll_at = self.last_poll_at;
        let mut repeated_polls = 0;
        loop {
            let started_at = self.clock.read();
            let max_wait = match repeated_polls {
                0 => MAX_POLL_WAIT,
                _ => 0,
            };
            let wake_at = self.wake_at(started_at, max_wait);
            events.clear();
            events.reserve(capacity);
            // The wait of a stopped process is interrupted when the process continues. Its sockets
            // may have much unread data, and no deadline may fire before this data is read, so the
            // wait is repeated.
            if !self.wait(events, wake_at.saturating_sub(started_at))? {
                continue;
            }
            self.now = self.clock.read();
            // If the process was stopped during its wait, the poll may have been made before the
            // stop.
            let was_stopped = self.now > wake_at.saturating_add(MAX_WAKE_DELAY);
            self.last_poll_at = if was_stopped { started_at } else { self.now };
            // If the process was delayed between the wait and the clock reading, the events may
            // date from before the delay. Other events may have arrived since then, and some of
            // those must be handled first.
            let is_stale =
                !events.is_empty() && self.now > started_at.saturating_add(MAX_EVENT_AGE);
            if !(was_stopped || is_stale) || repeated_polls == MAX_REPEATED_POLLS {
                return Ok(());
            }
            repeated_polls += 1;
            if events.is_empty() {
                self.previous_poll_at = started_at;
            }
        }
    }

    /// Waits for events, at most `timeout` nanoseconds; returns `false` if the wait was
    /// interrupted.
    fn wait(&self, events: &mut Vec<epoll::Event>, timeout: Nanos) -> Result<bool, Errno> {
        let buffer = rustix::buffer::spare_capacity(events);
        match epoll::wait(&self.epoll, buffer, Some(&timespec(timeout))) {
            Ok(_) => Ok(true),
            Err(Errno::INTR) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn wake_at(&self, started_at: Nanos, max_wait: Nanos) -> Nanos {
        self.timers
            .next_tick_at()
            .unwrap_or(Nanos::MAX)
            .min(started_at.saturating_add(max_wait))
    }
}

fn timespec(nanos: Nanos) -> Timespec {
    Timespec {
        tv_sec: (nanos / SECOND) as i64,
        tv_nsec: (nanos % SECOND) as i64,
    }
}

#[cfg(test)]
#[path = "event_loop_tests.rs"]
mod tests;
