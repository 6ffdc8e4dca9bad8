//! Unit tests of reading the configuration file and the environment.

use super::*;

/// A valid configuration file that other tests use too.
pub const CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "seed":"8c1f30d27a5be964","limits":{"sockets":256},"known":{"rev":41,"all":true,"targets":[
          {"uid":"s-1","endpoint":"127.0.0.1:2","az":"b","model":"m2","pod_group":3,"state":"Ready",
           "boot_ms":0}]},
        "settings":{"azs":["a","b"],"kinds":["m1","m2"],"membershipMode":"subscribe","tickNs":5000000,
          "grades":[{"effect":"by_key","windowNs":3000000000,"goalTimeNs":1200000000,
            "giveUpNs":5000000000,"importance":1.0,"name":"report"},
            {"effect":"repeatable","goalTimeNs":1200000000,"giveUpNs":5000000000,
             "importance":1.0,"name":"look"}],
          "tenants":[{"name":"acme","quotaPerS":9.0}],
          "limits":{"maxAttempts":5},
          "rules":{"coldFrom":0.3,"coldNs":1,"drainGraceNs":1,"fallNs":1,"tipMultiple":3.0}}}"#;

#[test]
fn the_environment_takes_precedence_over_the_file() {
    let env = |name: &str| (name == "BALANCER_LISTEN").then(|| "127.0.0.1:9".to_string());
    let config = read(CONFIG.as_bytes(), env).unwrap();
    assert_eq!(
        (
            config.listen.port(),
            config.discovery.port(),
            config.sockets
        ),
        (9, 1, 256)
    );
    assert_eq!(
        (
            config.cached_endpoints.revision,
            config.cached_endpoints.entries.len()
        ),
        (41, 1)
    );
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
}

/// Asserts that `CONFIG` with `old` replaced by `new` is rejected with an error whose text contains
/// `expected`.
fn assert_error(old: &str, new: &str, expected: &str) {
    assert!(CONFIG.contains(old), "{old}");
    let result = read(CONFIG.replace(old, new).as_bytes(), |_| None);
    let error = result.err().unwrap().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn a_configuration_error_names_its_key() {
    assert_error(r#""seed""#, r#""sead""#, "`seed`");
    assert_error("8c1f", "zz", "`seed`");
    assert_error(r#"127.0.0.1:1""#, r#"nowhere""#, "`discovery`");
    assert_error(r#""sockets":256"#, r#""sockets":31"#, "`limits.sockets`");
    let boot_time_key = "`known.targets[0].boot_ms`";
    assert_error(r#""boot_ms":0"#, r#""boot_ms":-1"#, boot_time_key);
}

#[test]
fn an_error_in_the_settings_names_its_key() {
    let missing_field = "missing field `settings.grades[0].giveUpNs`";
    assert_error("giveUpNs", "giveUp", missing_field);
    let class = r#""importance":1.0,"name":"look""#;
    let streamed = r#""importance":1.0,"streamed":true"#;
    assert_error(class, streamed, "`settings.grades`");
    let objective = r#""goalTimeNs":1200000000"#;
    assert_error(objective, r#""goalTimeNs":0"#, "`settings.grades`");
    let duration = r#""fallNs":1"#;
    assert_error(duration, r#""fallNs":0"#, "`settings.rules.fallNs`");
    let capacity_key = "`settings.rules.coldFrom`";
    assert_error(r#""coldFrom":0.3"#, r#""coldFrom":0"#, capacity_key);
    assert_error(r#""tickNs":5000000"#, r#""tickNs":0"#, "`settings.tickNs`");
    let zero_drain_close = r#""fallNs":1,"drainCloseNs":0"#;
    assert_error(duration, zero_drain_close, "`settings.rules.drainCloseNs`");
}
