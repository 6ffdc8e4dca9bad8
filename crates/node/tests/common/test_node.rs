//! The program under test, run as a child process.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};

use super::{Connection, HEALTH_CHECK, StandIn, TEST_TIMEOUT, default_config};

/// A running node, with stand-ins for its discovery and its one backend.
pub struct TestNode {
    /// Accepts the node's discovery calls.
    pub discovery: StandIn,
    /// Accepts the node's connections to the backend of the default configuration, `s-1`.
    pub backend: StandIn,
    process: Child,
    config: String,
    log: Option<BufReader<ChildStderr>>,
    address: SocketAddr,
}

impl TestNode {
    /// Starts a node with the default configuration.
    pub fn start() -> TestNode {
        TestNode::with_config(|config| config)
    }

    /// Starts a node with the default configuration as changed by `change`.
    pub fn with_config(change: impl Fn(String) -> String) -> TestNode {
        TestNode::with_environment(change, &[])
    }

    /// Starts a node with a changed configuration and further environment variables.
    pub fn with_environment(
        change: impl Fn(String) -> String,
        variables: &[(&str, &str)],
    ) -> TestNode {
        let (discovery, backend) = (StandIn::new(), StandIn::new());
        let config = change(default_config(&discovery, &backend));
        let address = discovery.address().to_string();
        let variables = [&[("BALANCER_DISCOVERY", address.as_str())], variables].concat();
        let mut process = spawn_with_config(&config, &variables);
        let mut log = BufReader::new(process.stderr.take().unwrap());
        let line = next_line(&mut log);
        let address = line
            .strip_prefix("kitefork: start name=t1 listen=")
            .and_then(|rest| rest.split(' ').next());
        let address = address
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no start line with an address: {line:?}"));
        TestNode {
            discovery,
            backend,
            process,
            config,
            log: Some(log),
            address,
        }
    }

    /// Connects a client; panics if the connection fails.
    pub fn client(&self) -> Connection {
        Connection::new(TcpStream::connect(self.address).unwrap())
    }

    /// Waits until the node has handled everything that it read before this call. Sends two health
    /// checks: the first may be answered in the middle of a loop iteration, the second is read in a
    /// later one.
    pub fn wait_for_iteration(&self) {
        let mut client = self.client();
        for _ in 0..2 {
            client.send(HEALTH_CHECK).expect("\r\n\r\n");
            client.expect("\n");
        }
    }

    /// Starts a node with the fault shim preloaded; the shim's `plan` module documents the format
    /// of `plan`.
    pub fn with_faults(plan: &str, change: impl Fn(String) -> String) -> TestNode {
        TestNode::with_faults_and_environment(plan, &[], change)
    }

    /// Starts a node with the fault shim preloaded and further environment variables.
    pub fn with_faults_and_environment(
        plan: &str,
        variables: &[(&str, &str)],
        change: impl Fn(String) -> String,
    ) -> TestNode {
        let shim = fault_shim_path();
        let faults = [("LD_PRELOAD", shim.as_str()), ("KITEFORK_FAULTS", plan)];
        TestNode::with_environment(change, &[&faults, variables].concat())
    }

    /// Connects a client; `None` if the connection fails, as it does once the listener is closed.
    pub fn try_client(&self) -> Option<Connection> {
        TcpStream::connect(self.address).ok().map(Connection::new)
    }

    /// Reads the log up to the line that contains `pattern`; returns all lines read.
    pub fn expect_log(&mut self, pattern: &str) -> String {
        let mut lines = String::new();
        while !lines.contains(pattern) {
            lines += &next_line(self.log.as_mut().expect("the log is not closed"));
        }
        lines
    }

