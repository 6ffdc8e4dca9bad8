//! Concurrency limits: how many attempts each backend, and all of them together, may have in
//! flight.
//!
//! The limit of a backend follows its latency: it grows while answers take up to [`TOLERANCE`]
//! times what they take without load, and shrinks beyond. Each proxy's limits count against its
//! share of the attempts that a backend is taken to work on at once. Against overload, silence and
//! a fleet that chokes; too small a limit wastes capacity, so it grows with each success.
//!
//! Where that share is less than one attempt, limits are too coarse a measure and the
//! [admission rate](crate::admission_rate) takes their place.

use crate::estimator::ServiceTimes;
use crate::event::Outcome;
use crate::ids::Nanos;
use crate::timescale::seconds;

/// c of the design: how many requests a backend is taken to work on at once, so that c completions
/// come in one latency. One figure everywhere; summed service rates exceed the arrivals under
/// ordinary load.
pub(crate) const CONCURRENCY: f64 = 8.0;

/// Attempts that all proxies together let a backend hold: half of c, as the limit must bind before
/// the estimates of service rates do.
const SHARED_LIMIT: f64 = CONCURRENCY / 2.0;

/// Multiple of the unloaded latency up to which a backend keeps up.
pub(crate) const TOLERANCE: f64 = 1.3;

/// Latency ratio from which a backend is overloaded clearly.
pub(crate) const OVERLOAD_RATIO: f64 = TOLERANCE * TOLERANCE;

/// Fraction by which a limit moves at an answer that is off by as much as the tolerance.
const LIMIT_GAIN: f64 = 0.2;

/// Answers that the mean latency ratio of a backend remembers.
const LATENCY_RATIO_SAMPLES: f64 = 12.0;

/// Largest latency ratio that is taken in.
const MAX_LATENCY_RATIO: f64 = 10.0;

/// Fraction of this proxy's share that a limit never falls below.
const MIN_LIMIT_FRACTION: f64 = 0.25;

/// Attempts in flight at one backend, its limit, and its latest latencies.
#[derive(Clone, Copy, Default)]
pub(crate) struct BackendLoad {
    in_flight: f64,
    /// Sum of the times at which these were sent, in seconds.
    in_flight_sent_at_sum: f64,
    concurrency_limit: f64,
    /// Moving mean of its latencies as multiples of the unloaded latency.
    latency_ratio: f64,
    /// Its last answer as a multiple of the class's mean latency.
    last_latency_ratio: f64,
    last_answer_at: Nanos,
}

impl BackendLoad {
    /// Of a backend that has had no attempt yet.
    pub(crate) fn new(concurrency_limit: f64) -> BackendLoad {
        BackendLoad {
            concurrency_limit,
            latency_ratio: 1.0,
            ..BackendLoad::default()
        }
    }

    /// Of a new process of the same backend: what was learned says nothing of it, but attempts in
    /// flight at the old one will still end.
    pub(crate) fn restarted(&self, concurrency_limit: f64) -> BackendLoad {
        BackendLoad {
            in_flight: self.in_flight,
            in_flight_sent_at_sum: self.in_flight_sent_at_sum,
            ..BackendLoad::new(concurrency_limit)
        }
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Whether nothing of this proxy is in flight there.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0.0
    }

    /// Whether one more attempt is within the limit; one may always be in flight.
    pub(crate) fn has_capacity(&self) -> bool {
        self.is_idle() || self.in_flight + 1.0 <= self.concurrency_limit
    }

    /// Attempts in flight that the limit allows.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit
    }

    /// Sets the limit back, as for a backend that nothing is known of.
    pub(crate) fn reset_limit(&mut self, concurrency_limit: f64) {
        self.concurrency_limit = concurrency_limit;
    }

    /// Moving mean of its latencies as multiples of the unloaded latency.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Whether its last answer came after `since` and faster than the mean of its class.
    pub(crate) fn was_fast_since(&self, since: Nanos) -> bool {
        self.last_latency_ratio < 1.0 && self.last_answer_at >= since
    }

    /// Seconds that the attempts in flight have waited in sum.
    pub(crate) fn summed_wait_seconds(&self, now_seconds: f64) -> f64 {
        self.in_flight * now_seconds - self.in_flight_sent_at_sum
    }

    /// An attempt was sent.
    pub(crate) fn on_sent(&mut self, now: Nanos) {
        self.in_flight += 1.0;
        self.in_flight_sent_at_sum += seconds(now);
    }

    /// An attempt that was sent at `sent_at` has ended.
    pub(crate) fn on_ended(&mut self, sent_at: Nanos) {
        self.in_flight -= 1.0;
        self.in_flight_sent_at_sum -= seconds(sent_at);
    }
}

