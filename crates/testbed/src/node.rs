//! One process of the program: its configuration, its signals, its log, and what it uses.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use kitefork_standin::{Clock, locked};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};

/// Lines of a node's log that are kept.
const MAX_LOG_LINES: usize = 20_000;
/// Where a node listens at its first start; it keeps the port that it is given then.
const ANY_PORT: &str = "127.0.0.1:0";
/// Begin of the line that a node logs when it listens.
const START_LINE_PREFIX: &str = "kitefork: start ";

/// The signal that ends a process.
#[derive(Clone, Copy, Debug)]
pub struct StopSignal {
    /// When the first one was sent.
    pub at: Duration,
    /// Whether the last one was SIGKILL; else SIGTERM.
    pub is_kill: bool,
}

/// The end of a process.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// When it was seen.
    pub at: Duration,
    /// The exit code; `None` if a signal ended the process.
    pub code: Option<i32>,
}

/// One life of a process under the same number: from its start to its end.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Number of the node.
    pub node: usize,
    /// When it was started.
    pub started: Duration,
    /// When it said that it listens.
    pub listens: Option<Duration>,
    /// The signal that was to end it, if one was sent.
    pub stop_signal: Option<StopSignal>,
    /// Its end, if it has ended.
    pub exit: Option<Exit>,
}

/// How the processes of nodes are started.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// Path of the program.
    pub program: PathBuf,
    /// Variables of the environment, names and values.
    pub variables: Vec<(String, String)>,
    /// Nobody reads the log after its first line.
    pub log_unread: bool,
}

/// A node, over all its incarnations.
pub struct Node {
    /// Its number.
    pub number: usize,
    config_path: PathBuf,
    child: Option<Child>,
    observed: Arc<Mutex<ObservedState>>,
}

/// What is known of a node from its log and its process.
#[derive(Default)]
struct ObservedState {
    address: Option<SocketAddr>,
    incarnations: Vec<Incarnation>,
    log_lines: Vec<String>,
}

impl ObservedState {
    fn add_line(&mut self, line: String, now: Duration) {
        if line.contains(START_LINE_PREFIX)
            && let Some(rest) = line.split(" listen=").nth(1)
        {
            self.address = rest
                .split(' ')
                .next()
                .and_then(|address| address.parse().ok());
            if let Some(incarnation) = self.incarnations.last_mut() {
                incarnation.listens = Some(now);
            }
        }
        if self.log_lines.len() < MAX_LOG_LINES {
            self.log_lines.push(line);
        }
    }
}

impl Node {
    /// A node that has not started; its configuration is written to `folder`.
    pub fn new(number: usize, folder: &Path) -> Node {
        Node {
            number,
            config_path: folder.join(format!("n{number}.json")),
            child: None,
            observed: Arc::default(),
        }
    }

    fn observed(&self) -> MutexGuard<'_, ObservedState> {
        locked(&self.observed)
    }

    /// Where it listens, once it has said so; the same in all its incarnations.
    pub fn address(&self) -> Option<SocketAddr> {
        self.observed().address
    }

    /// It listens now, for all that is known.
    pub fn is_listening(&self) -> bool {
        let observed = self.observed();
        let last = observed.incarnations.last();
        last.is_some_and(|last| last.listens.is_some() && last.exit.is_none())
    }

    /// Its incarnations so far.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.observed().incarnations.clone()
    }

    /// Its log so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.observed().log_lines.clone()
    }

    /// Writes its configuration.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_config(&self, mut config: Value) -> io::Result<()> {
        let address = self
            .address()
            .map_or(ANY_PORT.to_string(), |address| address.to_string());
        config["listen"] = Value::from(address);
        std::fs::write(&self.config_path, config.to_string())
    }

    /// Writes the first half of a configuration.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_truncated_config(&self, config: &Value) -> io::Result<()> {
        let text = config.to_string();
        std::fs::write(&self.config_path, &text[..text.len() / 2])
    }

    /// Removes its configuration.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn remove_config(&self) -> io::Result<()> {
        std::fs::remove_file(&self.config_path)
    }

    /// Starts a process, unless one runs.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    ///
    /// # Panics
    ///
    /// Never: standard error of a process that was just started is piped.
    pub fn start(&mut self, settings: &ProcessSettings, clock: Clock) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let variables = settings.variables.iter();
        let mut child = Command::new(&settings.program)
            .env_clear()
            .env("BALANCER_CONFIG", &self.config_path)
            .envs(variables.map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let incarnation = Incarnation {
            node: self.number,
            started: clock.now(),
            listens: None,
            stop_signal: None,
            exit: None,
        };
        self.observed().incarnations.push(incarnation);
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let observed = self.observed.clone();
        tokio::spawn(read_log(lines, observed, clock, settings.log_unread));
        self.child = Some(child);
        Ok(())
    }

    /// Whether its process is there.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Notes that its process has ended, if it has.
    pub fn reap(&mut self, clock: Clock) {
        let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) else {
            return;
        };
        let at = clock.now();
        if let Some(incarnation) = self.observed().incarnations.last_mut()
            && incarnation.exit.is_none()
        {
            let code = status.code();
            incarnation.exit = Some(Exit { at, code });
        }
    }

    /// Sends its process a signal; none if it has ended.
    pub fn signal(&mut self, signal: Signal, clock: Clock) {
        self.reap(clock);
        let Some(child) = self.child.as_ref() else {
            return;
        };
        // Only a child that has not been waited for still has its number.
        let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) else {
            return;
        };
        if [Signal::KILL, Signal::TERM].contains(&signal) {
            self.record_stop_signal(clock.now(), signal == Signal::KILL);
        }
        let _ = kill_process(pid, signal);
    }

    fn record_stop_signal(&self, now: Duration, is_kill: bool) {
        let mut observed = self.observed();
        let Some(incarnation) = observed.incarnations.last_mut() else {
            return;
        };
        let earlier = incarnation.stop_signal;
        if !earlier.is_some_and(|earlier| earlier.is_kill) {
            let at = earlier.map_or(now, |earlier| earlier.at);
            incarnation.stop_signal = Some(StopSignal { at, is_kill });
        }
    }

    /// The most memory that its process has had, in MB, while it runs.
    pub fn peak_memory_mb(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// Seconds of a core that its process has used, while it runs.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        // The kernel's scheduler counts nanoseconds; the node has one thread.
        let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        Some(stat.split_whitespace().next()?.parse::<f64>().ok()? / 1e9)
    }

    /// Descriptors that its process holds, while it runs.
    pub fn open_descriptors(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id()?;
        Some(std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
    }
}

/// Reads the log of a process; where it is to stay unread, only its first line.
async fn read_log(
    mut lines: Lines<BufReader<ChildStderr>>,
    observed: Arc<Mutex<ObservedState>>,
    clock: Clock,
    unread: bool,
) {
    while let Ok(Some(line)) = lines.next_line().await {
        locked(&observed).add_line(line, clock.now());
        if unread {
            break;
        }
    }
    if unread {
        // The pipe stays open, so that the process blocks on it instead of seeing it closed.
        std::future::pending::<()>().await;
    }
}