    /// Closes the reading end of the log's pipe, so that the node's writes to its log fail.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// CPU time that the process has used so far, in user and kernel mode.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        // utime and stime, in hundredths of a second on Linux.
        let hundredths: u64 = fields[11..=12]
            .iter()
            .map(|field| field.parse::<u64>().unwrap())
            .sum();
        Duration::from_millis(hundredths * 10)
    }

    /// Whether the process is still running: it exists and is not a zombie.
    pub fn is_running(&self) -> bool {
        std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).is_ok_and(|stat| {
            !stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .trim()
                .starts_with('Z')
        })
    }

    /// Number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .unwrap()
            .count()
    }

    /// Shuts the node down with SIGTERM; returns the rest of its log.
    pub fn stop_and_read_log(mut self) -> String {
        self.terminate();
        let mut lines = String::new();
        self.log
            .take()
            .expect("the log is not closed")
            .read_to_string(&mut lines)
            .unwrap();
        lines
    }

    /// Starts the program with a FIFO as its configuration file; returns the writing end once the
    /// program has opened the reading end. By then its signal handlers are installed, but it is not
    /// ready.
    pub fn spawn_without_configuration(variables: &[(&str, &str)]) -> (Child, std::fs::File) {
        let path = config_path().with_extension("fifo");
        let _ = std::fs::remove_file(&path);
        rustix::fs::mkfifoat(
            rustix::fs::CWD,
            &path,
            rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR,
        )
        .unwrap();
        let process = spawn(&path, variables);
        // Blocks until the program opens the FIFO for reading.
        let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        (process, file)
    }

    /// Starts the graceful shutdown by SIGTERM; doesn't wait for its end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process with SIGSTOP, so that later events race with what it was about to do.
    pub fn stall(&self) {
        self.signal(Signal::STOP);
        let pid = Some(Pid::from_child(&self.process));
        let (_, status) = waitpid(pid, WaitOptions::UNTRACED).unwrap().unwrap();
        assert!(status.stopped());
    }

    /// Resumes the process with SIGCONT after [`TestNode::stall`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Replaces the configuration file by the first configuration as changed by `change`, and sends
    /// SIGHUP.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        std::fs::write(config_path(), change(&self.config)).unwrap();
        self.signal(Signal::HUP);
    }

    /// Replaces the configuration file by one whose reading fails with EIO, and sends SIGHUP.
    pub fn reload_unreadable(&self) {
        // This file is the memory of the process that reads it; address 0 is never mapped.
        self.reload_from("/proc/self/mem");
    }

    /// Replaces the configuration file by a symbolic link to `file`, and sends SIGHUP.
    pub fn reload_from(&self, file: &str) {
        std::fs::remove_file(config_path()).unwrap();
        std::os::unix::fs::symlink(file, config_path()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Replaces the configuration file by a FIFO that has no writer, and sends SIGHUP.
    pub fn reload_from_pipe(&self) {
        std::fs::remove_file(config_path()).unwrap();
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mkfifoat(rustix::fs::CWD, config_path(), mode).unwrap();
        self.signal(Signal::HUP);
    }

    /// Restores the first configuration in a new file, and sends SIGHUP.
    pub fn reload_valid(&self) {
        std::fs::remove_file(config_path()).unwrap();
        self.reload(str::to_string);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }

    /// Waits without a time limit for the process to exit.
    pub fn wait_exit(mut self) -> ExitStatus {
        self.process.wait().unwrap()
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits for the next line of a log; panics after [`TEST_TIMEOUT`], or if the log has ended.
fn next_line(log: &mut BufReader<ChildStderr>) -> String {
    let mut line = String::new();
    if log.buffer().is_empty() {
        let mut polled = [PollFd::new(log.get_ref(), PollFlags::IN)];
        let timeout = Timespec {
            tv_sec: TEST_TIMEOUT.as_secs() as i64,
            tv_nsec: 0,
        };
        assert!(
            poll(&mut polled, Some(&timeout)).unwrap() > 0,
            "no further log line in time"
        );
    }
    assert!(log.read_line(&mut line).unwrap() > 0, "the log has ended");
    line
}

/// Path of the fault shim. It is a dev-dependency, so cargo builds it next to the test program.
fn fault_shim_path() -> String {
    let program = std::env::current_exe().unwrap();
    let shim = program.with_file_name("libkitefork_fault_shim.so");
    assert!(shim.exists(), "{} is not built", shim.display());
    shim.to_str().unwrap().to_string()
}

/// Path of the test's configuration file; unique, as each test runs in its own thread.
fn config_path() -> std::path::PathBuf {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file_name = format!(
        "{}-{:?}.json",
        std::process::id(),
        std::thread::current().id()
    );
    folder.join(file_name.replace(['(', ')'], ""))
}

/// Writes the configuration file and runs the program with it. The environment of the program has
/// only `variables` and the path of that file.
pub fn spawn_with_config(config: &str, variables: &[(&str, &str)]) -> Child {
    std::fs::write(config_path(), config).unwrap();
    spawn(&config_path(), variables)
}

/// Runs the program with the configuration file at a path.
fn spawn(config: &std::path::Path, variables: &[(&str, &str)]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_kitefork"))
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}
