//! Misbehaving clients: they disconnect early, half-close, trickle, stop in the middle of a
//! request, send nothing, or pipeline. They write to plain sockets, because HTTP libraries don't
//! allow this.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::{Clock, locked};

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// The client sends its request and closes the connection after this time.
    Disconnects(Duration),
    /// The client shuts down its sending direction after the request and waits for the answer.
    HalfCloses,
    /// The client sends its request in pieces, with a pause after each piece.
    Trickles,
    /// The client sends the first half of a request and keeps the connection open.
    StopsMidway,
    /// The client connects and sends nothing.
    Silent,
    /// The client sends two requests at once, without waiting for the first answer.
    Pipelines,
}

/// All behaviours except [`Behaviour::Disconnects`], which has a parameter. The testbed draws an
/// index into this array, so another order would change the clients of all seeds.
pub const PARAMETERLESS_BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::HalfCloses,
    Behaviour::Trickles,
    Behaviour::StopsMidway,
    Behaviour::Silent,
    Behaviour::Pipelines,
];

/// Maximum number of pieces in which [`Behaviour::Trickles`] sends a request.
const TRICKLE_PIECES: usize = 5;
/// Pause of [`Behaviour::Trickles`] after each piece.
const TRICKLE_PAUSE: Duration = Duration::from_millis(60);
/// Minimum time that a client waits for its answers, before [`LATE_ANSWER_MARGIN`] is added.
const MIN_ANSWER_WAIT: Duration = Duration::from_secs(3);
/// Additional time that a client waits, so that a late answer is still recorded and can be judged.
const LATE_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// A request of a misbehaving client, and how the client misbehaves.
#[derive(Clone, Debug)]
pub struct MisbehavingRequest {
    /// Identifier of the request, unique in the run; a pipelined second request has `b` appended.
    pub txn: String,
    /// Name of the class of the request. The requests of this class are idempotent or have an
    /// idempotency key.
    pub class: String,
    /// Whether the request is sent as `POST` with an idempotency key; otherwise it is a `GET`.
    pub has_key: bool,
    /// The client timeout that the request states in `X-Remaining-Ms`; the client waits longer, to
    /// see late answers.
    pub client_timeout: Duration,
    /// How the client misbehaves.
    pub behaviour: Behaviour,
}

/// The record of a misbehaving client that has ended.
#[derive(Clone, Debug)]
pub struct MisbehavingRecord {
    /// The request and the behaviour of the client.
    pub request: MisbehavingRequest,
    /// Number of the node that the client connected to.
    pub node: usize,
    /// When the connection was established; `None` if the client could not connect.
    pub connected: Option<Duration>,
    /// When the client had finished writing or a write failed; the start time if the client could
    /// not connect.
    pub sent: Duration,
    /// When the client closed the connection or its sending direction; `None` if it did neither.
    pub disconnected: Option<Duration>,
    /// When the node had ended the connection or sent all answers; `None` if the client could not
    /// connect, closed the connection first or stopped waiting.
    pub ended: Option<Duration>,
    /// Number of complete answers that the client received. Answers without a `Content-Length` are
    /// not counted, nor any that follow them.
    pub answers: usize,
}

/// All misbehaving clients of a run; they share their records.
pub struct MisbehavingClients {
    clock: Clock,
    records: Mutex<Vec<MisbehavingRecord>>,
}

impl MisbehavingClients {
    /// Creates clients that have sent nothing yet.
    pub fn new(clock: Clock) -> Arc<MisbehavingClients> {
        Arc::new(MisbehavingClients {
            clock,
            records: Mutex::default(),
        })
    }

    /// The records of all clients that have ended.
    pub fn records(&self) -> Vec<MisbehavingRecord> {
        locked(&self.records).clone()
    }

    /// Runs one client until it has ended, and records the result.
    pub async fn run(
        self: Arc<Self>,
        request: MisbehavingRequest,
        node: usize,
        address: SocketAddr,
    ) {
        let mut record = MisbehavingRecord {
            request,
            node,
            connected: None,
            sent: self.clock.now(),
            disconnected: None,
            ended: None,
            answers: 0,
        };
        if let Ok(stream) = TcpStream::connect(address).await {
            self.run_connection(&mut record, stream).await;
        }
        locked(&self.records).push(record);
    }

