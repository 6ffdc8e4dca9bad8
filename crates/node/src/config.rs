//! What the node is told at its start: environment and configuration file. The environment wins, so
//! that an address can be changed without touching the file.

use std::fs::{File, OpenOptions};
use std::io::Read as _;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt as _;

use kitefork_settings::Deployment;
use kitefork_settings::json::{ConfigError, Document, JsonValue};
use rustix::fs::OFlags;
use thiserror::Error;

use crate::discovery::Update;

/// Longest configuration file that is read: several times a list of thousands of backends.
const MOST_BYTES: u64 = 32 << 20;
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

/// Why the node's configuration can't be loaded: one line that names the key or the variable.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The variable that names the file is not set.
    #[error("BALANCER_CONFIG is not set")]
    NoFile,
    /// The file can't be read.
    #[error("BALANCER_CONFIG: {0}")]
    Unreadable(#[from] std::io::Error),
    /// What the file says makes no sense.
    #[error("configuration: {0}")]
    Invalid(#[from] ConfigError),
}

/// Where the configuration file, read anew, has discovery. The whole file must make sense. The
/// environment does not win here: it can't change in a running process and still has the address
/// from the start. It never waits: a pipe that has nothing to say now can't be read.
///
/// # Errors
///
/// As [`load`].
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, LoadError> {
    let env = |name: &str| env(name).filter(|_| name != "BALANCER_DISCOVERY");
    load_with(env, OFlags::NONBLOCK).map(|config| config.discovery)
}

/// Reads the environment and the configuration file.
///
/// # Errors
///
/// If the file can't be read, is too long, or a key is missing or makes no sense.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, LoadError> {
    load_with(env, OFlags::empty())
}

fn load_with(env: impl Fn(&str) -> Option<String>, flags: OFlags) -> Result<Config, LoadError> {
    let path = env("BALANCER_CONFIG").ok_or(LoadError::NoFile)?;
    let file = OpenOptions::new()
        .read(true)
        .custom_flags(flags.bits() as i32)
        .open(&path)?;
    let text = read_bounded(file)?;
    Ok(read(&text, env)?)
}

fn read_bounded(file: File) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    file.take(MOST_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MOST_BYTES {
        return Err(std::io::Error::other("the file is too long"));
    }
    Ok(text)
}

fn read(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let tree = Document::parse(text)?;
    let root = tree.root();
    let told = |variable: &str, key: &str| match env(variable) {
        Some(value) => Ok(value),
        None => Ok::<_, ConfigError>(root.get(key)?.string()?.to_string()),
    };
    let address = |variable: &str, key: &str| {
        let value = told(variable, key)?;
        value
            .parse()
            .map_err(|_| root.invalid_at(key, format!("`{value}` is not an address and a port")))
    };
    let limit = |key, default| match root.find("limits") {
        Some(limits) => limits.get_or(key, default, JsonValue::small_integer),
        None => Ok(default),
    };
    let seed = root.get("seed")?;
    let deployment = kitefork_settings::read(&root.get("settings")?)?;
    if deployment
        .settings
        .classes
        .iter()
        .any(|class| class.streamed)
    {
        return Err(root.invalid_at(
            "settings.grades",
            "streamed classes are not carried by this node",
        ));
    }
    let sockets: usize = limit("sockets", 1024)?;
    if sockets < LEAST_SOCKETS {
        return Err(root.invalid_at("limits.sockets", format!("must be {LEAST_SOCKETS} or more")));
    }
    Ok(Config {
        name: told("BALANCER_NAME", "name")?,
        listen: address("BALANCER_LISTEN", "listen")?,
        discovery: address("BALANCER_DISCOVERY", "discovery")?,
        seed: u64::from_str_radix(seed.string()?, 16)
            .map_err(|_| seed.invalid("must be hexadecimal"))?,
        sockets,
        memory_mb: limit("memory_mb", 192)?,
        known: root
            .find("known")
            .map_or(Ok(Update::default()), |known| Update::read(&known))?,
        deployment,
        trace: env("BALANCER_TRACE").is_some_and(|value| value == "1"),
    })
}

#[cfg(test)]
#[path = "config_tests.rs"]
pub mod tests;