/// What the end of an attempt tells of the load of its backend.
pub(crate) struct LoadSample {
    pub(crate) outcome: Outcome,
    /// Latency as a multiple of the unloaded latency.
    pub(crate) latency_ratio: f64,
    /// Latency as a multiple of the class's mean.
    pub(crate) ratio_to_mean: f64,
    /// When it ended.
    pub(crate) at: Nanos,
}

/// The limits of this proxy.
pub(crate) struct ConcurrencyLimiter {
    /// This proxy's share of the attempts that a backend is taken to work on at once.
    share: f64,
    proxy_count: f64,
    shortest_objective: f64,
    /// Attempts in flight at all backends.
    in_flight: f64,
    /// Summed limits of the usable backends, less what pressure takes off.
    limit: f64,
}

impl ConcurrencyLimiter {
    /// For one of `proxy_count` proxies; `shortest_objective` is in seconds.
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

    /// Limit of a backend of which nothing is known: one attempt, or this proxy's share if that is
    /// less.
    pub(crate) fn initial_limit(&self) -> f64 {
        self.share.min(1.0)
    }

    /// Whether this proxy's share at a backend is less than one attempt. The root of it allows for
    /// other proxies that are not all at their shares at the same time.
    pub(crate) fn is_below_one(&self) -> bool {
        self.share + self.share.sqrt() < 1.0
    }

    /// Whether no further attempt may be in flight.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight >= self.limit.max(1.0) && self.in_flight > 0.0
    }

    /// An attempt was sent.
    pub(crate) fn on_sent(&mut self) {
        self.in_flight += 1.0;
    }

    /// An attempt has ended.
    pub(crate) fn on_ended(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Sets the limit of all backends together: their summed limits, cut by the square of the
    /// pressure beyond what is clear overload. Where limits are below one attempt they don't bind,
    /// and are not cut.
    pub(crate) fn set_total(&mut self, summed_limits: f64, pressure: f64) {
        self.limit = summed_limits;
        if !self.is_below_one() {
            self.limit /= (pressure / OVERLOAD_RATIO).max(1.0).powi(2);
        }
    }

    /// Moves a backend's limit so that its mean latency ratio nears the tolerance.
    /// `longest_unloaded_latency` is the longest of the classes', in seconds.
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
        load.last_latency_ratio = if is_success {
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

    /// Largest limit of one backend: behind as many of the longest work as all proxies let it
    /// hold, an answer to the tightest class is still in time. This proxy's share of that, and the
    /// root of it, as others are not all at their shares at the same time.
    fn max_backend_limit(&self, longest_unloaded_latency: f64) -> f64 {
        let max_attempts_in_time = self.shortest_objective / longest_unloaded_latency - 1.0;
        let proxy_share = SHARED_LIMIT.min(max_attempts_in_time).max(1.0) / self.proxy_count;
        (proxy_share + proxy_share.sqrt()).round()
    }
}

/// How far latencies and silence show overload: 1 is none.
///
/// What has waited shows overload before outcomes do: a whole fleet that breaks down or falls
/// silent at once. It could waste capacity where latencies are long for another cause.
#[derive(Default)]
pub(crate) struct Pressure {
    latency_sum: f64,
    summed_wait: f64,
    weighted_ratio_sum: f64,
    completions: f64,
}

impl Pressure {
    /// What attempts in flight have waited counts up to this multiple of what answers took: a few
    /// silent connections must not outweigh all that is answered.
    const MAX_WAIT_RATIO: f64 = 3.0;

    /// Takes in a backend that has completed something. Its latency ratio counts by completions:
    /// that of a backend which is met no more would else stay for good.
    pub(crate) fn add(&mut self, load: &BackendLoad, service_times: &ServiceTimes, now: Nanos) {
        let max_wait = Self::MAX_WAIT_RATIO * service_times.latency_sum();
        self.latency_sum += service_times.latency_sum();
        self.summed_wait += load.summed_wait_seconds(seconds(now)).min(max_wait);
        self.weighted_ratio_sum += load.latency_ratio * service_times.completions();
        self.completions += service_times.completions();
    }

    /// The mean latency ratio, raised by what attempts in flight have waited.
    pub(crate) fn value(&self) -> f64 {
        self.weighted_ratio_sum / f64::max(self.completions, 1e-9)
            * (1.0 + self.summed_wait / f64::max(self.latency_sum, 1e-3))
    }
}

#[cfg(test)]
#[path = "concurrency_limiter_tests.rs"]
mod tests;
