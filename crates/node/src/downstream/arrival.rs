//! When a client's bytes can have arrived: the time limit that a backend gets counts from there.

use kitefork_balancer::Nanos;

use crate::clock::MS;

/// A gap between two polls up to this long, in nanoseconds, is the loop's own: it waits no longer,
/// and what arrives wakes it. It is within the slack of the time limits that backends get.
const MAX_POLL_GAP: Nanos = 80 * MS;

/// When the bytes of a connection can have arrived at the earliest. The kernel does not say when
/// they did, so that is the last time at which the socket was seen empty. What arrived while the
/// process stood still counts from there. All times are in nanoseconds on the node's clock.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalTracker {
    /// When the socket was last read empty.
    empty_at: Nanos,
    /// Since when an event is given for what arrives; before that a poll says nothing of this
    /// socket.
    watched_since: Nanos,
    /// More may lie in the socket than was read.
    has_unread: bool,
    /// When the first byte of the inbox can have arrived at the earliest.
    first_byte_at: Nanos,
}

impl ArrivalTracker {
    /// Of a connection that was accepted at `now`, and was established at `queued_at` at the
    /// earliest.
    pub fn new(now: Nanos, queued_at: Nanos) -> ArrivalTracker {
        ArrivalTracker {
            empty_at: queued_at,
            watched_since: now,
            has_unread: false,
            first_byte_at: now,
        }
    }

    /// The socket was read empty.
    pub fn note_empty(&mut self, now: Nanos) {
        self.empty_at = now;
        self.has_unread = false;
    }

    /// More may lie in the socket than was read.
    pub fn note_unread(&mut self) {
        self.has_unread = true;
    }

    /// From now on an event is given for what arrives.
    pub fn note_watched(&mut self, now: Nanos) {
        self.watched_since = now;
    }

    /// When the first byte of the inbox can have arrived at the earliest.
    pub fn first_byte_at(&self) -> Nanos {
        self.first_byte_at
    }

    /// The first byte of the inbox can have arrived at `at` at the earliest.
    pub fn set_first_byte_at(&mut self, at: Nanos) {
        self.first_byte_at = at;
    }

    /// When bytes that are read at `now` can have arrived; `previous_poll_at` is when the loop last
    /// saw all sockets without an event.
    pub fn earliest_arrival(&self, now: Nanos, previous_poll_at: Nanos) -> Nanos {
        let poll_covers_socket = !self.has_unread && previous_poll_at >= self.watched_since;
        let last_empty_at = if poll_covers_socket {
            self.empty_at.max(previous_poll_at)
        } else {
            self.empty_at
        };
        if now.saturating_sub(last_empty_at) > MAX_POLL_GAP {
            last_empty_at
        } else {
            now
        }
    }
}

#[cfg(test)]
#[path = "arrival_tests.rs"]
mod tests;
