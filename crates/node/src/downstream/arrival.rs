//! Determines the earliest time at which a client's bytes can have arrived. The time limit that a
//! backend gets for a request counts from that time.

use kitefork_balancer::Nanos;

use crate::clock::MS;

/// Longest normal interval between two polls, in nanoseconds: the loop doesn't wait longer, and
/// arriving bytes wake it. Bytes that are read within this time after the socket was empty
/// therefore count as arriving when they are read. The error is within the slack of the time limits
/// that backends get.
const MAX_POLL_GAP: Nanos = 80 * MS;

/// Tracks the earliest time at which the bytes of a connection can have arrived. The kernel doesn't
/// report arrival times, so this is the last time at which the socket was known to be empty. Bytes
/// that arrive while the process is stopped also count from that time. All times are in nanoseconds
/// on the node's clock.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalTracker {
    /// When a read last found the socket empty; before the first such read, the earliest time at
    /// which the connection can have been established.
    empty_at: Nanos,
    /// Since when the socket is registered for readable events; earlier polls don't cover it.
    watched_since: Nanos,
    /// Whether the last read may have left bytes in the socket.
    has_unread: bool,
    /// Earliest arrival time of the first byte in the inbox.
    first_byte_at: Nanos,
}

impl ArrivalTracker {
    /// The tracker of a connection that was accepted at `now` and was not established before
    /// `queued_at`.
    pub fn new(now: Nanos, queued_at: Nanos) -> ArrivalTracker {
        ArrivalTracker {
            empty_at: queued_at,
            watched_since: now,
            has_unread: false,
            first_byte_at: now,
        }
    }

    /// Records that a read at `now` found the socket empty.
    pub fn note_empty(&mut self, now: Nanos) {
        self.empty_at = now;
        self.has_unread = false;
    }

    /// Records that the last read may have left bytes in the socket.
    pub fn note_unread(&mut self) {
        self.has_unread = true;
    }

    /// Records that the socket is registered for readable events since `now`.
    pub fn note_watched(&mut self, now: Nanos) {
        self.watched_since = now;
    }

    /// Earliest arrival time of the first byte in the inbox; before any byte is received, the time
    /// at which the connection was accepted.
    pub fn first_byte_at(&self) -> Nanos {
        self.first_byte_at
    }

    /// Sets the earliest arrival time of the first byte in the inbox, when that byte has changed.
    pub fn set_first_byte_at(&mut self, at: Nanos) {
        self.first_byte_at = at;
    }

    /// Earliest arrival time of bytes that are read at `now`. `previous_poll_at` is the time of the
    /// previous poll; if that poll reported an event for this socket, the event has been handled.
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
