//! The pool of idle upstream connections.

use std::collections::BTreeMap;

use kitefork_balancer::{BackendId, Nanos};

use super::connection::Reuse;
use crate::clock::{MS, SECOND};

/// For this long after any backend has sent unexpected bytes, in nanoseconds, connections to all
/// backends are reused only after [`REUSE_DELAY`].
const DELAYED_REUSE_PERIOD: Nanos = 60 * SECOND;
/// Minimum time between an answer and the next request on the same connection, in nanoseconds: a
/// second answer that arrives some milliseconds late would be taken for the answer to the next
/// request. The delay applies only during [`DELAYED_REUSE_PERIOD`], as it costs additional
/// connections.
const REUSE_DELAY: Nanos = 10 * MS;

struct IdleConnection {
    number: u32,
    idle_since: Nanos,
}

/// The idle connections of each backend, the most recently used last.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<BackendId, Vec<IdleConnection>>,
    delay_reuse_until: Nanos,
}

impl Pool {
    /// Adds a connection that becomes idle at `now`.
    pub fn put(&mut self, backend: BackendId, number: u32, now: Nanos) {
        self.idle.entry(backend).or_default().push(IdleConnection {
            number,
            idle_since: now,
        });
    }

    /// Records whether a connection could be reused. Unexpected bytes delay the reuse of the
    /// connections to all backends, for [`DELAYED_REUSE_PERIOD`].
    pub fn record_reuse(&mut self, reuse: Reuse, now: Nanos) {
        if reuse == Reuse::UnexpectedBytes {
            self.delay_reuse_until = now.saturating_add(DELAYED_REUSE_PERIOD);
        }
    }

    /// Removes and returns the most recently used connection to a backend that may be reused now;
    /// `None` if there is none. The older connections stay idle until their timeout closes them.
    pub fn take(&mut self, backend: BackendId, now: Nanos) -> Option<u32> {
        let delay = if now < self.delay_reuse_until {
            REUSE_DELAY
        } else {
            0
        };
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
