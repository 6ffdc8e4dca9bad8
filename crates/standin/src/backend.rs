//! The stand-in backend: one core that serves requests in order of arrival, with a bounded queue,
//! slow start, a bounded table of connections, and the faults of real backends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::link::{Link, LinkedStream};
use crate::random::RandomSource;
use crate::{Clock, locked};

/// Header by which a backend says that it rejected a request unexecuted.
const REJECTED_HEADER: &str = "x-turned-away";

/// What a backend can do.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// Mean work of a request at full speed; each draws its own from an exponential distribution.
    pub work: Duration,
    /// Work of a new connection; the first request on it waits for that.
    pub handshake: Duration,
    /// Most requests in flight; beyond, requests are rejected unexecuted.
    pub capacity: usize,
    /// Most connections; beyond, requests on new ones are rejected unexecuted.
    pub connections: usize,
    /// Fraction of its speed that it starts with.
    pub slow_start_from: f64,
    /// Time after a start until it is at full speed.
    pub slow_start: Duration,
    /// Seed of its draws.
    pub seed: u64,
}

/// How a backend treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub enum Health {
    /// It serves them at this fraction of its speed.
    Works(f64),
    /// It takes them and answers none.
    #[default]
    Silent,
    /// It answers 500.
    Fails,
    /// It rejects all of them unexecuted, as a draining backend does.
    Rejects,
}

/// How an attempt ended at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It has not ended yet.
    InFlight,
    /// Answered with 200.
    Served,
    /// Answered with 500.
    Failed,
    /// Rejected with 503, unexecuted.
    Overloaded,
    /// Its connection closed before it was answered.
    ConnectionLost,
}

/// One attempt as a backend received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's `X-Txn`.
    pub txn: String,
    /// Its `Idempotency-Key`, if it had one.
    pub key: Option<String>,
    /// The backend.
    pub uid: String,
    /// Cell of the backend: the group within which repeats of a key are dropped.
    pub cell: u16,
    /// `X-Remaining-Ms`: how much longer the client waits, as the node has it.
    pub remaining_time: Option<Duration>,
    /// When its last byte had come.
    pub arrived: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// The attempts that all backends of a run received.
#[derive(Default)]
pub struct AttemptLog(Mutex<Vec<Attempt>>);

impl AttemptLog {
    fn lock(&self) -> MutexGuard<'_, Vec<Attempt>> {
        locked(&self.0)
    }

    /// All attempts so far, by arrival.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.lock().clone()
    }
}

struct State {
    health: Health,
    /// When the core has finished all that it was given so far.
    idle_at: Duration,
    in_flight: usize,
    restarted_at: Duration,
    random: RandomSource,
}

/// A backend.
pub struct Backend {
    /// Its name in the endpoint list.
    pub uid: String,
    /// Its cell.
    pub cell: u16,
    /// Its link to the nodes.
    pub link: Arc<Link>,
    clock: Clock,
    settings: BackendSettings,
    state: Mutex<State>,
    attempt_log: Arc<AttemptLog>,
    rejected_attempts: AtomicU64,
}

/// Writes the end of an attempt to the log when dropped, whatever becomes of its connection: hyper
/// drops the future of a request whose connection has closed.
struct AttemptGuard<'a> {
    backend: &'a Backend,
    log_index: usize,
    outcome: AttemptOutcome,
    counted_in_flight: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        {
            let attempt = &mut self.backend.attempt_log.lock()[self.log_index];
            attempt.ended = self.backend.clock.now();
            attempt.outcome = self.outcome;
        }
        if self.counted_in_flight {
            self.backend.state().in_flight -= 1;
        }
    }
}

/// What a backend decides on a request that has come in.
struct Decision {
    treatment: Health,
    /// When the core has finished the request, where it is executed.
    finished_at: Duration,
}

