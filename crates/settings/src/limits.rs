//! What the site permits: `limits` on the wire. Its limits on connections are read with the
//! [`Deployment`](crate::Deployment).

use kitefork_balancer::Limits;

use crate::json::{ConfigError, JsonValue};

/// Reads `limits`.
pub(crate) fn read(limits: &JsonValue) -> Result<Limits, ConfigError> {
    Ok(Limits {
        max_attempts: limits.get("maxAttempts")?.small_integer()?,
        can_cancel: limits.get_or("cancel", false, JsonValue::boolean)?,
        health_checks: limits.get_or("probes", false, JsonValue::boolean)?,
        // `retryAfter` is ignored: it only says whether clients in the simulator are given the
        // advice. A rejection over HTTP may always carry it, and without it a rejected client is
        // back at once, into the same crowd.
        max_retry_after: limits.get_or("maxRetryAfterNs", 0, JsonValue::integer)?,
        // No setting of the platform's: the host of the balancer may lower it.
        never_attempted_timeout_fraction: 1.0,
    })
}
