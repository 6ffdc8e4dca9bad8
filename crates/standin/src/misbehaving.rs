//! Misbehaving clients: they disconnect early, half-close, trickle, stop in the middle of a
//! request, say nothing, or pipeline. They write to bare sockets, as no HTTP library does that.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::{Clock, locked};

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It closes its connection this long after its request.
    Disconnects(Duration),
    /// It ends its sending behind its request and waits for the answer.
    HalfCloses,
    /// It sends its request in pieces with pauses.
    Trickles,
    /// It sends half a request and stays.
    StopsMidway,
    /// It says nothing.
    Silent,
    /// It sends two requests at once.
    Pipelines,
}

/// The behaviours that have no parameter.
pub const BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::HalfCloses,
    Behaviour::Trickles,
    Behaviour::StopsMidway,
    Behaviour::Silent,
    Behaviour::Pipelines,
];

/// Pieces of a request that trickles.
const TRICKLE_PIECES: usize = 5;
/// Pause behind each piece.
const TRICKLE_PAUSE: Duration = Duration::from_millis(60);
/// A client waits at least this long for what it is owed ...
const MIN_ANSWER_WAIT: Duration = Duration::from_secs(3);
/// ... and this much longer, so that a late answer is still seen and can be judged.
const LATE_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// A request of a misbehaving client.
#[derive(Clone, Debug)]
pub struct MisbehavingRequest {
    /// Its name, unique in the run; a pipelined second request has a `b` behind it.
    pub txn: String,
    /// Name of its class, whose requests are idempotent or have an idempotency key.
    pub class: String,
    /// It is sent as `POST` with an idempotency key.
    pub has_key: bool,
    /// How long the client waits.
    pub client_timeout: Duration,
    /// What the client does.
    pub behaviour: Behaviour,
}

/// What became of a misbehaving client.
#[derive(Clone, Debug)]
pub struct MisbehavingRecord {
    /// What it sent, and how.
    pub request: MisbehavingRequest,
    /// Number of the node.
    pub node: usize,
    /// When it had connected; `None` if it could not.
    pub connected: Option<Duration>,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When it closed, or ended its sending.
    pub disconnected: Option<Duration>,
    /// When the node had ended the connection or given all answers.
    pub ended: Option<Duration>,
    /// Complete answers that it got.
    pub answers: usize,
}

/// All misbehaving clients of a run.
pub struct MisbehavingClients {
    clock: Clock,
    records: Mutex<Vec<MisbehavingRecord>>,
}

impl MisbehavingClients {
    /// Clients that have sent nothing yet.
    pub fn new(clock: Clock) -> Arc<MisbehavingClients> {
        Arc::new(MisbehavingClients {
            clock,
            records: Mutex::default(),
        })
    }

    /// All clients that have ended.
    pub fn records(&self) -> Vec<MisbehavingRecord> {
        locked(&self.records).clone()
    }

    /// Plays one client to its end.
    pub async fn play(
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

    /// Reads until the answers that are owed have come, the node ends the connection, or the client
    /// has waited well past its timeout.
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

fn request_bytes(request: &MisbehavingRequest, suffix: &str) -> Vec<u8> {
    let txn = format!("{}{suffix}", request.txn);
    let class = &request.class;
    let remaining_ms = request.client_timeout.as_millis();
    let (method, key_headers, body) = if request.has_key {
        let key_headers = format!("Idempotency-Key: k{txn}\r\nContent-Length: 4\r\n");
        ("POST", key_headers, "body")
    } else {
        ("GET", String::new(), "")
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n{key_headers}\r\n{body}"
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

/// Complete answers at the head of these bytes; each has a `Content-Length`.
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
