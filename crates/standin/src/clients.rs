//! Well-behaved clients in an open loop: each request is sent at its planned time, whether earlier
//! requests have ended or not. Idle connections are reused, and a client gives up some time after
//! its timeout.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::request_body::{EncodedBody, RequestBody};
use crate::{Clock, locked};

/// Header with the length of the body, by which a backend checks that it got all of it.
pub(crate) const BODY_LENGTH_HEADER: &str = "x-body-length";

/// How long a client goes on waiting after its timeout: an answer that comes meanwhile is of no
/// use, but does not count as lost (protocol page).
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// What happens if a request is executed twice; this determines the method of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// A second execution has no further effect; sent as `GET`.
    Idempotent,
    /// Backends of one cell drop repeats of the key within a time window; sent as `POST` with the
    /// key.
    IdempotencyKey,
    /// A second execution has the effect again; sent as `POST` without a key.
    NotIdempotent,
}

/// A request of a well-behaved client, and when it is due.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Identifier of the request, unique in the run; sent as `X-Txn`.
    pub txn: String,
    /// Name of the class of the request; sent as `X-Lane`.
    pub class: String,
    /// What happens if the request is executed twice.
    pub idempotency: Idempotency,
    /// When the request is due to be sent; the client timeout counts from this time.
    pub planned: Duration,
    /// How long after `planned` an answer is of use to the client, which leaves [`ANSWER_GRACE`]
    /// later.
    pub client_timeout: Duration,
    /// The form of the body, which a request sent as `GET` does not have.
    pub body: RequestBody,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A complete answer arrived.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer; bytes that are not UTF-8 are replaced.
        body: String,
    },
    /// No connection to the node could be opened.
    Unreachable,
    /// The connection ended before the answer was complete.
    ConnectionLost,
    /// No answer was complete by the client timeout and [`ANSWER_GRACE`] after it.
    TimedOut,
}

impl ClientOutcome {
    /// Whether the answer was 200.
    pub fn is_served(&self) -> bool {
        matches!(self, ClientOutcome::Answered { status: 200, .. })
    }

    /// Whether the answer was 429 or 503, by which the node states that a retry is harmless.
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

/// A request that has ended, the node that it was meant for, and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request as it was planned.
    pub request: ClientRequest,
    /// Number of the node to which the client connected, or failed to connect.
    pub node: usize,
    /// When the answer was complete, the connection failed or the client left.
    pub ended: Duration,
    /// The answer, or the reason why the client got none.
    pub outcome: ClientOutcome,
}

impl RequestRecord {
    /// Whether the answer was 200 and came by the client timeout.
    pub fn is_served(&self) -> bool {
        self.outcome.is_served() && self.ended <= self.request.planned + self.request.client_timeout
    }
}

type RequestSender = SendRequest<EncodedBody>;

/// All well-behaved clients of a run; they share idle connections and records.
pub struct Clients {
    clock: Clock,
    /// Idle connections by number of the node.
    idle_connections: Mutex<HashMap<usize, Vec<RequestSender>>>,
    records: Mutex<Vec<RequestRecord>>,
}

impl Clients {
    /// Creates clients that have sent nothing yet.
    pub fn new(clock: Clock) -> Arc<Clients> {
        Arc::new(Clients {
            clock,
            idle_connections: Mutex::default(),
            records: Mutex::default(),
        })
    }

    /// All requests that have ended, in the order in which they ended.
    pub fn records(&self) -> Vec<RequestRecord> {
        locked(&self.records).clone()
    }

    /// Sends a request to a node now, even before its planned time. Returns after the request has
    /// ended and its outcome is recorded.
    pub async fn send(self: Arc<Self>, request: ClientRequest, node: usize, address: SocketAddr) {
        let deadline = self
            .clock
            .instant_at(request.planned + request.client_timeout + ANSWER_GRACE);
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

    /// Takes an open idle connection to the node, if there is one, and drops closed ones.
    fn take_idle_connection(&self, node: usize) -> Option<RequestSender> {
        let mut idle_connections = locked(&self.idle_connections);
        let senders = idle_connections.get_mut(&node)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }

    fn http_request(&self, request: &ClientRequest) -> Request<EncodedBody> {
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
        if is_get {
            let body = EncodedBody::empty();
            return builder.body(body).expect("the headers are valid");
        }
        if request.body.expects_continue {
            builder = builder.header("expect", "100-continue");
        }
        builder = builder.header(BODY_LENGTH_HEADER, request.body.length.to_string());
        let body = request.body.encode(&request.txn);
        builder.body(body).expect("the headers are valid")
    }

    /// Sends the request on an idle or a new connection and reads the answer.
    async fn exchange(
        &self,
        request: &ClientRequest,
        node: usize,
        address: SocketAddr,
    ) -> ClientOutcome {
        // Whether this try is the last one: it uses a new connection, or it is the second try.
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
                // The node may close an idle connection while a request is on its way; this is not
                // a fault of the node, so the request is sent once more.
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
        // The result is not needed: if the connection fails, the request on it fails too.
        let _ = connection.await;
    });
    Some(sender)
}
