//! Configuration of the node: environment variables and the configuration file. The environment
//! takes precedence, so that an address can be changed without editing the file.
//!
//! | key of the file | variable | unit, default |
//! |---|---|---|
//! | `name` | `BALANCER_NAME` | |
//! | `listen`, `discovery` | `BALANCER_LISTEN`, `BALANCER_DISCOVERY` | address and port |
//! | `seed` | | hexadecimal, 64 bits |
//! | `limits.sockets` | | file descriptors, 1024 |
//! | `limits.memory_mb` | | MiB, 192 |
//! | `known` | | cached endpoint list as a discovery message; empty |
//! | `settings` | | see `kitefork_settings` |
//! | | `BALANCER_CONFIG` | path of the file |
//! | | `BALANCER_TRACE` | `1` enables the trace |

use std::fs::{File, OpenOptions};
use std::io::Read as _;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt as _;

use kitefork_settings::Deployment;
use kitefork_settings::json::{ConfigError, Document, JsonValue};
use rustix::fs::OFlags;
use thiserror::Error;

use crate::discovery::EndpointUpdate;

/// Maximum size of the configuration file, in bytes: several times the size of an endpoint list
/// with thousands of backends.
const MAX_FILE_BYTES: u64 = 32 << 20;
/// Minimum number of file descriptors: those that the node needs for itself
/// (`descriptor_budget::OTHER_DESCRIPTORS`), and some for client and upstream connections.
const MIN_SOCKETS: usize = 32;
/// Default maximum number of file descriptors, if the file gives none.
const DEFAULT_SOCKETS: usize = 1024;
/// Default memory limit, in MiB, if the file gives none.
const DEFAULT_MEMORY_MB: usize = 192;

/// Configuration of a node, from the environment and the configuration file.
pub struct Config {
    /// Name of the node, for the log.
    pub name: String,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the decision module's random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Maximum memory of the process, in MiB.
    pub memory_mb: usize,
    /// The cached endpoint list from the file, which may be stale; empty if the file has none.
    pub cached_endpoints: EndpointUpdate,
    /// Settings of the decision module, and the names and limits that only the node uses.
    pub deployment: Deployment,
    /// Whether the trace is on, which writes events and decisions to standard error.
    pub trace: bool,
}

/// Why the configuration can't be loaded. The text is one line; it names the key or the variable if
/// the error concerns one.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The variable `BALANCER_CONFIG`, which names the file, is not set.
    #[error("BALANCER_CONFIG is not set")]
    NoFile,
    /// The file can't be read, or is too long.
    #[error("BALANCER_CONFIG: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The content of the file is invalid.
    #[error("configuration: {0}")]
    Invalid(#[from] ConfigError),
}

/// Reads the configuration file again and returns the discovery address that it gives. The whole
/// file must be valid.
///
/// `BALANCER_DISCOVERY` does not take precedence here: the environment of a running process can't
/// be changed, so the variable still holds the address from the start. The call never blocks: a
/// pipe without data is an error.
///
/// # Errors
///
/// Those of [`load`].
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, LoadError> {
    let env = |name: &str| env(name).filter(|_| name != "BALANCER_DISCOVERY");
    load_with(env, OFlags::NONBLOCK).map(|config| config.discovery)
}

/// Reads the environment and the configuration file.
///
/// # Errors
///
/// If `BALANCER_CONFIG` is not set, if the file can't be read or is too long, or if a key is
/// missing or its value is invalid.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, LoadError> {
    load_with(env, OFlags::empty())
}

fn load_with(env: impl Fn(&str) -> Option<String>, flags: OFlags) -> Result<Config, LoadError> {
    let path = env("BALANCER_CONFIG").ok_or(LoadError::NoFile)?;
    let file = OpenOptions::new()
        .read(true)
        .custom_flags(flags.bits() as i32)
        .open(&path)?;
    let contents = read_bounded(file)?;
    Ok(read(&contents, env)?)
}

fn read_bounded(file: File) -> std::io::Result<Vec<u8>> {
    let mut contents = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut contents)?;
    if contents.len() as u64 > MAX_FILE_BYTES {
        return Err(std::io::Error::other("the file is too long"));
    }
    Ok(contents)
}

fn read(contents: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let document = Document::parse(contents)?;
    let source = Source {
        root: document.root(),
        env,
    };
    // The order of these reads decides which of several errors is reported.
    let seed = source.root.get("seed")?;
    let deployment = source.deployment()?;
    let sockets = source.sockets()?;
    Ok(Config {
        name: source.text("BALANCER_NAME", "name")?,
        listen: source.address("BALANCER_LISTEN", "listen")?,
        discovery: source.address("BALANCER_DISCOVERY", "discovery")?,
        seed: parse_seed(&seed)?,
        sockets,
        memory_mb: source.limit("memory_mb", DEFAULT_MEMORY_MB)?,
        cached_endpoints: source.cached_endpoints()?,
        deployment,
        trace: source.trace(),
    })
}

fn parse_seed(seed: &JsonValue) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed.string()?, 16).map_err(|_| seed.invalid("must be hexadecimal"))
}

/// The sources of values: the parsed file and the environment.
struct Source<'a, Env> {
    root: JsonValue<'a>,
    env: Env,
}

impl<Env: Fn(&str) -> Option<String>> Source<'_, Env> {
    /// The value of a variable or, if it is not set, the string under a key.
    fn text(&self, variable: &str, key: &str) -> Result<String, ConfigError> {
        match (self.env)(variable) {
            Some(value) => Ok(value),
            None => Ok(self.root.get(key)?.string()?.to_string()),
        }
    }

    fn address(&self, variable: &str, key: &str) -> Result<SocketAddr, ConfigError> {
        let value = self.text(variable, key)?;
        value.parse().map_err(|_| {
            self.root
                .invalid_at(key, format!("`{value}` is not an IP address with a port"))
        })
    }

    fn limit(&self, key: &str, default: usize) -> Result<usize, ConfigError> {
        match self.root.find("limits") {
            Some(limits) => limits.get_or(key, default, JsonValue::small_integer),
            None => Ok(default),
        }
    }

    fn sockets(&self) -> Result<usize, ConfigError> {
        let sockets = self.limit("sockets", DEFAULT_SOCKETS)?;
        if sockets < MIN_SOCKETS {
            let reason = format!("must be {MIN_SOCKETS} or more");
            return Err(self.root.invalid_at("limits.sockets", reason));
        }
        Ok(sockets)
    }

    fn deployment(&self) -> Result<Deployment, ConfigError> {
        let deployment = kitefork_settings::read(&self.root.get("settings")?)?;
        let classes = &deployment.settings.classes;
        if classes.iter().any(|class| class.streamed) {
            return Err(self.root.invalid_at(
                "settings.grades",
                "streamed classes are not supported by this node",
            ));
        }
        Ok(deployment)
    }

    fn cached_endpoints(&self) -> Result<EndpointUpdate, ConfigError> {
        match self.root.find("known") {
            Some(list) => EndpointUpdate::read(&list),
            None => Ok(EndpointUpdate::default()),
        }
    }

    fn trace(&self) -> bool {
        (self.env)("BALANCER_TRACE").is_some_and(|value| value == "1")
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
pub mod tests;
