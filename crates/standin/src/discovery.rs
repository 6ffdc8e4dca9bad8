//! The list service: one queue for all calls, watches, revisions with a bounded history, and
//! outages.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::link::{Link, LinkedStream};
use crate::{Clock, locked};

/// A backend in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The same at every node and over restarts.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its small group.
    pub cell: u16,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: &'static str,
    /// Unix time of its last start in milliseconds; 0: long ago.
    pub boot_ms: u64,
}

impl Endpoint {
    /// As the protocol writes it.
    pub fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.address.to_string(), "az": self.zone, "model": "m",
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// What the service can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Work for each call, in turn.
    pub call: Duration,
    /// Work for each entry of an answer.
    pub row: Duration,
    /// A call that would wait longer than this gets 503 then.
    pub most_wait: Duration,
    /// Changes that are kept for those that resume.
    pub history: usize,
}

/// How the service is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It answers 503 at once.
    Busy,
    /// It takes calls and never answers.
    Silent,
    /// It begins an answer and ends the connection in it.
    Half,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with a list or the beginning of a watch.
    Answered,
    /// 503, or broken off.
    Failed,
    /// Never answered.
    Unanswered,
}

/// One call in the ledger.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    /// Number of the node whose listener it came to.
    pub node: usize,
    /// When it had arrived whole.
    pub arrived: Duration,
    /// When it was answered.
    pub ended: Duration,
    /// How.
    pub end: CallOutcome,
}

/// News written to a node.
#[derive(Clone, Debug)]
pub struct Notification {
    /// Number of the node.
    pub node: usize,
    /// When it was written.
    pub at: Duration,
    /// The version that it brought the node to.
    pub revision: u64,
}

struct Inner {
    mode: Mode,
    revision: u64,
    endpoints: BTreeMap<String, Endpoint>,
    history: VecDeque<(u64, Endpoint)>,
    free_at: Duration,
    calls: Vec<DiscoveryCall>,
    told: Vec<Notification>,
    bytes_written: u64,
    /// Changes by version, kept for the referee.
    changes: Vec<(u64, Duration, Endpoint)>,
}

/// The service; one for all nodes.
pub struct DiscoveryService {
    clock: Clock,
    capacity: Capacity,
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
}

type ClientOutcome = Response<BoxBody<Bytes, io::Error>>;

fn status(code: u16) -> ClientOutcome {
    let mut answer = Response::new(Empty::new().map_err(|never| match never {}).boxed());
    *answer.status_mut() = code.try_into().expect("a known status");
    answer
}

impl DiscoveryService {
    /// A service that knows these backends.
    pub fn new(
        clock: Clock,
        capacity: Capacity,
        endpoints: Vec<Endpoint>,
    ) -> Arc<DiscoveryService> {
        let inner = Inner {
            mode: Mode::Up,
            revision: 1,
            endpoints: endpoints.into_iter().map(|e| (e.uid.clone(), e)).collect(),
            history: VecDeque::new(),
            free_at: Duration::ZERO,
            calls: Vec::new(),
            told: Vec::new(),
            bytes_written: 0,
            changes: Vec::new(),
        };
        Arc::new(DiscoveryService {
            clock,
            capacity,
            inner: Mutex::new(inner),
            revision: watch::Sender::new(1),
        })
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        locked(&self.inner)
    }

    /// Opens a listener for one node.
    pub async fn serve(self: &Arc<Self>, node: usize, link: Arc<Link>) -> io::Result<SocketAddr> {
        let (service, over) = (self.clone(), link.clone());
        let serve = move |linked: LinkedStream| {
            let (service, over) = (service.clone(), over.clone());
            tokio::spawn(async move {
                let answer = service_fn(|request| {
                    let (service, over) = (service.clone(), over.clone());
                    async move { service.answer(node, over, request).await }
                });
                // Its end, good or bad, is in the ledger.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(linked), answer)
                    .await;
            });
        };
        Ok(link.listen(serve).await?.0)
    }

    /// Changes how it is doing.
    pub fn set(&self, mode: Mode) {
        self.inner().mode = mode;
    }

