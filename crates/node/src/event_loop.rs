//! The event loop's own state: `epoll`, the clock reading of the current iteration, the timers, and
//! how fresh the last poll is.
//!
//! One clock reading serves a whole iteration: all its events happen at one time. A poll whose
//! events may be stale is repeated, so that no deadline fires and nothing is sent while an answer,
//! a client's close or a draining backend waits unread, as after a stall of the process.

use std::os::fd::{AsFd, OwnedFd};

use kitefork_balancer::{Nanos, TimerId};
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;

use crate::clock::{Clock, MS, SECOND};
use crate::net::{self, Registration};
use crate::signals::SignalKind;
use crate::timer_wheel::{Deadline, TimerWheel};

/// Longest wait of a poll, in nanoseconds: within this time the loop has seen every socket, which
/// bounds since when a readable socket can have held its bytes.
const MAX_POLL_WAIT: Nanos = 50 * MS;
/// A poll that returns this much later than it wanted, in nanoseconds, shows that the process was
/// stopped meanwhile.
const MAX_WAKE_DELAY: Nanos = 50 * MS;
/// Events of a poll that took longer than this, in nanoseconds, may be stale; polling again costs
/// one system call.
const MAX_EVENT_AGE: Nanos = 20 * MS;
/// Most polls that are repeated in one iteration, for a process that is held up at each.
const MAX_REPEATED_POLLS: u32 = 4;
/// A gap between two polls that only a stopped process has, in nanoseconds.
const STALL_THRESHOLD: Nanos = 250 * MS;
/// What the machine lacks resources for is retried after this, in nanoseconds: soon, but without a
/// busy loop.
pub const MIN_RETRY: Nanos = 2 * MS;

/// Events of a socket that is only read from.
pub const READ: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);
/// Events of a socket that is read from and written to.
pub const READ_WRITE: EventFlags = READ.union(EventFlags::OUT);
/// Events that show that the peer has closed its side, or that the connection has broken.
pub const PEER_CLOSED: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);

/// What a registered descriptor belongs to. `epoll` carries it as 64 bits: the kind in the upper
/// half, the number in its table in the lower half.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token {
    /// The listening socket.
    Listener,
    /// The wake-up pipe of a signal.
    Signal(SignalKind),
    /// A client connection.
    Client(u32),
    /// A connection to a backend.
    Upstream(u32),
    /// A call to discovery.
    Discovery(u32),
}

impl Token {
    /// The form that `epoll` hands back with an event.
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

    /// The token of an event; `None` for data that [`Token::encode`] never makes.
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

/// What is scheduled on the timer wheel. A number names an entry of the table that the variant
/// belongs to; it may have ended by the time the timer fires.
#[derive(Debug, Clone, Copy)]
pub enum TimerEvent {
    /// The time limit of a client connection's present state.
    ClientDeadline(u32),
    /// Read and write a client connection again: its next message has come, or the machine lacked
    /// resources before.
    ResumeClient(u32),
    /// Answer a request that nothing else has answered.
    DeadlineGuard(u32),
    /// The time limit of an upstream connection's present state.
    UpstreamDeadline(u32),
    /// Go on with an upstream connection for which the machine lacked resources.
    ResumeUpstream(u32),
    /// Dial again for the attempts that are postponed.
    RetryPostponedDials,
    /// The time limit of a discovery call.
    DiscoveryDeadline(u32),
    /// Go on with a discovery call for which the machine lacked resources.
    ResumeDiscoveryCall(u32),
    /// Open a watch that could not be opened before.
    RetryDiscoveryWatch,
    /// Make a poll that could not be started before.
    RetryDiscoveryPoll,
    /// A timer of the decision module.
    BalancerTimer(TimerId),
    /// Accept clients again after a pause.
    ResumeAccepting,
    /// Close idle client connections where there are too many.
    TrimClients,
    /// Graceful shutdown: accept no more clients.
    StopAccepting,
    /// Graceful shutdown: answer whatever still waits.
    LastAnswers,
    /// Graceful shutdown: end the process whatever is open.
    ForceClose,
    /// Open a watch again after a backoff, where lists are pushed.
    OpenWatch,
    /// Serve from the cached list although discovery has said nothing yet.
    ServeStaleList,
}

/// The poller, the timers and the time of the current iteration.
pub struct EventLoop {
    clock: Clock,
    epoll: OwnedFd,
    timers: TimerWheel<TimerEvent>,
    now: Nanos,
    /// When the poll before this iteration's found no event on the sockets that have one now.
    previous_poll_at: Nanos,
    /// When this iteration's poll was made.
    last_poll_at: Nanos,
}

impl EventLoop {
    /// An event loop at `now` (a reading of `clock`) with timers of the granularity `tick`, in
    /// nanoseconds.
    ///
    /// # Errors
    ///
    /// If `epoll` can't be created, also after some retries.
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

