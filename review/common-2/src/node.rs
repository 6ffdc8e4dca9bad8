//! A node: the program that the `run` line of the deploy file starts, as a process of its own.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The configuration of a node and its present process.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    discovery: SocketAddr,
    folder: String,
    child: Option<Child>,
}

/// The value of the key `run` in the deploy file.
fn run_line() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| {
        let value = line.strip_prefix("run")?.trim_start().strip_prefix('=')?;
        value.trim().strip_prefix('"')?.strip_suffix('"')
    });
    line.map(str::to_string)
        .ok_or_else(|| io::Error::other("the deploy file has no `run`"))
}

impl Node {
    /// A node that does not run yet. `known` is a list in discovery's form, `settings` an object.
    ///
    /// # Errors
    ///
    /// Those of writing its configuration into the temporary folder (`CASE_TMP`).
    pub fn new(
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        seed: u64,
    ) -> io::Result<Node> {
        let folder = std::env::var("CASE_TMP").map_err(io::Error::other)?;
        let port = crate::free_port()?;
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"127.0.0.1:{port}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{known},\"settings\":{settings}}}\n"
        );
        fs::write(format!("{folder}/{name}.json"), config)?;
        Ok(Node {
            name: name.to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            discovery,
            folder,
            child: None,
        })
    }

    /// Starts the process. Its number is added to the file `pids` of the temporary folder.
    ///
    /// # Errors
    ///
    /// Those of starting it.
    pub fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.folder, self.name))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_line()?])
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env(
                "BALANCER_CONFIG",
                format!("{}/{}.json", self.folder, self.name),
            )
            .env("TMPDIR", &self.folder)
            .stdin(File::open("/dev/null")?)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/pids", self.folder))?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the node says that it is healthy; whether it did in time.
    pub fn wait_until_healthy(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if http::is_healthy(self.address) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