impl Backend {
    /// A backend at full speed.
    pub fn new(
        uid: &str,
        cell: u16,
        settings: BackendSettings,
        clock: Clock,
        attempt_log: Arc<AttemptLog>,
    ) -> Arc<Backend> {
        let state = State {
            health: Health::Works(1.0),
            idle_at: Duration::ZERO,
            in_flight: 0,
            restarted_at: Duration::ZERO,
            random: RandomSource::from_seed(settings.seed),
        };
        Arc::new(Backend {
            uid: uid.into(),
            cell,
            link: Arc::default(),
            clock,
            settings,
            state: Mutex::new(state),
            attempt_log,
            rejected_attempts: AtomicU64::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Changes how requests are treated that come from now on.
    pub fn set(&self, health: Health) {
        self.state().health = health;
    }

    /// Its process starts anew: in slow start, its queue empty. The caller resets its link.
    pub fn restart(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.idle_at = now;
        state.restarted_at = now;
        state.health = Health::Works(1.0);
    }

    /// Requests rejected so far.
    pub fn rejected(&self) -> u64 {
        self.rejected_attempts.load(Ordering::SeqCst)
    }

    /// Listens for nodes.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let backend = self.clone();
        let on_connection = move |stream: LinkedStream| backend.clone().handle_connection(stream);
        Ok(self.link.clone().listen(on_connection).await?.0)
    }

    fn handle_connection(self: Arc<Self>, stream: LinkedStream) {
        let over_connection_limit = self.link.open_connections() > self.settings.connections;
        {
            let now = self.clock.now();
            let mut state = self.state();
            state.idle_at = state.idle_at.max(now) + self.settings.handshake;
        }
        tokio::spawn(async move {
            let request_handler = service_fn(|request| {
                let backend = self.clone();
                async move { backend.handle_request(request, over_connection_limit).await }
            });
            // The end of a connection shows in the log of its attempts.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), request_handler)
                .await;
        });
    }

    /// Fraction of the full speed that the backend has now; it grows linearly in slow start.
    fn slow_start_fraction(&self, state: &State, now: Duration) -> f64 {
        let settings = &self.settings;
        if state.restarted_at.is_zero() || settings.slow_start.is_zero() {
            return 1.0;
        }
        let age = now.saturating_sub(state.restarted_at).as_secs_f64()
            / settings.slow_start.as_secs_f64();
        (settings.slow_start_from + (1.0 - settings.slow_start_from) * age).min(1.0)
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        over_connection_limit: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let is_complete = body.collect().await.is_ok();
        let arrived = self.clock.now();
        let txn = header(&head.headers, "x-txn").unwrap_or_default();
        let response_body = format!("{}:{txn}", self.uid);
        let mut attempt = self.record_attempt(&head.headers, txn, arrived);
        let decision = self.decide(&mut attempt, arrived, is_complete && !over_connection_limit);
        match decision.treatment {
            Health::Works(_) => {
                tokio::time::sleep_until(self.clock.at(decision.finished_at)).await;
                attempt.outcome = AttemptOutcome::Served;
                Ok(response(StatusCode::OK, response_body))
            }
            Health::Silent => std::future::pending().await,
            Health::Fails => {
                attempt.outcome = AttemptOutcome::Failed;
                Ok(response(StatusCode::INTERNAL_SERVER_ERROR, response_body))
            }
            Health::Rejects => {
                self.rejected_attempts.fetch_add(1, Ordering::SeqCst);
                attempt.outcome = AttemptOutcome::Overloaded;
                let mut rejection = response(StatusCode::SERVICE_UNAVAILABLE, response_body);
                let header_value = HeaderValue::from_static("1");
                rejection
                    .headers_mut()
                    .insert(REJECTED_HEADER, header_value);
                Ok(rejection)
            }
        }
    }

    /// Adds an attempt to the log; until its outcome is set, it counts as lost if dropped.
    fn record_attempt(
        &self,
        headers: &HeaderMap,
        txn: String,
        arrived: Duration,
    ) -> AttemptGuard<'_> {
        let remaining_time = header(headers, "x-remaining-ms")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis);
        let mut attempts = self.attempt_log.lock();
        attempts.push(Attempt {
            txn,
            key: header(headers, "idempotency-key"),
            uid: self.uid.clone(),
            cell: self.cell,
            remaining_time,
            arrived,
            ended: arrived,
            outcome: AttemptOutcome::InFlight,
        });
        AttemptGuard {
            backend: self,
            log_index: attempts.len() - 1,
            outcome: AttemptOutcome::ConnectionLost,
            counted_in_flight: false,
        }
    }

    /// Rejects what can't be taken, and queues what is executed.
    fn decide(&self, attempt: &mut AttemptGuard, now: Duration, may_accept: bool) -> Decision {
        let mut state = self.state();
        let treatment = if may_accept && state.in_flight < self.settings.capacity {
            state.health
        } else {
            Health::Rejects
        };
        if let Health::Works(speed_fraction) = treatment {
            let work = self.settings.work.as_secs_f64() * state.random.exponential();
            let speed = speed_fraction * self.slow_start_fraction(&state, now);
            state.idle_at = state.idle_at.max(now) + Duration::from_secs_f64(work / speed);
            state.in_flight += 1;
            attempt.counted_in_flight = true;
        }
        Decision {
            treatment,
            finished_at: state.idle_at,
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_string())
}

fn response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
