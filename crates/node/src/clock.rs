//! The node's only clock: the decision module, the timers and all deadlines use it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kitefork_balancer::Nanos;

/// One millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000 * MS;

/// The first reading of the clock, in nanoseconds. It is not 0, so that backends that started
/// before the node can be given a start time. A start before the clock's zero counts as "long ago";
/// a backend in slow start is far younger than that.
const FIRST_READING: Nanos = 3_600 * SECOND;

/// Monotonic time that is related to Unix time once, at the start: stepping the system's clock
/// moves no deadline.
pub struct Clock {
    started: Instant,
    unix_time_at_zero: Nanos,
}

impl Clock {
    /// Starts a clock now; its first reading is one hour.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            unix_time_at_zero: (unix_time().as_nanos() as Nanos).saturating_sub(FIRST_READING),
        }
    }

    /// The current time, in nanoseconds since the clock's zero, an hour before its start.
    pub fn read(&self) -> Nanos {
        FIRST_READING + self.started.elapsed().as_nanos() as Nanos
    }

    /// Unix time at the clock's zero, in nanoseconds.
    pub fn unix_time_at_zero(&self) -> Nanos {
        self.unix_time_at_zero
    }
}

/// The system's wall-clock time since the Unix epoch; zero if the clock is set to a time before the
/// epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
