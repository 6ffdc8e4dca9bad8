//! The listening socket: pauses of accepting, and how long waiting clients can have waited.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use crate::clock::MS;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent, Token};
use crate::net;

/// Accepting is paused for this long, in nanoseconds, where clients can't be accepted.
pub const ACCEPT_PAUSE: Nanos = 50 * MS;

enum ListenerState {
    /// Events are given for clients that connect.
    Accepting(OwnedFd),
    /// Clients wait in the kernel's queue.
    Paused(OwnedFd),
    /// No more clients can connect.
    Closed,
}

/// What an accept came to.
pub enum AcceptOutcome {
    /// A client has connected.
    Client(OwnedFd),
    /// Nobody waits.
    QueueEmpty,
    /// The client that waited has gone.
    ClientDisconnected,
    /// The machine lacks resources for a moment.
    RetryLater(Errno),
    /// The process is out of descriptors, or the call itself is wrong.
    Failed(Errno),
}

/// The listening socket.
pub struct Listener {
    state: ListenerState,
    /// When the accept queue was last read empty.
    queue_empty_at: Nanos,
    /// Since when an event is given for a client that connects.
    watched_since: Nanos,
    /// The next pause after a shortage of resources.
    retry_delay: Nanos,
}

impl Listener {
    /// A listener whose socket is registered and accepting at `now`.
    pub fn new(socket: OwnedFd, now: Nanos) -> Listener {
        Listener {
            state: ListenerState::Accepting(socket),
            queue_empty_at: now,
            watched_since: now,
            retry_delay: MIN_RETRY,
        }
    }

    /// Whether clients are accepted now.
    pub fn is_accepting(&self) -> bool {
        matches!(self.state, ListenerState::Accepting(_))
    }

    /// Whether clients may wait that are accepted later.
    pub fn is_paused(&self) -> bool {
        matches!(self.state, ListenerState::Paused(_))
    }

    /// Whether no more clients can connect.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, ListenerState::Closed)
    }

    /// Closes the listening socket: clients in its queue are reset.
    pub fn close(&mut self) {
        self.state = ListenerState::Closed;
    }

    /// Whether a client waits to be accepted.
    ///
    /// # Errors
    ///
    /// As `poll(2)`.
    pub fn has_waiting_client(&self) -> Result<bool, Errno> {
        match &self.state {
            ListenerState::Accepting(socket) | ListenerState::Paused(socket) => {
                net::has_client(socket)
            }
            ListenerState::Closed => Ok(false),
        }
    }

    /// Accepts the next client.
    pub fn accept(&mut self) -> AcceptOutcome {
        let ListenerState::Accepting(socket) = &self.state else {
            return AcceptOutcome::QueueEmpty;
        };
        match net::accept(socket) {
            Ok(client) => {
                self.retry_delay = MIN_RETRY;
                AcceptOutcome::Client(client)
            }
            Err(error) => match errno::of_accept(error) {
                ErrorClass::WouldBlock => AcceptOutcome::QueueEmpty,
                ErrorClass::RetryNow => AcceptOutcome::ClientDisconnected,
                ErrorClass::RetryLater => AcceptOutcome::RetryLater(error),
                _ => AcceptOutcome::Failed(error),
            },
        }
    }

    /// Pauses accepting where clients can't be accepted.
    pub fn pause(&mut self, event_loop: &mut EventLoop) {
        self.set_paused(event_loop);
        let resume_at = event_loop.now() + ACCEPT_PAUSE;
        event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
    }

    /// Pauses accepting where the machine lacks resources, and clients wait: shortly at first, then
    /// for ever longer.
    pub fn retry_later(&mut self, event_loop: &mut EventLoop) {
        self.set_paused(event_loop);
        let resume_at = event_loop.now() + self.retry_delay;
        event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
        self.retry_delay = (self.retry_delay * 2).min(ACCEPT_PAUSE);
    }

    fn set_paused(&mut self, event_loop: &EventLoop) {
        // What waits when accepting begins again may have waited all the while.
        self.watched_since = Nanos::MAX;
        self.state = match std::mem::replace(&mut self.state, ListenerState::Closed) {
            ListenerState::Accepting(socket) | ListenerState::Paused(socket) => {
                // Where this fails, events come early and find the pause.
                let _ = event_loop.modify(&socket, Token::Listener, EventFlags::empty());
                ListenerState::Paused(socket)
            }
            ListenerState::Closed => ListenerState::Closed,
        };
    }

    /// Accepts clients again, unless the socket is closed.
    pub fn resume(&mut self, event_loop: &mut EventLoop) {
        self.watched_since = Nanos::MAX;
        self.state = match std::mem::replace(&mut self.state, ListenerState::Closed) {
            ListenerState::Accepting(socket) | ListenerState::Paused(socket) => {
                let registered = event_loop.modify(&socket, Token::Listener, EventFlags::IN);
                // Without its events no client would ever be accepted again.
                if registered.is_err() {
                    let resume_at = event_loop.now() + MIN_RETRY;
                    event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
                }
                ListenerState::Accepting(socket)
            }
            ListenerState::Closed => ListenerState::Closed,
        };
    }

    /// The accept queue was found empty.
    pub fn note_queue_empty(&mut self, now: Nanos) {
        self.queue_empty_at = now;
        if self.is_accepting() {
            self.watched_since = self.watched_since.min(now);
        }
    }

    /// More clients wait than one iteration accepts: how long they have is not known any more.
    pub fn note_queue_not_emptied(&mut self) {
        self.watched_since = Nanos::MAX;
    }

    /// When the accept queue was last known empty: read so, or by a poll of the loop while it was
    /// watched.
    pub fn queue_empty_at(&self, previous_poll_at: Nanos) -> Nanos {
        let polled_empty_at = if self.watched_since <= previous_poll_at {
            previous_poll_at
        } else {
            0
        };
        self.queue_empty_at.max(polled_empty_at)
    }
}
