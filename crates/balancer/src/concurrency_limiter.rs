//! Concurrency limits: how many attempts may be in flight at each backend, and at all backends
//! together.
//!
//! The limit of a backend follows its latency: it grows while answers take up to [`TOLERANCE`]
//! times the unloaded latency, and shrinks beyond that. Its bounds depend on this proxy's share of
//! the attempts that all proxies together may have in flight there. The limits protect against
//! overload, against backends that stop answering and against the collapse of a whole fleet. A
//! limit that is too small wastes capacity, so a limit that is in use grows with each answer while
//! answers are fast.
//!
//! If this proxy's share is less than one attempt, the limits are too coarse, and the [admission
//! rate](crate::admission_rate) takes their place.

use crate::estimator::ServiceTimes;
use crate::event::Outcome;
use crate::ids::Nanos;
use crate::timescale::seconds;

/// c of the service rate c N / L: the number of requests that a backend is assumed to execute at
/// once, so that c completions come in one latency. The same value applies to all backends; with
/// it, the summed service rates exceed the arrivals under ordinary load.
pub(crate) const CONCURRENCY: f64 = 8.0;

/// Attempts that all proxies together may have in flight at a backend: half of c, as the limit must
/// take effect before the estimates of the service rates do.
const SHARED_LIMIT: f64 = CONCURRENCY / 2.0;

/// Multiple of the unloaded latency up to which a backend counts as not overloaded.
pub(crate) const TOLERANCE: f64 = 1.3;

/// Multiple of the unloaded latency from which a backend is clearly overloaded.
pub(crate) const OVERLOAD_RATIO: f64 = TOLERANCE * TOLERANCE;

/// Gain of the limit: each adjustment, after an answer or a timeout, multiplies the limit by
/// `1 + LIMIT_GAIN * (TOLERANCE / latency_ratio - 1)`, within the limit's bounds.
const LIMIT_GAIN: f64 = 0.2;

/// Number of answers in the moving mean of a backend's latency ratio, its latency as a multiple of
/// the unloaded latency.
const LATENCY_RATIO_SAMPLES: f64 = 12.0;

/// Latency ratios above this value count as this value.
const MAX_LATENCY_RATIO: f64 = 10.0;

/// Minimum of a backend's limit, as a fraction of this proxy's share of [`SHARED_LIMIT`].
const MIN_LIMIT_FRACTION: f64 = 0.25;

/// Attempts in flight at one backend, its limit and its latest latencies.
#[derive(Clone, Copy, Default)]
pub(crate) struct BackendLoad {
    in_flight: f64,
    /// Sum of the times at which the attempts in flight were sent, in seconds.
    in_flight_sent_at_sum: f64,
    concurrency_limit: f64,
    /// Moving mean of the backend's latencies as multiples of the unloaded latency.
    latency_ratio: f64,
    /// Latency of the last answer as a multiple of the mean latency of its class; infinite after a
    /// timeout or a rejection.
    last_ratio_to_mean: f64,
    last_answer_at: Nanos,
}

impl BackendLoad {
    /// The load of a backend that has had no attempt yet.
    pub(crate) fn new(concurrency_limit: f64) -> BackendLoad {
        BackendLoad {
            concurrency_limit,
            latency_ratio: 1.0,
            ..BackendLoad::default()
        }
    }

    /// The load of a new process of the same backend: past latencies say nothing about it, but the
    /// attempts in flight at the old process will still end.
    pub(crate) fn restarted(&self, concurrency_limit: f64) -> BackendLoad {
        BackendLoad {
            in_flight: self.in_flight,
            in_flight_sent_at_sum: self.in_flight_sent_at_sum,
            ..BackendLoad::new(concurrency_limit)
        }
    }

