//! Reads the parameters of the protocol rules: `rules` on the wire.

use kitefork_balancer::{Nanos, Rules};

use crate::json::{ConfigError, JsonValue};

/// Interval at which the endpoint list is polled, if the settings give none.
const DEFAULT_POLL_INTERVAL: Nanos = 10_000_000_000;

/// Reads the protocol rules; optional keys that are absent get their defaults.
pub(crate) fn read(rules: &JsonValue) -> Result<Rules, ConfigError> {
    Ok(Rules {
        answer_slack: rules.get_or("answerSlackNs", 0, JsonValue::integer)?,
        drain_grace: rules.get("drainGraceNs")?.integer()?,
        drain_close_within: rules
            .find("drainCloseNs")
            .map(|value| value.integer())
            .transpose()?,
        slow_start_initial_capacity: rules.get("coldFrom")?.number()?,
        slow_start_duration: rules.get("coldNs")?.integer()?,
        overload_multiple: rules.get("tipMultiple")?.number()?,
        overload_duration: rules.get("fallNs")?.integer()?,
        poll_interval: rules.get_or("askWithinNs", DEFAULT_POLL_INTERVAL, JsonValue::integer)?,
    })
}
