//! Discovery: the list of the backends, on request or as a watch, at one address for each node.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// While nothing changes, a watch gets an empty line this often.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);

/// Whether the node has ended a call, or its process has.
fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// An entry of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: &'static str,
}

impl Target {
    /// A backend that is ready.
    pub fn ready(uid: &str, endpoint: SocketAddr) -> Target {
        Target {
            uid: uid.to_string(),
            endpoint,
            state: "Ready",
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"muenchen-nord\",\"model\":\"gen2\",\
             \"pod_group\":0,\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.uid, self.endpoint, self.state
        )
    }
}

/// A list of `targets` in discovery's form.
pub fn list(revision: u64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<String> = targets.iter().map(Target::json).collect();
    let targets = targets.join(",");
    format!("{{\"rev\":{revision},\"all\":{all},\"targets\":[{targets}]}}")
}

/// How discovery treats calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It is down: watches end, calls get 503 at once.
    Down,
    /// It says nothing, on open watches and on new calls.
    Silent,
}

struct State {
    revision: u64,
    targets: Vec<Target>,
    mode: Mode,
    /// For each address, how many of the next calls wait too long and are refused.
    refused_calls: Vec<u32>,
}

/// The service; its clones share one state.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    /// How long a call that is refused waits before.
    refused_after: Duration,
}

impl Discovery {
    /// Starts the service at `count` addresses and returns these.
    ///
    /// # Errors
    ///
    /// Those of binding sockets.
    pub fn start(
        targets: Vec<Target>,
        count: usize,
        refused_after: Duration,
        record: &Record,
    ) -> io::Result<(Discovery, Vec<SocketAddr>)> {
        let state = State {
            revision: 41,
            targets,
            mode: Mode::Up,
            refused_calls: vec![0; count],
        };
        let discovery = Discovery {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            refused_after,
        };
        let mut addresses = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let discovery = discovery.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let discovery = discovery.clone();
                    thread::spawn(move || {
                        let _ = discovery.serve(number, stream);
                    });
                }
            });
        }
        Ok((discovery, addresses))
    }

    /// The whole list as it is now.
    pub fn list(&self) -> String {
        let state = self.lock();
        list(state.revision, true, &state.targets)
    }

    /// Changes the state of a backend.
    pub fn set_state(&self, uid: &str, new_state: &'static str) {
        let mut state = self.lock();
        state.revision += 1;
        for target in &mut state.targets {
            if target.uid == uid {
                target.state = new_state;
            }
        }
        self.record
            .add(format!("discovery has: {uid} is {new_state}"));
        self.state.1.notify_all();
    }

    /// Changes how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        let name = match mode {
            Mode::Up => "answers",
            Mode::Down => "is down: watches end, calls get 503",
            Mode::Silent => "is down: it says nothing",
        };
        self.lock().mode = mode;
        self.record.add(format!("discovery {name}"));
        self.state.1.notify_all();
    }

    /// From now on the next `calls` calls at each address wait too long and are refused.
    pub fn refuse_calls(&self, calls: u32) {
        for count in &mut self.lock().refused_calls {
            *count = calls;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .0
            .lock()
            .expect("no thread panics with the lock held")
    }

    fn serve(&self, number: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(call) = http::read_head(&mut reader)? else {
            return Ok(());
        };
        let is_watch = call.first_line.contains("watch=1");
        self.record.add(format!(
            "discovery call of node {number}: {}",
            call.first_line
        ));
        if self.lock().mode == Mode::Silent {
            // A machine that says nothing: the connection stays open and silent.
            return self.hold_silent(&stream);
        }
        if self.must_refuse(number) {
            self.record
                .add(format!("discovery refuses the call of node {number}: 503"));
            return stream
                .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
        let (mut revision, whole) = {
            let state = self.lock();
            (state.revision, list(state.revision, true, &state.targets))
        };
        if !is_watch {
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}",
                whole.len()
            );
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut next = whole;
        loop {
            if has_ended(&stream) {
                return Ok(());
            }
            let line = next + "\n";
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            if line.len() > 1 {
                self.record
                    .add(format!("discovery tells node {number}: {}", line.trim()));
            }
            let state = self.lock();
            let (state, _) = self
                .state
                .1
                .wait_timeout_while(state, EMPTY_LINE_EVERY, |state| {
                    state.mode == Mode::Up && state.revision == revision
                })
                .expect("no thread panics with the lock held");
            match state.mode {
                Mode::Up if state.revision != revision => {
                    revision = state.revision;
                    next = list(revision, true, &state.targets);
                }
                Mode::Up => next = String::new(),
                Mode::Down => return Ok(()),
                Mode::Silent => {
                    drop(state);
                    return self.hold_silent(&stream);
                }
            }
        }
    }

    /// Keeps a connection open and says nothing until discovery is back, which resets it.
    fn hold_silent(&self, _stream: &TcpStream) -> io::Result<()> {
        let state = self.lock();
        let _state = self
            .state
            .1
            .wait_while(state, |state| state.mode == Mode::Silent)
            .expect("no thread panics with the lock held");
        Ok(())
    }

    /// Whether a call ends with 503: at once while discovery is down, and after its wait if it has
    /// waited too long.
    fn must_refuse(&self, number: usize) -> bool {
        let mut state = self.lock();
        if state.mode == Mode::Down {
            return true;
        }
        if state.refused_calls[number] == 0 {
            return false;
        }
        state.refused_calls[number] -= 1;
        drop(state);
        thread::sleep(self.refused_after);
        true
    }
}
