//! The stand-in backend: one core that serves requests in order of arrival, with a limit on
//! requests in flight and on connections, slow start, and the faults of real backends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::clients::BODY_LENGTH_HEADER;
use crate::link::{Link, LinkedStream};
use crate::random::RandomSource;
use crate::request_body::content;
use crate::{Clock, locked};

/// Response header with which a backend marks a request as rejected unexecuted.
const REJECTED_HEADER: &str = "x-turned-away";

/// Capacity and speed of a backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// Mean execution time of a request at full speed; that of each request is drawn from an
    /// exponential distribution.
    pub mean_execution_time: Duration,
    /// Time that the core spends on each new connection; requests that arrive later wait for it.
    pub connection_setup_time: Duration,
    /// Maximum number of requests in flight; further requests are rejected unexecuted.
    pub max_in_flight: usize,
    /// Maximum number of connections; requests on further ones are rejected unexecuted.
    pub max_connections: usize,
    /// Fraction of the full speed right after a restart.
    pub slow_start_initial_speed: f64,
    /// Time from a restart to full speed; if it is zero, there is no slow start.
    pub slow_start_duration: Duration,
    /// Seed of the random execution times.
    pub seed: u64,
}

/// How a backend treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub enum BackendMode {
    /// The backend executes requests at this fraction of its speed and answers 200. The speed is
    /// lower during slow start.
    Serves(f64),
    /// The backend reads requests and never answers.
    #[default]
    Silent,
    /// The backend answers 500 at once, without executing the request.
    Fails,
    /// The backend rejects all requests with 503, unexecuted, as a draining backend does.
    Rejects,
}

/// Whether and how an attempt ended at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt has not ended yet.
    InFlight,
    /// Executed and answered with 200.
    Served,
    /// Answered with 500, unexecuted.
    Failed,
    /// Rejected with 503, unexecuted.
    Overloaded,
    /// The connection closed before the attempt was answered.
    ConnectionLost,
}

/// One attempt as a backend received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's `X-Txn`; empty if it has none.
    pub txn: String,
    /// The request's `Idempotency-Key`; `None` if it has none.
    pub key: Option<String>,
    /// The name of the backend in the endpoint list.
    pub uid: String,
    /// The cell of the backend: the group of backends that drops repeats of an idempotency key.
    pub cell: u16,
    /// `X-Remaining-Ms`: how much longer the client waits, according to the node; `None` if the
    /// header is missing or is not a number.
    pub remaining_time: Option<Duration>,
    /// Whether the body is complete and not the one that the client has sent.
    pub has_changed_body: bool,
    /// When the last byte of the request arrived, or reading its body failed.
    pub arrived: Duration,
    /// When the attempt ended; equal to `arrived` until then.
    pub ended: Duration,
    /// How the attempt ended; [`AttemptOutcome::InFlight`] until then.
    pub outcome: AttemptOutcome,
}

/// Log of the attempts that all backends of a run received; the backends share it.
#[derive(Default)]
pub struct AttemptLog(Mutex<Vec<Attempt>>);

impl AttemptLog {
    fn lock(&self) -> MutexGuard<'_, Vec<Attempt>> {
        locked(&self.0)
    }

    /// All attempts so far, in the order in which they were recorded.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.lock().clone()
    }
}

struct State {
    mode: BackendMode,
    /// When the core will have finished all work queued so far.
    idle_at: Duration,
    /// Requests that are being executed or wait for the core.
    in_flight: usize,
    /// Time of the last restart; zero if there was none.
    restarted_at: Duration,
    random: RandomSource,
}

/// A stand-in backend; it behaves like one process with one core.
pub struct Backend {
    /// The name of the backend in the endpoint list, the same at every node and over restarts.
    pub uid: String,
    /// The cell of the backend; see [`Attempt::cell`].
    pub cell: u16,
    /// The link between the nodes and the backend.
    pub link: Arc<Link>,
    clock: Clock,
    settings: BackendSettings,
    state: Mutex<State>,
    attempt_log: Arc<AttemptLog>,
    rejected_attempts: AtomicU64,
}

/// Records the end of an attempt in the log when dropped. This covers connections that close early:
/// hyper then drops the future of the request.
struct AttemptGuard<'a> {
    backend: &'a Backend,
    /// Position of the attempt in the attempt log.
    log_index: usize,
    outcome: AttemptOutcome,
    /// Whether the attempt is counted in [`State::in_flight`].
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

/// What a backend does with a request that has arrived.
struct Decision {
    treatment: BackendMode,
    /// When the core finishes the request; unused if the request is not executed.
    finished_at: Duration,
}

