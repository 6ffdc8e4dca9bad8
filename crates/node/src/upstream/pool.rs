//! The pool of idle upstream connections.

use std::collections::BTreeMap;

use kitefork_balancer::{BackendId, Nanos};

use super::reuse_delay::ReuseDelay;
use crate::clock::{MS, SECOND};

/// Longest remaining rest of a connection that an attempt waits for, in nanoseconds.
const MAX_REST_WAIT: Nanos = 20 * MS;
/// A connection that was used within this time, in nanoseconds, is likely to be still alive.
const RECENT_USE_PERIOD: Nanos = SECOND;

/// What the pool has for a request to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleConnection {
    /// The connection with this number may be reused; it has left the pool.
    Reusable(u32),
    /// The most recently used connection may be reused shortly.
    Resting,
    /// No connection is idle, or none may be reused soon.
    None,
}

struct IdleEntry {
    number: u32,
    idle_since: Nanos,
}

/// The idle connections of each backend, the most recently used last.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<BackendId, Vec<IdleEntry>>,
    reuse_delay: ReuseDelay,
}

impl Pool {
    /// Adds a connection that becomes idle at `now`.
    pub fn put(&mut self, backend: BackendId, number: u32, now: Nanos) {
        self.idle.entry(backend).or_default().push(IdleEntry {
            number,
            idle_since: now,
        });
    }

    /// Records at `now` that bytes which belong to no request came on a connection, `lateness`
    /// nanoseconds after its last answer. This may delay the reuse of the connections to all
    /// backends.
    pub fn record_unexpected_bytes(&mut self, lateness: Nanos, now: Nanos) {
        self.reuse_delay.record_unexpected_bytes(lateness, now);
    }

    /// Takes the most recently used connection to a backend that may be reused now. If that one has
    /// been idle for long, waiting for a connection that rests is preferred, as long as the rest
    /// ends by `wait_until`.
    pub fn take(&mut self, backend: BackendId, now: Nanos, wait_until: Nanos) -> IdleConnection {
        let delay = self.reuse_delay.at(now);
        let wait_until = wait_until.min(now.saturating_add(MAX_REST_WAIT));
        let Some(idle) = self.idle.get_mut(&backend) else {
            return IdleConnection::None;
        };
        let reusable_at = |entry: &IdleEntry| entry.idle_since.saturating_add(delay);
        let newest_reusable = idle.iter().rposition(|entry| now >= reusable_at(entry));
        let is_recent = newest_reusable.is_some_and(|position| {
            now <= idle[position].idle_since.saturating_add(RECENT_USE_PERIOD)
        });
        let rests_shortly = idle.last().is_some_and(|newest| {
            let at = reusable_at(newest);
            now < at && at <= wait_until
        });
        match newest_reusable {
            _ if rests_shortly && !is_recent => IdleConnection::Resting,
            Some(position) => IdleConnection::Reusable(idle.remove(position).number),
            None => IdleConnection::None,
        }
    }

    /// Removes a connection from the pool; does nothing if the connection is not idle.
    pub fn remove(&mut self, backend: BackendId, number: u32) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|connection| connection.number != number);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Removes and returns all idle connections to a backend.
    pub fn drain(&mut self, backend: BackendId) -> Vec<u32> {
        self.idle
            .remove(&backend)
            .unwrap_or_default()
            .into_iter()
            .map(|connection| connection.number)
            .collect()
    }

    /// Removes and returns the oldest idle connection to the backend that has the most of them;
    /// `None` if none is idle.
    pub fn evict(&mut self) -> Option<u32> {
        let largest = self.idle.values_mut().max_by_key(|idle| idle.len())?;
        (!largest.is_empty()).then(|| largest.remove(0).number)
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
