//! The settings of a deployment, decoded once into what the decisions and the node use. Node and
//! drill adapter share this decoder, so that both run on the same figures.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod json;

use json::{ConfigError, JsonValue};
use kitefork_balancer::{
    Class, DeduplicationScope, Idempotency, Limits, Nanos, Rules, Settings, Tenant, ZoneId,
};

/// What the node needs beyond the decisions: names, and limits on connections.
pub struct Deployment {
    /// What the decisions are told.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the tenants, in order.
    pub tenants: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, in order.
    pub kinds: Vec<String>,
    /// A backend's machine closes a connection that has stood idle for this time.
    pub idle_limit: Nanos,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Nanos,
    /// Requests held at most.
    pub most_held: usize,
}

/// What the decisions call a setting, and the key that it is read from.
const NAMES: [(&str, &str); 6] = [
    ("tick", "tickNs"),
    ("classes", "grades"),
    ("tail_weight", "goal.tail"),
    ("rules.slow_start_initial_capacity", "rules.coldFrom"),
    ("rules.drain_close_within", "rules.drainCloseNs"),
    ("rules.overload_duration", "rules.fallNs"),
];

/// Reads the settings object.
pub fn read(root: &JsonValue) -> Result<Deployment, ConfigError> {
    let grades = root.get("grades")?.array()?;
    let tenants = root.find("tenants").map_or(Ok(Vec::new()), |t| t.array())?;
    let (limits, rules) = (root.get("limits")?, root.get("rules")?);
    let within = |key: &str, inner: &str| root.find(key).and_then(|place| place.find(inner));
    let settings = Settings {
        classes: grades.iter().map(class).collect::<Result<_, _>>()?,
        tenants: tenants
            .iter()
            .map(|t| {
                Ok(Tenant {
                    quota_per_second: t.get_or("quotaPerS", 0.0, JsonValue::number)?,
                })
            })
            .collect::<Result<_, ConfigError>>()?,
        zone: ZoneId(root.get_or("zone", 0, JsonValue::small_integer)?),
        proxy_index: root.get_or("me", 0, JsonValue::small_integer)?,
        proxy_count: root.get_or("siblings", 1, JsonValue::small_integer)?,
        poll_endpoints: word(
            &root.get("membershipMode")?,
            &[("automatic", false), ("subscribe", true)],
        )?,
        tick: root.get("tickNs")?.integer()?,
        over_quota_weight: root.get_or("overShareWorth", 1.0, JsonValue::number)?,
        weight_per_unit_of_work: root.find("worthBy").map_or(Ok(false), |place| {
            word(&place, &[("request", false), ("work", true)])
        })?,
        cross_zone_cost: within("penalties", "crossZone")
            .map_or(Ok(0.0), |place| place.number())?,
        tail_weight: within("goal", "tail").map_or(Ok(0.0), |place| place.number())?,
        limits: Limits {
            max_attempts: limits.get("maxAttempts")?.small_integer()?,
            can_cancel: limits.get_or("cancel", false, JsonValue::boolean)?,
            health_checks: limits.get_or("probes", false, JsonValue::boolean)?,
            // `retryAfter` only says whether the drill's clients are handed the advice. A refusal
            // over HTTP may always carry it, and without it a refused client is back at once, into
            // the same crowd.
            max_retry_after: limits.get_or("maxRetryAfterNs", 0, JsonValue::integer)?,
            never_attempted_fraction: 1.0,
        },
        rules: Rules {
            answer_slack: rules.get_or("answerSlackNs", 0, JsonValue::integer)?,
            drain_grace: rules.get("drainGraceNs")?.integer()?,
            drain_close_within: rules
                .find("drainCloseNs")
                .map(|place| place.integer())
                .transpose()?,
            slow_start_initial_capacity: rules.get("coldFrom")?.number()?,
            slow_start_duration: rules.get("coldNs")?.integer()?,
            overload_multiple: rules.get("tipMultiple")?.number()?,
            overload_duration: rules.get("fallNs")?.integer()?,
            poll_interval: rules.get_or("askWithinNs", 10_000_000_000, JsonValue::integer)?,
        },
    };
    settings.check().map_err(|wrong| {
        let name = NAMES
            .iter()
            .find(|(own, _)| *own == wrong.key)
            .map_or(wrong.key, |(_, name)| name);
        root.invalid_at(name, wrong.reason)
    })?;
    Ok(Deployment {
        settings,
        classes: names(&grades)?,
        tenants: names(&tenants)?,
        zones: texts(root, "azs")?,
        kinds: texts(root, "kinds")?,
        idle_limit: limits.get_or("connIdleNs", 10_000_000_000, JsonValue::integer)?,
        connect_timeout: limits.get_or("connectTimeoutNs", 250_000_000, JsonValue::integer)?,
        most_held: limits.get_or("mostHeld", 20_000, JsonValue::small_integer)?,
    })
}

fn class(grade: &JsonValue) -> Result<Class, ConfigError> {
    let scopes = [
        ("all", DeduplicationScope::Global),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let keyed = Idempotency::IdempotencyKey {
        scope: grade
            .find("keyScope")
            .map_or(Ok(DeduplicationScope::Cell), |place| word(&place, &scopes))?,
        window: grade.get_or("windowNs", 0, JsonValue::integer)?,
    };
    let effects = [
        ("repeatable", Idempotency::Idempotent),
        ("by_key", keyed),
        ("once", Idempotency::NotIdempotent),
    ];
    Ok(Class {
        latency_objective: grade.get("goalTimeNs")?.integer()?,
        latency_objective_per_unit_of_work: grade.get_or("aimStretch", 0.0, JsonValue::number)?,
        client_timeout: grade.get("giveUpNs")?.integer()?,
        priority_weight: grade.get("importance")?.number()?,
        late_priority_weight: grade.get_or("lateValue", 0.0, JsonValue::number)?,
        idempotency: word(&grade.get("effect")?, &effects)?,
        streamed: grade.get_or("streamed", false, JsonValue::boolean)?,
    })
}

/// The meaning of one of a few words.
fn word<T: Copy>(place: &JsonValue, words: &[(&str, T)]) -> Result<T, ConfigError> {
    let found = place.string()?;
    let known = words.iter().find(|(name, _)| *name == found);
    known
        .map(|(_, meaning)| *meaning)
        .ok_or_else(|| place.invalid(format!("unknown word `{found}`")))
}

fn names(places: &[JsonValue]) -> Result<Vec<String>, ConfigError> {
    places
        .iter()
        .map(|place| Ok(place.get_or("name", "", JsonValue::string)?.to_string()))
        .collect()
}

fn texts(root: &JsonValue, key: &str) -> Result<Vec<String>, ConfigError> {
    let Some(place) = root.find(key) else {
        return Ok(Vec::new());
    };
    place
        .array()?
        .iter()
        .map(|entry| Ok(entry.string()?.to_string()))
        .collect()
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
