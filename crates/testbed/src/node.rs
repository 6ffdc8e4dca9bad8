//! A node under test: its process, configuration, signals, log and resource usage.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use kitefork_standin::{Clock, locked};
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};

use crate::config_file::ConfigFile;

/// Maximum number of log lines that are kept for a node.
const MAX_LOG_LINES: usize = 20_000;
/// Part of the line that a node logs when it begins to listen.
const START_LINE_MARKER: &str = "kitefork: start ";

/// Signals that were sent to end a process.
#[derive(Clone, Copy, Debug)]
pub struct StopSignal {
    /// Time at which the first signal was sent.
    pub at: Duration,
    /// Whether SIGKILL was sent; otherwise only SIGTERM was.
    pub is_kill: bool,
}

/// When and how a process ended.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// Time at which the end was observed.
    pub at: Duration,
    /// Exit code; `None` if a signal ended the process.
    pub code: Option<i32>,
}

/// One run of a node's process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Number of the node that the process belongs to.
    pub node: usize,
    /// Time at which the process was started.
    pub started: Duration,
    /// Time at which the process logged that it listens; `None` before that.
    pub listens: Option<Duration>,
    /// Signals that were sent to end the process; `None` if there were none.
    pub stop_signal: Option<StopSignal>,
    /// End of the process; `None` until it is observed.
    pub exit: Option<Exit>,
}

/// Program and environment of the nodes' processes, and whether their logs are read.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// Path of the program that the nodes run.
    pub program: PathBuf,
    /// Names and values of the environment variables that a process gets besides `BALANCER_CONFIG`.
    pub variables: Vec<(String, String)>,
    /// Whether the log is left unread after its first line.
    pub log_unread: bool,
}

/// A node across all its incarnations.
pub struct Node {
    /// Number of the node, counted from 0.
    pub number: usize,
    config_file: ConfigFile,
    child: Option<Child>,
    observed: Arc<Mutex<ObservedState>>,
}

/// State of a node as observed from its log and its process.
#[derive(Default)]
struct ObservedState {
    address: Option<SocketAddr>,
    incarnations: Vec<Incarnation>,
    log_lines: Vec<String>,
}

impl ObservedState {
    fn add_line(&mut self, line: String, now: Duration) {
        if line.contains(START_LINE_MARKER)
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
    /// Creates a node that has not been started; its configuration file lies in `folder`.
    pub fn new(number: usize, folder: &Path) -> Node {
        Node {
            number,
            config_file: ConfigFile::new(number, folder),
            child: None,
            observed: Arc::default(),
        }
    }

    fn observed(&self) -> MutexGuard<'_, ObservedState> {
        locked(&self.observed)
    }

    /// The configuration file with which each process of the node starts.
    pub fn config_file(&self) -> &ConfigFile {
        &self.config_file
    }

    /// Listening address, the same in all incarnations; `None` until the first one has logged it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.observed().address
    }

    /// Whether the latest incarnation has logged that it listens, and its end was not observed.
    pub fn is_listening(&self) -> bool {
        let observed = self.observed();
        let last = observed.incarnations.last();
        last.is_some_and(|last| last.listens.is_some() && last.exit.is_none())
    }

    /// All incarnations so far, in order of their starts.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.observed().incarnations.clone()
    }

    /// Log lines of all incarnations so far, up to a maximum number.
    pub fn log_lines(&self) -> Vec<String> {
        self.observed().log_lines.clone()
    }

    /// Starts a process, unless one is running.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    ///
    /// # Panics
    ///
    /// If called outside of a Tokio runtime.
    pub fn start(&mut self, settings: &ProcessSettings, clock: Clock) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let variables = settings.variables.iter();
        let mut child = Command::new(&settings.program)
            .env_clear()
            .env("BALANCER_CONFIG", self.config_file.path())
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
        let lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
        let observed = self.observed.clone();
        tokio::spawn(read_log(lines, observed, clock, settings.log_unread));
        self.child = Some(child);
        Ok(())
    }

    /// Whether a process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Records the end of the process, if it has ended.
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

    /// Sends a signal to the process, unless it has ended.
    pub fn signal(&mut self, signal: Signal, clock: Clock) {
        self.reap(clock);
        let Some(child) = self.child.as_ref() else {
            return;
        };
        // `id` is `None` after the process was waited for: another process may have its id by now.
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

    /// Maximum resident memory of the process so far, in MiB; `None` if the process has ended.
    pub fn peak_memory_mb(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// CPU time of the process so far, in seconds; `None` if the process has ended.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id()?;
        // The first field is the CPU time of the main thread in nanoseconds; a node has no other
        // thread.
        let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        Some(stat.split_whitespace().next()?.parse::<f64>().ok()? / 1e9)
    }

    /// Number of descriptors that the process has open; `None` if the process has ended.
    pub fn open_descriptors(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id()?;
        Some(std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
    }
}

/// Reads the log of a process; if `unread` is set, only its first line.
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
        // Keeps the pipe open, so that the process finds it full instead of closed.
        std::future::pending::<()>().await;
    }
}
