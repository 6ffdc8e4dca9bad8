//! What is usual for each class of requests: its latencies, as a whole and by zone, and the
//! timeouts that its clients come with.
//!
//! Latencies are kept for each zone because the way to a distant zone is no sign of overload there.
//! The lowest mean stands for the latency without load; it is forgotten over a hundred latency
//! objectives, should the work itself grow.

use std::collections::BTreeMap;

use crate::event::Outcome;
use crate::ids::{Nanos, ZoneId};
use crate::statistics::{FractionHistogram, MovingMean};

/// Latencies that the means of a class remember: their standard error is under a tenth.
pub(crate) const LATENCY_SAMPLES: f64 = 64.0;

/// Longest latency objectives over which the lowest mean is forgotten.
const MINIMUM_MEMORY_OBJECTIVES: f64 = 100.0;

/// What is known of one class. Latencies are in seconds.
#[derive(Clone, Default)]
pub(crate) struct ClassStatistics {
    /// Client timeouts of its requests, as fractions of the class's.
    client_timeouts: FractionHistogram,
    latencies: MovingMean,
    zone_latencies: BTreeMap<ZoneId, MovingMean>,
}

impl ClassStatistics {
    /// The mean latency; 0 before the first answer.
    pub(crate) fn mean_latency(&self) -> f64 {
        self.latencies.mean
    }

    /// The mean latency at its lowest: what it is without load.
    pub(crate) fn unloaded_latency(&self) -> f64 {
        self.latencies.minimum
    }

    /// Whether any latency is known.
    pub(crate) fn has_latency(&self) -> bool {
        self.latencies.count > 0.0
    }

    /// Takes in the latency of an answer or of a timeout.
    pub(crate) fn add_latency(&mut self, latency: f64) {
        self.latencies.add(latency, LATENCY_SAMPLES);
    }

    /// The latency of an attempt in a zone, as a multiple of what it is without load there; that of
    /// an answer is taken in.
    pub(crate) fn latency_ratio(&mut self, zone: ZoneId, latency: f64, outcome: Outcome) -> f64 {
        let zone_latency = self.zone_latencies.entry(zone).or_default();
        if outcome == Outcome::Success {
            zone_latency.add(latency, LATENCY_SAMPLES);
        }
        let has_full_window = zone_latency.count >= LATENCY_SAMPLES;
        let unloaded = if has_full_window {
            zone_latency.minimum
        } else {
            self.latencies.minimum
        };
        latency / unloaded.max(1e-9)
    }

    /// Time since the first attempt of a client at its request, as its timeout tells: first
    /// attempts come with one timeout and are the most frequent; what is left of a retry's tells
    /// how much has passed. `class_timeout` is that of the class.
    ///
    /// This keeps capacity from being spent on answers that are too late to count. A client that
    /// is impatient from the start is taken for one that retries and waits behind others.
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

    /// Forgets a part of the lowest means after `step` seconds.
    pub(crate) fn raise_minimums(&mut self, step: f64, longest_objective: f64) {
        let fraction = step / (MINIMUM_MEMORY_OBJECTIVES * longest_objective);
        for latencies in self
            .zone_latencies
            .values_mut()
            .chain([&mut self.latencies])
        {
            latencies.raise_minimum(fraction);
        }
    }
}
