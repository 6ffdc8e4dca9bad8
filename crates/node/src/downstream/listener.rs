//! The listening socket: pausing and resuming accepts, and how long queued clients can have waited.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use crate::clock::MS;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent, Token};
use crate::net;

/// How long accepting is paused, in nanoseconds, when no client can be accepted; also the maximum
/// delay between two retries during a shortage of resources.
pub const ACCEPT_PAUSE: Nanos = 50 * MS;

enum ListenerState {
    /// The socket is registered for events of connecting clients.
    Accepting(OwnedFd),
    /// No events of the socket are registered; clients wait in the kernel's accept queue.
    Paused(OwnedFd),
    /// The socket is closed; no more clients can connect.
    Closed,
}

/// The result of accepting a client.
pub enum AcceptOutcome {
    /// A client connection was accepted.
    Client(OwnedFd),
    /// No client is queued, or clients are not accepted now.
    QueueEmpty,
    /// The queued client has disconnected, or the call was interrupted: accept again.
    ClientDisconnected,
    /// The machine temporarily lacks resources: accept again after a short delay.
    RetryLater(Errno),
    /// The process has no free descriptor, or the call itself is invalid.
    Failed(Errno),
}

/// The listening socket, and what is known about how long clients have waited in its accept queue.
pub struct Listener {
    state: ListenerState,
    /// When the accept queue was last found empty.
    queue_empty_at: Nanos,
    /// Since when the polls have reported every client that connects. [`Nanos::MAX`] after a pause,
    /// or after an iteration that did not empty the queue, until the queue is found empty.
    watched_since: Nanos,
    /// The next delay after a temporary shortage of resources, in nanoseconds.
    retry_delay: Nanos,
}

impl Listener {
    /// A listener whose socket is registered for events at `now`; its accept queue is taken to be
    /// empty until then.
    pub fn new(socket: OwnedFd, now: Nanos) -> Listener {
        Listener {
            state: ListenerState::Accepting(socket),
            queue_empty_at: now,
            watched_since: now,
            retry_delay: MIN_RETRY,
        }
    }

    /// Whether clients are accepted now: accepting is not paused and the socket is not closed.
    pub fn is_accepting(&self) -> bool {
        matches!(self.state, ListenerState::Accepting(_))
    }

    /// Whether accepting is paused; queued clients are accepted later.
    pub fn is_paused(&self) -> bool {
        matches!(self.state, ListenerState::Paused(_))
    }

    /// Whether the socket is closed, so that no more clients can connect.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, ListenerState::Closed)
    }

    /// Closes the listening socket; the connections in its accept queue are reset.
    pub fn close(&mut self) {
        self.state = ListenerState::Closed;
    }

    /// Whether a client waits to be accepted; `false` once the socket is closed.
    ///
    /// # Errors
    ///
    /// Those of poll(2).
    pub fn has_waiting_client(&self) -> Result<bool, Errno> {
        match &self.state {
            ListenerState::Accepting(socket) | ListenerState::Paused(socket) => {
                net::has_pending_connection(socket)
            }
            ListenerState::Closed => Ok(false),
        }
    }

    /// Accepts the next queued client, unless accepting is paused or the socket is closed.
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

    /// Pauses accepting for [`ACCEPT_PAUSE`], when no client can be accepted.
    pub fn pause(&mut self, event_loop: &mut EventLoop) {
        self.set_paused(event_loop);
        let resume_at = event_loop.now() + ACCEPT_PAUSE;
        event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
    }

    /// Pauses accepting after a temporary shortage of resources. The delay starts at [`MIN_RETRY`],
    /// doubles with each call up to [`ACCEPT_PAUSE`], and is reset by an accepted client.
    pub fn retry_later(&mut self, event_loop: &mut EventLoop) {
        self.set_paused(event_loop);
        let resume_at = event_loop.now() + self.retry_delay;
        event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
        self.retry_delay = (self.retry_delay * 2).min(ACCEPT_PAUSE);
    }

    fn set_paused(&mut self, event_loop: &EventLoop) {
        // Clients that are queued on resumption may have waited since the pause began.
        self.watched_since = Nanos::MAX;
        self.state = match std::mem::replace(&mut self.state, ListenerState::Closed) {
            ListenerState::Accepting(socket) | ListenerState::Paused(socket) => {
                // If this fails, events arrive during the pause and are ignored.
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
                // Retried after an error: without events no client would ever be accepted again.
                if registered.is_err() {
                    let resume_at = event_loop.now() + MIN_RETRY;
                    event_loop.schedule(resume_at, TimerEvent::ResumeAccepting);
                }
                ListenerState::Accepting(socket)
            }
            ListenerState::Closed => ListenerState::Closed,
        };
    }

    /// Records that the accept queue was found empty at `now`.
    pub fn note_queue_empty(&mut self, now: Nanos) {
        self.queue_empty_at = now;
        if self.is_accepting() {
            self.watched_since = self.watched_since.min(now);
        }
    }

    /// Records that more clients were queued than one iteration accepts, so that it is unknown how
    /// long the remaining ones have waited.
    pub fn note_queue_not_emptied(&mut self) {
        self.watched_since = Nanos::MAX;
    }

    /// When the accept queue was last known to be empty, in nanoseconds on the node's clock: the
    /// queue was found empty, or the previous poll watched the socket and reported no client.
    pub fn queue_empty_at(&self, previous_poll_at: Nanos) -> Nanos {
        let polled_empty_at = if self.watched_since <= previous_poll_at {
            previous_poll_at
        } else {
            0
        };
        self.queue_empty_at.max(polled_empty_at)
    }
}
