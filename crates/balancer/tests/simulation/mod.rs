//! A deterministic simulation of many proxies in front of backends that serve first come, first
//! served. It uses no sockets and no wall clock.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use kitefork_balancer::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
pub const START: Nanos = 3_600 * SECOND;
/// Numbers of proxies with which scenarios are run; the same settings must work for all of them.
pub const PROXY_COUNTS: [usize; 4] = [2, 10, 100, 300];
/// Mean time that a request takes at an idle backend of full capacity.
pub const WORK: Nanos = 40 * MS;
/// A backend rejects further attempts while its unfinished work is above this multiple of the
/// longest mean work of a class.
pub const MAX_QUEUE_LENGTH: Nanos = 15;

/// An event that the simulation handles once its clock reaches the time for which it was scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheduled {
    Arrival,
    Timer {
        proxy_index: usize,
        timer: TimerId,
    },
    AttemptEnds {
        proxy_index: usize,
        request: u32,
        attempt: usize,
        /// Index of the outcome in `OUTCOMES`.
        outcome: u8,
    },
}

/// How a backend handles the attempts that are sent to it.
#[derive(Clone, Copy)]
pub enum Health {
    /// The backend serves attempts at this fraction of its full capacity.
    Works(f64),
    /// The backend rejects each attempt after 1 ms, unexecuted, as a draining backend does.
    Draining,
    /// The backend accepts all attempts and answers none.
    NeverAnswers,
}

/// Outcomes of simulated attempts; a scheduled end of an attempt has an index in this array.
pub const OUTCOMES: [Outcome; 4] = [
    Outcome::Success,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::Cancelled,
];

/// A submitted request and its attempts.
#[derive(Clone)]
pub struct RequestRecord {
    /// Index of the proxy that received the request.
    pub proxy_index: usize,
    /// Index of the request's class in `Settings::classes`.
    pub class: usize,
    pub received_at: Nanos,
    /// When an attempt succeeded; `None` if the request was not served.
    pub served_at: Option<Nanos>,
    /// Attempts so far: time of sending, backend, and whether the attempt is still in flight.
    pub attempts: Vec<(Nanos, BackendId, bool)>,
}

impl RequestRecord {
    /// Whether no attempt was started when the request was received.
    pub fn was_queued(&self) -> bool {
        self.attempts
            .first()
            .is_none_or(|first| first.0 > self.received_at)
    }
}

/// The proxies and backends of one run, the scheduled events and the requests so far.
pub struct Simulation {
    pub proxies: Vec<Balancer>,
    pub settings: Settings,
    /// Mean work of a request of each class: the time it takes at an idle backend of full capacity.
    pub mean_work: Vec<Nanos>,
    /// Fraction of the requests that are of the last class; the others are of class 0.
    pub last_class_share: f64,
    /// A backlog counts as long if the backend needs more time than this to finish it.
    pub backlog_threshold: Nanos,
    /// Start and end of the latest period in which the backlog of a backend is above the threshold.
    pub above_threshold: BTreeMap<BackendId, (Nanos, Nanos)>,
    /// Longest period in which the backlog of one backend was above the threshold.
    pub longest_above_threshold: Nanos,
    /// Number of requests that were not started at once although some backend was idle.
    pub queued_despite_idle_backend: usize,
    /// Index of the stopped proxy, whose requests go to the next proxy; `None` if all proxies run.
    pub stopped_proxy: Option<usize>,
    /// When each backend has finished all attempts that it has accepted so far.
    pub free_at: BTreeMap<BackendId, Nanos>,
    pub health: fn(BackendId, Nanos) -> Health,
    pub now: Nanos,
    /// Scheduled events by time, then by the order in which they were scheduled.
    pub schedule: BinaryHeap<Reverse<(Nanos, u64, Scheduled)>>,
    /// Number of events scheduled so far.
    pub sequence: u64,
    pub rng: Xoshiro256PlusPlus,
    /// The first proxy gets this many times the load of another proxy in addition to its own.
    pub extra_load: u64,
    /// All submitted requests, by id.
    pub records: BTreeMap<u32, RequestRecord>,
}

