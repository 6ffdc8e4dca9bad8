//! Outlier ejection: a backend that fails far more often than the rest gets nothing for a while.
//!
//! Judged are failures, not latencies, which the split already follows: fast errors, dead and
//! unreachable backends answer too quickly for their latency to show. The time of an ejection
//! doubles with each one in a row. At most half of the ready backends is ejected; where more look
//! bad it can't be them alone, and ejection fails open. A fault of one class of requests only
//! ejects a backend for all classes.
//!
//! It never rejects a request and never decides whether an attempt is legal.

use crate::endpoint_list::EndpointList;
use crate::ids::{BackendId, Nanos};
use crate::timescale::{SECOND, Timescale};

/// Decayed failures that can make an outlier.
pub(crate) const OUTLIER_FAILURES: f64 = 3.0;

/// An outlier fails by this fraction more often than the rest of the fleet. One that fails less
/// still has capacity, which an overloaded fleet lacks; its service rate tells how much.
const OUTLIER_FAILURE_RATE_EXCESS: f64 = 0.5;

/// Consecutive failures that make an outlier, whatever it did before: rare at a backend in use.
const OUTLIER_CONSECUTIVE_FAILURES: f64 = 6.0;

/// Largest fraction of the ready backends that is ejected.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Doublings of the ejection time at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Failures of one backend, and its ejections.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureHistory {
    /// Decayed number of failures.
    failures: f64,
    /// Failures since its last completion.
    consecutive_failures: f64,
    ejected_until: Nanos,
    /// Ejections in a row.
    ejections: u32,
}

impl FailureHistory {
    /// Decayed number of failures.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Failures since its last completion.
    pub(crate) fn consecutive_failures(&self) -> f64 {
        self.consecutive_failures
    }

    /// Whether its last attempt to end was no failure.
    pub(crate) fn is_not_failing(&self) -> bool {
        self.consecutive_failures == 0.0
    }

    /// Keeps this fraction of the weight of each failure.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.failures *= decay_factor;
    }

    /// An attempt was served.
    pub(crate) fn on_completion(&mut self) {
        self.consecutive_failures = 0.0;
    }

    /// It has been serving well for a while: its next ejection is as short as its first.
    pub(crate) fn reset_backoff(&mut self) {
        self.ejections = 0;
    }

    fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }
}

/// An ejection that was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// When it ends.
    pub(crate) until: Nanos,
    /// How many seconds it lasts.
    pub(crate) seconds: f64,
}

/// Decides which backends are ejected.
pub(crate) struct OutlierDetector {
    /// Time of a first ejection, in seconds.
    base_ejection_seconds: f64,
    /// As of the last renewal: so many look bad that none is left out.
    fails_open: bool,
}

impl OutlierDetector {
    /// No backend is ejected yet. A first ejection lasts about two longest latency objectives.
    pub(crate) fn new(timescale: &Timescale) -> OutlierDetector {
        OutlierDetector {
            base_ejection_seconds: 2.0 * timescale.longest_objective,
            fails_open: false,
        }
    }

    /// Whether a backend gets nothing now.
    pub(crate) fn is_ejected(&self, now: Nanos, history: &FailureHistory) -> bool {
        history.is_ejected(now) && !self.fails_open
    }

    /// Decides anew whether ejection fails open.
    pub(crate) fn renew(&mut self, now: Nanos, endpoints: &EndpointList) {
        let ejected = ejected_count(now, endpoints);
        self.fails_open = ejected > MAX_EJECTED_FRACTION * endpoints.ready().count() as f64;
    }

    /// Counts a failure; returns the ejection if that makes the backend an outlier. `random` is a
    /// draw from [0, 1) that spreads the end of the ejection.
    pub(crate) fn on_failure(
        &self,
        now: Nanos,
        id: BackendId,
        endpoints: &mut EndpointList,
        random: f64,
    ) -> Option<Ejection> {
        let fleet = FleetFailures::from_endpoints(endpoints);
        let max_ejected = MAX_EJECTED_FRACTION * endpoints.ready().count() as f64;
        let is_at_limit = ejected_count(now, endpoints) + 1.0 > max_ejected;
        let record = endpoints.get_mut(id)?;
        let completions = record.service_times.completions();
        let history = &mut record.failure_history;
        history.failures += 1.0;
        history.consecutive_failures += 1.0;
        let is_outlier = history.is_outlier(completions, &fleet);
        if !is_outlier || is_at_limit || history.is_ejected(now) {
            return None;
        }
        let jitter = 0.75 + 0.5 * random;
        let doublings = history.ejections.min(MAX_BACKOFF_DOUBLINGS);
        let seconds = self.base_ejection_seconds * jitter * f64::from(1u32 << doublings);
        history.ejected_until = now + (seconds * SECOND) as Nanos;
        history.ejections += 1;
        history.failures = 0.0;
        Some(Ejection {
            until: history.ejected_until,
            seconds,
        })
    }
}

impl FailureHistory {
    fn is_outlier(&self, completions: f64, fleet: &FleetFailures) -> bool {
        let rest_failure_rate = (fleet.failures - self.failures).max(0.0)
            / (fleet.failures + fleet.completions - completions).max(1.0);
        let failure_rate = self.failures / (self.failures + completions);
        let has_not_recovered = self.ejections > 0 && completions < 1.0;
        let has_enough_failures = self.failures >= OUTLIER_FAILURES || has_not_recovered;
        has_enough_failures
            && (self.consecutive_failures >= OUTLIER_CONSECUTIVE_FAILURES
                || failure_rate > rest_failure_rate + OUTLIER_FAILURE_RATE_EXCESS)
    }
}

/// Failures and completions of all ready backends, before the failure that is judged.
struct FleetFailures {
    failures: f64,
    completions: f64,
}

impl FleetFailures {
    fn from_endpoints(endpoints: &EndpointList) -> FleetFailures {
        let zero = FleetFailures {
            failures: 0.0,
            completions: 0.0,
        };
        endpoints.ready().fold(zero, |sum, record| FleetFailures {
            failures: sum.failures + record.failure_history.failures,
            completions: sum.completions + record.service_times.completions(),
        })
    }
}

fn ejected_count(now: Nanos, endpoints: &EndpointList) -> f64 {
    endpoints
        .ready()
        .filter(|record| record.failure_history.is_ejected(now))
        .count() as f64
}

#[cfg(test)]
#[path = "outlier_detector_tests.rs"]
mod tests;
