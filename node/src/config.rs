//! What the node is told at its start: environment and configuration file. The environment wins, so that an
//! address can be changed without touching the file.

use std::net::SocketAddr;

use kitefork_settings::Deployment;
use kitefork_settings::json::{Fault, Place, Tree};

use crate::discovery::Update;

/// With fewer descriptors a node can't hold a client and a backend beside what it needs for itself.
const LEAST_SOCKETS: usize = 32;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    /// The list as this node last had it; may be old.
    pub known: Update,
    pub deployment: Deployment,
    /// Every event and decision goes to the log.
    pub trace: bool,
}

/// Where the configuration file, read anew, has discovery. The whole file must be sound. The environment does
/// not win here: it can't change in a running process and still has the address from the start.
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, Fault> {
    let env = |name: &str| env(name).filter(|_| name != "BALANCER_DISCOVERY");
    load(env).map(|config| config.discovery)
}

/// Reads it all; an error is one line that names the key or variable.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    let path = env("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
    read(&text, env).map_err(|fault| format!("configuration: {fault}"))
}

fn read(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    let tree = Tree::parse(text)?;
    let root = tree.root();
    let told = |variable: &str, key: &str| match env(variable) {
        Some(value) => Ok(value),
        None => Ok::<_, Fault>(root.get(key)?.text()?.to_string()),
    };
    let address = |variable: &str, key: &str| {
        let value = told(variable, key)?;
        value.parse().map_err(|_| format!("field `{key}`: `{value}` is not an address and a port"))
    };
    let limit = |key, default| match root.find("limits") {
        Some(limits) => limits.or(key, default, Place::narrow),
        None => Ok(default),
    };
    let seed = root.get("seed")?;
    let deployment = kitefork_settings::read(&root.get("settings")?)?;
    if deployment.settings.classes.iter().any(|class| class.streamed) {
        return Err(root.bad_at("settings.grades", "streamed classes are not carried by this node"));
    }
    let sockets: usize = limit("sockets", 1024)?;
    if sockets < LEAST_SOCKETS {
        return Err(root.bad_at("limits.sockets", &format!("must be {LEAST_SOCKETS} or more")));
    }
    Ok(Config {
        name: told("BALANCER_NAME", "name")?,
        listen: address("BALANCER_LISTEN", "listen")?,
        discovery: address("BALANCER_DISCOVERY", "discovery")?,
        seed: u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.bad("must be hexadecimal"))?,
        sockets,
        memory_mb: limit("memory_mb", 192)?,
        known: root.find("known").map_or(Ok(Update::default()), |known| Update::read(&known))?,
        deployment,
        trace: env("BALANCER_TRACE").is_some_and(|value| value == "1"),
    })
}

#[cfg(test)]
pub mod tests {
    use super::*;

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
        assert_eq!((config.listen.port(), config.discovery.port(), config.sockets), (9, 1, 256));
        assert_eq!((config.known.rev, config.known.entries.len()), (41, 1));
        assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    }

    #[test]
    fn a_fault_names_its_key() {
        for (old, new, wanted) in [
            ("\"seed\"", "\"sead\"", "`seed`"),
            ("8c1f", "zz", "`seed`"),
            ("127.0.0.1:1\"", "nowhere\"", "`discovery`"),
            ("giveUpNs", "giveUp", "missing field `settings.grades[0].giveUpNs`"),
            (
                "\"importance\":1.0,\"name\":\"look\"",
                "\"importance\":1.0,\"streamed\":true",
                "`settings.grades`",
            ),
            ("\"boot_ms\":0", "\"boot_ms\":-1", "`known.targets[0].boot_ms`"),
            ("\"sockets\":256", "\"sockets\":31", "`limits.sockets`"),
            ("\"goalTimeNs\":1200000000", "\"goalTimeNs\":0", "`settings.grades`"),
            ("\"fallNs\":1", "\"fallNs\":0", "`settings.rules.fallNs`"),
            ("\"coldFrom\":0.3", "\"coldFrom\":0", "`settings.rules.coldFrom`"),
            ("\"tickNs\":5000000", "\"tickNs\":0", "`settings.tickNs`"),
            ("\"fallNs\":1", "\"fallNs\":1,\"drainCloseNs\":0", "`settings.rules.drainCloseNs`"),
        ] {
            let fault = read(CONFIG.replace(old, new).as_bytes(), |_| None).err().unwrap();
            assert!(fault.contains(wanted), "{fault}");
        }
    }
}
