//! A backend: runs each request once, and answers with its own name and the request's id.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Random;
use crate::http::{self, Message};
use crate::record::Record;

/// A request that a backend has received.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it was received, in seconds since the start of the record.
    pub at: f64,
    pub txn: String,
    pub body: Vec<u8>,
}

/// A backend; its clones share one state.
#[derive(Clone)]
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    /// How long a request runs, in milliseconds: the shortest and the longest time.
    work_ms: (f64, f64),
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Held while a request runs, if requests run one after another.
    core: Option<Arc<Mutex<()>>>,
    pieces: Option<Pieces>,
    record: Record,
}

/// Some answers are written in two pieces.
#[derive(Clone, Copy)]
pub struct Pieces {
    /// The share of the answers.
    pub share: f64,
    /// The length of the second piece, in bytes.
    pub rest: usize,
    /// The pause between the pieces.
    pub pause: Duration,
    /// Whether the `Content-Length` leaves out the second piece.
    pub is_length_short: bool,
}

impl Backend {
    /// Starts a backend on a free port; it runs any number of requests at once.
    ///
    /// # Errors
    ///
    /// Those of binding a socket.
    pub fn start(name: &str, work_ms: (f64, f64), record: &Record) -> io::Result<Backend> {
        Backend::start_with(name, work_ms, None, None, record)
    }

    /// Starts a backend with one core on a free port: its requests run one after another.
    ///
    /// # Errors
    ///
    /// Those of binding a socket.
    pub fn start_with_one_core(
        name: &str,
        work_ms: (f64, f64),
        record: &Record,
    ) -> io::Result<Backend> {
        Backend::start_with(name, work_ms, Some(Arc::default()), None, record)
    }

    /// Starts a backend on a free port that writes some answers in two pieces.
    ///
    /// # Errors
    ///
    /// Those of binding a socket.
    pub fn start_with_pieces(
        name: &str,
        work_ms: (f64, f64),
        pieces: Pieces,
        record: &Record,
    ) -> io::Result<Backend> {
        Backend::start_with(name, work_ms, None, Some(pieces), record)
    }

    fn start_with(
        name: &str,
        work_ms: (f64, f64),
        core: Option<Arc<Mutex<()>>>,
        pieces: Option<Pieces>,
        record: &Record,
    ) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Backend {
            name: name.to_string(),
            address: listener.local_addr()?,
            work_ms,
            runs: Arc::default(),
            core,
            pieces,
            record: record.clone(),
        };
        backend.accept(listener);
        Ok(backend)
    }

    fn accept(&self, listener: TcpListener) {
        let shared = self.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let backend = shared.clone();
                thread::spawn(move || {
                    let _ = backend.serve(number as u64, stream);
                });
            }
        });
    }

    /// The requests that were received so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .expect("no thread panics with the lock held")
            .clone()
    }

    /// Serves one connection: one request at a time.
    fn serve(&self, connection: u64, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut random = Random::new(connection ^ u64::from(self.address.port()));
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_message(&mut reader)? {
            self.note(&request);
            let work_ms = random.between(self.work_ms.0, self.work_ms.1);
            let core = self.core.as_ref().map(|core| core.lock());
            thread::sleep(Duration::from_secs_f64(work_ms / 1e3));
            drop(core);
            let body = format!("backend {} recorded {}", self.name, request.header("x-txn"));
            let pieces = self
                .pieces
                .filter(|pieces| random.between(0.0, 1.0) < pieces.share);
            let (length, pause) = match pieces {
                Some(pieces) if pieces.is_length_short => (body.len() - pieces.rest, pieces.pause),
                Some(pieces) => (body.len(), pieces.pause),
                None => (body.len(), Duration::ZERO),
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            self.record.add(format!(
                "backend {} connection {connection} answers, Content-Length {length}: {body}",
                self.name
            ));
            let rest = pieces.map_or(0, |pieces| pieces.rest);
            let (first, second) = answer.split_at(answer.len() - rest);
            stream.write_all(first.as_bytes())?;
            thread::sleep(pause);
            stream.write_all(second.as_bytes())?;
        }
        Ok(())
    }

    fn note(&self, request: &Message) {
        let at = self.record.now();
        let txn = request.header("x-txn").to_string();
        let body = String::from_utf8_lossy(&request.body);
        self.record
            .add_at(at, format!("backend {} runs {txn} body={body}", self.name));
        self.runs
            .lock()
            .expect("no thread panics with the lock held")
            .push(Run {
                at,
                txn,
                body: request.body.clone(),
            });
    }
}
