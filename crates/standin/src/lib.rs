//! Stand-ins for the parties that the node meets, by the platform's published protocol, on
//! loopback.
//!
//! They are written on an independent HTTP library, so that two different parsers meet. Each keeps
//! an exact ledger of what reached it and when; times count from the world's start. Nothing here
//! decides whether the node did well: that is the referee's, on the ledgers alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod clients;
pub mod discovery;
pub mod link;
pub mod misbehaving;

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A lock is poisoned only by a panic, and that ends the run.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a part of the rig has panicked")
}

/// The clock that all ledgers of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// That time as the runtime's clock has it.
    pub fn at(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + time)
    }
}
