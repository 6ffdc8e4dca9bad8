//! The stand-in discovery service: one queue for the calls of all nodes, watches, revisions with a
//! bounded history, and outages.

mod call;
mod endpoint;

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::watch;

pub use call::{CallOutcome, Capacity, DiscoveryCall, Mode, Notification};
pub use endpoint::{Endpoint, EndpointChange, EndpointState};

use crate::link::{Link, LinkedStream};
use crate::{Clock, locked};

/// Interval at which a watch without changes writes an empty line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of chunks of a response body that wait to be written.
const BODY_BUFFER_CHUNKS: usize = 4;

struct State {
    mode: Mode,
    revision: u64,
    endpoints: BTreeMap<String, Endpoint>,
    /// The latest changes, at most [`Capacity::max_history`] of them.
    history: VecDeque<EndpointChange>,
    /// When all calls queued so far will have been served.
    idle_at: Duration,
    calls: Vec<DiscoveryCall>,
    notifications: Vec<Notification>,
    bytes_written: u64,
    /// All changes of the run, for the referee.
    changes: Vec<EndpointChange>,
}

/// A message that brings a node up to the current revision.
struct Update {
    /// The revision of the node's endpoint list after the update.
    revision: u64,
    endpoint_count: usize,
    /// The message as one line of JSON, with its line feed.
    line: Bytes,
}

/// Query parameters of a call.
struct CallQuery {
    /// Whether the call is a watch; otherwise it polls the whole list.
    is_watch: bool,
    /// The revision after which a watch resumes; `None` for a poll and for a watch that starts with
    /// the whole list.
    resume_after: Option<u64>,
}

impl CallQuery {
    fn parse(query: &str) -> CallQuery {
        let is_watch = query.contains("watch=1");
        let resume_after = query
            .split('&')
            .find_map(|parameter| parameter.strip_prefix("after=")?.parse().ok());
        CallQuery {
            is_watch,
            resume_after: resume_after.filter(|_| is_watch),
        }
    }
}

/// The stand-in discovery service; all nodes of a run share it.
pub struct DiscoveryService {
    clock: Clock,
    capacity: Capacity,
    state: Mutex<State>,
    /// The current revision; watches subscribe to it.
    published_revision: watch::Sender<u64>,
}

type HttpResponse = Response<BoxBody<Bytes, io::Error>>;

