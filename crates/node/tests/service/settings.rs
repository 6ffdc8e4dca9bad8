//! The node starts, serves and exits with unusual settings that are allowed.

use crate::common::{TestNode, WATCH_RESPONSE_HEAD, chunk, report_request};

/// A change of the default configuration in one place.
struct ConfigVariant {
    name: &'static str,
    /// Text of the default configuration that is replaced.
    default_text: &'static str,
    /// Text that replaces `default_text`.
    replacement: String,
}

#[rustfmt::skip]
const VARIANTS: [(&str, &str, &str); 16] = [
    ("client timeouts of 150 ms", "5000000000", "150000000"),
    ("client timeouts of 30 s", "5000000000", "30000000000"),
    ("eight zones", r#""azs":["a"]"#, r#""azs":["b","c","d","e","f","g","h","a"],"zone":7"#),
    ("one attempt", r#""maxAttempts":5"#, r#""maxAttempts":1"#),
    ("cancelling off", r#""cancel":true"#, r#""cancel":false"#),
    ("no Retry-After", r#","maxRetryAfterNs":2000000000"#, ""),
    ("ticks of 1 us", r#""tickNs":5000000"#, r#""tickNs":1000"#),
    ("ticks of 1 s", r#""tickNs":5000000"#, r#""tickNs":1000000000"#),
    ("idle timeout of 4 ms", r#""cancel":true"#, r#""cancel":true,"connIdleNs":4000000"#),
    ("queue of one request", r#""cancel":true"#, r#""cancel":true,"mostHeld":1"#),
    ("idempotency window of 0", r#""windowNs":3000000000"#, r#""windowNs":0"#),
    ("no drain grace", r#""drainGraceNs":1500000000"#, r#""drainGraceNs":0"#),
    ("no slow start", r#""coldNs":8800000000"#, r#""coldNs":0"#),
    ("no priority weight", r#""importance":1.0"#, r#""importance":0"#),
    ("300 nodes", r#""azs":["a"]"#, r#""azs":["a"],"siblings":300,"me":299"#),
    ("minimum descriptor limit", r#""sockets":128"#, r#""sockets":32"#),
];

/// The variants whose replacement is computed, and so can't be in the constant `VARIANTS`.
fn computed_variants() -> Vec<ConfigVariant> {
    let tenants: Vec<String> = (0..39).map(|n| format!(r#"{{"name":"t{n}"}}"#)).collect();
    let variant = |name, default_text, replacement| ConfigVariant {
        name,
        default_text,
        replacement,
    };
    vec![
        variant(
            "forty tenants",
            r#"{"name":"acme","quotaPerS":9.0}"#,
            format!(r#"{{"name":"acme","quotaPerS":9.0}},{}"#, tenants.join(",")),
        ),
        variant(
            "maximum client timeouts",
            "5000000000",
            u64::MAX.to_string(),
        ),
        variant(
            "maximum poll interval",
            r#""coldFrom""#,
            format!(r#""askWithinNs":{},"coldFrom""#, u64::MAX),
        ),
        variant(
            "maximum memory",
            r#""sockets":128"#,
            format!(r#""sockets":128,"memory_mb":{}"#, u64::MAX >> 1),
        ),
    ]
}

fn check_variant(variant: &ConfigVariant, mode: &str) {
    let ConfigVariant {
        name,
        default_text,
        replacement,
    } = variant;
    let mut node = TestNode::with_config(|config| {
        assert!(config.contains(default_text), "{name}");
        config
            .replace(default_text, replacement)
            .replace("subscribe", mode)
    });
    // Discovery rejects the first call of the node. Where lists are pushed, the node serves only
    // once discovery has sent something.
    node.discovery
        .accept()
        .send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    let mut watch = (mode == "automatic").then(|| node.discovery.accept());
    if let Some(watch) = &mut watch {
        watch.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
        node.wait_for_iteration();
    }
    let mut client = node.client();
    client.send(&report_request("any", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "served");
    assert!(
        client.expect("served").starts_with("HTTP/1.1 200 "),
        "{name}"
    );
    node.terminate();
    node.expect_log("sigterm");
    drop((client, backend));
    assert_eq!(node.wait_exit().code(), Some(0), "{name}");
}

#[test]
fn node_starts_serves_and_exits_with_each_variant_of_the_settings() {
    let fixed_variants = VARIANTS.map(|(name, default_text, replacement)| ConfigVariant {
        name,
        default_text,
        replacement: replacement.to_string(),
    });
    let variants: Vec<ConfigVariant> = fixed_variants
        .into_iter()
        .chain(computed_variants())
        .collect();
    // The variants run in parallel, as each node keeps accepting clients for a while after SIGTERM
    // before it exits.
    std::thread::scope(|scope| {
        for variant in &variants {
            scope.spawn(|| ["subscribe", "automatic"].map(|mode| check_variant(variant, mode)));
        }
    });
}
