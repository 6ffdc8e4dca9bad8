//! Reads the limits that the decision module uses: `limits` on the wire. The other keys of `limits`
//! are read into the [`Deployment`](crate::Deployment).

use kitefork_balancer::Limits;

use crate::json::{ConfigError, JsonValue};

/// Reads the limits of the decision module; optional keys that are absent get their defaults.
pub(crate) fn read(limits: &JsonValue) -> Result<Limits, ConfigError> {
    Ok(Limits {
        max_attempts: limits.get("maxAttempts")?.small_integer()?,
        can_cancel: limits.get_or("cancel", false, JsonValue::boolean)?,
        health_checks: limits.get_or("probes", false, JsonValue::boolean)?,
        // The key `retryAfter`, which says whether the simulator advises its clients when to retry,
        // is ignored. Over HTTP a rejection may always carry `Retry-After`; without it, all
        // rejected clients would retry immediately.
        max_retry_after: limits.get_or("maxRetryAfterNs", 0, JsonValue::integer)?,
        // The platform has no such key; the program that runs the balancer may lower the value.
        never_attempted_timeout_fraction: 1.0,
    })
}
