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
pub enum Effect {
    /// `GET`.
    Safe,
    /// `POST` with a key.
    Keyed,
    /// `POST` without one.
    Unsafe,
}

/// A request to be asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its name, fresh for each.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// What repeating it does.
    pub effect: Effect,
    /// When it is meant to be sent.
    pub planned: Duration,
    /// How long the client waits.
    pub patience: Duration,
}

/// How an ask ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With this status and body.
    Whole(u16, String),
    /// The node could not be reached.
    Unreachable,
    /// The connection ended without a whole answer.
    Broken,
    /// The client gave up.
    GaveUp,
}

/// One ask in the ledger.
#[derive(Clone, Debug)]
pub struct Asked {
    /// What was asked.
    pub ask: Ask,
    /// Number of the node.
    pub node: usize,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub answer: Answer,
}

type Sender = SendRequest<Full<Bytes>>;

/// All clients of a run.
pub struct Clients {
    clock: Clock,
    idle: Mutex<HashMap<usize, Vec<Sender>>>,
    asked: Mutex<Vec<Asked>>,
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
    pub fn asked(&self) -> Vec<Asked> {
        locked(&self.asked).clone()
    }

    /// Puts one request to a node, now.
    pub async fn ask(self: Arc<Self>, ask: Ask, node: usize, at: SocketAddr) {
        let end = self.clock.at(ask.planned + ask.patience);
        let answer = match tokio::time::timeout_at(end, self.put(&ask, node, at)).await {
            Ok(answer) => answer,
            Err(_) => Answer::GaveUp,
        };
        let ended = self.clock.now();
        locked(&self.asked).push(Asked {
            ask,
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

    fn request(&self, ask: &Ask) -> Request<Full<Bytes>> {
        let left = (ask.planned + ask.patience).saturating_sub(self.clock.now());
        let builder = Request::builder()
            .method(if ask.effect == Effect::Safe {
                "GET"
            } else {
                "POST"
            })
            .uri("/api")
            .header("host", "api.internal")
            .header("x-txn", &ask.txn)
            .header("x-lane", &ask.class)
            .header("x-org", "acme")
            .header("x-remaining-ms", left.as_millis().to_string());
        let builder = match ask.effect {
            Effect::Keyed => builder.header("idempotency-key", format!("k{}", ask.txn)),
            _ => builder,
        };
        let body = if ask.effect == Effect::Safe {
            Full::default()
        } else {
            Full::from("body")
        };
        builder.body(body).expect("sound headers")
    }

    async fn put(&self, ask: &Ask, node: usize, at: SocketAddr) -> Answer {
        let mut fresh = false;
        loop {
            let mut sender = match self.idle(node) {
                Some(sender) => sender,
                None => {
                    fresh = true;
                    match open(at).await {
                        Some(sender) => sender,
                        None => return Answer::Unreachable,
                    }
                }
            };
            match sender.send_request(self.request(ask)).await {
                Ok(answer) => {
                    let status = answer.status().as_u16();
                    let Ok(body) = answer.into_body().collect().await else {
                        return Answer::Broken;
                    };
                    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    locked(&self.idle).entry(node).or_default().push(sender);
                    return Answer::Whole(status, body);
                }
                // A close that crossed the request: it is sent once more on a new connection.
                Err(error) if !fresh && (error.is_canceled() || error.is_closed()) => fresh = true,
                Err(_) => return Answer::Broken,
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
