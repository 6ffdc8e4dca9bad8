//! Retries: the budget that they draw on, and when an attempt is overdue.
//!
//! Each first attempt pays for a part of a retry, so that retries stay a bounded fraction of the
//! load however many attempts fail (a retry budget). Attempts that prove to be lost are cancelled
//! and retried out of the same budget. It never decides whether a repeat is legal; see
//! [`legality`](crate::legality).

use crate::ids::Nanos;
use crate::timescale::SECOND;

/// Retries that a first attempt pays for.
const RETRY_RATIO: f64 = 0.2;

/// Most retries that are saved up.
const MAX_TOKENS: f64 = 10.0;

/// Multiple of its expected latency after which an attempt is overdue.
pub(crate) const OVERDUE_MULTIPLE: f64 = 8.0;

/// Fraction of the latency objective that an attempt has at least before it is overdue.
const MIN_OVERDUE_FRACTION: f64 = 0.25;

/// The retry budget of this proxy.
#[derive(Default)]
pub(crate) struct RetryPolicy {
    /// Retries that are paid for.
    tokens: f64,
}

impl RetryPolicy {
    /// A first attempt was sent: it pays into the budget.
    pub(crate) fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Whether a retry is paid for.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one retry.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// How long an attempt may take before it counts as lost: [`OVERDUE_MULTIPLE`] times what it is
/// expected to take, and a part of its latency objective at least.
///
/// `mean_latency` is that of its class in seconds, `work_hint` the work that the request itself
/// announces.
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
