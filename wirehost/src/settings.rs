//! Settings as they stand on the wire.

use kitefork::{Class, Effect, Group, Limits, Rules, Settings, Tenant, ZoneId};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireSettings {
    #[serde(default = "one")]
    siblings: u32,
    #[serde(default)]
    zone: u16,
    grades: Vec<Grade>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    membership_mode: MembershipMode,
    tick_ns: u64,
    #[serde(default = "full")]
    over_share_worth: f64,
    #[serde(default)]
    worth_by: WorthBy,
    #[serde(default)]
    penalties: Penalties,
    #[serde(default)]
    goal: Goal,
    limits: WireLimits,
    rules: WireRules,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Grade {
    goal_time_ns: u64,
    give_up_ns: u64,
    importance: f64,
    effect: WireEffect,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    key_scope: KeyScope,
    #[serde(default)]
    window_ns: u64,
    #[serde(default)]
    streamed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum KeyScope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum MembershipMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Penalties {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct Goal {
    #[serde(default)]
    tail: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_attempts: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    #[serde(default)]
    answer_slack_ns: u64,
    #[serde(default = "ten_seconds")]
    ask_within_ns: u64,
    cold_from: f64,
    cold_ns: u64,
    drain_grace_ns: u64,
    drain_close_ns: Option<u64>,
    fall_ns: u64,
    tip_multiple: f64,
}

fn one() -> u32 {
    1
}

fn full() -> f64 {
    1.0
}

fn ten_seconds() -> u64 {
    10_000_000_000
}

/// Reads the settings text of a starting instance.
pub fn parse(text: &[u8]) -> Result<Settings, serde_json::Error> {
    let wire: WireSettings = serde_json::from_slice(text)?;
    Ok(Settings {
        classes: wire.grades.iter().map(class).collect(),
        tenants: wire.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        zone: ZoneId(wire.zone),
        siblings: wire.siblings,
        ask_list: wire.membership_mode == MembershipMode::Subscribe,
        tick: wire.tick_ns,
        over_quota_worth: wire.over_share_worth,
        worth_by_work: wire.worth_by == WorthBy::Work,
        cross_zone_price: wire.penalties.cross_zone,
        tail: wire.goal.tail,
        limits: Limits {
            max_attempts: wire.limits.max_attempts,
            second_copies: wire.limits.parallel_tries,
            cancel: wire.limits.cancel,
            probes: wire.limits.probes,
            max_retry_after: if wire.limits.retry_after { wire.limits.max_retry_after_ns } else { 0 },
        },
        rules: Rules {
            answer_slack: wire.rules.answer_slack_ns,
            drain_grace: wire.rules.drain_grace_ns,
            drain_close: wire.rules.drain_close_ns,
            cold_from: wire.rules.cold_from,
            cold: wire.rules.cold_ns,
            fall_multiple: wire.rules.tip_multiple,
            fall: wire.rules.fall_ns,
            ask_within: wire.rules.ask_within_ns,
        },
    })
}

fn class(grade: &Grade) -> Class {
    let effect = match grade.effect {
        WireEffect::Repeatable => Effect::Safe,
        WireEffect::Once => Effect::Unsafe,
        WireEffect::ByKey => Effect::Keyed {
            group: match grade.key_scope {
                KeyScope::All => Group::All,
                KeyScope::Zone => Group::Zone,
                KeyScope::Cell => Group::Cell,
            },
            window: grade.window_ns,
        },
    };
    Class {
        aim: grade.goal_time_ns,
        aim_stretch: grade.aim_stretch,
        deadline: grade.give_up_ns,
        worth: grade.importance,
        late_worth: grade.late_value,
        effect,
        streamed: grade.streamed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"siblings": 2, "zone": 1, "membershipMode": "subscribe", "novel": [],
        "grades": [{"effect": "by_key", "keyScope": "zone", "windowNs": 7, "goalTimeNs": 5,
                    "giveUpNs": 9, "importance": 2.5}],
        "tickNs": 3, "limits": {"maxAttempts": 4, "maxRetryAfterNs": 8},
        "rules": {"coldFrom": 0.5, "coldNs": 1, "drainGraceNs": 1, "fallNs": 1, "tipMultiple": 2}}"#;

    #[test]
    fn reads_what_it_knows_and_passes_over_the_rest() {
        let settings = parse(SETTINGS.as_bytes()).unwrap();
        assert!(settings.ask_list);
        assert_eq!(settings.zone, ZoneId(1));
        assert_eq!(settings.limits.max_retry_after, 0);
        assert_eq!(settings.classes[0].effect, Effect::Keyed { group: Group::Zone, window: 7 });
    }

    #[test]
    fn names_a_missing_key() {
        let text = SETTINGS.replace("tickNs", "tock");
        assert!(parse(text.as_bytes()).unwrap_err().to_string().contains("tickNs"));
    }
}
