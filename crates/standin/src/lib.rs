//! Stand-ins for the peers of a node, on loopback: clients, backends, the discovery service, and
//! the links between them and the node. They follow the platform's published protocol.
//!
//! Backends, discovery and well-behaved clients use an HTTP library that the node does not use, so
//! that a fault of one parser is not hidden by the same fault at the other end. Each stand-in logs
//! what it received and when; times count from the start of the run. The stand-ins do not judge the
//! node: the testbed's referee does, from these logs alone.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod clients;
pub mod discovery;
pub mod link;
pub mod misbehaving;
pub mod random;
pub mod request_body;

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Locks a mutex; blocks the thread until the mutex is free.
///
/// # Panics
///
/// If another thread panicked while it held the lock.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panicked while it held the lock")
}

/// The clock of a run; the times in all logs of the run count from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that counts from now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the clock started.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Converts a time since the start into an instant of the Tokio runtime.
    pub fn instant_at(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + time)
    }
}
