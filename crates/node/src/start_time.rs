//! When a backend started, on the node's own monotonic clock.
//!
//! Lists give a start as wall-clock time, and any wall clock may be stepped. So what the list says
//! is bounded by what the node itself has observed, and when: a start is not later than its first
//! observation, and where the node knew an earlier state of the backend, not much earlier than
//! that. No start lies behind the moment at which it is observed, so each bounds how far the wall
//! clock can be ahead. Of the readings that remain, the latest one counts: a backend that is taken
//! for younger than it is gets fewer requests for some seconds; one that is taken for older may be
//! overloaded in its slow start.
//!
//! What can't be known is how old the backends of the first list are: a node that starts with a
//! wrong clock has observed nothing before it. All starts on that list count as observed now, but
//! for those that a clock which is off by an hour can't explain. What this costs a restarted node
//! is that backends which started lately get fewer requests for some seconds.

use kitefork_balancer::Nanos;

use crate::clock::{self, Clock, MS, SECOND};

/// A change counts as notified at the latest this long, in nanoseconds, after discovery had it
/// (protocol page), so what a list has as new had not been so for much longer.
const MAX_LIST_LAG: Nanos = 6 * SECOND;

/// The wall clock may be off by an hour (the operators' terms), and as much again to spare: what
/// seems to be older than this, in nanoseconds, is old.
const MAX_CLOCK_ERROR: Nanos = 2 * 3_600 * SECOND;

/// What the node knows when it observes a start on a list.
#[derive(Debug, Clone, Copy)]
pub struct StartObservation {
    /// Now, in nanoseconds on the monotonic clock.
    pub now: Nanos,
    /// Wall-clock time now, in Unix milliseconds.
    pub wall_now_ms: u64,
    /// Wall-clock time at the monotonic clock's zero, in nanoseconds, as the node's start had it.
    pub wall_at_zero: Nanos,
    /// When the list was last confirmed without this start; `None` before the first list.
    pub confirmed: Option<Nanos>,
}

impl StartObservation {
    /// What is known at `now`, a reading of `clock`, of a list that was confirmed at `confirmed`.
    pub fn new(clock: &Clock, now: Nanos, confirmed: Option<Nanos>) -> StartObservation {
        StartObservation {
            now,
            wall_now_ms: clock::unix_time().as_millis() as u64,
            wall_at_zero: clock.unix_time_at_zero(),
            confirmed,
        }
    }
}

/// Dates starts, by what earlier ones have shown of the clocks.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The wall-clock time at the monotonic clock's zero is not before this, in nanoseconds.
    min_wall_at_zero: Nanos,
}

impl StartTimes {
    /// Takes note of a start (in Unix milliseconds) that is observed now.
    pub fn note(&mut self, boot_ms: u64, now: Nanos) {
        self.min_wall_at_zero = self
            .min_wall_at_zero
            .max(boot_ms.saturating_mul(MS).saturating_sub(now));
    }

    /// When a backend started whose list entry has this `boot_ms` (in Unix milliseconds), in
    /// nanoseconds on the monotonic clock; `None`: long ago.
    pub fn started_at(&self, boot_ms: u64, observation: &StartObservation) -> Option<Nanos> {
        if boot_ms == 0 {
            return None;
        }
        let age_by_wall_clock = observation
            .wall_now_ms
            .saturating_sub(boot_ms)
            .saturating_mul(MS);
        let Some(confirmed) = observation.confirmed else {
            return (age_by_wall_clock <= MAX_CLOCK_ERROR).then_some(observation.now);
        };
        let boot = boot_ms.saturating_mul(MS);
        let by_wall_clock = observation.now.checked_sub(age_by_wall_clock);
        let by_wall_clock_at_start = boot.checked_sub(observation.wall_at_zero);
        let by_observed_starts = boot.checked_sub(self.min_wall_at_zero);
        let latest = by_wall_clock
            .max(by_wall_clock_at_start)
            .max(by_observed_starts);
        // A start that lies ahead is not later than its observation.
        let started = latest
            .map(|at| at.min(observation.now))
            .filter(|at| *at > 0);
        let earliest = confirmed.saturating_sub(MAX_LIST_LAG);
        // Where the clocks contradict what the node has observed, it is only known to be new.
        if started.is_none_or(|at| at < earliest) {
            Some(observation.now)
        } else {
            started
        }
    }
}

#[cfg(test)]
#[path = "start_time_tests.rs"]
mod tests;
