//! A deterministic simulation of backends that work first come, first served, for tests of what
//! many proxies do together; no sockets and no wall clock.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use kitefork_balancer::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
pub const START: Nanos = 3_600 * SECOND;
/// Fleet sizes that each scenario is played with: the same code and figures serve all of them.
pub const PROXY_COUNTS: [usize; 4] = [2, 10, 100, 300];
/// Mean work of a request on a backend at full strength.
pub const WORK: Nanos = 40 * MS;
/// Attempts that a backend holds before it rejects others.
pub const QUEUE: Nanos = 15;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheduled {
    Arrival,
    Timer {
        node: usize,
        timer: TimerId,
    },
    AttemptEnds {
        node: usize,
        request: u32,
        attempt: usize,
        outcome: u8,
    },
}

/// How a backend is doing.
#[derive(Clone, Copy)]
pub enum Health {
    /// Its capacity as a fraction, 1 when warm.
    Works(f64),
    /// It rejects all at once, as one that drains does.
    Leaving,
    /// It takes all and answers none.
    Swallows,
}

pub const OUTCOMES: [Outcome; 4] = [
    Outcome::Success,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::Cancelled,
];

/// What became of a request, its node, and each of its attempts: when, where, and whether it is
/// still in flight.
#[derive(Clone)]
pub struct RequestRecord {
    pub node: usize,
    pub class: usize,
    pub received_at: Nanos,
    pub served: Option<Nanos>,
    pub attempts: Vec<(Nanos, BackendId, bool)>,
}

impl RequestRecord {
    /// It was not started at once.
    pub fn waited(&self) -> bool {
        self.attempts
            .first()
            .is_none_or(|first| first.0 > self.received_at)
    }
}

pub struct Simulation {
    pub nodes: Vec<Balancer>,
    pub settings: Settings,
    /// Mean work of each class, and the share of the last class.
    pub work: Vec<Nanos>,
    pub last_share: f64,
    /// Backlog of which a backend's time above is counted: since when, until when, and the longest.
    pub backlog_mark: Nanos,
    pub above_mark: BTreeMap<BackendId, (Nanos, Nanos)>,
    pub longest_above_mark: Nanos,
    /// Requests that were not started at once though some backend had nothing to do.
    pub beside_idle: usize,
    /// A proxy that is stopped.
    pub stopped: Option<usize>,
    /// For each backend: when it has worked off what it holds.
    pub free_at: BTreeMap<BackendId, Nanos>,
    pub health: fn(BackendId, Nanos) -> Health,
    pub now: Nanos,
    pub schedule: BinaryHeap<Reverse<(Nanos, u64, Scheduled)>>,
    pub sequence: u64,
    pub rng: Xoshiro256PlusPlus,
    /// The first node gets this many times the mean more than the others.
    pub extra_load: u64,
    pub records: BTreeMap<u32, RequestRecord>,
}

