//! The program under test, as it is shipped.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};

use super::{Connection, HEALTH_CHECK, StandIn, TEST_TIMEOUT, default_config};

/// The program, with one backend in its list, between stand-ins.
pub struct TestNode {
    /// The stand-in discovery.
    pub discovery: StandIn,
    /// The stand-in backend.
    pub backend: StandIn,
    process: Child,
    config: String,
    log: Option<BufReader<ChildStderr>>,
    address: SocketAddr,
}

impl TestNode {
    /// Starts the program with one backend in its list.
    pub fn start() -> TestNode {
        TestNode::with_config(|config| config)
    }

    /// Starts it on a changed configuration.
    pub fn with_config(change: impl Fn(String) -> String) -> TestNode {
        TestNode::with_environment(change, &[])
    }

    /// Starts it with these variables in its environment too.
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
            .unwrap_or_else(|| panic!("no start in {line:?}"));
        TestNode {
            discovery,
            backend,
            process,
            config,
            log: Some(log),
            address,
        }
    }

    /// Connects a client.
    pub fn client(&self) -> Connection {
        Connection::new(TcpStream::connect(self.address).unwrap())
    }

    /// Waits until the node has done what it had read before this. The second of two messages is
    /// read in a later loop iteration than the first; the first may be answered in the middle of
    /// one.
    pub fn wait_for_iteration(&self) {
        let mut client = self.client();
        for _ in 0..2 {
            client.send(HEALTH_CHECK).expect("\r\n\r\n");
            client.expect("\n");
        }
    }

    /// Starts it with the fault shim preloaded; `plan` is what the shim's `plan` module reads.
    pub fn with_faults(plan: &str, change: impl Fn(String) -> String) -> TestNode {
        TestNode::with_faults_and_environment(plan, &[], change)
    }

    /// The same with more variables in its environment.
    pub fn with_faults_and_environment(
        plan: &str,
        variables: &[(&str, &str)],
        change: impl Fn(String) -> String,
    ) -> TestNode {
        let shim = fault_shim_path();
        let faults = [("LD_PRELOAD", shim.as_str()), ("KITEFORK_FAULTS", plan)];
        TestNode::with_environment(change, &[&faults, variables].concat())
    }

    /// A client, while the node takes any.
    pub fn try_client(&self) -> Option<Connection> {
        TcpStream::connect(self.address).ok().map(Connection::new)
    }

    /// Waits for a line of the log that holds `part`; gives the lines up to it.
    pub fn expect_log(&mut self, pattern: &str) -> String {
        let mut lines = String::new();
        while !lines.contains(pattern) {
            lines += &next_line(self.log.as_mut().expect("a log"));
        }
        lines
    }

    /// Nobody reads the log from here on.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Processor time that the program has used.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        // User and system time, in hundredths of a second on Linux.
        let hundredths: u64 = fields[11..=12]
            .iter()
            .map(|field| field.parse::<u64>().unwrap())
            .sum();
        Duration::from_millis(hundredths * 10)
    }

    /// The program has not ended.
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

    /// How many descriptors the program holds.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .unwrap()
            .count()
    }

    /// Ends the node; gives what the log still held.
    pub fn stop_and_read_log(mut self) -> String {
        self.terminate();
        let mut lines = String::new();
        self.log
            .take()
            .expect("a log")
            .read_to_string(&mut lines)
            .unwrap();
        lines
    }

    /// Starts the program on a configuration that it has to wait for; gives what writes it once the
    /// program reads. Its signals have their handlers by then, and it is not ready.
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
        // Opening waits for the reader.
        let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        (process, file)
    }

    /// Sends it SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the node where it is: what comes from now on races with what it was about to do.
    pub fn stall(&self) {
        self.signal(Signal::STOP);
        let pid = Some(Pid::from_child(&self.process));
        let (_, status) = waitpid(pid, WaitOptions::UNTRACED).unwrap().unwrap();
        assert!(status.stopped());
    }

    /// Lets it go on after [`TestNode::stall`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Replaces the configuration by what `change` makes of the first one, and notifies the node.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        std::fs::write(config_path(), change(&self.config)).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a file in place of the configuration whose reading gives EIO, and notifies the node.
    pub fn reload_unreadable(&self) {
        // The memory of the reading process at its address 0, which is never mapped.
        self.reload_from("/proc/self/mem");
    }

    /// Puts another file in place of the configuration, and notifies the node.
    pub fn reload_from(&self, file: &str) {
        std::fs::remove_file(config_path()).unwrap();
        std::os::unix::fs::symlink(file, config_path()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a pipe to which nobody writes in place of the configuration, and notifies the node.
    pub fn reload_from_pipe(&self) {
        std::fs::remove_file(config_path()).unwrap();
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mkfifoat(rustix::fs::CWD, config_path(), mode).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a valid configuration in place of whatever is there, and notifies the node.
    pub fn reload_valid(&self) {
        std::fs::remove_file(config_path()).unwrap();
        self.reload(str::to_string);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }

    /// Waits for its end.
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

/// The next line of a log, as soon as it is there.
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
            "the log says nothing more"
        );
    }
    assert!(log.read_line(&mut line).unwrap() > 0, "the log has ended");
    line
}

/// Where cargo puts the fault shim, on which the tests depend: beside their own program.
fn fault_shim_path() -> String {
    let program = std::env::current_exe().unwrap();
    let shim = program.with_file_name("libkitefork_fault_shim.so");
    assert!(shim.exists(), "{} is not built", shim.display());
    shim.to_str().unwrap().to_string()
}

/// Each test has a thread and so a file of its own.
fn config_path() -> std::path::PathBuf {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let unique = format!(
        "{}-{:?}.json",
        std::process::id(),
        std::thread::current().id()
    );
    folder.join(unique.replace(['(', ')'], ""))
}

/// Runs the program with this configuration, and variables in its environment.
pub fn spawn_with_config(config: &str, variables: &[(&str, &str)]) -> Child {
    std::fs::write(config_path(), config).unwrap();
    spawn(&config_path(), variables)
}

/// Runs the program with a configuration that is at a path.
fn spawn(config: &std::path::Path, variables: &[(&str, &str)]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_kitefork"))
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}