    /// Sends the request; then disconnects, or reads the answers, after a half-close if the
    /// behaviour is [`Behaviour::HalfCloses`].
    async fn run_connection(&self, record: &mut MisbehavingRecord, mut stream: TcpStream) {
        record.connected = Some(self.clock.now());
        let _ = stream.set_nodelay(true);
        let sent = send_request(&record.request, &mut stream).await;
        record.sent = self.clock.now();
        if sent.is_err() {
            record.ended = Some(record.sent);
            return;
        }
        match record.request.behaviour {
            Behaviour::Disconnects(wait) => {
                tokio::time::sleep(wait).await;
                drop(stream);
                record.disconnected = Some(self.clock.now());
                return;
            }
            Behaviour::HalfCloses => {
                let _ = stream.shutdown().await;
                record.disconnected = Some(self.clock.now());
            }
            Behaviour::Trickles
            | Behaviour::StopsMidway
            | Behaviour::Silent
            | Behaviour::Pipelines => {}
        }
        self.read_answers(record, stream).await;
    }

    /// Reads until all expected answers are complete, the node ends the connection, or the client
    /// has waited for its timeout, at least [`MIN_ANSWER_WAIT`], and [`LATE_ANSWER_MARGIN`].
    async fn read_answers(&self, record: &mut MisbehavingRecord, mut stream: TcpStream) {
        let expected_answers = match record.request.behaviour {
            Behaviour::Pipelines => 2,
            _ => 1,
        };
        let read_timeout = record.request.client_timeout.max(MIN_ANSWER_WAIT) + LATE_ANSWER_MARGIN;
        let mut received = Vec::new();
        let read = async {
            let mut buffer = [0; 4096];
            loop {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => received.extend_from_slice(&buffer[..count]),
                }
                if count_complete_answers(&received) >= expected_answers {
                    return;
                }
            }
        };
        if tokio::time::timeout(read_timeout, read).await.is_ok() {
            record.ended = Some(self.clock.now());
        }
        record.answers = count_complete_answers(&received);
    }
}

/// Writes the request, or the part of it that the behaviour sends.
async fn send_request(request: &MisbehavingRequest, stream: &mut TcpStream) -> std::io::Result<()> {
    let encoded = request_bytes(request, "");
    match request.behaviour {
        Behaviour::Silent => Ok(()),
        Behaviour::StopsMidway => stream.write_all(&encoded[..encoded.len() / 2]).await,
        Behaviour::Trickles => trickle(stream, &encoded).await,
        Behaviour::Pipelines => {
            let both_requests = [encoded, request_bytes(request, "b")].concat();
            stream.write_all(&both_requests).await
        }
        Behaviour::Disconnects(_) | Behaviour::HalfCloses => stream.write_all(&encoded).await,
    }
}

/// Encodes the request; `suffix` is appended to its `X-Txn`.
fn request_bytes(request: &MisbehavingRequest, suffix: &str) -> Vec<u8> {
    let txn = format!("{}{suffix}", request.txn);
    let class = &request.class;
    let remaining_ms = request.client_timeout.as_millis();
    let (method, post_headers, body) = if request.has_key {
        let post_headers = format!("Idempotency-Key: k{txn}\r\nContent-Length: 4\r\n");
        ("POST", post_headers, "body")
    } else {
        ("GET", String::new(), "")
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n{post_headers}\r\n{body}"
    )
    .into_bytes()
}

async fn trickle(stream: &mut TcpStream, encoded: &[u8]) -> std::io::Result<()> {
    for piece in encoded.chunks(encoded.len().div_ceil(TRICKLE_PIECES)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(TRICKLE_PAUSE).await;
    }
    Ok(())
}

/// Counts the complete answers at the start of `bytes`. Answers without a `Content-Length` are not
/// counted, nor any that follow them.
fn count_complete_answers(mut bytes: &[u8]) -> usize {
    const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";
    let mut count = 0;
    while let Some(head_length) = bytes
        .windows(HEAD_TERMINATOR.len())
        .position(|window| window == HEAD_TERMINATOR)
    {
        let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
        let length_text = head
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.lines().next());
        let Some(length) = length_text.and_then(|text| text.trim().parse::<usize>().ok()) else {
            break;
        };
        let Some(rest) = bytes.get(head_length + HEAD_TERMINATOR.len() + length..) else {
            break;
        };
        count += 1;
        bytes = rest;
    }
    count
}
