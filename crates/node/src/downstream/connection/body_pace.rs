//! Whether a long body arrives fast enough to be complete within its time limit.
//!
//! A client that sends a byte now and then would otherwise hold the memory of its body until the
//! limit, although it can't meet it.

use kitefork_balancer::Nanos;

use crate::clock::SECOND;

/// Interval over which the pace is measured, in nanoseconds. Two intervals are shorter than the 3 s
/// within which a client that stops is owed an error.
const INTERVAL: Nanos = SECOND + SECOND / 4;
/// While no more than this many bytes are missing, the pace does not matter: clients may write
/// slowly.
const MAX_SLOW_BYTES: usize = 4 * 1024;

/// The pace of the body that is being received.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyPace {
    /// When the current interval began, in nanoseconds on the node's clock.
    since: Nanos,
    /// Bytes of the body that were missing then.
    remaining: usize,
}

impl BodyPace {
    /// Begins an interval at `now`, when `remaining` bytes are missing.
    pub(super) fn new(now: Nanos, remaining: usize) -> BodyPace {
        BodyPace {
            since: now,
            remaining,
        }
    }

    /// When the pace is checked next.
    pub(super) fn check_at(&self) -> Nanos {
        self.since.saturating_add(INTERVAL)
    }

    /// Whether the body can be complete at `complete_by`, if it goes on arriving as since the
    /// beginning of the interval; `remaining` bytes are missing at `now`.
    pub(super) fn is_sufficient(&self, now: Nanos, remaining: usize, complete_by: Nanos) -> bool {
        if remaining <= MAX_SLOW_BYTES {
            return true;
        }
        let received = self.remaining.saturating_sub(remaining) as u128;
        let elapsed = u128::from(now.saturating_sub(self.since).max(1));
        let time_left = u128::from(complete_by.saturating_sub(now));
        received * time_left >= remaining as u128 * elapsed
    }
}

#[cfg(test)]
#[path = "body_pace_tests.rs"]
mod tests;
