//! Reads the settings object of a deployment.

use kitefork_balancer::{Class, Nanos, Settings, SettingsError, Tenant, ZoneId};

use crate::decode::{
    entry_names, optional_array, optional_number_in, optional_strings, unknown_value,
};
use crate::json::{ConfigError, JsonValue};
use crate::setting_keys::wire_key_of;
use crate::{class, limits, rules};

/// Time after which a backend closes an idle connection, if the settings give none.
const DEFAULT_IDLE_LIMIT: Nanos = 10_000_000_000;
/// Time limit for connecting to a backend, if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
/// Maximum number of pending requests, if the settings give none.
const DEFAULT_MAX_PENDING_REQUESTS: usize = 20_000;

/// The decoded settings: those of the decision module, and the names and limits that only the node
/// uses.
pub struct Deployment {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of their numbers; empty for a class without a name.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their numbers; empty for a tenant without a name.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their numbers; empty if the settings give none.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, in the order of their numbers; empty if the settings give
    /// none.
    pub kinds: Vec<String>,
    /// Time after which a backend closes an idle connection, in nanoseconds; 10 s if the settings
    /// give none.
    pub idle_limit: Nanos,
    /// Time limit for connecting to a backend, in nanoseconds; 250 ms if the settings give none. An
    /// attempt to connect that takes longer has failed.
    pub connect_timeout: Nanos,
    /// Maximum number of requests that are pending at the same time; 20,000 if the settings give
    /// none.
    pub max_pending_requests: usize,
}

/// Reads the settings object. Unknown keys are ignored.
///
/// # Errors
///
/// If a key is missing or its value is invalid; the error names the first such key.
pub fn read(root: &JsonValue) -> Result<Deployment, ConfigError> {
    let grades = root.get("grades")?.array()?;
    let tenants = optional_array(root, "tenants")?;
    let limits = root.get("limits")?;
    let settings = read_settings(root, &grades, &tenants, &limits)?;
    settings
        .check()
        .map_err(|error| with_wire_key(root, &error))?;
    Ok(Deployment {
        settings,
        classes: entry_names(&grades)?,
        tenants: entry_names(&tenants)?,
        zones: optional_strings(root, "azs")?,
        kinds: optional_strings(root, "kinds")?,
        idle_limit: limits.get_or("connIdleNs", DEFAULT_IDLE_LIMIT, JsonValue::integer)?,
        connect_timeout: limits.get_or(
            "connectTimeoutNs",
            DEFAULT_CONNECT_TIMEOUT,
            JsonValue::integer,
        )?,
        max_pending_requests: limits.get_or(
            "mostHeld",
            DEFAULT_MAX_PENDING_REQUESTS,
            JsonValue::small_integer,
        )?,
    })
}

fn read_settings(
    root: &JsonValue,
    grades: &[JsonValue],
    tenants: &[JsonValue],
    limits: &JsonValue,
) -> Result<Settings, ConfigError> {
    // Only the first error is reported: the order of the reads decides which one that is.
    let rules = root.get("rules")?;
    Ok(Settings {
        classes: grades
            .iter()
            .map(class::read)
            .collect::<Result<Vec<Class>, _>>()?,
        tenants: tenants
            .iter()
            .map(read_tenant)
            .collect::<Result<Vec<Tenant>, _>>()?,
        zone: ZoneId(root.get_or("zone", 0, JsonValue::small_integer)?),
        proxy_index: root.get_or("me", 0, JsonValue::small_integer)?,
        proxy_count: root.get_or("siblings", 1, JsonValue::small_integer)?,
        poll_endpoints: read_membership_mode(&root.get("membershipMode")?)?,
        tick: root.get("tickNs")?.integer()?,
        over_quota_weight: root.get_or("overShareWorth", 1.0, JsonValue::number)?,
        weight_per_unit_of_work: root.get_or("worthBy", false, read_weight_unit)?,
        cross_zone_cost: optional_number_in(root, "penalties", "crossZone")?,
        tail_weight: optional_number_in(root, "goal", "tail")?,
        limits: limits::read(limits)?,
        rules: rules::read(&rules)?,
    })
}

fn read_tenant(tenant: &JsonValue) -> Result<Tenant, ConfigError> {
    Ok(Tenant {
        quota_per_second: tenant.get_or("quotaPerS", 0.0, JsonValue::number)?,
    })
}

/// Returns whether the proxy polls the endpoint list; otherwise the list is pushed to it.
fn read_membership_mode(mode: &JsonValue) -> Result<bool, ConfigError> {
    match mode.string()? {
        "automatic" => Ok(false),
        "subscribe" => Ok(true),
        other => Err(unknown_value(mode, other)),
    }
}

/// Returns whether weights count per unit of work; otherwise they count per request.
fn read_weight_unit(unit: &JsonValue) -> Result<bool, ConfigError> {
    match unit.string()? {
        "request" => Ok(false),
        "work" => Ok(true),
        other => Err(unknown_value(unit, other)),
    }
}

/// Converts an error about a setting into one that names the setting's wire key.
fn with_wire_key(root: &JsonValue, error: &SettingsError) -> ConfigError {
    root.invalid_at(wire_key_of(error.key), error.reason)
}

#[cfg(test)]
#[path = "deployment_tests.rs"]
mod tests;
