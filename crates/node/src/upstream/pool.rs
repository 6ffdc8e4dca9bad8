//! The pool of idle upstream connections.

use std::collections::BTreeMap;

use kitefork_balancer::{BackendId, Nanos};

use super::reuse_delay::ReuseDelay;

struct IdleConnection {
    number: u32,
    idle_since: Nanos,
}

/// The idle connections of each backend, the most recently used last.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<BackendId, Vec<IdleConnection>>,
    reuse_delay: ReuseDelay,
}

impl Pool {
    /// Adds a connection that becomes idle at `now`.
    pub fn put(&mut self, backend: BackendId, number: u32, now: Nanos) {
        self.idle.entry(backend).or_default().push(IdleConnection {
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

    /// Removes and returns the most recently used connection to a backend that may be reused now;
    /// `None` if there is none. The older connections stay idle until their timeout closes them.
    pub fn take(&mut self, backend: BackendId, now: Nanos) -> Option<u32> {
        let delay = self.reuse_delay.at(now);
        let idle = self.idle.get_mut(&backend)?;
        let position = idle
            .iter()
            .rposition(|connection| now >= connection.idle_since.saturating_add(delay))?;
        Some(idle.remove(position).number)
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
