//! The configuration file of a node.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

/// Listening address at the first start of a node; later starts use the port assigned then.
const ANY_PORT_ADDRESS: &str = "127.0.0.1:0";

/// The configuration file of a node. Its methods block on the disk, for some tenths of a second on
/// a busy one. No lock may be held meanwhile: tasks that wait for the lock would block the threads
/// of the runtime, and with them all stand-ins.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    /// The file of a node by its number, in `folder`.
    pub fn new(number: usize, folder: &Path) -> ConfigFile {
        ConfigFile {
            path: folder.join(format!("n{number}.json")),
        }
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the file, with `listen` as the listening address; without one, the node chooses its
    /// port.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write(&self, mut config: Value, listen: Option<SocketAddr>) -> io::Result<()> {
        let address = listen.map_or_else(
            || ANY_PORT_ADDRESS.to_string(),
            |address| address.to_string(),
        );
        config["listen"] = Value::from(address);
        std::fs::write(&self.path, config.to_string())
    }

    /// Writes a file that ends after half of its bytes.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_truncated(&self, config: &Value) -> io::Result<()> {
        let text = config.to_string();
        std::fs::write(&self.path, &text[..text.len() / 2])
    }

    /// Removes the file, so that the next reload finds none.
    ///
    /// # Errors
    ///
    /// If the file does not exist or can't be removed.
    pub fn remove(&self) -> io::Result<()> {
        std::fs::remove_file(&self.path)
    }
}
