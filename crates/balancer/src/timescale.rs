//! Durations that several decisions derive from the settings, calculated once.

use crate::ids::Nanos;
use crate::settings::Settings;

/// Nanoseconds per second.
pub(crate) const SECOND: f64 = 1e9;

/// Converts a time or duration to seconds.
pub(crate) fn seconds(nanos: Nanos) -> f64 {
    nanos as f64 / SECOND
}

/// Converts a duration in seconds to nanoseconds and truncates fractions of a nanosecond.
pub(crate) fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND) as Nanos
}

/// Start of the balancer and range of its latency objectives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timescale {
    /// When the balancer was created, on the caller's clock.
    pub(crate) started_at: Nanos,
    /// Shortest latency objective of a class, in seconds.
    pub(crate) shortest_objective: f64,
    /// Longest latency objective of a class, in seconds.
    pub(crate) longest_objective: f64,
}

impl Timescale {
    /// Derives the objectives from the classes; both are 1 s without classes. The balancer is
    /// created at `now`.
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Timescale {
        let objectives = || {
            settings
                .classes
                .iter()
                .map(|class| seconds(class.latency_objective))
        };
        Timescale {
            started_at: now,
            shortest_objective: objectives().reduce(f64::min).unwrap_or(1.0),
            longest_objective: objectives().reduce(f64::max).unwrap_or(1.0),
        }
    }

    /// Seconds since the balancer started.
    pub(crate) fn age(&self, now: Nanos) -> f64 {
        seconds(now.saturating_sub(self.started_at))
    }

    /// Time constant, in seconds, with which the arrivals at this proxy and its completions at all
    /// backends together decay.
    pub(crate) fn arrival_window(&self) -> f64 {
        2.0 * self.longest_objective
    }

    /// Rate of events per second, from their count, which decays with the arrival window. Soon
    /// after the start, the window is not full, so the count is divided by a shorter time.
    pub(crate) fn per_second(&self, now: Nanos, decayed_count: f64) -> f64 {
        let window = self.arrival_window();
        let effective_window = window * (1.0 - (-self.age(now) / window).exp());
        decayed_count / effective_window.max(self.shortest_objective)
    }
}

#[cfg(test)]
#[path = "timescale_tests.rs"]
mod tests;