/// Settings of one of `proxy_count` proxies, with one class with an idempotency key.
pub fn settings(proxy_count: usize) -> Settings {
    let idempotency = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: 3 * SECOND,
    };
    let (latency_objective, client_timeout) = (300 * MS, 1_670 * MS);
    let class = Class {
        latency_objective,
        client_timeout,
        priority_weight: 1.0,
        late_priority_weight: 0.3,
        idempotency,
        ..Class::default()
    };
    let mut settings = Settings {
        classes: vec![class],
        proxy_count: proxy_count as u32,
        poll_endpoints: true,
        ..Settings::default()
    };
    settings.limits.max_attempts = 5;
    settings.limits.max_retry_after = 2 * SECOND;
    settings.limits.never_attempted_timeout_fraction = 0.5;
    settings.rules.slow_start_initial_capacity = 0.31;
    settings.rules.slow_start_duration = 8_800 * MS;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2 * SECOND;
    settings
}

/// A ready backend in one of two zones and six cells.
pub fn backend(id: u32) -> Endpoint {
    let (zone, cell) = (ZoneId((id % 2) as u16), CellId((id % 6) as u16));
    // As in the node, which hashes the uid of a backend, the hash is independent of the zone, cell
    // and age.
    let (id, hash) = (
        BackendId(id),
        u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    );
    Endpoint {
        id,
        hash,
        zone,
        cell,
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

impl Simulation {
    /// A simulation with the settings of `settings` and seed 1.
    pub fn new(proxy_count: usize, backends: &[Endpoint]) -> Simulation {
        Simulation::with_seed(proxy_count, backends, 1)
    }

    /// A simulation with the settings of `settings`. `seed` seeds only the proxies; the random
    /// numbers of the simulation itself have a fixed seed.
    pub fn with_seed(proxy_count: usize, backends: &[Endpoint], seed: u64) -> Simulation {
        Simulation::with_settings(
            settings(proxy_count),
            vec![WORK],
            proxy_count,
            backends,
            seed,
        )
    }

    /// Creates a simulation whose proxies all have `settings`, except for the proxy index and for
    /// the zone, which alternates between two. `mean_work` is the mean work of each class; `seed`
    /// seeds only the proxies.
    pub fn with_settings(
        settings: Settings,
        mean_work: Vec<Nanos>,
        proxy_count: usize,
        backends: &[Endpoint],
        seed: u64,
    ) -> Simulation {
        let zone = |proxy_index: usize| ZoneId((proxy_index % 2) as u16);
        let balancer = |proxy_index| {
            let settings = Settings {
                zone: zone(proxy_index),
                proxy_index: proxy_index as u32,
                ..settings.clone()
            };
            Balancer::new(settings, seed + proxy_index as u64, START).expect("valid settings")
        };
        let proxies = (0..proxy_count).map(balancer).collect();
        let mut simulation = Simulation {
            proxies,
            settings,
            mean_work,
            last_class_share: 0.0,
            backlog_threshold: Nanos::MAX,
            above_threshold: BTreeMap::new(),
            longest_above_threshold: 0,
            queued_despite_idle_backend: 0,
            stopped_proxy: None,
            free_at: backends.iter().map(|backend| (backend.id, START)).collect(),
            health: |_, _| Health::Works(1.0),
            now: START,
            schedule: BinaryHeap::new(),
            sequence: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(20_261_201),
            extra_load: 0,
            records: BTreeMap::new(),
        };
        simulation.update_endpoints(UpdateKind::Cached, backends);
        simulation
    }

    /// Sends an update of the endpoint list to every proxy.
    pub fn update_endpoints(&mut self, kind: UpdateKind, backends: &[Endpoint]) {
        for proxy_index in 0..self.proxies.len() {
            self.handle(
                proxy_index,
                Event::EndpointUpdate {
                    kind,
                    endpoints: backends.to_vec(),
                },
            );
        }
    }

    /// A uniform random number from [0, 1).
    pub fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An exponentially distributed random duration.
    pub fn exponential(&mut self, mean: f64) -> Nanos {
        (-mean * (1.0 - self.uniform()).ln()) as Nanos
    }

    pub fn schedule_at(&mut self, at: Nanos, scheduled: Scheduled) {
        self.sequence += 1;
        self.schedule.push(Reverse((at, self.sequence, scheduled)));
    }

    /// Passes an event to a proxy and carries out the resulting actions.
    pub fn handle(&mut self, proxy_index: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxies[proxy_index].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at, timer } => {
                    self.schedule_at(at, Scheduled::Timer { proxy_index, timer });
                }
                Action::StartAttempt {
                    request,
                    backend,
                    abandon_at,
                } => self.send(proxy_index, request.0, backend, abandon_at),
                Action::CancelAttempt { request, attempt } => {
                    let attempt = usize::from(attempt);
                    // Outcome 3 is `Cancelled`.
                    self.schedule_at(
                        self.now,
                        Scheduled::AttemptEnds {
                            proxy_index,
                            request: request.0,
                            attempt,
                            outcome: 3,
                        },
                    );
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt and schedules its end.
    pub fn send(
        &mut self,
        proxy_index: usize,
        request: u32,
        backend: BackendId,
        abandon_at: Nanos,
    ) {
        let class = self.records[&request].class;
        let work = self.exponential(self.mean_work[class] as f64);
        let max_backlog = MAX_QUEUE_LENGTH * self.mean_work.iter().max().expect("there is a class");
        let now = self.now;
        let record = self
            .records
            .get_mut(&request)
            .expect("the request was submitted");
        let attempt = record.attempts.len();
        record.attempts.push((now, backend, true));
        let free_at = self
            .free_at
            .get_mut(&backend)
            .expect("the backend is listed");
        // `outcome` is an index in `OUTCOMES`: 0 success, 1 overloaded, 2 timeout.
        let (at, outcome) = match (self.health)(backend, now) {
            Health::Works(capacity) if *free_at <= now + max_backlog => {
                *free_at = (*free_at).max(now) + (work as f64 / capacity) as Nanos;
                if *free_at > now.saturating_add(self.backlog_threshold) {
                    // The period ends once the backend has finished the work above the threshold.
                    let (period_start, period_end) = self
                        .above_threshold
                        .get(&backend)
                        .copied()
                        .filter(|period| period.1 >= now)
                        .unwrap_or((now, 0));
                    let period_end = period_end.max(*free_at - self.backlog_threshold);
                    self.above_threshold
                        .insert(backend, (period_start, period_end));
                    self.longest_above_threshold =
                        self.longest_above_threshold.max(period_end - period_start);
                }
                if *free_at < abandon_at {
                    (*free_at, 0)
                } else {
                    (abandon_at, 2)
                }
            }
            Health::NeverAnswers => (abandon_at, 2),
            _ => (now + MS, 1),
        };
        self.schedule_at(
            at,
            Scheduled::AttemptEnds {
                proxy_index,
                request,
                attempt,
                outcome,
            },
        );
    }

    /// Ends an attempt. Does nothing if it has already ended.
    pub fn end_attempt(
        &mut self,
        proxy_index: usize,
        request: u32,
        attempt: usize,
        outcome: Outcome,
    ) {
        let now = self.now;
        let record = self
            .records
            .get_mut(&request)
            .expect("the request was submitted");
        let (sent_at, _, in_flight) = &mut record.attempts[attempt];
        if !std::mem::replace(in_flight, false) {
            return;
        }
        let latency = now - *sent_at;
        let finished = outcome == Outcome::Success;
        record.served_at = finished.then_some(now);
        let (request, attempt, load_report) = (RequestId(request), attempt as u8, Vec::new());
        self.handle(
            proxy_index,
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                load_report,
            },
        );
    }

    /// Simulates the next `duration`, with Poisson arrivals of `rate` requests a second at all
    /// proxies together.
    pub fn run(&mut self, duration: Nanos, rate: f64) {
        let end = self.now + duration;
        let mean_interval = SECOND as f64 / rate;
        let first_arrival = self.now + self.exponential(mean_interval);
        self.schedule_at(first_arrival, Scheduled::Arrival);
        while let Some(Reverse((at, ..))) = self
            .schedule
            .peek()
            .copied()
            .filter(|entry| entry.0.0 <= end)
        {
            let Some(Reverse((.., scheduled))) = self.schedule.pop() else {
                return;
            };
            self.now = self.now.max(at);
            match scheduled {
                Scheduled::Arrival => {
                    let next_arrival = self.now + self.exponential(mean_interval);
                    if next_arrival < end {
                        self.schedule_at(next_arrival, Scheduled::Arrival);
                    }
                    self.submit_request();
                }
                Scheduled::Timer { proxy_index, timer } => {
                    self.handle(proxy_index, Event::Timer { timer });
                }
                Scheduled::AttemptEnds {
                    proxy_index,
                    request,
                    attempt,
                    outcome,
                } => {
                    self.end_attempt(
                        proxy_index,
                        request,
                        attempt,
                        OUTCOMES[usize::from(outcome)],
                    );
                }
            }
        }
        self.now = end;
    }

    /// Submits a request to a random proxy.
    pub fn submit_request(&mut self) {
        let draw = self.rng.next_u64() % (self.proxies.len() as u64 + self.extra_load);
        let proxy_index = draw.saturating_sub(self.extra_load) as usize;
        // The front sends the requests for a stopped proxy to the next one.
        let proxy_index = if self.stopped_proxy == Some(proxy_index) {
            (proxy_index + 1) % self.proxies.len()
        } else {
            proxy_index
        };
        let is_last_class = self.last_class_share > 0.0 && self.uniform() < self.last_class_share;
        let class = if is_last_class {
            self.mean_work.len() - 1
        } else {
            0
        };
        let id = self.records.len() as u32;
        let class_timeout = self.settings.classes[class].client_timeout;
        self.records.insert(
            id,
            RequestRecord {
                proxy_index,
                class,
                received_at: self.now,
                served_at: None,
                attempts: Vec::new(),
            },
        );
        // When the proxy receives a request, 160/167 of the client timeout of its class is left,
        // 1.6 s of 1.67 s.
        let (class, client_timeout) = (ClassId(class as u16), class_timeout / 167 * 160);
        let request = Request {
            id: RequestId(id),
            class,
            client_timeout,
            is_write: true,
            ..Request::default()
        };
        self.handle(proxy_index, Event::Request(request));
        let is_idle = |free_at: &Nanos| *free_at <= self.now;
        self.queued_despite_idle_backend += usize::from(
            self.records[&id].attempts.is_empty() && self.free_at.values().any(is_idle),
        );
    }

    /// Restarts a proxy, which then knows only `backends`, as its cached list.
    pub fn restart(&mut self, proxy_index: usize, backends: &[Endpoint]) {
        let settings = Settings {
            proxy_index: proxy_index as u32,
            ..self.settings.clone()
        };
        self.proxies[proxy_index] =
            Balancer::new(settings, 77 + proxy_index as u64, self.now).expect("valid settings");
        self.handle(
            proxy_index,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: backends.to_vec(),
            },
        );
    }

    /// Requests that were received at `from` or later.
    pub fn received_since(&self, from: Nanos) -> impl Iterator<Item = &RequestRecord> {
        self.records
            .values()
            .filter(move |record| record.received_at >= from)
    }

    /// Fraction of the requests received at `from` or later that were served within their latency
    /// objective.
    pub fn fraction_in_time(&self, from: Nanos) -> f64 {
        let latency_objective =
            |record: &RequestRecord| self.settings.classes[record.class].latency_objective;
        let is_in_time = |record: &&RequestRecord| {
            record
                .served_at
                .is_some_and(|at| at <= record.received_at + latency_objective(record))
        };
        self.received_since(from).filter(is_in_time).count() as f64
            / self.received_since(from).count() as f64
    }
}
