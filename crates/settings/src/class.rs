//! Reads the classes of requests: `grades` on the wire.

use kitefork_balancer::{Class, DeduplicationScope, Idempotency};

use crate::decode::unknown_value;
use crate::json::{ConfigError, JsonValue};

/// Reads one entry of `grades`; optional keys that are absent get their defaults.
pub(crate) fn read(grade: &JsonValue) -> Result<Class, ConfigError> {
    // Read for every class, so that invalid values are reported even if `effect` is not `by_key`.
    let idempotency_key = read_idempotency_key(grade)?;
    Ok(Class {
        latency_objective: grade.get("goalTimeNs")?.integer()?,
        latency_objective_per_unit_of_work: grade.get_or("aimStretch", 0.0, JsonValue::number)?,
        client_timeout: grade.get("giveUpNs")?.integer()?,
        priority_weight: grade.get("importance")?.number()?,
        late_priority_weight: grade.get_or("lateValue", 0.0, JsonValue::number)?,
        idempotency: read_idempotency(&grade.get("effect")?, idempotency_key)?,
        streamed: grade.get_or("streamed", false, JsonValue::boolean)?,
    })
}

fn read_idempotency(
    effect: &JsonValue,
    idempotency_key: Idempotency,
) -> Result<Idempotency, ConfigError> {
    match effect.string()? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "by_key" => Ok(idempotency_key),
        "once" => Ok(Idempotency::NotIdempotent),
        other => Err(unknown_value(effect, other)),
    }
}

fn read_idempotency_key(grade: &JsonValue) -> Result<Idempotency, ConfigError> {
    Ok(Idempotency::IdempotencyKey {
        scope: grade.get_or("keyScope", DeduplicationScope::Cell, read_scope)?,
        window: grade.get_or("windowNs", 0, JsonValue::integer)?,
    })
}

fn read_scope(scope: &JsonValue) -> Result<DeduplicationScope, ConfigError> {
    match scope.string()? {
        "all" => Ok(DeduplicationScope::Global),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(unknown_value(scope, other)),
    }
}
