//! Unit tests of `config`.

use super::*;

/// A valid configuration file.
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
fn the_environment_wins_over_the_file() {
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
    assert_eq!((config.known.rev, config.known.entries.len()), (41, 1));
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
}

#[test]
fn an_error_names_its_key() {
    for (old, new, expected) in [
        ("\"seed\"", "\"sead\"", "`seed`"),
        ("8c1f", "zz", "`seed`"),
        ("127.0.0.1:1\"", "nowhere\"", "`discovery`"),
        (
            "giveUpNs",
            "giveUp",
            "missing field `settings.grades[0].giveUpNs`",
        ),
        (
            "\"importance\":1.0,\"name\":\"look\"",
            "\"importance\":1.0,\"streamed\":true",
            "`settings.grades`",
        ),
        (
            "\"boot_ms\":0",
            "\"boot_ms\":-1",
            "`known.targets[0].boot_ms`",
        ),
        ("\"sockets\":256", "\"sockets\":31", "`limits.sockets`"),
        (
            "\"goalTimeNs\":1200000000",
            "\"goalTimeNs\":0",
            "`settings.grades`",
        ),
        ("\"fallNs\":1", "\"fallNs\":0", "`settings.rules.fallNs`"),
        (
            "\"coldFrom\":0.3",
            "\"coldFrom\":0",
            "`settings.rules.coldFrom`",
        ),
        ("\"tickNs\":5000000", "\"tickNs\":0", "`settings.tickNs`"),
        (
            "\"fallNs\":1",
            "\"fallNs\":1,\"drainCloseNs\":0",
            "`settings.rules.drainCloseNs`",
        ),
    ] {
        let error = read(CONFIG.replace(old, new).as_bytes(), |_| None)
            .err()
            .unwrap();
        assert!(error.to_string().contains(expected), "{error}");
    }
}
