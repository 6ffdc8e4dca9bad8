//! Clients that don't behave: they leave early, end their sending alone, send slowly, stop in the
//! middle, say nothing, or send several requests at once. Written on bare sockets, as no HTTP
//! library does that.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::{Clock, locked};

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It closes its connection this long after its request.
    Leaves(Duration),
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

/// The manners that need no figure.
pub const BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::HalfCloses,
    Behaviour::Trickles,
    Behaviour::StopsMidway,
    Behaviour::Silent,
    Behaviour::Pipelines,
];

/// Pieces of a request that trickles, and the pause between them.
const PIECES: usize = 5;
const PAUSE: Duration = Duration::from_millis(60);

/// What such a client asks.
#[derive(Clone, Debug)]
pub struct MisbehavingRequest {
    /// Its request's name; a second one has a `b` behind it.
    pub txn: String,
    /// Name of its class, whose requests are safe to repeat or keyed.
    pub class: String,
    /// It is sent as `POST` with a key.
    pub keyed: bool,
    /// How long it waits.
    pub client_timeout: Duration,
    /// What it does.
    pub behaviour: Behaviour,
}

/// One such client in the ledger.
#[derive(Clone, Debug)]
pub struct MisbehavingRecord {
    /// What it asked, and how.
    pub request: MisbehavingRequest,
    /// Number of the node.
    pub node: usize,
    /// When it had connected; `None` if it could not.
    pub connected: Option<Duration>,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When it closed, or ended its sending.
    pub left: Option<Duration>,
    /// When the node had ended the connection or given a whole answer.
    pub ended: Option<Duration>,
    /// Whole answers that it got.
    pub answers: usize,
}

/// All of them.
pub struct MisbehavingClients {
    clock: Clock,
    asked: Mutex<Vec<MisbehavingRecord>>,
}

impl MisbehavingClients {
    /// None has asked.
    pub fn new(clock: Clock) -> Arc<MisbehavingClients> {
        Arc::new(MisbehavingClients {
            clock,
            asked: Mutex::default(),
        })
    }

    /// All that have ended.
    pub fn asked(&self) -> Vec<MisbehavingRecord> {
        locked(&self.asked).clone()
    }

    /// Plays one client to its end.
    pub async fn play(self: Arc<Self>, request: MisbehavingRequest, node: usize, at: SocketAddr) {
        let now = self.clock.now();
        let row = MisbehavingRecord {
            request,
            node,
            connected: None,
            sent: now,
            left: None,
            ended: None,
            answers: 0,
        };
        let row = self.talk(row, at).await;
        locked(&self.asked).push(row);
    }

    async fn talk(&self, mut row: MisbehavingRecord, at: SocketAddr) -> MisbehavingRecord {
        let Ok(mut stream) = TcpStream::connect(at).await else {
            return row;
        };
        row.connected = Some(self.clock.now());
        let _ = stream.set_nodelay(true);
        let text = request_bytes(&row.request, "");
        let sent = match row.request.behaviour {
            Behaviour::Silent => Ok(()),
            Behaviour::StopsMidway => stream.write_all(&text[..text.len() / 2]).await,
            Behaviour::Trickles => trickle(&mut stream, &text).await,
            Behaviour::Pipelines => {
                let both = [text, request_bytes(&row.request, "b")].concat();
                stream.write_all(&both).await
            }
            Behaviour::Leaves(_) | Behaviour::HalfCloses => stream.write_all(&text).await,
        };
        row.sent = self.clock.now();
        if sent.is_err() {
            row.ended = Some(row.sent);
            return row;
        }
        match row.request.behaviour {
            Behaviour::Leaves(wait) => {
                tokio::time::sleep(wait).await;
                drop(stream);
                row.left = Some(self.clock.now());
                return row;
            }
            Behaviour::HalfCloses => {
                let _ = stream.shutdown().await;
                row.left = Some(self.clock.now());
            }
            _ => {}
        }
        self.read_answers(&mut row, stream).await;
        row
    }

    /// Reads until the answers that are owed have come, the node ends, or far more than patience is
    /// over.
    async fn read_answers(&self, row: &mut MisbehavingRecord, mut stream: TcpStream) {
        let wanted = if row.request.behaviour == Behaviour::Pipelines {
            2
        } else {
            1
        };
        let limit = row.request.client_timeout.max(Duration::from_secs(3)) + Duration::from_secs(1);
        let mut bytes = Vec::new();
        let read = async {
            let mut piece = [0; 4096];
            loop {
                match stream.read(&mut piece).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => bytes.extend_from_slice(&piece[..count]),
                }
                if whole_answers(&bytes) >= wanted {
                    return;
                }
            }
        };
        if tokio::time::timeout(limit, read).await.is_ok() {
            row.ended = Some(self.clock.now());
        }
        row.answers = whole_answers(&bytes);
    }
}

fn request_bytes(request: &MisbehavingRequest, second: &str) -> Vec<u8> {
    let MisbehavingRequest {
        txn,
        class,
        keyed,
        client_timeout,
        ..
    } = request;
    let (method, key, body) = if *keyed {
        (
            "POST",
            format!("Idempotency-Key: k{txn}{second}\r\nContent-Length: 4\r\n"),
            "body",
        )
    } else {
        ("GET", String::new(), "")
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}{second}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {}\r\n{key}\r\n{body}",
        client_timeout.as_millis()
    )
    .into_bytes()
}

async fn trickle(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    for piece in text.chunks(text.len().div_ceil(PIECES)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

/// Whole answers at the head of these bytes; each tells its length.
fn whole_answers(mut bytes: &[u8]) -> usize {
    let mut count = 0;
    while let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length = head
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.lines().next());
        let Some(length) = length.and_then(|text| text.trim().parse::<usize>().ok()) else {
            break;
        };
        let Some(rest) = bytes.get(end + 4 + length..) else {
            break;
        };
        count += 1;
        bytes = rest;
    }
    count
}
