//! Slow start: how much a backend may be sent while its process warms up.
//!
//! Capacity rises linearly from [`Rules::slow_start_initial_capacity`] to the whole over
//! [`Rules::slow_start_duration`] (the operators' lower bound). A backend that gets more than
//! [`Rules::overload_multiple`] times its present capacity for [`Rules::overload_duration`] breaks
//! down, from all proxies together (the fourth protocol rule). Each proxy therefore saves up whole
//! attempts at a part of that rate, judged by what a warm backend completes for this proxy.
//!
//! It never decides whether an attempt is otherwise legal, nor which backend is picked.

use crate::endpoint_list::EndpointRecord;
use crate::event::Endpoint;
use crate::ids::Nanos;
use crate::settings::Rules;
use crate::timescale::{SECOND, Timescale};

/// Fraction of what is believed safe that this proxy sends a backend in slow start; the rest is for
/// what it can't see.
const SAFE_RATE_FRACTION: f64 = 0.5;

/// Attempts that can be saved up in any case: a proxy that picks the backend seldom would else lose
/// a part of one at most picks.
const MIN_TOKEN_CAPACITY: f64 = 2.0;

/// Attempts that slow start leaves to this proxy at one backend.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartTokens(f64);

impl SlowStartTokens {
    /// Tokens of a backend that is listed now. They start at a random fraction of an attempt: many
    /// proxies, each with less than an attempt in the rule's duration, then keep it by chance.
    pub(crate) fn new(random_fraction: f64) -> SlowStartTokens {
        SlowStartTokens(random_fraction)
    }

    /// An attempt was sent.
    pub(crate) fn spend(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }
}

/// The budget of backends in slow start.
pub(crate) struct SlowStart {
    rules: Rules,
    /// Completions a second of a backend that nothing is known of.
    min_completion_rate: f64,
    /// Completions a second that this proxy sees of each warm backend.
    completion_rate: f64,
}

impl SlowStart {
    /// Without any completion yet. A fleet that starts as a whole gets something to be judged by:
    /// all proxies together send a backend one attempt in each shortest latency objective.
    pub(crate) fn new(rules: &Rules, timescale: &Timescale, proxy_count: f64) -> SlowStart {
        SlowStart {
            rules: rules.clone(),
            min_completion_rate: 1.0 / (proxy_count * timescale.shortest_objective),
            completion_rate: 0.0,
        }
    }

    /// Fraction of its capacity that a backend has at least; 1 once it is warm.
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

    /// Whether an attempt may be sent as far as slow start goes.
    pub(crate) fn allows(&self, now: Nanos, record: &EndpointRecord) -> bool {
        self.capacity_fraction(now, record.endpoint()) >= 1.0 || record.slow_start_tokens.0 >= 1.0
    }

    /// Takes in what this proxy completes a second, and the summed capacity fractions of the
    /// backends that it does so at.
    pub(crate) fn set_completions(&mut self, per_second: f64, capacity_fraction_sum: f64) {
        self.completion_rate = per_second / capacity_fraction_sum.max(1e-9);
    }

    /// Completions a second that this proxy sees of each warm backend.
    #[cfg(test)]
    pub(crate) fn completion_rate(&self) -> f64 {
        self.completion_rate
    }

    /// Saves up attempts at a backend over `step` seconds.
    pub(crate) fn refill(&self, tokens: &mut SlowStartTokens, capacity_fraction: f64, step: f64) {
        let rules = &self.rules;
        let completion_rate = self.completion_rate.max(self.min_completion_rate);
        let refill_rate =
            SAFE_RATE_FRACTION * rules.overload_multiple * capacity_fraction * completion_rate;
        let token_capacity =
            (refill_rate * rules.overload_duration as f64 / SECOND).max(MIN_TOKEN_CAPACITY);
        tokens.0 = (tokens.0 + refill_rate * step).min(token_capacity);
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
