//! The admission rate: how many attempts a second this proxy starts where concurrency limits are
//! too coarse, as its share of a backend is less than one attempt.
//!
//! As many attempts are admitted as are completed, times how far the latencies are under the part
//! of their objectives that is aimed at. This keeps many proxies from overloading a fleet together
//! until all answers are late. Tokens are saved up at that rate (a token bucket), and an admission
//! spends them.

use crate::event::Outcome;
use crate::ids::Nanos;
use crate::statistics::DecayedSum;
use crate::timescale::{SECOND, Timescale, nanos};

/// Multiple of what is completed that the rate reaches at most, and the part of what is received
/// that is started in any case: once answers are fast, an arrival window then brings back the
/// whole. With only a few starts, chance would keep a proxy down.
const MAX_GROWTH: f64 = 5.0;

/// Part of the latency objective that answers may take in the mean: with an exponential tail a
/// fifth is late then.
const TARGET_LATENCY_FRACTION: f64 = 0.65;

/// Tokens that are kept for the most weighty requests.
pub(crate) const RESERVED_TOKENS: f64 = 2.0;

/// What one admission needs to find in the bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionCost {
    tokens: f64,
}

impl AdmissionCost {
    /// Of a request among the most weighty: the token that it spends.
    pub(crate) const MAY_USE_RESERVE: AdmissionCost = AdmissionCost { tokens: 1.0 };
    /// Of a request that leaves the reserve to others.
    pub(crate) const KEEPS_RESERVE: AdmissionCost = AdmissionCost {
        tokens: 1.0 + RESERVED_TOKENS,
    };

    /// Whether it leaves the reserve to others.
    pub(crate) fn keeps_reserve(self) -> bool {
        self.tokens > 1.0
    }
}

/// The token bucket of this proxy and the rate at which it fills.
pub(crate) struct AdmissionRate {
    timescale: Timescale,
    tick: Nanos,
    /// Completions and their latencies in seconds, scaled to the shortest latency objective, of all
    /// backends together; decayed with the arrival window.
    completions: DecayedSum,
    /// Requests received, decayed likewise.
    received: f64,
    tokens: f64,
    /// When a timer is due at which the next request can be admitted.
    wake_at: Nanos,
}

impl AdmissionRate {
    /// Holds one token and has seen nothing.
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

    /// A request was received.
    pub(crate) fn on_received(&mut self) {
        self.received += 1.0;
    }

    /// An attempt was sent.
    pub(crate) fn on_sent(&mut self) {
        self.tokens -= 1.0;
    }

    /// An attempt has ended. `latency` is in seconds, scaled to the shortest latency objective.
    pub(crate) fn on_ended(&mut self, outcome: Outcome, latency: f64) {
        match outcome {
            Outcome::Success => self.completions.add(1.0, latency),
            Outcome::Overloaded | Outcome::Timeout => {
                self.completions.add(0.0, self.timescale.shortest_objective);
            }
            // It has used no capacity: another may be sent for it.
            _ => self.tokens += 1.0,
        }
    }

    /// Keeps this fraction of the weight of what was counted.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.received *= factor;
        self.completions.decay(factor);
    }

    /// Saves up tokens over `step` seconds: at most those of a shortest latency objective, and
    /// the reserve in any case.
    pub(crate) fn refill(&mut self, now: Nanos, elapsed_seconds: f64) {
        let rate = self.attempts_per_second(now);
        let bucket_size = (rate * self.timescale.shortest_objective).max(2.0 + RESERVED_TOKENS);
        self.tokens = (self.tokens + rate * elapsed_seconds).min(bucket_size);
    }

    /// Attempts a second that this proxy may start. Without a limit before the first arrival
    /// window is over.
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

    /// Whether the bucket holds what an admission costs.
    pub(crate) fn covers(&self, cost: AdmissionCost) -> bool {
        self.tokens >= cost.tokens
    }

    /// Completions a second, of all backends together.
    pub(crate) fn completions_per_second(&self, now: Nanos) -> f64 {
        self.timescale.per_second(now, self.completions.count)
    }

    /// When the bucket will hold what an admission costs, if a timer is wanted for that: the bucket
    /// does not hold it yet and no timer is due later than now.
    pub(crate) fn next_wake(&mut self, now: Nanos, cost: AdmissionCost) -> Option<Nanos> {
        if self.wake_at > now || self.covers(cost) {
            return None;
        }
        let wait = (cost.tokens - self.tokens) / self.attempts_per_second(now);
        self.wake_at = now + nanos(wait) + self.tick;
        Some(self.wake_at)
    }

    /// Sets what was completed.
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