impl Backend {
    /// Creates a backend at full speed that does not listen yet.
    pub fn new(
        uid: &str,
        cell: u16,
        settings: BackendSettings,
        clock: Clock,
        attempt_log: Arc<AttemptLog>,
    ) -> Arc<Backend> {
        let state = State {
            mode: BackendMode::Serves(1.0),
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

    /// Sets how requests that arrive from now on are treated.
    pub fn set_mode(&self, mode: BackendMode) {
        self.state().mode = mode;
    }

    /// Restarts the backend: its queue is empty, it serves requests, and it is in slow start. The
    /// caller resets the link, which closes the connections.
    pub fn restart(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.idle_at = now;
        state.restarted_at = now;
        state.mode = BackendMode::Serves(1.0);
    }

    /// Number of attempts rejected unexecuted so far, over all restarts.
    pub fn rejected_attempts(&self) -> u64 {
        self.rejected_attempts.load(Ordering::SeqCst)
    }

    /// Starts to listen for nodes; returns the address.
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
        let over_connection_limit = self.link.open_connections() > self.settings.max_connections;
        {
            let now = self.clock.now();
            let mut state = self.state();
            state.idle_at = state.idle_at.max(now) + self.settings.connection_setup_time;
        }
        tokio::spawn(async move {
            let request_handler = service_fn(|request| {
                let backend = self.clone();
                async move { backend.handle_request(request, over_connection_limit).await }
            });
            // The result is not needed: the attempt log shows how the attempts on the connection
            // ended.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), request_handler)
                .await;
        });
    }

    /// Current speed as a fraction of the full speed; grows linearly during slow start.
    fn slow_start_fraction(&self, state: &State, now: Duration) -> f64 {
        let settings = &self.settings;
        if state.restarted_at.is_zero() || settings.slow_start_duration.is_zero() {
            return 1.0;
        }
        let progress = now.saturating_sub(state.restarted_at).as_secs_f64()
            / settings.slow_start_duration.as_secs_f64();
        (settings.slow_start_initial_speed + (1.0 - settings.slow_start_initial_speed) * progress)
            .min(1.0)
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        over_connection_limit: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(Collected::to_bytes);
        let is_complete = body.is_ok();
        let arrived = self.clock.now();
        let txn = header(&head.headers, "x-txn").unwrap_or_default();
        let response_body = format!("{}:{txn}", self.uid);
        let has_changed_body = body.is_ok_and(|body| has_changed(&head.headers, &txn, &body));
        let received = Received {
            txn,
            arrived,
            has_changed_body,
        };
        let mut attempt = self.record_attempt(&head.headers, received);
        let decision = self.decide(&mut attempt, arrived, is_complete && !over_connection_limit);
        match decision.treatment {
            BackendMode::Serves(_) => {
                tokio::time::sleep_until(self.clock.instant_at(decision.finished_at)).await;
                attempt.outcome = AttemptOutcome::Served;
                Ok(response(StatusCode::OK, response_body))
            }
            BackendMode::Silent => std::future::pending().await,
            BackendMode::Fails => {
                attempt.outcome = AttemptOutcome::Failed;
                Ok(response(StatusCode::INTERNAL_SERVER_ERROR, response_body))
            }
            BackendMode::Rejects => {
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

    /// Adds an attempt to the log. If the guard is dropped before its outcome is set, the attempt
    /// ends as [`AttemptOutcome::ConnectionLost`].
    fn record_attempt(&self, headers: &HeaderMap, received: Received) -> AttemptGuard<'_> {
        let Received {
            txn,
            arrived,
            has_changed_body,
        } = received;
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
            has_changed_body,
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

    /// Chooses the treatment of a request, and queues the request if it is executed. Requests are
    /// rejected if `may_accept` is false or the maximum number in flight is reached.
    fn decide(&self, attempt: &mut AttemptGuard, now: Duration, may_accept: bool) -> Decision {
        let mut state = self.state();
        let treatment = if may_accept && state.in_flight < self.settings.max_in_flight {
            state.mode
        } else {
            BackendMode::Rejects
        };
        if let BackendMode::Serves(speed_fraction) = treatment {
            let execution_s =
                self.settings.mean_execution_time.as_secs_f64() * state.random.exponential();
            let speed = speed_fraction * self.slow_start_fraction(&state, now);
            state.idle_at = state.idle_at.max(now) + Duration::from_secs_f64(execution_s / speed);
            state.in_flight += 1;
            attempt.counted_in_flight = true;
        }
        Decision {
            treatment,
            finished_at: state.idle_at,
        }
    }
}

/// What a backend has received of an attempt, besides its headers.
struct Received {
    txn: String,
    arrived: Duration,
    has_changed_body: bool,
}

/// Whether the body of a request differs from the one that its client has sent; `false` if the
/// client does not tell.
fn has_changed(headers: &HeaderMap, txn: &str, body: &Bytes) -> bool {
    let length = header(headers, BODY_LENGTH_HEADER).and_then(|length| length.parse().ok());
    length.is_some_and(|length| *body != content(txn, length))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_string())
}

fn response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
