//! Well-behaved clients in an open loop: each request has a time at which it is meant to be sent,
//! and goes then, whatever has become of the others. Connections are reused; a client gives up at
//! its timeout.

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

/// What executing a request twice means, and so its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Nothing; sent as `GET`.
    Idempotent,
    /// Repeats of its key are dropped within a cell and a window; sent as `POST` with the key.
    IdempotencyKey,
    /// It has its effect twice; sent as `POST` without a key.
    NotIdempotent,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its name, unique in the run; sent as `X-Txn`.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// What executing it twice means.
    pub idempotency: Idempotency,
    /// When it is meant to be sent; its timeout counts from here.
    pub planned: Duration,
    /// How long the client waits.
    pub client_timeout: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// With a complete answer.
    Answered {
        /// Its HTTP status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// The node could not be reached.
    Unreachable,
    /// The connection ended without a complete answer.
    ConnectionLost,
    /// The client's timeout ran out.
    TimedOut,
}

impl ClientOutcome {
    /// Answered with 200.
    pub fn is_served(&self) -> bool {
        matches!(self, ClientOutcome::Answered { status: 200, .. })
    }

    /// Answered with 429 or 503: the request was not executed, and a retry is harmless.
    pub fn is_rejected(&self) -> bool {
        matches!(
            self,
            ClientOutcome::Answered {
                status: 429 | 503,
                ..
            }
        )
    }
}

/// A request that has ended, and how.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: ClientRequest,
    /// Number of the node.
    pub node: usize,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: ClientOutcome,
}

type RequestSender = SendRequest<Full<Bytes>>;

/// All clients of a run.
pub struct Clients {
    clock: Clock,
    /// Idle connections by node.
    idle_connections: Mutex<HashMap<usize, Vec<RequestSender>>>,
    records: Mutex<Vec<RequestRecord>>,
}

impl Clients {
    /// Clients that have sent nothing yet.
    pub fn new(clock: Clock) -> Arc<Clients> {
        Arc::new(Clients {
            clock,
            idle_connections: Mutex::default(),
            records: Mutex::default(),
        })
    }

    /// All requests that have ended, by their ends.
    pub fn records(&self) -> Vec<RequestRecord> {
        locked(&self.records).clone()
    }

    /// Sends one request to a node now, and records its outcome.
    pub async fn send(self: Arc<Self>, request: ClientRequest, node: usize, address: SocketAddr) {
        let deadline = self.clock.at(request.planned + request.client_timeout);
        let result =
            tokio::time::timeout_at(deadline, self.exchange(&request, node, address)).await;
        let outcome = result.unwrap_or(ClientOutcome::TimedOut);
        let ended = self.clock.now();
        locked(&self.records).push(RequestRecord {
            request,
            node,
            ended,
            outcome,
        });
    }

    fn take_idle_connection(&self, node: usize) -> Option<RequestSender> {
        let mut idle_connections = locked(&self.idle_connections);
        let senders = idle_connections.get_mut(&node)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }

    fn http_request(&self, request: &ClientRequest) -> Request<Full<Bytes>> {
        let deadline = request.planned + request.client_timeout;
        let remaining = deadline.saturating_sub(self.clock.now());
        let is_get = request.idempotency == Idempotency::Idempotent;
        let mut builder = Request::builder()
            .method(if is_get { "GET" } else { "POST" })
            .uri("/api")
            .header("host", "api.internal")
            .header("x-txn", &request.txn)
            .header("x-lane", &request.class)
            .header("x-org", "acme")
            .header("x-remaining-ms", remaining.as_millis().to_string());
        if request.idempotency == Idempotency::IdempotencyKey {
            builder = builder.header("idempotency-key", format!("k{}", request.txn));
        }
        let body = if is_get {
            Full::default()
        } else {
            Full::from("body")
        };
        builder.body(body).expect("valid headers")
    }

    async fn exchange(
        &self,
        request: &ClientRequest,
        node: usize,
        address: SocketAddr,
    ) -> ClientOutcome {
        let mut is_last_try = false;
        loop {
            let reused = self.take_idle_connection(node);
            is_last_try |= reused.is_none();
            let sender = match reused {
                Some(sender) => Some(sender),
                None => connect(address).await,
            };
            let Some(mut sender) = sender else {
                return ClientOutcome::Unreachable;
            };
            match sender.send_request(self.http_request(request)).await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let Ok(body) = response.into_body().collect().await else {
                        return ClientOutcome::ConnectionLost;
                    };
                    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    locked(&self.idle_connections)
                        .entry(node)
                        .or_default()
                        .push(sender);
                    return ClientOutcome::Answered { status, body };
                }
                // The node closed an idle connection while the request was on its way, which is no
                // fault of the node: it is sent once more.
                Err(error) if !is_last_try && (error.is_canceled() || error.is_closed()) => {
                    is_last_try = true;
                }
                Err(_) => return ClientOutcome::ConnectionLost,
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<RequestSender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        // The end of the connection shows at the request that is on it.
        let _ = connection.await;
    });
    Some(sender)
}
