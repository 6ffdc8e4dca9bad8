//! Retries: the retry budget, and when an attempt is overdue.
//!
//! Each first attempt adds a fraction of a retry to the budget, so that retries stay a bounded
//! fraction of the load however many attempts fail. Overdue attempts are cancelled and retried from
//! the same budget. Whether another attempt is legal is decided by [`legality`](crate::legality).

use crate::ids::Nanos;
use crate::timescale::SECOND;

/// Retries that each first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.2;

/// Maximum number of retries in the budget.
const MAX_TOKENS: f64 = 10.0;

/// An attempt is overdue after this multiple of its expected latency.
pub(crate) const OVERDUE_MULTIPLE: f64 = 8.0;

/// Minimum time before an attempt is overdue, as a fraction of the latency objective.
const MIN_OVERDUE_FRACTION: f64 = 0.25;

/// The retry budget of this proxy.
#[derive(Default)]
pub(crate) struct RetryPolicy {
    /// Retries that the budget still allows.
    tokens: f64,
}

impl RetryPolicy {
    /// Adds [`RETRY_RATIO`] of a retry to the budget for a first attempt that was sent.
    pub(crate) fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Whether the budget holds a whole retry.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry from the budget.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Time from sending an attempt until it is overdue: [`OVERDUE_MULTIPLE`] times its expected
/// latency, but at least [`MIN_OVERDUE_FRACTION`] of its latency objective.
///
/// `mean_latency` is the mean latency of the request's class in seconds, `work_hint` the expected
/// work that the request announces.
pub(crate) fn overdue_after(
    mean_latency: f64,
    work_hint: Option<Nanos>,
    latency_objective: Nanos,
) -> Nanos {
    let expected = mean_latency * SECOND + work_hint.unwrap_or(0) as f64;
    let minimum = MIN_OVERDUE_FRACTION * latency_objective as f64;
    (OVERDUE_MULTIPLE * expected).max(minimum) as Nanos
}

#[cfg(test)]
#[path = "retry_policy_tests.rs"]
mod tests;
