//! Unit tests of the decoder of updates.

use super::*;

#[test]
fn malformed_or_incomplete_update_is_rejected() {
    for text in [
        "{",
        r#"{"rev":1,"all":true}"#,
        r#"{"rev":1,"all":true,"targets":[{"uid":"a","state":"Ready"}]}"#,
        r#"{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"x","state":"Ready"}]}"#,
        r#"{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Odd"}]}"#,
        r#"{"rev":1,"all":true,"targets":[{"uid":"a","pod_group":70000,"state":"Gone"}]}"#,
    ] {
        assert!(EndpointUpdate::parse(text.as_bytes()).is_err(), "{text}");
    }
}
