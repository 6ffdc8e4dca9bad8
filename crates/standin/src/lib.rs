//! Stand-ins for what the node meets, by the platform's published protocol, on loopback: clients,
//! backends, discovery, and the links to them.
//!
//! They are written on an independent HTTP library, so that two different parsers meet. Each keeps
//! an exact log of what reached it and when; times count from the start of the run. Nothing here
//! decides whether the node did well: that is the testbed's referee, on the logs alone.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod clients;
pub mod discovery;
pub mod link;
pub mod misbehaving;
pub mod random;

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Locks a mutex.
///
/// # Panics
///
/// If another thread has panicked with the lock: that ends the run.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a part of the testbed has panicked")
}

/// The clock that all logs of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// That time on the runtime's clock.
    pub fn at(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + time)
    }
}
