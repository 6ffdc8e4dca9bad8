//! Unit tests of `lib`.

use super::*;
use json::Document;

const SETTINGS: &str = r#"{"siblings": 2, "me": 1, "zone": 1, "membershipMode": "subscribe", "novel": [],
    "grades": [{"effect": "by_key", "keyScope": "zone", "windowNs": 7, "goalTimeNs": 5,
                "giveUpNs": 9, "importance": 2.5, "name": "reads"}], "stage": null,
    "tickNs": 3, "limits": {"maxAttempts": 4, "maxRetryAfterNs": 8},
    "rules": {"coldFrom": 0.5, "coldNs": 1, "drainGraceNs": 1, "fallNs": 1, "tipMultiple": 2}}"#;

fn parse(text: &str) -> Result<Deployment, ConfigError> {
    read(&Document::parse(text.as_bytes())?.root())
}

#[test]
fn reads_what_it_knows_and_passes_over_the_rest() {
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
fn names_the_key_that_is_missing_or_wrong() {
    let cases = [
        ("tickNs", "tock", "missing field `tickNs`"),
        (
            "\"coldNs\": 1",
            "\"coldNs\": \"x\"",
            "field `rules.coldNs`: must be a whole number",
        ),
        ("importance", "imp", "missing field `grades[0].importance`"),
        (
            "by_key",
            "bye",
            "field `grades[0].effect`: unknown word `bye`",
        ),
    ];
    for (old, new, wanted) in cases {
        let fault = parse(&SETTINGS.replace(old, new)).err().unwrap();
        assert!(fault.to_string().contains(wanted), "{fault}");
    }
}