    /// Its process starts anew: nobody waits in turn, and its history is gone. Links are to be
    /// reset with it.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.history.clear();
        inner.free_at = self.clock.now();
    }

    /// Publishes a change.
    pub fn change(&self, entry: Endpoint) {
        let mut inner = self.inner();
        inner.revision += 1;
        let revision = inner.revision;
        match entry.state {
            "Gone" => drop(inner.endpoints.remove(&entry.uid)),
            _ => drop(inner.endpoints.insert(entry.uid.clone(), entry.clone())),
        }
        inner
            .changes
            .push((revision, self.clock.now(), entry.clone()));
        inner.history.push_back((revision, entry));
        while inner.history.len() > self.capacity.history {
            inner.history.pop_front();
        }
        drop(inner);
        self.revision.send_replace(revision);
    }

    /// The list as it is now.
    pub fn list(&self) -> Vec<Endpoint> {
        self.inner().endpoints.values().cloned().collect()
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<DiscoveryCall> {
        self.inner().calls.clone()
    }

    /// All news written so far.
    pub fn told(&self) -> Vec<Notification> {
        self.inner().told.clone()
    }

    /// Bytes of lists and changes written to nodes so far.
    pub fn bytes_written(&self) -> u64 {
        self.inner().bytes_written
    }

    /// Version, time and entry of each change so far.
    pub fn changes(&self) -> Vec<(u64, Duration, Endpoint)> {
        self.inner().changes.clone()
    }

    /// What a node that has `after` needs: the changes since, or the whole list where these are not
    /// kept.
    fn update(&self, after: Option<u64>) -> (u64, usize, Bytes) {
        let inner = self.inner();
        let revision = inner.revision;
        let kept = inner
            .history
            .front()
            .map_or(revision + 1, |(first, _)| *first);
        let since = after.filter(|after| *after > 0 && after + 1 >= kept && *after <= revision);
        let (all, rows): (bool, Vec<Value>) = match since {
            Some(after) => (
                false,
                inner
                    .history
                    .iter()
                    .filter(|(r, _)| *r > after)
                    .map(|(_, e)| e.json())
                    .collect(),
            ),
            None => (true, inner.endpoints.values().map(Endpoint::json).collect()),
        };
        let count = rows.len();
        (
            revision,
            count,
            Bytes::from(json!({"rev": revision, "all": all, "targets": rows}).to_string() + "\n"),
        )
    }

    /// Notes news as told, unless the link says nothing: then it reaches the node at best when that
    /// is over.
    fn wrote(&self, node: usize, link: &Link, revision: u64) {
        let at = self.clock.now();
        if link.passes_out() {
            self.inner().told.push(Notification { node, at, revision });
        }
    }

    async fn answer(
        self: Arc<Self>,
        node: usize,
        link: Arc<Link>,
        request: Request<Incoming>,
    ) -> Result<ClientOutcome, Infallible> {
        let arrived = self.clock.now();
        let query = request.uri().query().unwrap_or_default().to_string();
        let place = {
            let mut inner = self.inner();
            inner.calls.push(DiscoveryCall {
                node,
                arrived,
                ended: arrived,
                end: CallOutcome::Unanswered,
            });
            inner.calls.len() - 1
        };
        let end = |end| {
            let ended = self.clock.now();
            let mut inner = self.inner();
            let call = &mut inner.calls[place];
            (call.ended, call.end) = (ended, end);
        };
        let mode = self.inner().mode;
        match mode {
            Mode::Up => {}
            Mode::Busy => {
                end(CallOutcome::Failed);
                return Ok(status(503));
            }
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Half => {
                let (mut sender, body) = Channel::<Bytes, io::Error>::new(1);
                let half = self.update(None).2;
                let _ = sender.send_data(half.slice(..half.len() / 2)).await;
                end(CallOutcome::Failed);
                // Gone without the last chunk: the connection closes under the answer.
                sender.abort(io::ErrorKind::BrokenPipe.into());
                return Ok(Response::new(body.boxed()));
            }
        }
        let watch = query.contains("watch=1");
        let after = query
            .split('&')
            .find_map(|part| part.strip_prefix("after=")?.parse().ok());
        let (done, waits) = {
            let rows = self.update(after.filter(|_| watch)).1 as u32;
            let mut inner = self.inner();
            let start = inner.free_at.max(arrived);
            let waits = start - arrived;
            if waits <= self.capacity.most_wait {
                inner.free_at = start + self.capacity.call + self.capacity.row * rows;
            }
            (inner.free_at, waits)
        };
        if waits > self.capacity.most_wait {
            tokio::time::sleep_until(self.clock.at(arrived + self.capacity.most_wait)).await;
            end(CallOutcome::Failed);
            return Ok(status(503));
        }
        tokio::time::sleep_until(self.clock.at(done)).await;
        end(CallOutcome::Answered);
        let (mut sender, body) = Channel::<Bytes, io::Error>::new(4);
        let service = self.clone();
        tokio::spawn(async move {
            let mut news = service.revision.subscribe();
            news.mark_unchanged();
            let (mut revision, _, first) = service.update(after.filter(|_| watch));
            service.wrote(node, &link, revision);
            service.inner().bytes_written += first.len() as u64;
            let mut sent = sender.send_data(first).await;
            while watch && sent.is_ok() {
                // Only whether it has changed goes on: the guard that comes with it would hold off
                // a change.
                let changed = async { news.wait_for(|now| *now > revision).await.is_ok() };
                let line = tokio::select! {
                    // A list may have changed between the first line and here.
                    changed = changed => {
                        if !changed { return; }
                        let (now, _, line) = service.update(Some(revision));
                        revision = now;
                        service.wrote(node, &link, revision);
                        line
                    }
                    () = tokio::time::sleep(Duration::from_secs(2)) => Bytes::from_static(b"\n"),
                };
                service.inner().bytes_written += line.len() as u64;
                sent = sender.send_data(line).await;
            }
        });
        Ok(Response::new(body.boxed()))
    }
}
