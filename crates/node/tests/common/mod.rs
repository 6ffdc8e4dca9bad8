//! The scenario language: a `World` runs the real program between a played discovery and played
//! backends, and a `Line` is one connection, of a client, a backend or discovery, on which a
//! scenario sends, expects, closes and waits. Waiting is always for an event; the one time limit
//! only ends a test that has failed.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::sockopt::{Timeout, set_socket_linger, set_socket_timeout};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};

const LIMIT: Duration = Duration::from_secs(20);

pub struct Line {
    stream: TcpStream,
    got: Vec<u8>,
}

impl Line {
    fn new(stream: TcpStream) -> Line {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Line {
            stream,
            got: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) -> &mut Line {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// Reads until `part` has come; gives all up to its end.
    pub fn expect(&mut self, part: &str) -> String {
        let found = self.expect_or_end(part);
        found.unwrap_or_else(|| {
            panic!(
                "an end before {part:?}; got {:?}",
                String::from_utf8_lossy(&self.got)
            )
        })
    }

    /// Reads until `part` has come, or `None` where the connection ends before.
    pub fn expect_or_end(&mut self, part: &str) -> Option<String> {
        loop {
            let at = self
                .got
                .windows(part.len())
                .position(|w| w == part.as_bytes());
            if let Some(end) = at.map(|at| at + part.len()) {
                return Some(String::from_utf8(self.got.drain(..end).collect()).unwrap());
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.got.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error} before {part:?}"),
            }
        }
    }

    /// Waits for the other side to end the connection; gives what came before.
    pub fn expect_end(&mut self) -> String {
        match self.stream.read_to_end(&mut self.got) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("{error} instead of an end"),
        }
        String::from_utf8(std::mem::take(&mut self.got)).unwrap()
    }

    pub fn close(self) {}

    /// The other side has ended the connection.
    pub fn has_ended(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        let ended = !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        ended
    }

    /// Bytes have come that nobody has read.
    pub fn has_bytes(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let found = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream.set_nonblocking(false).unwrap();
        found
    }

    /// Asks again and again until the answer is this one.
    pub fn ask_until(&mut self, request: &str, wanted: &str) {
        let since = std::time::Instant::now();
        while !self.send(request).expect("\n").is_empty() {
            let head = self.expect("\r\n\r\n");
            let body = self.take(header(&head, "content-length").parse().unwrap());
            if body == wanted {
                return;
            }
            assert!(since.elapsed() < LIMIT, "{body}");
        }
    }

    /// So many bytes.
    pub fn take(&mut self, count: usize) -> String {
        while self.got.len() < count {
            let mut bytes = [0; 4096];
            let read = self.stream.read(&mut bytes).unwrap();
            assert!(read > 0);
            self.got.extend_from_slice(&bytes[..read]);
        }
        String::from_utf8(self.got.drain(..count).collect()).unwrap()
    }

