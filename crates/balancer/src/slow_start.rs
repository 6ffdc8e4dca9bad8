//! Slow start: how many attempts a backend may receive while its process warms up.
//!
//! Capacity rises linearly from [`Rules::slow_start_initial_capacity`] to the full capacity over
//! [`Rules::slow_start_duration`]; the operators give this capacity as a lower bound. A backend
//! breaks down if it receives, from all proxies together, more than [`Rules::overload_multiple`]
//! times its present capacity for [`Rules::overload_duration`] (the fourth protocol rule). Each
//! proxy therefore accumulates tokens for attempts at a fraction of that rate, estimated from its
//! own completions per backend of full capacity.
//!
//! This module does not decide whether an attempt is otherwise legal, nor which backend is picked.

use crate::endpoint_list::EndpointRecord;
use crate::event::Endpoint;
use crate::ids::Nanos;
use crate::settings::Rules;
use crate::timescale::{SECOND, Timescale};

/// Fraction of the estimated safe rate at which this proxy may send attempts to a backend in slow
/// start; the rest covers load that this proxy can't observe.
const SAFE_RATE_FRACTION: f64 = 0.5;

/// Minimum size of the token bucket of a backend, in attempts: a proxy that picks the backend
/// seldom would otherwise lose a fraction of a token at most picks.
const MIN_BUCKET_SIZE: f64 = 2.0;

/// Tokens of one backend: the attempts that this proxy may send to it in slow start.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartTokens(f64);

impl SlowStartTokens {
    /// Tokens of a backend that is new in the list. They start at a random fraction of an attempt:
    /// many proxies, each allowed less than one attempt within [`Rules::overload_duration`], then
    /// keep the fourth protocol rule statistically.
    pub(crate) fn new(random_fraction: f64) -> SlowStartTokens {
        SlowStartTokens(random_fraction)
    }

    /// Spends one token on an attempt that was sent; the tokens do not fall below 0.
    pub(crate) fn spend(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }
}

/// Limits the attempts at backends in slow start.
pub(crate) struct SlowStart {
    rules: Rules,
    /// Minimum of the completion rate that the refill uses, in completions per second.
    min_completion_rate: f64,
    /// Completions per second of this proxy at each backend of full capacity.
    completion_rate: f64,
}

impl SlowStart {
    /// The limits before any completion. The minimum completion rate is one completion per
    /// shortest latency objective at each backend, by all proxies together, so that a fleet that
    /// starts as a whole receives attempts.
    pub(crate) fn new(rules: &Rules, timescale: &Timescale, proxy_count: f64) -> SlowStart {
        SlowStart {
            rules: rules.clone(),
            min_completion_rate: 1.0 / (proxy_count * timescale.shortest_objective),
            completion_rate: 0.0,
        }
    }

    /// Minimum fraction of its full capacity that a backend has at `now`: 1 after slow start, or if
    /// its `started_at` is `None`.
    pub(crate) fn capacity_fraction(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        let rules = &self.rules;
        let duration = rules.slow_start_duration;
        let age = endpoint
            .started_at
            .map_or(duration, |at| now.saturating_sub(at));
        if age >= duration {
            return 1.0;
        }
        let initial = rules.slow_start_initial_capacity;
        initial + (1.0 - initial) * age as f64 / duration as f64
    }

    /// Whether slow start permits an attempt at this backend now.
    pub(crate) fn allows(&self, now: Nanos, record: &EndpointRecord) -> bool {
        self.capacity_fraction(now, record.endpoint()) >= 1.0 || record.slow_start_tokens.0 >= 1.0
    }

    /// Updates the completion rate per backend of full capacity: this proxy's completions per
    /// second, divided by the summed capacity fractions of the members of its subset.
    pub(crate) fn set_completions(&mut self, per_second: f64, capacity_fraction_sum: f64) {
        self.completion_rate = per_second / capacity_fraction_sum.max(1e-9);
    }

    /// Completions per second of this proxy at each backend of full capacity.
    #[cfg(test)]
    pub(crate) fn completion_rate(&self) -> f64 {
        self.completion_rate
    }

    /// Adds the tokens that one backend gains in `elapsed_seconds`, up to the size of its bucket.
    pub(crate) fn refill(
        &self,
        tokens: &mut SlowStartTokens,
        capacity_fraction: f64,
        elapsed_seconds: f64,
    ) {
        let rules = &self.rules;
        let completion_rate = self.completion_rate.max(self.min_completion_rate);
        let refill_rate =
            SAFE_RATE_FRACTION * rules.overload_multiple * capacity_fraction * completion_rate;
        let bucket_size =
            (refill_rate * rules.overload_duration as f64 / SECOND).max(MIN_BUCKET_SIZE);
        tokens.0 = (tokens.0 + refill_rate * elapsed_seconds).min(bucket_size);
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
