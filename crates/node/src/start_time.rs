//! Determines when a backend started, on the node's own monotonic clock.
//!
//! Endpoint lists give start times as wall-clock time, and any wall clock may be stepped. So the
//! node's own observations bound a start: the start is not later than its first observation and, if
//! an earlier list without the start was confirmed, not much earlier than that confirmation. As no
//! start is later than its observation, each observed start is also a lower bound of the wall-clock
//! time at that moment. A start is estimated from the node's wall clock now, from its wall clock
//! when the node started, and from that lower bound, and the latest estimate is used: a backend
//! that is assumed to be younger than it is gets fewer requests for some seconds; one that is
//! assumed to be older may be overloaded during its slow start.
//!
//! The ages of the backends on the first list can't be verified: a node that starts with a wrong
//! clock has no earlier observation. All starts on the first list count as happening now, except
//! those too old to be explained by a clock that is off by an hour. As a result, after a restart of
//! the node, backends that started recently get fewer requests for some seconds.

use kitefork_balancer::Nanos;

use crate::clock::{self, Clock, MS, SECOND};

/// Maximum time from a change in discovery until a node counts as notified of it, in nanoseconds
/// (protocol page). So a start that is new on a list is at most this much older than the last
/// confirmation of the list without this start.
const MAX_LIST_LAG: Nanos = 6 * SECOND;

/// On the first list, the maximum age by the wall clock, in nanoseconds, of a start that counts as
/// happening now; an older start counts as long ago. This is twice the clock error of one hour that
/// a deployment may have (the operators' terms).
const MAX_CLOCK_ERROR: Nanos = 2 * 3_600 * SECOND;

/// What the node knows when it observes a start on a list.
#[derive(Debug, Clone, Copy)]
pub struct StartObservation {
    /// The time of the observation, in nanoseconds on the monotonic clock.
    pub now: Nanos,
    /// Wall-clock time of the observation, in Unix milliseconds.
    pub wall_now_ms: u64,
    /// Wall-clock time at the monotonic clock's zero, in nanoseconds, as determined when the node
    /// started.
    pub wall_at_zero: Nanos,
    /// When the list was last confirmed without this start, in nanoseconds on the monotonic clock;
    /// `None` if there was no confirmation before.
    pub confirmed_at: Option<Nanos>,
}

impl StartObservation {
    /// Creates an observation at `now`, a reading of `clock`, of a list that was last confirmed at
    /// `confirmed_at`.
    pub fn new(clock: &Clock, now: Nanos, confirmed_at: Option<Nanos>) -> StartObservation {
        StartObservation {
            now,
            wall_now_ms: clock::unix_time().as_millis() as u64,
            wall_at_zero: clock.unix_time_at_zero(),
            confirmed_at,
        }
    }
}

/// Determines start times from the lists and from the starts observed before.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// Lower bound of the wall-clock time at the monotonic clock's zero, in nanoseconds, derived
    /// from the observed starts.
    min_wall_at_zero: Nanos,
}

impl StartTimes {
    /// Records that a start at `boot_ms` (in Unix milliseconds) was observed at `now`, in
    /// nanoseconds on the monotonic clock.
    pub fn record(&mut self, boot_ms: u64, now: Nanos) {
        self.min_wall_at_zero = self
            .min_wall_at_zero
            .max(boot_ms.saturating_mul(MS).saturating_sub(now));
    }

    /// When the backend whose list entry has this `boot_ms` (in Unix milliseconds) started, in
    /// nanoseconds on the monotonic clock; `None` if that was long ago, or if `boot_ms` is 0, which
    /// means unknown.
    pub fn started_at(&self, boot_ms: u64, observation: &StartObservation) -> Option<Nanos> {
        if boot_ms == 0 {
            return None;
        }
        let age_by_wall_clock = observation
            .wall_now_ms
            .saturating_sub(boot_ms)
            .saturating_mul(MS);
        let Some(confirmed_at) = observation.confirmed_at else {
            return (age_by_wall_clock <= MAX_CLOCK_ERROR).then_some(observation.now);
        };
        let boot = boot_ms.saturating_mul(MS);
        let by_wall_clock = observation.now.checked_sub(age_by_wall_clock);
        let by_wall_clock_at_start = boot.checked_sub(observation.wall_at_zero);
        let by_observed_starts = boot.checked_sub(self.min_wall_at_zero);
        let latest = by_wall_clock
            .max(by_wall_clock_at_start)
            .max(by_observed_starts);
        // A start that is listed in the future counts as happening now.
        let started = latest
            .map(|at| at.min(observation.now))
            .filter(|at| *at > 0);
        let earliest = confirmed_at.saturating_sub(MAX_LIST_LAG);
        // If the clocks contradict the node's observations, all that is known is that the backend
        // is new.
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
