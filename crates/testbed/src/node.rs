//! One process of the program: its configuration, its signals, its log.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kitefork_standin::{Clock, locked};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Lines of a node's log that are kept.
const MOST_LINES: usize = 20_000;

/// A life of a node: from its start until it ended.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Number of the node.
    pub node: usize,
    /// When it was started.
    pub started: Duration,
    /// When it said that it listens.
    pub listens: Option<Duration>,
    /// When it was told to end, and whether by SIGKILL.
    pub told: Option<(Duration, bool)>,
    /// When it had ended, and its exit code; none if a signal ended it.
    pub ended: Option<(Duration, Option<i32>)>,
}

/// How nodes are started.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Variables of the environment.
    pub variables: Vec<(String, String)>,
    /// Nobody reads the log after its first line.
    pub log_unread: bool,
}

/// A node, over all its lives.
pub struct Node {
    /// Its number.
    pub number: usize,
    config: PathBuf,
    child: Option<Child>,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    address: Option<SocketAddr>,
    incarnations: Vec<Incarnation>,
    lines: Vec<String>,
}

impl Node {
    /// A node that has not started.
    pub fn new(number: usize, folder: &Path) -> Node {
        Node {
            number,
            config: folder.join(format!("n{number}.json")),
            child: None,
            shared: Arc::default(),
        }
    }

    fn shared(&self) -> std::sync::MutexGuard<'_, Shared> {
        locked(&self.shared)
    }

    /// Where it listens, once it has said so; the same in all its lives.
    pub fn address(&self) -> Option<SocketAddr> {
        self.shared().address
    }

    /// It listens now, for all that is known.
    pub fn is_up(&self) -> bool {
        self.shared()
            .incarnations
            .last()
            .is_some_and(|incarnation| incarnation.listens.is_some() && incarnation.ended.is_none())
    }

    /// Its lives so far.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.shared().incarnations.clone()
    }

    /// Its log so far.
    pub fn lines(&self) -> Vec<String> {
        self.shared().lines.clone()
    }

    /// Writes its configuration.
    pub fn configure(&self, mut config: Value) -> std::io::Result<()> {
        let address = self
            .address()
            .map_or("127.0.0.1:0".to_string(), |at| at.to_string());
        config["listen"] = Value::from(address);
        std::fs::write(&self.config, config.to_string())
    }

    /// Writes the first half of its configuration.
    pub fn configure_half(&self, config: &Value) -> std::io::Result<()> {
        let text = config.to_string();
        std::fs::write(&self.config, &text[..text.len() / 2])
    }

    /// Takes its configuration away.
    pub fn remove_configuration(&self) -> std::io::Result<()> {
        std::fs::remove_file(&self.config)
    }

    /// Starts the program, unless it runs, with these variables in its environment.
    pub fn start(&mut self, program: &Path, clock: Clock, setup: &Setup) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let mut child = Command::new(program)
            .env_clear()
            .env("BALANCER_CONFIG", &self.config)
            .envs(setup.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let (node, started) = (self.number, clock.now());
        self.shared().incarnations.push(Incarnation {
            node,
            started,
            listens: None,
            told: None,
            ended: None,
        });
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let shared = self.shared.clone();
        let unread = setup.log_unread;
        tokio::spawn(async move {
            let mut reads = true;
            while reads && let Ok(Some(line)) = lines.next_line().await {
                // The first line alone, then nobody reads; the pipe stays open.
                reads = !unread;
                let mut shared = locked(&shared);
                if let Some(rest) = line
                    .split(" listen=")
                    .nth(1)
                    .filter(|_| line.contains("kitefork: start "))
                {
                    shared.address = rest.split(' ').next().and_then(|at| at.parse().ok());
                    let now = clock.now();
                    if let Some(incarnation) = shared.incarnations.last_mut() {
                        incarnation.listens = Some(now);
                    }
                }
                if shared.lines.len() < MOST_LINES {
                    shared.lines.push(line);
                }
            }
            if unread {
                std::future::pending::<()>().await;
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Whether its process is there.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Notes that it has ended, if it has.
    pub fn reap(&mut self, clock: Clock) {
        let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) else {
            return;
        };
        let now = clock.now();
        if let Some(incarnation) = self.shared().incarnations.last_mut()
            && incarnation.ended.is_none()
        {
            incarnation.ended = Some((now, status.code()));
        }
    }

    /// Sends its process a signal; none if it is gone.
    pub fn signal(&mut self, signal: Signal, clock: Clock) {
        self.reap(clock);
        let Some(child) = self.child.as_ref() else {
            return;
        };
        // Only a child that has not been waited for still has its number.
        let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) else {
            return;
        };
        let now = clock.now();
        if let Some(incarnation) = self.shared().incarnations.last_mut()
            && [Signal::KILL, Signal::TERM].contains(&signal)
            && !incarnation.told.is_some_and(|told| told.1)
        {
            incarnation.told = Some((
                incarnation.told.map_or(now, |told| told.0),
                signal == Signal::KILL,
            ));
        }
        let _ = kill_process(pid, signal);
    }

    /// Most memory it has had, in MB, while it runs.
    pub fn memory_mb(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// Seconds of a core that it has used, while it runs.
    pub fn cpu_s(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        // The kernel's scheduler counts nanoseconds; the node has one thread.
        let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        Some(stat.split_whitespace().next()?.parse::<f64>().ok()? / 1e9)
    }

    /// Descriptors that it holds, while it runs.
    pub fn descriptors(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id()?;
        Some(std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
    }
}
