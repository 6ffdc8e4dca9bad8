//! Unit tests of reading the settings object.

use kitefork_balancer::{DeduplicationScope, Idempotency};

use super::*;
use crate::json::Document;

const SETTINGS: &str = r#"{"siblings": 2, "me": 1, "zone": 1, "membershipMode": "subscribe", "novel": [],
    "grades": [{"effect": "by_key", "keyScope": "zone", "windowNs": 7, "goalTimeNs": 5,
                "giveUpNs": 9, "importance": 2.5, "name": "reads"}], "stage": null,
    "tickNs": 3, "limits": {"maxAttempts": 4, "maxRetryAfterNs": 8},
    "rules": {"coldFrom": 0.5, "coldNs": 1, "drainGraceNs": 1, "fallNs": 1, "tipMultiple": 2}}"#;

fn parse(text: &str) -> Result<Deployment, ConfigError> {
    read(&Document::parse(text.as_bytes())?.root())
}

#[test]
fn known_keys_are_read_and_unknown_keys_are_ignored() {
    let Deployment {
        settings, classes, ..
    } = parse(SETTINGS).unwrap();
    assert!(settings.poll_endpoints);
    assert_eq!((settings.zone, settings.proxy_index), (ZoneId(1), 1));
    assert_eq!(settings.limits.max_retry_after, 8);
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::IdempotencyKey {
            scope: DeduplicationScope::Zone,
            window: 7
        }
    );
    assert_eq!(classes, ["reads"]);
}

#[test]
fn an_error_names_the_missing_or_invalid_key() {
    let cases = [
        ("tickNs", "tock", "missing field `tickNs`"),
        (
            "\"coldNs\": 1",
            "\"coldNs\": \"x\"",
            "field `rules.coldNs`: must be a non-negative integer",
        ),
        ("importance", "imp", "missing field `grades[0].importance`"),
        (
            "by_key",
            "bye",
            "field `grades[0].effect`: unknown value `bye`",
        ),
    ];
    for (old, new, expected) in cases {
        let error = parse(&SETTINGS.replace(old, new)).err().unwrap();
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn every_key_is_read_into_its_field() {
    let text = r#"{"grades": [{"name": "a", "goalTimeNs": 1, "aimStretch": 2.5, "giveUpNs": 3,
            "importance": 4.5, "lateValue": 0.5, "effect": "once", "streamed": true}],
        "tenants": [{"name": "b", "quotaPerS": 6.5}], "azs": ["c"], "kinds": ["d"], "zone": 7,
        "me": 8, "siblings": 9, "membershipMode": "automatic", "tickNs": 10,
        "overShareWorth": 0.25, "worthBy": "work", "penalties": {"crossZone": 1.5},
        "goal": {"tail": 2.25},
        "limits": {"maxAttempts": 11, "cancel": true, "probes": true, "maxRetryAfterNs": 12,
            "connIdleNs": 13, "connectTimeoutNs": 14, "mostHeld": 15},
        "rules": {"answerSlackNs": 16, "drainGraceNs": 17, "drainCloseNs": 18, "coldFrom": 0.75,
            "coldNs": 19, "tipMultiple": 3.5, "fallNs": 20, "askWithinNs": 21}}"#;
    let deployment = parse(text).unwrap();
    assert_eq!(deployment.classes, ["a"]);
    assert_eq!(deployment.tenants, ["b"]);
    assert_eq!(deployment.zones, ["c"]);
    assert_eq!(deployment.kinds, ["d"]);
    assert_eq!(deployment.idle_limit, 13);
    assert_eq!(deployment.connect_timeout, 14);
    assert_eq!(deployment.max_pending_requests, 15);
    let expected = "Settings { \
        classes: [Class { latency_objective: 1, latency_objective_per_unit_of_work: 2.5, \
        client_timeout: 3, priority_weight: 4.5, late_priority_weight: 0.5, \
        idempotency: NotIdempotent, streamed: true }], \
        tenants: [Tenant { quota_per_second: 6.5 }], \
        zone: ZoneId(7), proxy_index: 8, proxy_count: 9, poll_endpoints: false, tick: 10, \
        over_quota_weight: 0.25, weight_per_unit_of_work: true, cross_zone_cost: 1.5, \
        tail_weight: 2.25, \
        limits: Limits { max_attempts: 11, can_cancel: true, health_checks: true, \
        max_retry_after: 12, never_attempted_timeout_fraction: 1.0 }, \
        rules: Rules { answer_slack: 16, drain_grace: 17, drain_close_within: Some(18), \
        slow_start_initial_capacity: 0.75, slow_start_duration: 19, overload_multiple: 3.5, \
        overload_duration: 20, poll_interval: 21 } }";
    assert_eq!(format!("{:?}", deployment.settings), expected);
}