    /// Number of attempts of this proxy in flight at the backend.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Whether no attempt of this proxy is in flight at the backend.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0.0
    }

    /// Whether one more attempt is within the limit. One attempt may always be in flight.
    pub(crate) fn has_capacity(&self) -> bool {
        self.is_idle() || self.in_flight + 1.0 <= self.concurrency_limit
    }

    /// Maximum number of attempts in flight. May be a fraction, also below 1.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit
    }

    /// Sets the limit to `concurrency_limit`, whatever the latencies of past attempts.
    pub(crate) fn reset_limit(&mut self, concurrency_limit: f64) {
        self.concurrency_limit = concurrency_limit;
    }

    /// Moving mean of the backend's latencies as multiples of the unloaded latency.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Whether the last answer came at `since` or later and was faster than the mean of its class.
    pub(crate) fn was_fast_since(&self, since: Nanos) -> bool {
        self.last_ratio_to_mean < 1.0 && self.last_answer_at >= since
    }

    /// Summed time, in seconds, that the attempts of this proxy in flight at the backend have
    /// waited.
    pub(crate) fn summed_wait_seconds(&self, now_seconds: f64) -> f64 {
        self.in_flight * now_seconds - self.in_flight_sent_at_sum
    }

    /// Counts an attempt that is sent at `now`.
    pub(crate) fn on_sent(&mut self, now: Nanos) {
        self.in_flight += 1.0;
        self.in_flight_sent_at_sum += seconds(now);
    }

    /// Counts the end of an attempt that was sent at `sent_at`.
    pub(crate) fn on_ended(&mut self, sent_at: Nanos) {
        self.in_flight -= 1.0;
        self.in_flight_sent_at_sum -= seconds(sent_at);
    }
}

/// The end of an attempt, as a sample of its backend's load.
pub(crate) struct LoadSample {
    pub(crate) outcome: Outcome,
    /// Latency as a multiple of the unloaded latency.
    pub(crate) latency_ratio: f64,
    /// Latency as a multiple of the mean latency of the class.
    pub(crate) ratio_to_mean: f64,
    /// When the attempt ended.
    pub(crate) at: Nanos,
}

/// Sets and applies the concurrency limits of this proxy.
pub(crate) struct ConcurrencyLimiter {
    /// This proxy's share of [`SHARED_LIMIT`]: an equal part for each proxy.
    share: f64,
    proxy_count: f64,
    /// Shortest latency objective of a class, in seconds.
    shortest_objective: f64,
    /// Attempts in flight at all backends.
    in_flight: f64,
    /// Summed limits of the usable backends, reduced under pressure.
    limit: f64,
}

impl ConcurrencyLimiter {
    /// A limiter of one of `proxy_count` proxies. `shortest_objective` is in seconds.
    pub(crate) fn new(proxy_count: f64, shortest_objective: f64) -> ConcurrencyLimiter {
        let share = SHARED_LIMIT / proxy_count;
        ConcurrencyLimiter {
            share,
            proxy_count,
            shortest_objective,
            in_flight: 0.0,
            limit: 0.0,
        }
    }

    /// Limit of a backend without known latencies: one attempt, or this proxy's share if that is
    /// less.
    pub(crate) fn initial_limit(&self) -> f64 {
        self.share.min(1.0)
    }

    /// Whether this proxy's share of [`SHARED_LIMIT`], plus the square root of the share, is less
    /// than one attempt. The square root is added as not all other proxies use their whole shares
    /// at the same time.
    pub(crate) fn is_below_one(&self) -> bool {
        self.share + self.share.sqrt() < 1.0
    }

