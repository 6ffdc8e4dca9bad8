//! When a client's bytes can have come: what the time told to backends is reckoned from.

use kitefork_balancer::Nanos;

use crate::clock::MS;

/// When bytes of a session can have come at the earliest. The kernel does not say when they came,
/// so that is the last time at which its socket was seen empty. What came while the process stood
/// still counts from there.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When the socket was last read empty.
    pub emptied: Nanos,
    /// Since when an event is given for what comes; before that an empty look says nothing of this
    /// socket.
    pub watched: Nanos,
    /// More may lie in the socket than was read.
    pub unread: bool,
    /// When the first byte of the inbox can have come at the earliest.
    pub oldest: Nanos,
}

/// A gap between two looks up to this long is the loop's own: it waits no longer, and what comes
/// wakes it. It is within the slack of the time told to backends.
const MAX_POLL_GAP: Nanos = 80 * MS;

impl Arrival {
    /// Of a connection that was accepted at `now`, and at `queued` at the earliest had come to be.
    pub fn new(now: Nanos, queued: Nanos) -> Arrival {
        Arrival {
            emptied: queued,
            watched: now,
            unread: false,
            oldest: now,
        }
    }

    /// The socket was read empty.
    pub fn emptied(&mut self, now: Nanos) {
        (self.emptied, self.unread) = (now, false);
    }

    /// When bytes that are read at `now` can have come; `looked` is when the loop last saw all
    /// sockets without an event.
    pub fn earliest_arrival(&self, now: Nanos, previous_poll_at: Nanos) -> Nanos {
        let seen_by_loop = !self.unread && previous_poll_at >= self.watched;
        let empty = if seen_by_loop {
            self.emptied.max(previous_poll_at)
        } else {
            self.emptied
        };
        if now.saturating_sub(empty) > MAX_POLL_GAP {
            empty
        } else {
            now
        }
    }
}

#[cfg(test)]
#[path = "arrival_tests.rs"]
mod tests;
