//! Service rates and arrival rates, estimated from this proxy's own completions.
//!
//! The service rate of a backend is c N / L (Choudhury, Joshi, Wang and Shakkottai 2021): N its
//! completions, L their summed latencies, both decayed with age, c
//! [`CONCURRENCY`]. What attempts in flight have waited joins L as a censored sample, so that
//! silence shows. A backend with few completions is drawn to a prior, the
//! [pooled latency](crate::pooled_latency) of those like it.
//!
//! It never decides which backend is used; see
//! [`OptimalSplit`](crate::optimal_split::OptimalSplit).

use std::collections::BTreeMap;

use crate::concurrency_limiter::CONCURRENCY;
use crate::event::Outcome;
use crate::ids::{KindId, Nanos};
use crate::statistics::DecayedSum;
use crate::timescale::Timescale;

/// Completions of a backend that the decay keeps: the standard error of a rate is near a quarter.
pub(crate) const TARGET_COMPLETIONS: f64 = 12.0;

/// Longest memory of a backend's completions, in longest latency objectives.
pub(crate) const MAX_MEMORY_OBJECTIVES: f64 = 10.0;

/// Completions of a kind of machine that are remembered, as for the latencies of a class.
const KIND_SAMPLES: f64 = crate::class_statistics::LATENCY_SAMPLES;

/// An estimate stays this far under one completion in a slot, as formula (9) wants.
const MAX_RATE: f64 = 0.99;

/// Weight of the prior of a backend's latency, in completions: it counts as the backend's own
/// samples age away.
const PRIOR_COMPLETIONS: f64 = 1.0;

/// Completions of one backend and their latencies: N and L of the design.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServiceTimes {
    /// Decayed number of completions.
    completions: f64,
    /// Decayed sum of latencies, in seconds; failures add to it too.
    latency_sum: f64,
}

impl ServiceTimes {
    /// Decayed number of completions.
    pub(crate) fn completions(&self) -> f64 {
        self.completions
    }

    /// Decayed sum of latencies, in seconds.
    pub(crate) fn latency_sum(&self) -> f64 {
        self.latency_sum
    }

    /// Whether it has completed anything that still counts.
    pub(crate) fn has_completions(&self) -> bool {
        self.completions > 0.0
    }

    /// Whether it completes enough for an estimate of its own.
    pub(crate) fn has_enough_completions(&self) -> bool {
        self.completions > 0.5 * TARGET_COMPLETIONS
    }

    /// Keeps this fraction of the weight of each completion.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.completions *= decay_factor;
        self.latency_sum *= decay_factor;
    }

    /// Forgets all.
    pub(crate) fn reset(&mut self) {
        *self = ServiceTimes::default();
    }

    /// An attempt has ended after `latency` seconds. `least` is what a rejection and a failed
    /// connection count at least, however fast: the request has to begin again elsewhere, and a
    /// backend that is leaving while the list is late would else look like the fastest.
    pub(crate) fn on_ended(&mut self, outcome: Outcome, latency: f64, min_failure_latency: f64) {
        self.latency_sum += match outcome {
            Outcome::BadRequest => 0.0,
            Outcome::ConnectFailed | Outcome::Overloaded => latency.max(min_failure_latency),
            _ => latency,
        };
        if outcome == Outcome::Success {
            self.completions += 1.0;
        }
    }

    /// The mean latency, in seconds, drawn to `prior`; `waited` is what attempts in flight have
    /// waited.
    pub(crate) fn estimated_latency(&self, summed_wait: f64, prior: f64) -> f64 {
        (self.latency_sum + summed_wait + PRIOR_COMPLETIONS * prior)
            / (self.completions + PRIOR_COMPLETIONS)
    }
}

/// The service rate for a mean latency in seconds: completions in a slot of `slot` seconds.
pub(crate) fn service_rate(latency: f64, slot_seconds: f64) -> f64 {
    (CONCURRENCY * slot_seconds / latency.max(1e-9)).min(MAX_RATE)
}

/// What this proxy knows of its arrivals and of the kinds of machines.
pub(crate) struct Estimator {
    timescale: Timescale,
    /// Requests that were attempted, decayed with the arrival window.
    arrivals: f64,
    /// First attempts since the start.
    first_attempts: f64,
    /// Latencies of each kind of machine, as multiples of the mean of their class.
    kinds: BTreeMap<KindId, DecayedSum>,
}

impl Estimator {
    /// Knows nothing yet.
    pub(crate) fn new(timescale: Timescale) -> Estimator {
        Estimator {
            timescale,
            arrivals: 0.0,
            first_attempts: 0.0,
            kinds: BTreeMap::new(),
        }
    }

    /// Keeps this fraction of the weight of each arrival.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.arrivals *= decay_factor;
    }

    /// The first attempt of a request was sent.
    pub(crate) fn on_first_attempt(&mut self) {
        self.arrivals += 1.0;
        self.first_attempts += 1.0;
    }

    /// A machine of this kind has served an attempt in `latency` seconds, where the mean of the
    /// class is `mean_latency` or 0 if it is not known.
    pub(crate) fn on_completion(&mut self, kind: KindId, latency: f64, mean_latency: f64) {
        let pool = self.kinds.entry(kind).or_default();
        pool.decay(1.0 - 1.0 / KIND_SAMPLES);
        pool.add(
            1.0,
            if mean_latency > 0.0 {
                latency / mean_latency
            } else {
                1.0
            },
        );
    }

    /// Requests a second that this proxy attempts: lambda of the design, of this proxy alone.
    pub(crate) fn arrival_rate(&self, now: Nanos) -> f64 {
        self.timescale.per_second(now, self.arrivals)
    }

    /// Time constant, in seconds, with which the completions of a backend decay, so that about
    /// [`TARGET_COMPLETIONS`] of them count.
    pub(crate) fn completion_memory(&self, now: Nanos, backends: usize) -> f64 {
        let rate = self.arrival_rate_per_backend(now, backends);
        let max_memory = MAX_MEMORY_OBJECTIVES * self.timescale.longest_objective;
        (TARGET_COMPLETIONS / rate.max(1e-9)).clamp(self.timescale.shortest_objective, max_memory)
    }

    /// Whether fewer completions of a backend come in the longest memory than an estimate wants.
    pub(crate) fn is_data_sparse(&self, now: Nanos, backends: usize) -> bool {
        let rate = self.arrival_rate_per_backend(now, backends);
        rate * MAX_MEMORY_OBJECTIVES * self.timescale.longest_objective < TARGET_COMPLETIONS
    }

    fn arrival_rate_per_backend(&self, now: Nanos, backends: usize) -> f64 {
        self.arrival_rate(now) / (backends.max(1) as f64)
    }

    /// How many backends get the completions that an estimate wants within the longest memory, at
    /// the mean rate since the start.
    pub(crate) fn estimable_backends(&self, now: Nanos) -> f64 {
        let longest_objective = self.timescale.longest_objective;
        let age = self.timescale.age(now).max(longest_objective);
        self.first_attempts / age * MAX_MEMORY_OBJECTIVES * longest_objective / TARGET_COMPLETIONS
    }

    /// Latencies of each kind of machine, as multiples of the mean of their class.
    pub(crate) fn kinds(&self) -> &BTreeMap<KindId, DecayedSum> {
        &self.kinds
    }

    /// Sets the number of first attempts since the start.
    #[cfg(test)]
    pub(crate) fn set_first_attempts(&mut self, first_attempts: f64) {
        self.first_attempts = first_attempts;
    }
}

#[cfg(test)]
#[path = "estimator_tests.rs"]
mod tests;