pub fn settings(nodes: usize) -> Settings {
    let effect = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: 3 * SECOND,
    };
    let (objective, deadline) = (300 * MS, 1_670 * MS);
    let class = Class {
        latency_objective: objective,
        client_timeout: deadline,
        priority_weight: 1.0,
        late_priority_weight: 0.3,
        idempotency: effect,
        ..Class::default()
    };
    let mut settings = Settings {
        classes: vec![class],
        proxy_count: nodes as u32,
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

pub fn backend(id: u32) -> Endpoint {
    let (zone, cell) = (ZoneId((id % 2) as u16), CellId((id % 6) as u16));
    // Marks tell nothing of place or age, as the node's hash of a uid does not.
    let (id, mark) = (
        BackendId(id),
        u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    );
    Endpoint {
        id,
        hash: mark,
        zone,
        cell,
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

impl Simulation {
    pub fn new(nodes: usize, backends: &[Endpoint]) -> Simulation {
        Simulation::seeded(nodes, backends, 1)
    }

    pub fn seeded(nodes: usize, backends: &[Endpoint], seed: u64) -> Simulation {
        Simulation::of(settings(nodes), vec![WORK], nodes, backends, seed)
    }

    pub fn of(
        settings: Settings,
        work: Vec<Nanos>,
        nodes: usize,
        backends: &[Endpoint],
        seed: u64,
    ) -> Simulation {
        let zone = |node: usize| ZoneId((node % 2) as u16);
        let balancer = |node| {
            let settings = Settings {
                zone: zone(node),
                proxy_index: node as u32,
                ..settings.clone()
            };
            Balancer::new(settings, seed + node as u64, START).expect("sound settings")
        };
        let proxies = (0..nodes).map(balancer).collect();
        let mut simulation = Simulation {
            nodes: proxies,
            settings,
            work,
            last_share: 0.0,
            backlog_mark: Nanos::MAX,
            above_mark: BTreeMap::new(),
            longest_above_mark: 0,
            beside_idle: 0,
            stopped: None,
            free_at: backends.iter().map(|b| (b.id, START)).collect(),
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

    /// Tells every node.
    pub fn update_endpoints(&mut self, kind: UpdateKind, backends: &[Endpoint]) {
        for node in 0..self.nodes.len() {
            self.handle(
                node,
                Event::EndpointUpdate {
                    kind,
                    endpoints: backends.to_vec(),
                },
            );
        }
    }

    pub fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn exponential(&mut self, mean: f64) -> Nanos {
        (-mean * (1.0 - self.unit()).ln()) as Nanos
    }

    pub fn schedule_at(&mut self, at: Nanos, what: Scheduled) {
        self.sequence += 1;
        self.schedule.push(Reverse((at, self.sequence, what)));
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at, timer } => {
                    self.schedule_at(at, Scheduled::Timer { node, timer });
                }
                Action::StartAttempt {
                    request,
                    backend,
                    abandon_at: until,
                } => self.send(node, request.0, backend, until),
                Action::CancelAttempt { request, attempt } => {
                    let attempt = usize::from(attempt);
                    self.schedule_at(
                        self.now,
                        Scheduled::AttemptEnds {
                            node,
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

    pub fn send(&mut self, node: usize, request: u32, backend: BackendId, until: Nanos) {
        let class = self.records[&request].class;
        let work = self.exponential(self.work[class] as f64);
        let queue = QUEUE * self.work.iter().max().expect("a class");
        let now = self.now;
        let record = self.records.get_mut(&request).expect("asked");
        let attempt = record.attempts.len();
        record.attempts.push((now, backend, true));
        let free_at = self.free_at.get_mut(&backend).expect("listed");
        let (at, outcome) = match (self.health)(backend, now) {
            Health::Works(strength) if *free_at <= now + queue => {
                *free_at = (*free_at).max(now) + (work as f64 / strength) as Nanos;
                if *free_at > now.saturating_add(self.backlog_mark) {
                    // It falls under the mark when it has worked off what is above.
                    let (since, end) = self
                        .above_mark
                        .get(&backend)
                        .copied()
                        .filter(|a| a.1 >= now)
                        .unwrap_or((now, 0));
                    let end = end.max(*free_at - self.backlog_mark);
                    self.above_mark.insert(backend, (since, end));
                    self.longest_above_mark = self.longest_above_mark.max(end - since);
                }
                if *free_at < until {
                    (*free_at, 0)
                } else {
                    (until, 2)
                }
            }
            Health::Swallows => (until, 2),
            _ => (now + MS, 1),
        };
        self.schedule_at(
            at,
            Scheduled::AttemptEnds {
                node,
                request,
                attempt,
                outcome,
            },
        );
    }

    pub fn end(&mut self, node: usize, request: u32, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let record = self.records.get_mut(&request).expect("asked");
        let (sent, _, out) = &mut record.attempts[attempt];
        if !std::mem::replace(out, false) {
            return;
        }
        let latency = now - *sent;
        let finished = outcome == Outcome::Success;
        record.served = finished.then_some(now);
        let (request, attempt, load) = (RequestId(request), attempt as u8, Vec::new());
        self.handle(
            node,
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                load_report: load,
            },
        );
    }

    /// Goes on for `span`, with Poisson arrivals of `rate` requests a second over the fleet.
    pub fn run(&mut self, span: Nanos, rate: f64) {
        let end = self.now + span;
        let gap = SECOND as f64 / rate;
        let first = self.now + self.exponential(gap);
        self.schedule_at(first, Scheduled::Arrival);
        while let Some(Reverse((at, ..))) =
            self.schedule.peek().copied().filter(|next| next.0.0 <= end)
        {
            let Some(Reverse((.., what))) = self.schedule.pop() else {
                return;
            };
            self.now = self.now.max(at);
            match what {
                Scheduled::Arrival => {
                    let next = self.now + self.exponential(gap);
                    if next < end {
                        self.schedule_at(next, Scheduled::Arrival);
                    }
                    self.submit_one();
                }
                Scheduled::Timer { node, timer } => self.handle(node, Event::Timer { timer }),
                Scheduled::AttemptEnds {
                    node,
                    request,
                    attempt,
                    outcome,
                } => {
                    self.end(node, request, attempt, OUTCOMES[usize::from(outcome)]);
                }
            }
        }
        self.now = end;
    }

    pub fn submit_one(&mut self) {
        let ticket = self.rng.next_u64() % (self.nodes.len() as u64 + self.extra_load);
        let node = ticket.saturating_sub(self.extra_load) as usize;
        // The front has clients of a node that is down go to the next one.
        let node = if self.stopped == Some(node) {
            (node + 1) % self.nodes.len()
        } else {
            node
        };
        let last = self.last_share > 0.0 && self.unit() < self.last_share;
        let class = if last { self.work.len() - 1 } else { 0 };
        let id = self.records.len() as u32;
        let deadline = self.settings.classes[class].client_timeout;
        self.records.insert(
            id,
            RequestRecord {
                node,
                class,
                received_at: self.now,
                served: None,
                attempts: Vec::new(),
            },
        );
        let (class, client_timeout) = (ClassId(class as u16), deadline / 167 * 160);
        let request = Request {
            id: RequestId(id),
            class,
            client_timeout,
            is_write: true,
            ..Request::default()
        };
        self.handle(node, Event::Request(request));
        let idle = |at: &Nanos| *at <= self.now;
        self.beside_idle +=
            usize::from(self.records[&id].attempts.is_empty() && self.free_at.values().any(idle));
    }

    /// A node starts anew, with nothing but this list.
    pub fn restart(&mut self, node: usize, backends: &[Endpoint]) {
        let settings = Settings {
            proxy_index: node as u32,
            ..self.settings.clone()
        };
        self.nodes[node] =
            Balancer::new(settings, 77 + node as u64, self.now).expect("sound settings");
        self.handle(
            node,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: backends.to_vec(),
            },
        );
    }

    /// Those asked from `from` on.
    pub fn received_since(&self, from: Nanos) -> impl Iterator<Item = &RequestRecord> {
        self.records
            .values()
            .filter(move |record| record.received_at >= from)
    }

    /// Fraction of those received from `from` on that were served within the objective.
    pub fn in_time(&self, from: Nanos) -> f64 {
        let objective =
            |record: &RequestRecord| self.settings.classes[record.class].latency_objective;
        let timely = |record: &&RequestRecord| {
            record
                .served
                .is_some_and(|at| at <= record.received_at + objective(record))
        };
        self.received_since(from).filter(timely).count() as f64
            / self.received_since(from).count() as f64
    }
}
