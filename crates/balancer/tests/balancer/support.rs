//! Builders for settings, backends and requests, and a harness that runs one balancer.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;

pub const MS: Nanos = 1_000_000;

pub const SECOND: Nanos = 1_000 * MS;

pub const START: Nanos = 100_000 * MS;

/// A class with a latency objective of 400 ms and a client timeout of 1 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 400 * MS,
        client_timeout: 1000 * MS,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    }
}

/// Settings with five classes: 0 is idempotent, 1 and 2 have idempotency keys with global and cell
/// scope, 3 is not idempotent, and 4 is idempotent with ten times the weight of the others.
pub fn settings() -> Settings {
    let with_key = |scope| {
        class(Idempotency::IdempotencyKey {
            scope,
            window: 500 * MS,
        })
    };
    let mut settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            with_key(DeduplicationScope::Global),
            with_key(DeduplicationScope::Cell),
            class(Idempotency::NotIdempotent),
            Class {
                priority_weight: 10.0,
                ..class(Idempotency::Idempotent)
            },
        ],
        ..Settings::default()
    };
    settings.rules.slow_start_initial_capacity = 0.2;
    settings.rules.slow_start_duration = 10_000 * MS;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2_000 * MS;
    settings
}

/// A ready backend in the cell `id % 2`.
pub fn backend(id: u32) -> Endpoint {
    Endpoint {
        id: BackendId(id),
        hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: ZoneId(0),
        cell: CellId((id % 2) as u16),
        kind: KindId(0),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// The event of a request with a client timeout of 800 ms.
pub fn request(id: u32, class: u16) -> Event {
    let (id, class) = (RequestId(id), ClassId(class));
    Event::Request(Request {
        id,
        class,
        client_timeout: 800 * MS,
        ..Request::default()
    })
}

/// Passes events to a balancer, fires its timers when they are due, and records its attempts.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Nanos,
    pub timers: BTreeSet<(Nanos, TimerId)>,
    /// Attempts of each request: backend, time of sending, and whether the attempt is in flight.
    pub sent: BTreeMap<RequestId, Vec<(BackendId, Nanos, bool)>>,
    /// Id of the last submitted request; 0 before the first.
    pub last_request_id: u32,
}

impl Harness {
    pub fn new(settings: Settings, backends: Vec<Endpoint>) -> Harness {
        Harness::with_seed(settings, backends, 7)
    }

    pub fn with_seed(settings: Settings, backends: Vec<Endpoint>, seed: u64) -> Harness {
        let balancer = Balancer::new(settings, seed, START).expect("valid settings");
        let mut harness = Harness {
            balancer,
            now: START,
            timers: BTreeSet::new(),
            sent: BTreeMap::new(),
            last_request_id: 0,
        };
        harness.handle(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: backends,
        });
        harness
    }

    /// Processes an event now and records the timers and attempts of the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { at, timer } => {
                    self.timers.insert((*at, *timer));
                }
                Action::StartAttempt {
                    request, backend, ..
                } => {
                    self.sent
                        .entry(*request)
                        .or_default()
                        .push((*backend, self.now, true));
                }
                _ => {}
            }
        }
        actions
    }

    /// Advances the clock and fires the timers that become due. Returns the resulting actions.
    pub fn wait(&mut self, duration: Nanos) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer { timer }));
        }
        self.now = end;
        actions
    }

    /// Submits a request with the next id. Returns the id and the resulting actions.
    pub fn submit(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        (
            RequestId(self.last_request_id),
            self.handle(request(self.last_request_id, class)),
        )
    }

    /// Ends an attempt now. Only a success gives the request its final answer.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) -> Vec<Action> {
        let sent = self
            .sent
            .get_mut(&id)
            .map(|attempts| &mut attempts[attempt])
            .expect("the request has attempts");
        sent.2 = false;
        let latency = self.now - sent.1;
        let finished = outcome == Outcome::Success;
        self.handle(Event::AttemptEnded {
            request: id,
            attempt: attempt as u8,
            latency,
            outcome,
            finished,
            load_report: vec![],
        })
    }

    /// Serves requests of class 0 one after another, each after the service time of its backend.
    /// Returns the number of requests by backend.
    pub fn serve(
        &mut self,
        count: usize,
        service_time: impl Fn(BackendId) -> Nanos,
    ) -> BTreeMap<BackendId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let (id, _) = self.submit(0);
            let backend_id = self.sent[&id][0].0;
            *counts.entry(backend_id).or_default() += 1;
            self.wait(service_time(backend_id));
            self.end_attempt(id, 0, Outcome::Success);
        }
        counts
    }
}

impl Harness {
    /// Like `serve`, but with 400 ms between requests, so that a request may wait for capacity
    /// before it is sent.
    pub fn serve_at_low_rate(
        &mut self,
        count: usize,
        service_time: impl Fn(BackendId) -> Nanos,
    ) -> BTreeMap<BackendId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let (id, _) = self.submit(0);
            self.wait(300 * MS);
            if let Some(attempt) = self.sent.get_mut(&id).and_then(|sent| sent.first_mut()) {
                let (backend_id, sent_at, in_flight) = attempt;
                *in_flight = false;
                *counts.entry(*backend_id).or_default() += 1;
                // The attempt ended earlier; the end is reported late, with the true latency.
                let latency = service_time(*backend_id).min(self.now - *sent_at);
                self.handle(Event::AttemptEnded {
                    request: id,
                    attempt: 0,
                    latency,
                    outcome: Outcome::Success,
                    finished: true,
                    load_report: vec![],
                });
            }
            self.wait(100 * MS);
        }
        counts
    }
}

/// Backends of the attempts that `actions` start, in the order of the actions.
pub fn attempted_backends(actions: &[Action]) -> Vec<BackendId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::StartAttempt { backend, .. } => Some(*backend),
            _ => None,
        })
        .collect()
}

pub fn has_rejection(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn has_failure(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
