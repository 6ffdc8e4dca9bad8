//! Service rates and arrival rates, estimated from this proxy's own completions.
//!
//! The service rate of a backend is c N / L (Choudhury, Joshi, Wang and Shakkottai 2021): N is the
//! number of its completions, L the sum of their latencies, both decayed with age, and c is
//! [`CONCURRENCY`]. The time that attempts in flight have waited is added to L as a censored
//! sample, so that a backend that stops answering gets a lower rate. The estimate of a backend with
//! few completions is drawn towards a prior, the [pooled latency](crate::pooled_latency) of similar
//! backends.
//!
//! This module does not decide which backend is used; see
//! [`OptimalSplit`](crate::optimal_split::OptimalSplit).

use std::collections::BTreeMap;

use crate::concurrency_limiter::CONCURRENCY;
use crate::event::Outcome;
use crate::ids::{KindId, Nanos};
use crate::statistics::DecayedSum;
use crate::timescale::Timescale;

/// Number of a backend's completions that still count after decay: the relative standard error of
/// the backend's service rate is then about a quarter.
pub(crate) const TARGET_COMPLETIONS: f64 = 12.0;

/// Maximum time constant with which a backend's completions decay, as a multiple of the longest
/// latency objective.
pub(crate) const MAX_TIME_CONSTANT_OBJECTIVES: f64 = 10.0;

/// Number of completions of a kind of machine that count after decay, as for the latencies of a
/// class.
const KIND_SAMPLES: f64 = crate::class_statistics::LATENCY_SAMPLES;

/// Maximum service rate, in completions per slot: formula (9) requires a rate below 1.
const MAX_RATE: f64 = 0.99;

/// Weight of the prior in a backend's estimated latency, in completions: the prior gains influence
/// as the backend's own samples decay.
const PRIOR_COMPLETIONS: f64 = 1.0;

/// Completions of one backend and their latencies: N and L of its service rate.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServiceTimes {
    /// Decayed number of completions.
    completions: f64,
    /// Decayed sum of latencies, in seconds; includes those of failures.
    latency_sum: f64,
}

impl ServiceTimes {
    /// Decayed number of completions.
    pub(crate) fn completions(&self) -> f64 {
        self.completions
    }

    /// Decayed sum of latencies, in seconds; includes those of failures.
    pub(crate) fn latency_sum(&self) -> f64 {
        self.latency_sum
    }

    /// Whether any completion still counts.
    pub(crate) fn has_completions(&self) -> bool {
        self.completions > 0.0
    }

    /// Whether there are enough completions for an estimate from this backend alone: more than half
    /// of [`TARGET_COMPLETIONS`].
    pub(crate) fn has_enough_completions(&self) -> bool {
        self.completions > 0.5 * TARGET_COMPLETIONS
    }

    /// Multiplies the weight of past completions by `decay_factor`, from 0 to 1.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.completions *= decay_factor;
        self.latency_sum *= decay_factor;
    }

    /// Discards all completions and latencies.
    pub(crate) fn reset(&mut self) {
        *self = ServiceTimes::default();
    }

    /// Counts an attempt that has ended after `latency` seconds. A rejection or a failed connection
    /// counts as at least `min_failure_latency` seconds, however fast it was: the request has to
    /// start again at another backend, and a backend that shuts down while the endpoint list is
    /// outdated would otherwise appear to be the fastest.
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

    /// Mean latency in seconds, drawn towards `prior`. `summed_wait` is the summed time, in
    /// seconds, that attempts in flight have waited.
    pub(crate) fn estimated_latency(&self, summed_wait: f64, prior: f64) -> f64 {
        (self.latency_sum + summed_wait + PRIOR_COMPLETIONS * prior)
            / (self.completions + PRIOR_COMPLETIONS)
    }
}

/// Service rate for a mean latency in seconds: completions per slot of `slot_seconds` seconds.
pub(crate) fn service_rate(latency: f64, slot_seconds: f64) -> f64 {
    (CONCURRENCY * slot_seconds / latency.max(1e-9)).min(MAX_RATE)
}

/// Estimates this proxy's arrival rate and the relative latency of each kind of machine.
pub(crate) struct Estimator {
    timescale: Timescale,
    /// Requests with a first attempt, decayed with the arrival window.
    arrivals: f64,
    /// First attempts since the start, not decayed.
    first_attempts: f64,
    /// Latencies of each kind of machine, as multiples of the mean latency of their class.
    kinds: BTreeMap<KindId, DecayedSum>,
}

impl Estimator {
    /// An estimator without arrivals or completions.
    pub(crate) fn new(timescale: Timescale) -> Estimator {
        Estimator {
            timescale,
            arrivals: 0.0,
            first_attempts: 0.0,
            kinds: BTreeMap::new(),
        }
    }

    /// Multiplies the weight of past arrivals by `decay_factor`, from 0 to 1.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.arrivals *= decay_factor;
    }

    /// Counts a request whose first attempt was sent.
    pub(crate) fn on_first_attempt(&mut self) {
        self.arrivals += 1.0;
        self.first_attempts += 1.0;
    }

    /// Counts a completion in `latency` seconds on a machine of this kind. `mean_latency` is the
    /// mean of the class in seconds, or 0 if it is unknown: the completion then counts as average.
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

    /// Requests per second for which this proxy starts a first attempt: lambda of formula (9), for
    /// this proxy alone.
    pub(crate) fn arrival_rate(&self, now: Nanos) -> f64 {
        self.timescale.per_second(now, self.arrivals)
    }

    /// Time constant, in seconds, with which the completions of a backend decay, so that about
    /// [`TARGET_COMPLETIONS`] of them count; at least the shortest latency objective, at most the
    /// maximum time constant.
    pub(crate) fn completion_time_constant(&self, now: Nanos, backend_count: usize) -> f64 {
        let rate = self.arrival_rate_per_backend(now, backend_count);
        let max_time_constant = MAX_TIME_CONSTANT_OBJECTIVES * self.timescale.longest_objective;
        (TARGET_COMPLETIONS / rate.max(1e-9))
            .clamp(self.timescale.shortest_objective, max_time_constant)
    }

    /// Whether the arrival rate is too low for [`TARGET_COMPLETIONS`] per backend within the
    /// maximum time constant.
    pub(crate) fn is_data_sparse(&self, now: Nanos, backend_count: usize) -> bool {
        let rate = self.arrival_rate_per_backend(now, backend_count);
        rate * MAX_TIME_CONSTANT_OBJECTIVES * self.timescale.longest_objective < TARGET_COMPLETIONS
    }

    /// Arrival rate of this proxy, divided by the number of backends.
    fn arrival_rate_per_backend(&self, now: Nanos, backend_count: usize) -> f64 {
        self.arrival_rate(now) / (backend_count.max(1) as f64)
    }

    /// Number of backends that can get as many completions as an estimate needs within the maximum
    /// time constant, at the mean rate of first attempts since the start.
    pub(crate) fn estimable_backends(&self, now: Nanos) -> f64 {
        let longest_objective = self.timescale.longest_objective;
        let age = self.timescale.age(now).max(longest_objective);
        self.first_attempts / age * MAX_TIME_CONSTANT_OBJECTIVES * longest_objective
            / TARGET_COMPLETIONS
    }

    /// Latencies of each kind of machine, as multiples of the mean latency of their class.
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
