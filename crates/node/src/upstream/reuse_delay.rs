//! How long a connection must have been silent after an answer before it carries another request.
//!
//! HTTP/1.1 does not name the request that an answer belongs to: the next bytes on a connection
//! count as the answer to the request written last. A backend that answers twice, the second time
//! late, would thereby answer the next request. So a connection rests first, and a second answer
//! that comes meanwhile closes it.

use kitefork_balancer::Nanos;

use crate::clock::{MS, SECOND};

/// Minimum time between an answer and the next request on the same connection, in nanoseconds.
/// Second answers are some milliseconds late.
const MIN_DELAY: Nanos = 10 * MS;
/// Maximum of the delay, in nanoseconds, so that connections are still reused if unexpected bytes
/// come, or are noticed, very late.
const MAX_DELAY: Nanos = 100 * MS;
/// Ratio of the delay to the longest lateness that was observed.
const LATENESS_MARGIN: Nanos = 2;
/// For this long after unexpected bytes, in nanoseconds, the delay follows their lateness.
const OBSERVATION_PERIOD: Nanos = 60 * SECOND;

/// The minimum time between an answer and the next request on the same connection. It grows with
/// the lateness of unexpected bytes on connections to any backend.
pub struct ReuseDelay {
    delay: Nanos,
    extended_until: Nanos,
}

impl Default for ReuseDelay {
    fn default() -> ReuseDelay {
        ReuseDelay {
            delay: MIN_DELAY,
            extended_until: 0,
        }
    }
}

impl ReuseDelay {
    /// The delay at `now`, in nanoseconds.
    pub fn at(&self, now: Nanos) -> Nanos {
        if now < self.extended_until {
            self.delay
        } else {
            MIN_DELAY
        }
    }

    /// Records at `now` that unexpected bytes came `lateness` nanoseconds after an answer.
    pub fn record_unexpected_bytes(&mut self, lateness: Nanos, now: Nanos) {
        let needed = lateness
            .saturating_mul(LATENESS_MARGIN)
            .clamp(MIN_DELAY, MAX_DELAY);
        self.delay = needed.max(self.at(now));
        self.extended_until = now.saturating_add(OBSERVATION_PERIOD);
    }
}

#[cfg(test)]
#[path = "reuse_delay_tests.rs"]
mod tests;