    /// The node's clock, for a fresh reading.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// When the poll before this iteration's found no event on the sockets that have one now.
    pub fn previous_poll_at(&self) -> Nanos {
        self.previous_poll_at
    }

    /// Whether what this iteration's poll found may be older than `duration` at `clock_now`, a fresh
    /// reading of the clock.
    pub fn has_run_longer_than(&self, clock_now: Nanos, duration: Nanos) -> bool {
        clock_now.saturating_sub(self.now) > duration
    }

    /// Whether the process stood still before this iteration: it can't have acted in time.
    pub fn was_stalled(&self) -> bool {
        self.now > self.previous_poll_at.saturating_add(STALL_THRESHOLD)
    }

    /// Schedules a timer; one in the past fires in the next iteration.
    pub fn schedule(&mut self, at: Nanos, event: TimerEvent) {
        self.timers.schedule(at, event);
    }

    /// Moves a deadline to `at`.
    pub fn set_deadline(&mut self, deadline: &mut Deadline, at: Nanos, event: TimerEvent) {
        deadline.set(at, &mut self.timers, event);
    }

    /// Whether a deadline whose timer has fired is due; one that has moved is scheduled again.
    pub fn is_due(&mut self, deadline: &mut Deadline, event: TimerEvent) -> bool {
        deadline.is_due(self.now, &mut self.timers, event)
    }

    /// Takes the timers that are due now, in order.
    pub fn expire_timers(&mut self) -> Vec<TimerEvent> {
        self.timers.expire(self.now)
    }

    /// Registers a descriptor at the start of the process.
    ///
    /// # Errors
    ///
    /// As `epoll_ctl(2)`, also after some retries.
    pub fn add_at_start(&self, source: impl AsFd, token: Token) -> Result<(), Errno> {
        net::retry_at_start(|| epoll::add(&self.epoll, &source, token.encode(), EventFlags::IN))
    }

    /// Changes the events of a registered descriptor.
    ///
    /// # Errors
    ///
    /// As `epoll_ctl(2)`.
    pub fn modify(
        &self,
        source: impl AsFd,
        token: Token,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        epoll::modify(&self.epoll, source, token.encode(), interest)
    }

    /// Registers the wanted events of a socket, unless they are registered already.
    ///
    /// # Errors
    ///
    /// As [`Registration::set`].
    pub fn register(
        &self,
        registration: &mut Registration,
        socket: &OwnedFd,
        token: Token,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        registration.set(&self.epoll, socket, token.encode(), interest)
    }

    /// Waits until a socket has an event or a timer is due, and starts an iteration. All that is
    /// ready comes in one poll, of at most `capacity` events; a poll that is stale by its end is
    /// repeated.
    ///
    /// # Errors
    ///
    /// As `epoll_wait(2)`, but for an interruption.
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
            // A process that was stopped and continues is interrupted here: much may lie in its
            // sockets, and no deadline may fire before that is read.
            if !self.wait(events, wake_at.saturating_sub(started_at))? {
                continue;
            }
            self.now = self.clock.read();
            // A process that was stopped during its wait may have polled before that.
            let was_stopped = self.now > wake_at.saturating_add(MAX_WAKE_DELAY);
            self.last_poll_at = if was_stopped { started_at } else { self.now };
            // A process that was held up between the wait and the clock reading may have events
            // from before that: others can have come since, and go before these.
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

    /// Waits for events, at most `timeout` nanoseconds; `false` if the wait was interrupted.
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
            .next()
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
