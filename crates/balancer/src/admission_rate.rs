//! The admission rate: how many attempts per second this proxy may start. It replaces the
//! concurrency limits if this proxy's share of a backend's limit is less than one attempt: the
//! limits are too coarse then.
//!
//! The rate is the rate of completions, multiplied by the ratio of the target latency (a fraction
//! of the latency objective) to the mean latency. This keeps many proxies from jointly overloading
//! a fleet until all answers are late. Tokens accumulate at that rate (a token bucket), and each
//! attempt spends one.

use crate::event::Outcome;
use crate::ids::Nanos;
use crate::statistics::DecayedSum;
use crate::timescale::{SECOND, Timescale, nanos};

/// Maximum of the admission rate as a multiple of the completion rate. The minimum of the admission
/// rate is the rate of received requests divided by this: once answers are fast, the rate then
/// recovers to all received requests within one arrival window. If the minimum allowed only a few
/// attempts, a proxy could fail to recover by chance.
const MAX_GROWTH: f64 = 5.0;

/// Target for the mean latency, as a fraction of the latency objective. With an exponential tail, a
/// fifth of the answers is late at this mean.
const TARGET_LATENCY_FRACTION: f64 = 0.65;

/// Tokens reserved for the requests with the highest weights.
pub(crate) const RESERVED_TOKENS: f64 = 2.0;

/// Tokens that the bucket must hold to admit a request; the attempt then spends one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionCost {
    tokens: f64,
}

impl AdmissionCost {
    /// Cost of a request that may use the reserved tokens: only the token that it spends.
    pub(crate) const MAY_USE_RESERVE: AdmissionCost = AdmissionCost { tokens: 1.0 };
    /// Cost of a request that must leave the reserved tokens to others.
    pub(crate) const KEEPS_RESERVE: AdmissionCost = AdmissionCost {
        tokens: 1.0 + RESERVED_TOKENS,
    };

    /// Whether the request must leave the reserved tokens to others.
    pub(crate) fn keeps_reserve(self) -> bool {
        self.tokens > 1.0
    }
}

/// The token bucket of this proxy and the rate at which it fills.
pub(crate) struct AdmissionRate {
    timescale: Timescale,
    tick: Nanos,
    /// Completions at all backends and their latencies in seconds, scaled to the shortest latency
    /// objective; decayed with the arrival window.
    completions: DecayedSum,
    /// Requests received, decayed with the arrival window.
    received: f64,
    tokens: f64,
    /// When the last scheduled wake-up is due; 0 before the first.
    wake_at: Nanos,
}

impl AdmissionRate {
    /// Creates a bucket with one token, without any completion yet.
    pub(crate) fn new(timescale: Timescale, tick: Nanos) -> AdmissionRate {
        AdmissionRate {
            timescale,
            tick,
            completions: DecayedSum::default(),
            received: 0.0,
            tokens: 1.0,
            wake_at: 0,
        }
    }

    /// Counts a received request; the minimum of the admission rate depends on the count.
    pub(crate) fn on_received(&mut self) {
        self.received += 1.0;
    }

    /// Spends one token on an attempt that was sent.
    pub(crate) fn on_sent(&mut self) {
        self.tokens -= 1.0;
    }

    /// Counts the end of an attempt. `latency` is in seconds, scaled to the shortest latency
    /// objective.
    pub(crate) fn on_ended(&mut self, outcome: Outcome, latency: f64) {
        match outcome {
            Outcome::Success => self.completions.add(1.0, latency),
            Outcome::Overloaded | Outcome::Timeout => {
                self.completions.add(0.0, self.timescale.shortest_objective);
            }
            // All other outcomes count as having used no capacity: the token is returned for
            // another attempt.
            _ => self.tokens += 1.0,
        }
    }

    /// Multiplies the weight of past requests and completions by `decay_factor`, from 0 to 1.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.received *= decay_factor;
        self.completions.decay(decay_factor);
    }

    /// Adds the tokens of `elapsed_seconds`. The bucket holds as many as accumulate within the
    /// shortest latency objective, but at least two more than the reserved tokens.
    pub(crate) fn refill(&mut self, now: Nanos, elapsed_seconds: f64) {
        let rate = self.attempts_per_second(now);
        let bucket_size = (rate * self.timescale.shortest_objective).max(2.0 + RESERVED_TOKENS);
        self.tokens = (self.tokens + rate * elapsed_seconds).min(bucket_size);
    }

    /// Maximum rate at which this proxy starts attempts, per second: at least one per arrival
    /// window. Until the first arrival window has passed, it is one per tick, so that the rate
    /// hardly limits traffic at the start.
    pub(crate) fn attempts_per_second(&self, now: Nanos) -> f64 {
        let window = self.timescale.arrival_window();
        if self.timescale.age(now) < window {
            return SECOND / self.tick as f64;
        }
        let mean_latency = self.completions.sum / self.completions.count.max(1e-9);
        let growth =
            TARGET_LATENCY_FRACTION * self.timescale.shortest_objective / mean_latency.max(1e-9);
        let minimum = (self.received / MAX_GROWTH).max(1.0);
        (self.completions.count * growth.min(MAX_GROWTH)).max(minimum) / window
    }

    /// Whether the bucket holds enough tokens for this cost.
    pub(crate) fn covers(&self, cost: AdmissionCost) -> bool {
        self.tokens >= cost.tokens
    }

    /// Completions per second that this proxy gets from all backends together.
    pub(crate) fn completions_per_second(&self, now: Nanos) -> f64 {
        self.timescale.per_second(now, self.completions.count)
    }

    /// Time at which the bucket will hold enough tokens for this cost; the caller schedules a
    /// wake-up for it. `None` if the bucket holds enough already, or if an earlier call returned a
    /// time after `now`.
    pub(crate) fn next_wake(&mut self, now: Nanos, cost: AdmissionCost) -> Option<Nanos> {
        if self.wake_at > now || self.covers(cost) {
            return None;
        }
        let wait = (cost.tokens - self.tokens) / self.attempts_per_second(now);
        self.wake_at = now + nanos(wait) + self.tick;
        Some(self.wake_at)
    }

    /// Sets the number of completions and their mean latency in seconds.
    #[cfg(test)]
    pub(crate) fn set_completions(&mut self, count: f64, mean_latency: f64) {
        self.completions = DecayedSum {
            count,
            sum: count * mean_latency,
        };
    }
}

#[cfg(test)]
#[path = "admission_rate_tests.rs"]
mod tests;
