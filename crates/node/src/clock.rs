//! The node's one clock: the decisions, the wheel and every deadline count on it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kitefork_balancer::Nanos;

use crate::start_time::StartObservation;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

/// The clock does not start at 0 but here, so that backends which started before the node still
/// have a time. Anything older is "long ago"; a cold backend is far younger.
const HEAD_START: Nanos = 3_600 * SECOND;

/// Monotonic time, tied to Unix time once at the start: a step of the system's clock moves no
/// deadline.
pub struct Clock {
    begun: Instant,
    /// Unix time at the clock's zero.
    pub unix_zero: Nanos,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            begun: Instant::now(),
            unix_zero: (unix.as_nanos() as Nanos).saturating_sub(HEAD_START),
        }
    }

    /// One reading a loop round: all events of a round happen at one time, as in a batch of the
    /// drill.
    pub fn read(&self) -> Nanos {
        HEAD_START + self.begun.elapsed().as_nanos() as Nanos
    }

    /// What is known at this moment for dating the starts of backends.
    pub fn observe(&self, now: Nanos, confirmed: Option<Nanos>) -> StartObservation {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        StartObservation {
            now,
            wall_now_ms: wall.as_millis() as u64,
            wall_at_zero: self.unix_zero,
            confirmed,
        }
    }
}