    /// Whether the attempts in flight at all backends have reached their joint limit. One attempt
    /// may always be in flight.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight >= self.limit.max(1.0) && self.in_flight > 0.0
    }

    /// Counts an attempt that is sent to any backend.
    pub(crate) fn on_sent(&mut self) {
        self.in_flight += 1.0;
    }

    /// Counts the end of an attempt at any backend.
    pub(crate) fn on_ended(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Sets the limit of all backends together to their summed limits. If the pressure exceeds
    /// [`OVERLOAD_RATIO`], the limit is divided by the square of `pressure / OVERLOAD_RATIO`. If
    /// [`is_below_one`](Self::is_below_one), the limits don't apply and are not reduced.
    pub(crate) fn set_total(&mut self, summed_limits: f64, pressure: f64) {
        self.limit = summed_limits;
        if !self.is_below_one() {
            self.limit /= (pressure / OVERLOAD_RATIO).max(1.0).powi(2);
        }
    }

    /// Changes the limit of a backend so that its mean latency ratio approaches the tolerance. A
    /// limit that the attempts in flight do not reach is not raised. `longest_unloaded_latency` is
    /// the longest one of all classes, in seconds.
    pub(crate) fn adjust(
        &self,
        load: &mut BackendLoad,
        sample: &LoadSample,
        longest_unloaded_latency: f64,
    ) {
        let ratio = match sample.outcome {
            Outcome::Success => sample.latency_ratio,
            Outcome::Timeout | Outcome::Overloaded => sample.latency_ratio.max(2.0 * TOLERANCE),
            _ => return,
        };
        let is_success = sample.outcome == Outcome::Success;
        load.last_ratio_to_mean = if is_success {
            sample.ratio_to_mean
        } else {
            f64::INFINITY
        };
        load.last_answer_at = sample.at;
        load.latency_ratio +=
            (ratio.min(MAX_LATENCY_RATIO) - load.latency_ratio) / LATENCY_RATIO_SAMPLES;
        let growth = LIMIT_GAIN * (TOLERANCE / load.latency_ratio - 1.0);
        if growth < 0.0 || load.in_flight + 1.0 >= load.concurrency_limit.floor() {
            let min_limit = MIN_LIMIT_FRACTION * self.share;
            let max_limit = self.max_backend_limit(longest_unloaded_latency).max(1.0);
            load.concurrency_limit =
                (load.concurrency_limit * (1.0 + growth)).clamp(min_limit, max_limit);
        }
    }

    /// Maximum limit of one backend. All proxies together may have at most [`SHARED_LIMIT`]
    /// attempts in flight there. They must also be few enough that an attempt with the shortest
    /// objective is still answered in time after them, if each of them takes the longest unloaded
    /// latency. The limit is this proxy's share of that number plus the square root of the share,
    /// as not all other proxies use their whole shares at the same time.
    fn max_backend_limit(&self, longest_unloaded_latency: f64) -> f64 {
        let max_attempts_in_time = self.shortest_objective / longest_unloaded_latency - 1.0;
        let proxy_share = SHARED_LIMIT.min(max_attempts_in_time).max(1.0) / self.proxy_count;
        (proxy_share + proxy_share.sqrt()).round()
    }
}

/// How much overload the latencies and the attempts without an answer indicate; 1 means none.
///
/// The time that attempts have waited shows overload earlier than outcomes do when a whole fleet
/// breaks down or stops answering at once. This could waste capacity where latencies are long for
/// another reason.
#[derive(Default)]
pub(crate) struct Pressure {
    /// Sum of the decayed latency sums of the backends, in seconds.
    latency_sum: f64,
    /// Summed time, in seconds, that the attempts in flight have waited, limited for each backend.
    summed_wait: f64,
    /// Sum of the latency ratios of the backends, weighted by their completions.
    weighted_ratio_sum: f64,
    completions: f64,
}

impl Pressure {
    /// Maximum wait that counts at a backend, as a multiple of the summed latencies of its answers:
    /// a few connections without an answer must not outweigh all answers.
    const MAX_WAIT_RATIO: f64 = 3.0;

    /// Adds a backend that has completed an attempt. Latency ratios are weighted by completions,
    /// since the ratio of a backend that receives no more attempts would otherwise count forever.
    pub(crate) fn add(&mut self, load: &BackendLoad, service_times: &ServiceTimes, now: Nanos) {
        let max_wait = Self::MAX_WAIT_RATIO * service_times.latency_sum();
        self.latency_sum += service_times.latency_sum();
        self.summed_wait += load.summed_wait_seconds(seconds(now)).min(max_wait);
        self.weighted_ratio_sum += load.latency_ratio * service_times.completions();
        self.completions += service_times.completions();
    }

    /// Mean latency ratio, increased by the relative wait of the attempts in flight.
    pub(crate) fn value(&self) -> f64 {
        self.weighted_ratio_sum / f64::max(self.completions, 1e-9)
            * (1.0 + self.summed_wait / f64::max(self.latency_sum, 1e-3))
    }
}

#[cfg(test)]
#[path = "concurrency_limiter_tests.rs"]
mod tests;