    /// Sends; tells whether the other side is still there.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes with a reset.
    pub fn reset(self) {
        set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Ends the sending alone.
    pub fn end(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// A backend's whole answer.
    pub fn serve(&mut self, status: &str, body: &str) {
        self.send(&format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
}

/// A listener of the test's own.
pub struct Party(TcpListener);

impl Party {
    pub fn new() -> Party {
        Party(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// A listener whose queue is full: connections to it don't come up. The stream keeps it so.
    pub fn full() -> (Party, TcpStream) {
        let party = Party::new();
        rustix::net::listen(&party.0, 0).unwrap();
        let stream = TcpStream::connect(party.address()).unwrap();
        (party, stream)
    }

    /// No connection of the node's waits here.
    pub fn is_quiet(&self) -> bool {
        self.poll().is_none()
    }

    /// The node's next connection, if one waits here.
    pub fn poll(&self) -> Option<Line> {
        self.0.set_nonblocking(true).unwrap();
        let found = self.0.accept().ok();
        self.0.set_nonblocking(false).unwrap();
        found.map(|(stream, _)| {
            stream.set_nonblocking(false).unwrap();
            Line::new(stream)
        })
    }

    /// Waits for the node's next connection, as long as a test may last.
    pub fn wait_or_end(&self) -> Option<Line> {
        set_socket_timeout(&self.0, Timeout::Recv, Some(LIMIT)).unwrap();
        self.0.accept().ok().map(|(stream, _)| Line::new(stream))
    }

    /// Waits for the node's next connection.
    pub fn wait(&self) -> Line {
        set_socket_timeout(&self.0, Timeout::Recv, Some(LIMIT)).unwrap();
        Line::new(self.0.accept().expect("a connection of the node's").0)
    }
}

pub fn entry(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":1,
            "state":"{state}","boot_ms":0}}"#
    )
}

/// The head of discovery's answer to a watch.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Discovery's answer to a watch, up to one object with these changes.
pub fn changes(rev: u32, entries: &[String]) -> String {
    WATCH.to_string() + &more_changes(rev, entries)
}

/// One more object of a watch that has begun.
pub fn more_changes(rev: u32, entries: &[String]) -> String {
    let line = format!(
        r#"{{"rev":{rev},"all":false,"targets":[{}]}}"#,
        entries.join(",")
    )
    .replace('\n', "");
    chunk(&(line + "\n"))
}

/// One piece of an answer in chunks.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The configuration of a node with one backend in its list.
pub fn usual(discovery: &Party, backend: &Party) -> String {
    format!(
        r#"{{"name":"t1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f","limits":{{"sockets":128}},
        "known":{{"rev":7,"all":true,"targets":[{}]}},
        "settings":{{"azs":["a"],"kinds":["m"],"membershipMode":"subscribe","tickNs":5000000,
          "grades":[{{"name":"report","effect":"by_key","keyScope":"cell","windowNs":3000000000,
            "goalTimeNs":300000000,"giveUpNs":5000000000,"importance":1.0,"lateValue":0.3}}],
          "tenants":[{{"name":"acme","quotaPerS":9.0}}],
          "limits":{{"cancel":true,"maxAttempts":5,"maxRetryAfterNs":2000000000}},
          "rules":{{"coldFrom":0.3,"coldNs":8800000000,"drainGraceNs":1500000000,"fallNs":2000000000,
            "tipMultiple":3.0,"answerSlackNs":20000000}}}}}}"#,
        discovery.address(),
        entry("s-1", backend.address(), "Ready")
    )
}

/// A configuration with one more backend, at the head of its list.
pub fn and(config: String, uid: &str, at: SocketAddr) -> String {
    config.replace(
        r#""targets":["#,
        &format!(r#""targets":[{},"#, entry(uid, at, "Ready")),
    )
}

/// A configuration whose one ready backend is here, and whose connections have time to come up.
pub fn slow_to_connect(config: String, at: SocketAddr) -> String {
    let config = config.replace("Ready", "Terminating");
    and(config, "s-0", at).replace(
        r#""maxAttempts":5"#,
        r#""maxAttempts":5,"connectTimeoutNs":20000000000"#,
    )
}

pub struct World {
    pub discovery: Party,
    pub backend: Party,
    node: Child,
    config: String,
    log: Option<BufReader<ChildStderr>>,
    address: SocketAddr,
}

impl World {
    /// Starts the program with one backend in its list.
    pub fn start() -> World {
        World::with(|config| config)
    }

    pub fn with(change: impl Fn(String) -> String) -> World {
        World::told(change, &[])
    }

    /// Starts it with these variables in its environment too.
    pub fn told(change: impl Fn(String) -> String, variables: &[(&str, &str)]) -> World {
        let (discovery, backend) = (Party::new(), Party::new());
        let config = change(usual(&discovery, &backend));
        let address = discovery.address().to_string();
        let variables = [&[("BALANCER_DISCOVERY", address.as_str())], variables].concat();
        let mut node = run(&config, &variables);
        let mut log = BufReader::new(node.stderr.take().unwrap());
        let line = next_line(&mut log);
        let address = line
            .strip_prefix("kitefork: start name=t1 listen=")
            .and_then(|l| l.split(' ').next());
        let address = address
            .and_then(|a| a.parse().ok())
            .unwrap_or_else(|| panic!("no start in {line:?}"));
        World {
            discovery,
            backend,
            node,
            config,
            log: Some(log),
            address,
        }
    }

    pub fn client(&self) -> Line {
        Line::new(TcpStream::connect(self.address).unwrap())
    }

    /// What the node had read before this is carried out when this is over. The second of two
    /// messages is read in a later turn than the first; the first may be answered in the middle of
    /// one.
    pub fn turn(&self) {
        let mut client = self.client();
        for _ in 0..2 {
            client.send(HEALTH).expect("\r\n\r\n");
            client.expect("\n");
        }
    }

    /// Starts it with the fault shim preloaded; `plan` is what the shim's `plan` module reads.
    pub fn with_faults(plan: &str, change: impl Fn(String) -> String) -> World {
        World::with_faults_and(plan, &[], change)
    }

    /// The same with more variables in its environment.
    pub fn with_faults_and(
        plan: &str,
        variables: &[(&str, &str)],
        change: impl Fn(String) -> String,
    ) -> World {
        let shim = fault_shim();
        let faults = [("LD_PRELOAD", shim.as_str()), ("KITEFORK_FAULTS", plan)];
        World::told(change, &[&faults, variables].concat())
    }

    /// A client, while the node takes any.
    pub fn try_client(&self) -> Option<Line> {
        TcpStream::connect(self.address).ok().map(Line::new)
    }

    /// Waits for a line of the log that holds `part`; gives the lines up to it.
    pub fn expect_log(&mut self, part: &str) -> String {
        let mut lines = String::new();
        while !lines.contains(part) {
            lines += &next_line(self.log.as_mut().expect("a log"));
        }
        lines
    }

    /// Nobody reads the log from here on.
    pub fn drop_log(&mut self) {
        self.log = None;
    }

    /// Processor time that the program has used.
    pub fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.node.id())).unwrap();
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
        std::fs::read_to_string(format!("/proc/{}/stat", self.node.id())).is_ok_and(|stat| {
            !stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .trim()
                .starts_with('Z')
        })
    }

    /// How many descriptors the program holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.node.id()))
            .unwrap()
            .count()
    }

    /// Ends the node; gives what the log still held.
    pub fn last_log(mut self) -> String {
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
    pub fn held_back(variables: &[(&str, &str)]) -> (Child, std::fs::File) {
        let path = config_path().with_extension("fifo");
        let _ = std::fs::remove_file(&path);
        rustix::fs::mkfifoat(
            rustix::fs::CWD,
            &path,
            rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR,
        )
        .unwrap();
        let node = spawn(&path, variables);
        // Opening waits for the reader.
        let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        (node, file)
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the node where it is: what comes from now on crosses whatever it was about to do.
    pub fn stall(&self) {
        self.signal(Signal::STOP);
        let pid = Some(Pid::from_child(&self.node));
        let (_, status) = waitpid(pid, WaitOptions::UNTRACED).unwrap().unwrap();
        assert!(status.stopped());
    }

    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Replaces the configuration by what `change` makes of the first one, and tells the node.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        std::fs::write(config_path(), change(&self.config)).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a file in place of the configuration whose reading gives EIO, and tells the node.
    pub fn reload_unreadable(&self) {
        // The memory of the reading process at its address 0, which is never mapped.
        self.reload_from("/proc/self/mem");
    }

    /// Puts another file in place of the configuration, and tells the node.
    pub fn reload_from(&self, file: &str) {
        std::fs::remove_file(config_path()).unwrap();
        std::os::unix::fs::symlink(file, config_path()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a pipe to which nobody writes in place of the configuration, and tells the node.
    pub fn reload_from_pipe(&self) {
        std::fs::remove_file(config_path()).unwrap();
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mkfifoat(rustix::fs::CWD, config_path(), mode).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts a sound configuration in place of whatever is there, and tells the node.
    pub fn reload_sound(&self) {
        std::fs::remove_file(config_path()).unwrap();
        self.reload(str::to_string);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.node), signal).unwrap();
    }

    pub fn wait_exit(mut self) -> ExitStatus {
        self.node.wait().unwrap()
    }
}

/// Looks again and again until what is looked for is there.
pub fn until<T>(look: impl Fn() -> Option<T>) -> T {
    let since = std::time::Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(since.elapsed() < LIMIT, "it never came");
        pass(1);
    }
}

/// Lets a time limit run out that is part of what is played.
pub fn pass(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

fn next_line(log: &mut BufReader<ChildStderr>) -> String {
    let mut line = String::new();
    if log.buffer().is_empty() {
        let mut look = [PollFd::new(log.get_ref(), PollFlags::IN)];
        let limit = Timespec {
            tv_sec: LIMIT.as_secs() as i64,
            tv_nsec: 0,
        };
        assert!(
            poll(&mut look, Some(&limit)).unwrap() > 0,
            "the log says nothing more"
        );
    }
    assert!(log.read_line(&mut line).unwrap() > 0, "the log has ended");
    line
}

/// Where cargo puts the fault shim, on which the tests depend: beside their own program.
fn fault_shim() -> String {
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
pub fn run(config: &str, variables: &[(&str, &str)]) -> Child {
    std::fs::write(config_path(), config).unwrap();
    spawn(&config_path(), variables)
}

fn spawn(config: &std::path::Path, variables: &[(&str, &str)]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_kitefork"))
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// What tells whether the node can serve.
pub const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

/// The value of a header that must be there.
pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let rest = head
        .split(&format!("{name}: "))
        .nth(1)
        .unwrap_or_else(|| panic!("no {name} in {head}"));
    rest.split('\r').next().unwrap_or(rest)
}

/// A request as clients put it, with `patience` in milliseconds.
pub fn report(id: &str, patience: u32) -> String {
    format!(
        "POST /api?n={id} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {id}\r\nX-Lane: report\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {patience}\r\nIdempotency-Key: k{id}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
