//! Statistics of each class of requests: its latencies, as a whole and by zone, and the client
//! timeouts of its requests.
//!
//! Latencies are kept by zone because a longer network path to a distant zone is no sign of
//! overload there. The minimum of the mean latency is taken as the unloaded latency, the latency
//! without load. It is raised slowly, with a time constant of a hundred times the longest latency
//! objective, in case the work itself grows.

use std::collections::BTreeMap;

use crate::event::Outcome;
use crate::ids::{Nanos, ZoneId};
use crate::statistics::{FractionHistogram, MovingMean};

/// Number of latencies in the moving means of a class: the relative standard error is then under a
/// tenth.
pub(crate) const LATENCY_SAMPLES: f64 = 64.0;

/// Time constant with which minimum means are raised, as a multiple of the longest latency
/// objective.
const RAISE_TIME_CONSTANT_OBJECTIVES: f64 = 100.0;

/// Statistics of one class. Latencies are in seconds.
#[derive(Clone, Default)]
pub(crate) struct ClassStatistics {
    /// Client timeouts of the requests of this class, as fractions of the client timeout of the
    /// class.
    client_timeouts: FractionHistogram,
    latencies: MovingMean,
    zone_latencies: BTreeMap<ZoneId, MovingMean>,
}

impl ClassStatistics {
    /// Mean latency, in seconds; 0 before the first answer or timeout.
    pub(crate) fn mean_latency(&self) -> f64 {
        self.latencies.mean
    }

    /// Latency without load: the minimum of the mean latency, in seconds; 0 before the first answer
    /// or timeout.
    pub(crate) fn unloaded_latency(&self) -> f64 {
        self.latencies.minimum
    }

    /// Whether the latency of an answer or of a timeout was added yet.
    pub(crate) fn has_latency(&self) -> bool {
        self.latencies.count > 0.0
    }

    /// Adds the latency of an answer or of a timeout, in seconds.
    pub(crate) fn add_latency(&mut self, latency: f64) {
        self.latencies.add(latency, LATENCY_SAMPLES);
    }

    /// Latency of an attempt in a zone, as a multiple of the unloaded latency there. Also adds the
    /// latency to the zone's mean if the attempt was served. Until the zone has
    /// [`LATENCY_SAMPLES`] answers, the unloaded latency of the class over all zones is used.
    pub(crate) fn latency_ratio(&mut self, zone: ZoneId, latency: f64, outcome: Outcome) -> f64 {
        let zone_latency = self.zone_latencies.entry(zone).or_default();
        if outcome == Outcome::Success {
            zone_latency.add(latency, LATENCY_SAMPLES);
        }
        let has_full_window = zone_latency.count >= LATENCY_SAMPLES;
        let unloaded_latency = if has_full_window {
            zone_latency.minimum
        } else {
            self.latencies.minimum
        };
        latency / unloaded_latency.max(1e-9)
    }

    /// Estimates the time since the client's first try of this request, from its client timeout:
    /// first tries have the most frequent timeout, while a retry by the client has only the
    /// remaining time. `class_timeout` is the client timeout of the class.
    ///
    /// The estimate keeps capacity from being spent on answers that come too late to count. A
    /// client that uses a shorter timeout from the start is mistaken for one that retries, and
    /// waits behind others.
    pub(crate) fn estimated_elapsed(
        &mut self,
        client_timeout: Nanos,
        class_timeout: Nanos,
    ) -> Nanos {
        let is_most_frequent = self
            .client_timeouts
            .add(client_timeout as f64 / class_timeout as f64);
        if is_most_frequent {
            0
        } else {
            class_timeout.saturating_sub(client_timeout)
        }
    }

    /// Raises the minimum means for `elapsed_seconds` that have passed. `longest_objective` is the
    /// longest latency objective, in seconds.
    pub(crate) fn raise_minimums(&mut self, elapsed_seconds: f64, longest_objective: f64) {
        let fraction = elapsed_seconds / (RAISE_TIME_CONSTANT_OBJECTIVES * longest_objective);
        for latencies in self
            .zone_latencies
            .values_mut()
            .chain([&mut self.latencies])
        {
            latencies.raise_minimum(fraction);
        }
    }
}
