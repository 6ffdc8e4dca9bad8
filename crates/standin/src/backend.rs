//! Backends: one core that works first come, first served, a waiting room, cold starts, a table of
//! connections, and the troubles that real ones have.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::link::{Link, LinkedStream};
use crate::{Clock, locked};

/// What a backend is.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// Mean work of a request at full speed; each draws its own from an exponential distribution.
    pub work: Duration,
    /// Work of a new connection; the first request on it waits behind that.
    pub handshake: Duration,
    /// Requests held at most; beyond, they are turned away unseen.
    pub capacity: usize,
    /// Connections held at most; beyond, requests on new ones are turned away.
    pub connections: usize,
    /// Part of its speed that it starts with.
    pub slow_start_from: f64,
    /// Time after a start until it is at full speed.
    pub slow_start: Duration,
}

/// How it is doing.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub enum Health {
    /// At this part of its speed.
    Works(f64),
    /// It takes requests and answers none.
    #[default]
    Swallows,
    /// It answers 500.
    Fails,
    /// It turns all away, as one that drains does.
    Rejects,
}

/// How an attempt ended at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not yet.
    Out,
    /// Answered with 200.
    Served,
    /// Answered with 500.
    Failed,
    /// Turned away unseen.
    Overloaded,
    /// Its connection closed before it was answered.
    ConnectionLost,
}

/// One attempt in the ledger, from its last byte on.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's `X-Txn`.
    pub txn: String,
    /// Its `Idempotency-Key`, if it had one.
    pub key: Option<String>,
    /// The backend.
    pub uid: String,
    /// Small group of the backend.
    pub cell: u16,
    /// How long the node would wait, as the request told.
    pub told: Option<Duration>,
    /// When its last byte had come.
    pub arrived: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub end: AttemptOutcome,
}

/// The attempts of all backends of a run.
#[derive(Default)]
pub struct AttemptLog(Mutex<Vec<Attempt>>);

impl AttemptLog {
    fn rows(&self) -> std::sync::MutexGuard<'_, Vec<Attempt>> {
        locked(&self.0)
    }

    /// All attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.rows().clone()
    }
}

struct State {
    health: Health,
    free_at: Duration,
    held: usize,
    started: Duration,
    rng: Xoshiro256PlusPlus,
}

/// A backend.
pub struct Backend {
    /// Its name in the list.
    pub uid: String,
    /// Its small group.
    pub cell: u16,
    /// Its link to the nodes.
    pub link: Arc<Link>,
    clock: Clock,
    build: BackendSettings,
    state: Mutex<State>,
    attempt_log: Arc<AttemptLog>,
    rejected: AtomicU64,
}

/// Ends an attempt in the ledger, whatever becomes of its connection: a dropped one was broken.
struct Held<'a> {
    backend: &'a Backend,
    place: usize,
    end: AttemptOutcome,
    counted: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        {
            let row = &mut self.backend.attempt_log.rows()[self.place];
            (row.ended, row.end) = (self.backend.clock.now(), self.end);
        }
        if self.counted {
            self.backend.state().held -= 1;
        }
    }
}

impl Backend {
    /// A warm backend.
    pub fn new(
        uid: &str,
        cell: u16,
        build: BackendSettings,
        clock: Clock,
        attempt_log: Arc<AttemptLog>,
        seed: u64,
    ) -> Arc<Backend> {
        let state = State {
            health: Health::Works(1.0),
            free_at: Duration::ZERO,
            held: 0,
            started: Duration::ZERO,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        Arc::new(Backend {
            uid: uid.into(),
            cell,
            link: Arc::default(),
            clock,
            build,
            state: Mutex::new(state),
            attempt_log,
            rejected: AtomicU64::new(0),
        })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Changes how it is doing.
    pub fn set(&self, health: Health) {
        self.state().health = health;
    }

    /// Its process starts anew: cold, and with nothing of what it held. Its link is to be reset
    /// with it.
    pub fn restart(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        (state.free_at, state.started, state.health) = (now, now, Health::Works(1.0));
    }

    /// Requests turned away for a full room or a full table of connections.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::SeqCst)
    }

    /// Listens for nodes.
    pub async fn serve(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let backend = self.clone();
        let serve = move |linked: LinkedStream| {
            let backend = backend.clone();
            let full = backend.link.open() > backend.build.connections;
            {
                let now = backend.clock.now();
                let mut state = backend.state();
                state.free_at = state.free_at.max(now) + backend.build.handshake;
            }
            tokio::spawn(async move {
                let answer = service_fn(|request| {
                    let backend = backend.clone();
                    async move { backend.answer(request, full).await }
                });
                // A connection's end shows in the ledger of its attempts.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(linked), answer)
                    .await;
            });
        };
        Ok(self.link.clone().listen(serve).await?.0)
    }

    /// Speed now: it grows evenly from the cold part to the whole.
    fn slow_start_fraction(&self, state: &State, now: Duration) -> f64 {
        if state.started.is_zero() || self.build.slow_start.is_zero() {
            return 1.0;
        }
        let age = (now - state.started).as_secs_f64() / self.build.slow_start.as_secs_f64();
        (self.build.slow_start_from + (1.0 - self.build.slow_start_from) * age).min(1.0)
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        full: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_string());
        let (txn, key) = (
            header("x-txn").unwrap_or_default(),
            header("idempotency-key"),
        );
        let told = header("x-remaining-ms")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis);
        let body = request.into_body().collect().await;
        let arrived = self.clock.now();
        let mut held = {
            let mut rows = self.attempt_log.rows();
            let (uid, cell, end) = (self.uid.clone(), self.cell, AttemptOutcome::Out);
            rows.push(Attempt {
                txn: txn.clone(),
                key,
                uid,
                cell,
                told,
                arrived,
                ended: arrived,
                end,
            });
            Held {
                backend: &self,
                place: rows.len() - 1,
                end: AttemptOutcome::ConnectionLost,
                counted: false,
            }
        };
        let mut answer = Response::new(Full::from(format!("{}:{txn}", self.uid)));
        let code = |answer: &mut Response<_>, code: u16| {
            *answer.status_mut() = code.try_into().expect("known")
        };
        let (health, done) = {
            let mut state = self.state();
            let unseen = body.is_err() || full || state.held >= self.build.capacity;
            let health = if unseen {
                Health::Rejects
            } else {
                state.health
            };
            if let Health::Works(part) = health {
                let unit = (state.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                let work = -self.build.work.as_secs_f64() * (1.0 - unit).ln();
                let speed = part * self.slow_start_fraction(&state, arrived);
                state.free_at = state.free_at.max(arrived) + Duration::from_secs_f64(work / speed);
                state.held += 1;
                held.counted = true;
            }
            (health, state.free_at)
        };
        match health {
            Health::Works(_) => {
                tokio::time::sleep_until(self.clock.at(done)).await;
                held.end = AttemptOutcome::Served;
            }
            Health::Swallows => std::future::pending::<()>().await,
            Health::Fails => {
                held.end = AttemptOutcome::Failed;
                code(&mut answer, 500);
            }
            Health::Rejects => {
                self.rejected.fetch_add(1, Ordering::SeqCst);
                held.end = AttemptOutcome::Overloaded;
                code(&mut answer, 503);
                answer
                    .headers_mut()
                    .insert("x-turned-away", "1".parse().expect("a header"));
            }
        }
        Ok(answer)
    }
}
