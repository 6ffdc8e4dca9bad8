//! Outlier ejection: a backend that fails far more often than the others receives no attempts for a
//! while.
//!
//! Only failures are judged; the split already follows latencies. A backend that answers with
//! errors at once, has stopped or is unreachable fails too quickly for its latency to show the
//! fault. The duration of an ejection doubles with each consecutive ejection, up to a maximum. At
//! most half of the ready backends are ejected; if more appear faulty, the backends alone can't be
//! the cause. If the list changes so that more than half of the ready backends are ejected,
//! ejection fails open: attempts go to ejected backends as well. A fault in a single class of
//! requests ejects a backend for all classes.
//!
//! This module does not reject requests and does not decide whether an attempt is legal.

use crate::endpoint_list::EndpointList;
use crate::ids::{BackendId, Nanos};
use crate::timescale::{SECOND, Timescale};

/// Decayed number of failures from which a backend can be an outlier.
pub(crate) const OUTLIER_FAILURES: f64 = 3.0;

/// The failure rate of an outlier exceeds that of the other backends by more than this. A backend
/// with a smaller excess still has capacity, which an overloaded fleet needs; its service rate
/// shows how much.
const OUTLIER_FAILURE_RATE_EXCESS: f64 = 0.5;

/// Consecutive failures that make an outlier regardless of earlier completions; they are rare at a
/// backend in use.
const OUTLIER_CONSECUTIVE_FAILURES: f64 = 6.0;

/// Maximum fraction of the ready backends that is ejected.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Maximum number of times that the duration of an ejection doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Failures and ejections of one backend.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureHistory {
    /// Decayed number of failures.
    failures: f64,
    /// Failures since the backend's last completion.
    consecutive_failures: f64,
    ejected_until: Nanos,
    /// Consecutive ejections, which determine the duration of the next one.
    consecutive_ejections: u32,
}

impl FailureHistory {
    /// Decayed number of failures.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Failures since the backend's last completion.
    pub(crate) fn consecutive_failures(&self) -> f64 {
        self.consecutive_failures
    }

    /// Whether the backend has had no failure since its last completion.
    pub(crate) fn is_not_failing(&self) -> bool {
        self.consecutive_failures == 0.0
    }

    /// Multiplies the weight of past failures by `decay_factor`, from 0 to 1.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.failures *= decay_factor;
    }

    /// Sets the number of consecutive failures to 0 after an attempt was served.
    pub(crate) fn on_completion(&mut self) {
        self.consecutive_failures = 0.0;
    }

    /// Resets the duration of the next ejection to that of a first one, after the backend has
    /// served enough attempts.
    pub(crate) fn reset_backoff(&mut self) {
        self.consecutive_ejections = 0;
    }

    fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }
}

/// An ejection that a failure has just caused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// When the ejection ends.
    pub(crate) until: Nanos,
    /// Duration in seconds, jitter and doublings included.
    pub(crate) seconds: f64,
}

/// Decides which backends are ejected.
pub(crate) struct OutlierDetector {
    /// Duration of a first ejection before jitter, in seconds.
    base_ejection_seconds: f64,
    /// Whether, at the last renewal, so many backends were ejected that ejections are ignored.
    fails_open: bool,
}

impl OutlierDetector {
    /// A detector without ejections. A first ejection lasts about two longest latency objectives.
    pub(crate) fn new(timescale: &Timescale) -> OutlierDetector {
        OutlierDetector {
            base_ejection_seconds: 2.0 * timescale.longest_objective,
            fails_open: false,
        }
    }

    /// Whether a backend must receive no attempts now.
    pub(crate) fn is_ejected(&self, now: Nanos, history: &FailureHistory) -> bool {
        history.is_ejected(now) && !self.fails_open
    }

    /// Suspends ejection (fails open) until the next renewal if more than half of the ready
    /// backends are ejected now; otherwise ends the suspension.
    pub(crate) fn renew(&mut self, now: Nanos, endpoints: &EndpointList) {
        let ejected = ejected_count(now, endpoints);
        self.fails_open = ejected > MAX_EJECTED_FRACTION * endpoints.ready().count() as f64;
    }

    /// Counts a failure of a backend, and ejects the backend if the failure makes it an outlier.
    /// `None` if it is not ejected by this failure. `jitter_draw` is a draw from [0, 1) that
    /// determines the jitter of the ejection's duration.
    pub(crate) fn on_failure(
        &self,
        now: Nanos,
        id: BackendId,
        endpoints: &mut EndpointList,
        jitter_draw: f64,
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
        let jitter = 0.75 + 0.5 * jitter_draw;
        let doublings = history.consecutive_ejections.min(MAX_BACKOFF_DOUBLINGS);
        let seconds = self.base_ejection_seconds * jitter * f64::from(1u32 << doublings);
        history.ejected_until = now + (seconds * SECOND) as Nanos;
        history.consecutive_ejections += 1;
        history.failures = 0.0;
        Some(Ejection {
            until: history.ejected_until,
            seconds,
        })
    }
}

impl FailureHistory {
    /// Whether the failures make this backend an outlier. After an ejection and until the backend
    /// has completed an attempt again, any number of failures is enough instead of
    /// [`OUTLIER_FAILURES`].
    fn is_outlier(&self, completions: f64, fleet: &FleetFailures) -> bool {
        let rest_failure_rate = (fleet.failures - self.failures).max(0.0)
            / (fleet.failures + fleet.completions - completions).max(1.0);
        let failure_rate = self.failures / (self.failures + completions);
        let has_not_recovered = self.consecutive_ejections > 0 && completions < 1.0;
        let has_enough_failures = self.failures >= OUTLIER_FAILURES || has_not_recovered;
        has_enough_failures
            && (self.consecutive_failures >= OUTLIER_CONSECUTIVE_FAILURES
                || failure_rate > rest_failure_rate + OUTLIER_FAILURE_RATE_EXCESS)
    }
}

/// Failures and completions of all ready backends, summed before a new failure is counted.
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