fn service_unavailable() -> HttpResponse {
    let mut response = Response::new(Empty::new().map_err(|never| match never {}).boxed());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

impl DiscoveryService {
    /// Creates a service with these endpoints in its list, at revision 1.
    pub fn new(clock: Clock, capacity: Capacity, endpoints: Vec<Endpoint>) -> Arc<Self> {
        let by_uid = endpoints
            .into_iter()
            .map(|endpoint| (endpoint.uid.clone(), endpoint));
        let state = State {
            mode: Mode::Up,
            revision: 1,
            endpoints: by_uid.collect(),
            history: VecDeque::new(),
            idle_at: Duration::ZERO,
            calls: Vec::new(),
            notifications: Vec::new(),
            bytes_written: 0,
            changes: Vec::new(),
        };
        Arc::new(DiscoveryService {
            clock,
            capacity,
            state: Mutex::new(state),
            published_revision: watch::Sender::new(1),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Starts to listen for one node on its link; returns the address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>, node: usize, link: Arc<Link>) -> io::Result<SocketAddr> {
        let (service, connection_link) = (self.clone(), link.clone());
        let on_connection = move |stream: LinkedStream| {
            let (service, connection_link) = (service.clone(), connection_link.clone());
            tokio::spawn(async move {
                let request_handler = service_fn(|request| {
                    let (service, connection_link) = (service.clone(), connection_link.clone());
                    async move { service.handle_request(node, connection_link, request).await }
                });
                // The result is not needed: the calls on the connection are recorded with their
                // outcomes.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), request_handler)
                    .await;
            });
        };
        Ok(link.listen(on_connection).await?.0)
    }

    /// Sets how calls that arrive from now on are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Restarts the service: its queue and its history are empty. The caller resets the links,
    /// which closes the connections.
    pub fn restart(&self) {
        let mut state = self.state();
        state.history.clear();
        state.idle_at = self.clock.now();
    }

    /// Publishes a change: adds, replaces or removes an endpoint, at a new revision.
    pub fn publish_change(&self, endpoint: Endpoint) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        if endpoint.state == EndpointState::Removed {
            state.endpoints.remove(&endpoint.uid);
        } else {
            let uid = endpoint.uid.clone();
            state.endpoints.insert(uid, endpoint.clone());
        }
        let change = EndpointChange {
            revision,
            published_at: self.clock.now(),
            endpoint,
        };
        state.changes.push(change.clone());
        state.history.push_back(change);
        while state.history.len() > self.capacity.max_history {
            state.history.pop_front();
        }
        drop(state);
        self.published_revision.send_replace(revision);
    }

    /// The endpoints that are listed now, sorted by the names of the backends.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.state().endpoints.values().cloned().collect()
    }

    /// All calls so far, in order of arrival.
    pub fn calls(&self) -> Vec<DiscoveryCall> {
        self.state().calls.clone()
    }

    /// All lists and watch events written so far, except those that a cut link held back.
    pub fn notifications(&self) -> Vec<Notification> {
        self.state().notifications.clone()
    }

    /// Number of bytes of lists, watch events and keep-alive lines written to nodes so far.
    /// Truncated lists are not counted.
    pub fn bytes_written(&self) -> u64 {
        self.state().bytes_written
    }

    /// All changes so far, in order of revision.
    pub fn changes(&self) -> Vec<EndpointChange> {
        self.state().changes.clone()
    }

    /// The changes after the revision `after`. The whole list if `after` is `None` or 0, is greater
    /// than the current revision, or is too old for the history.
    fn update_since(&self, after: Option<u64>) -> Update {
        let state = self.state();
        let revision = state.revision;
        let oldest_revision = state
            .history
            .front()
            .map_or(revision + 1, |change| change.revision);
        let resume_after =
            after.filter(|after| *after > 0 && after + 1 >= oldest_revision && *after <= revision);
        let endpoints: Vec<Value> = match resume_after {
            Some(after) => state
                .history
                .iter()
                .filter(|change| change.revision > after)
                .map(|change| change.endpoint.to_json())
                .collect(),
            None => state.endpoints.values().map(Endpoint::to_json).collect(),
        };
        let endpoint_count = endpoints.len();
        let message = json!({"rev": revision, "all": resume_after.is_none(), "targets": endpoints});
        Update {
            revision,
            endpoint_count,
            line: Bytes::from(message.to_string() + "\n"),
        }
    }

    /// Records a notification. While the link is cut, none is recorded, as the bytes reach the node
    /// only after the cut.
    fn record_notification(&self, node: usize, link: &Link, revision: u64) {
        let written_at = self.clock.now();
        if link.delivers_to_node() {
            let notification = Notification {
                node,
                written_at,
                revision,
            };
            self.state().notifications.push(notification);
        }
    }

    /// Records a call as unanswered; returns its index.
    fn record_call(&self, node: usize) -> usize {
        let arrived = self.clock.now();
        let mut state = self.state();
        state.calls.push(DiscoveryCall {
            node,
            arrived,
            ended: arrived,
            outcome: CallOutcome::Unanswered,
        });
        state.calls.len() - 1
    }

    fn end_call(&self, call_index: usize, outcome: CallOutcome) {
        let ended = self.clock.now();
        let mut state = self.state();
        let call = &mut state.calls[call_index];
        call.ended = ended;
        call.outcome = outcome;
    }

    async fn handle_request(
        self: Arc<Self>,
        node: usize,
        link: Arc<Link>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, Infallible> {
        let query = CallQuery::parse(request.uri().query().unwrap_or_default());
        let call_index = self.record_call(node);
        let mode = self.state().mode;
        match mode {
            Mode::Up => {}
            Mode::Overloaded => {
                self.end_call(call_index, CallOutcome::Failed);
                return Ok(service_unavailable());
            }
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Truncates => return Ok(self.truncated_response(call_index).await),
        }
        if !self.wait_in_queue(call_index, &query).await {
            self.end_call(call_index, CallOutcome::Failed);
            return Ok(service_unavailable());
        }
        self.end_call(call_index, CallOutcome::Answered);
        let (sender, body) = Channel::<Bytes, io::Error>::new(BODY_BUFFER_CHUNKS);
        tokio::spawn(self.clone().write_body(node, link, query, sender));
        Ok(Response::new(body.boxed()))
    }

    /// Sends half of the list and then closes the connection without the last chunk.
    async fn truncated_response(&self, call_index: usize) -> HttpResponse {
        let (mut sender, body) = Channel::<Bytes, io::Error>::new(1);
        let list = self.update_since(None).line;
        let _ = sender.send_data(list.slice(..list.len() / 2)).await;
        self.end_call(call_index, CallOutcome::Failed);
        sender.abort(io::ErrorKind::BrokenPipe.into());
        Response::new(body.boxed())
    }

    /// Queues the call and waits until it is served. Returns `false` after the maximum wait if the
    /// call would wait longer.
    async fn wait_in_queue(&self, call_index: usize, query: &CallQuery) -> bool {
        let endpoint_count = self.update_since(query.resume_after).endpoint_count as u32;
        let (arrived, wait, served_at) = {
            let mut state = self.state();
            let arrived = state.calls[call_index].arrived;
            let service_start = state.idle_at.max(arrived);
            let wait = service_start.saturating_sub(arrived);
            if wait <= self.capacity.max_wait {
                state.idle_at = service_start
                    + self.capacity.call_time
                    + self.capacity.endpoint_time * endpoint_count;
            }
            (arrived, wait, state.idle_at)
        };
        let is_served = wait <= self.capacity.max_wait;
        let wait_until = if is_served {
            served_at
        } else {
            arrived + self.capacity.max_wait
        };
        tokio::time::sleep_until(self.clock.instant_at(wait_until)).await;
        is_served
    }

    /// Writes the list or the changes, and for a watch all later changes and keep-alive lines.
    async fn write_body(
        self: Arc<Self>,
        node: usize,
        link: Arc<Link>,
        query: CallQuery,
        mut sender: Sender<Bytes, io::Error>,
    ) {
        let mut revision_receiver = self.published_revision.subscribe();
        revision_receiver.mark_unchanged();
        let first_update = self.update_since(query.resume_after);
        let mut revision = first_update.revision;
        self.record_notification(node, &link, revision);
        self.state().bytes_written += first_update.line.len() as u64;
        let mut send_result = sender.send_data(first_update.line).await;
        while query.is_watch && send_result.is_ok() {
            // The guard that `wait_for` returns blocks further changes, so it is dropped at once.
            let revision_change = async {
                revision_receiver
                    .wait_for(|published| *published > revision)
                    .await
                    .is_ok()
            };
            let line = tokio::select! {
                // `wait_for` also returns at once if the revision grew since the last line.
                has_changed = revision_change => {
                    if !has_changed {
                        return;
                    }
                    let update = self.update_since(Some(revision));
                    revision = update.revision;
                    self.record_notification(node, &link, revision);
                    update.line
                }
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => Bytes::from_static(b"\n"),
            };
            self.state().bytes_written += line.len() as u64;
            send_result = sender.send_data(line).await;
        }
    }
}
