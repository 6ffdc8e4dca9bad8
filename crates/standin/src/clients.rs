//! Clients in an open loop: each request has a time at which it is meant to be sent, and goes then,
//! whatever has become of the others. Connections are kept; a client gives up when its patience
//! ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{Clock, locked};

/// What repeating a request does, and so its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// `GET`.
    Idempotent,
    /// `POST` with a key.
    IdempotencyKey,
    /// `POST` without one.
    NotIdempotent,
}

/// A request to be asked.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its name, fresh for each.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// What repeating it does.
    pub idempotency: Idempotency,
    /// When it is meant to be sent.
    pub planned: Duration,
    /// How long the client waits.
    pub client_timeout: Duration,
}

/// How an ask ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// With this status and body.
    Answered(u16, String),
    /// The node could not be reached.
    Unreachable,
    /// The connection ended without a whole answer.
    ConnectionLost,
    /// The client gave up.
    TimedOut,
}

/// One ask in the ledger.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// What was asked.
    pub request: ClientRequest,
    /// Number of the node.
    pub node: usize,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub answer: ClientOutcome,
}

type Sender = SendRequest<Full<Bytes>>;

/// All clients of a run.
pub struct Clients {
    clock: Clock,
    idle: Mutex<HashMap<usize, Vec<Sender>>>,
    asked: Mutex<Vec<RequestRecord>>,
}

impl Clients {
    /// None has asked.
    pub fn new(clock: Clock) -> Arc<Clients> {
        Arc::new(Clients {
            clock,
            idle: Mutex::default(),
            asked: Mutex::default(),
        })
    }

    /// All asks that have ended.
    pub fn asked(&self) -> Vec<RequestRecord> {
        locked(&self.asked).clone()
    }

    /// Puts one request to a node, now.
    pub async fn send(self: Arc<Self>, request: ClientRequest, node: usize, at: SocketAddr) {
        let end = self.clock.at(request.planned + request.client_timeout);
        let answer = match tokio::time::timeout_at(end, self.attempt(&request, node, at)).await {
            Ok(answer) => answer,
            Err(_) => ClientOutcome::TimedOut,
        };
        let ended = self.clock.now();
        locked(&self.asked).push(RequestRecord {
            request,
            node,
            ended,
            answer,
        });
    }

    fn idle(&self, node: usize) -> Option<Sender> {
        let mut idle = locked(&self.idle);
        let kept = idle.get_mut(&node)?;
        kept.retain(|sender| !sender.is_closed());
        kept.pop()
    }

    fn http_request(&self, request: &ClientRequest) -> Request<Full<Bytes>> {
        let left = (request.planned + request.client_timeout).saturating_sub(self.clock.now());
        let builder = Request::builder()
            .method(if request.idempotency == Idempotency::Idempotent {
                "GET"
            } else {
                "POST"
            })
            .uri("/api")
            .header("host", "api.internal")
            .header("x-txn", &request.txn)
            .header("x-lane", &request.class)
            .header("x-org", "acme")
            .header("x-remaining-ms", left.as_millis().to_string());
        let builder = match request.idempotency {
            Idempotency::IdempotencyKey => {
                builder.header("idempotency-key", format!("k{}", request.txn))
            }
            _ => builder,
        };
        let body = if request.idempotency == Idempotency::Idempotent {
            Full::default()
        } else {
            Full::from("body")
        };
        builder.body(body).expect("sound headers")
    }

    async fn attempt(&self, request: &ClientRequest, node: usize, at: SocketAddr) -> ClientOutcome {
        let mut fresh = false;
        loop {
            let mut sender = match self.idle(node) {
                Some(sender) => sender,
                None => {
                    fresh = true;
                    match open(at).await {
                        Some(sender) => sender,
                        None => return ClientOutcome::Unreachable,
                    }
                }
            };
            match sender.send_request(self.http_request(request)).await {
                Ok(answer) => {
                    let status = answer.status().as_u16();
                    let Ok(body) = answer.into_body().collect().await else {
                        return ClientOutcome::ConnectionLost;
                    };
                    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    locked(&self.idle).entry(node).or_default().push(sender);
                    return ClientOutcome::Answered(status, body);
                }
                // A close that crossed the request: it is sent once more on a new connection.
                Err(error) if !fresh && (error.is_canceled() || error.is_closed()) => fresh = true,
                Err(_) => return ClientOutcome::ConnectionLost,
            }
        }
    }
}

async fn open(at: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(at).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        // Its end shows at the request that is on it.
        let _ = connection.await;
    });
    Some(sender)
}
