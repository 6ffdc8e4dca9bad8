//! The pool of idle upstream connections.

use std::collections::BTreeMap;

use kitefork_balancer::{BackendId, Nanos};

use super::connection::Reuse;
use crate::clock::{MS, SECOND};

/// Once some backend has sent more than was requested, connections are suspect for this long, in
/// nanoseconds ...
const DELAYED_REUSE_PERIOD: Nanos = 60 * SECOND;
/// ... and a connection carries no other request for this long after an answer, in nanoseconds: a
/// second answer that comes some milliseconds late would be taken for the next request's. Not
/// always, as it costs connections.
const REUSE_DELAY: Nanos = 10 * MS;

struct IdleConnection {
    number: u32,
    idle_since: Nanos,
}

/// The idle connections of each backend, by their numbers, the newest last.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<BackendId, Vec<IdleConnection>>,
    delay_reuse_until: Nanos,
}

impl Pool {
    /// Adds a connection that is idle from now on.
    pub fn put(&mut self, backend: BackendId, number: u32, now: Nanos) {
        self.idle.entry(backend).or_default().push(IdleConnection {
            number,
            idle_since: now,
        });
    }

    /// Takes note of what a connection has shown of its backend.
    pub fn record_reuse(&mut self, reuse: Reuse, now: Nanos) {
        if reuse == Reuse::UnexpectedBytes {
            self.delay_reuse_until = now.saturating_add(DELAYED_REUSE_PERIOD);
        }
    }

    /// Takes the newest connection to a backend that may be used: the older ones get to age out.
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

    /// Removes a connection, if it is idle.
    pub fn remove(&mut self, backend: BackendId, number: u32) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|connection| connection.number != number);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Takes all idle connections to a backend.
    pub fn drain(&mut self, backend: BackendId) -> Vec<u32> {
        self.idle
            .remove(&backend)
            .unwrap_or_default()
            .into_iter()
            .map(|connection| connection.number)
            .collect()
    }

    /// Takes some idle connection: the oldest to the backend with the most.
    pub fn evict(&mut self) -> Option<u32> {
        let largest = self.idle.values_mut().max_by_key(|idle| idle.len())?;
        (!largest.is_empty()).then(|| largest.remove(0).number)
    }
}
