//! A backend: runs each request once, and answers with its own name and the request's id.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// A second answer: a copy of an answer that follows it.
#[derive(Clone, Copy)]
pub struct SecondAnswers {
    /// The share of the answers that get one.
    pub share: f64,
    /// The shortest and the longest time after the answer, in milliseconds.
    pub late_ms: (f64, f64),
}

/// A backend; its clones share one state.
#[derive(Clone)]
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    /// How long a request runs, in milliseconds: the shortest and the longest time.
    work_ms: (f64, f64),
    pub runs: Arc<Mutex<Vec<Run>>>,
    second_answers: Option<SecondAnswers>,
    has_second_answers: Arc<AtomicBool>,
    record: Record,
}

impl Backend {
    /// Starts a backend on a free port.
    ///
    /// # Errors
    ///
    /// Those of binding a socket.
    pub fn start(
        name: &str,
        work_ms: (f64, f64),
        second_answers: Option<SecondAnswers>,
        record: &Record,
    ) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Backend {
            name: name.to_string(),
            address: listener.local_addr()?,
            work_ms,
            runs: Arc::default(),
            second_answers,
            has_second_answers: Arc::default(),
            record: record.clone(),
        };
        let shared = backend.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let backend = shared.clone();
                thread::spawn(move || {
                    let _ = backend.serve(number as u64, stream);
                });
            }
        });
        Ok(backend)
    }

    /// From now on second answers are sent.
    pub fn begin_second_answers(&self) {
        self.has_second_answers.store(true, Ordering::SeqCst);
    }

    /// The requests that were received so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .expect("no thread panics with the lock held")
            .clone()
    }

    /// Serves one connection: one request at a time.
    fn serve(&self, connection: u64, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut random = Random::new(connection ^ u64::from(self.address.port()));
        let mut reader = BufReader::new(stream.try_clone()?);
        let writer = Arc::new(Mutex::new(stream));
        let received = Arc::new(AtomicU64::new(0));
        while let Some(request) = http::read_message(&mut reader)? {
            let number = received.fetch_add(1, Ordering::SeqCst) + 1;
            self.note(&request);
            let work_ms = random.between(self.work_ms.0, self.work_ms.1);
            thread::sleep(Duration::from_secs_f64(work_ms / 1e3));
            let body = format!("{} recorded {}", self.name, request.header("x-txn"));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            self.record.add(format!(
                "backend {} connection {connection} answers: {body}",
                self.name
            ));
            writer
                .lock()
                .expect("no thread panics with the lock held")
                .write_all(answer.as_bytes())?;
            let Some(second) = self.second_answers else {
                continue;
            };
            let is_on = self.has_second_answers.load(Ordering::SeqCst);
            if !is_on || random.between(0.0, 1.0) >= second.share {
                continue;
            }
            let late_ms = random.between(second.late_ms.0, second.late_ms.1);
            let (backend, writer, received) = (self.clone(), writer.clone(), received.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(late_ms / 1e3));
                let mut writer = writer.lock().expect("no thread panics with the lock held");
                // Only when nothing else is waiting on the connection.
                if received.load(Ordering::SeqCst) == number {
                    backend.record.add(format!(
                        "backend {} connection {connection} answers again, {late_ms:.1} ms late: {body}",
                        backend.name
                    ));
                    let _ = writer.write_all(answer.as_bytes());
                }
            });
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
