//! The node's one clock: the decisions, the wheel and every deadline count on it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kitefork::Nanos;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

/// The clock does not start at 0 but here, so that backends which started before the node still have a time.
/// Anything older is "long ago"; a cold backend is far younger.
const HEAD_START: Nanos = 3_600 * SECOND;

/// Monotonic time, tied to Unix time once at the start: a step of the system's clock moves no deadline.
pub struct Clock {
    begun: Instant,
    /// Unix time at the clock's zero.
    pub unix_zero: Nanos,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { begun: Instant::now(), unix_zero: (unix.as_nanos() as Nanos).saturating_sub(HEAD_START) }
    }

    /// One reading a loop round: all events of a round happen at one time, as in a batch of the drill.
    pub fn read(&self) -> Nanos {
        HEAD_START + self.begun.elapsed().as_nanos() as Nanos
    }

    /// Clock time of a moment in Unix milliseconds; `None`: long ago. Guards against a start before the
    /// clock's zero that wraps round into the far future and makes a warm backend cold for ever.
    pub fn of_unix_ms(&self, ms: u64) -> Option<Nanos> {
        ms.saturating_mul(MS).checked_sub(self.unix_zero).filter(|at| *at > 0)
    }
}

#[test]
fn a_start_before_the_clock_is_long_ago_and_a_recent_one_has_its_time() {
    let clock = Clock::start();
    let unix_ms = clock.unix_zero / MS + HEAD_START / MS;
    assert_eq!(clock.of_unix_ms(0), None);
    assert_eq!(clock.of_unix_ms(1_000), None);
    let recent = clock.of_unix_ms(unix_ms - 3_000).unwrap();
    assert!(clock.read() - recent >= 2_999 * MS);
}
