//! Regression tests with recorded hashes of all decisions over seeded streams of events. The hashes
//! stay the same while code is moved and renamed. A commit that changes behaviour on purpose
//! replaces them and says so.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use kitefork_balancer::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const START: Nanos = 3_600 * SECOND;
/// Number of events in each stream; `setups` has six streams, `extended_setups` three.
const EVENTS_PER_STREAM: usize = 36_000;
/// Requests a second for each backend, outside surges.
const RATE_PER_BACKEND: f64 = 3.0;
/// Factor by which the request rate rises in the first second of each `SURGE_PERIOD`.
const SURGE_FACTOR: f64 = 4.0;
const SURGE_PERIOD: Nanos = 7 * SECOND;
/// Mean latency of an attempt at the fastest backends, in nanoseconds.
const MEAN_LATENCY: f64 = 40.0 * MS as f64;

/// The fleet and the features of one stream.
#[derive(Clone, Copy, Debug)]
struct Setup {
    backend_count: u32,
    proxy_count: u32,
    poll_endpoints: bool,
    /// Whether the stream has zones, kinds of machines, quotas, streamed answers, work hints, and
    /// idle connections that must be closed when a backend drains.
    extended: bool,
}

/// An event that the recorder handles once its clock reaches the time for which it was scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrival,
    EndpointChange,
    PollAnswer,
    Timer(TimerId),
    AttemptEnds { request: RequestId, attempt: u8 },
    ClientDisconnects(RequestId),
}

#[derive(Default)]
struct PendingRequest {
    attempts: Vec<AttemptState>,
    /// Whether the request has its final answer or its client has disconnected.
    finished: bool,
}

struct AttemptState {
    sent_at: Nanos,
    outcome: Outcome,
    in_flight: bool,
}

/// The 64-bit FNV-1a hash, which is the same on every machine and with every compiler.
struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Fnv1a {
        Fnv1a(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv1a {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Runs one stream on a balancer and hashes the actions.
struct Recorder {
    setup: Setup,
    balancer: Balancer,
    rng: Xoshiro256PlusPlus,
    now: Nanos,
    /// Scheduled events by time, then by the order in which they were scheduled.
    timeline: BinaryHeap<Reverse<(Nanos, u64, Scheduled)>>,
    /// Number of events scheduled so far.
    sequence: u64,
    requests: BTreeMap<RequestId, PendingRequest>,
    last_request_id: u32,
    endpoints: Vec<Endpoint>,
    /// Id of the backend that fails most of its attempts.
    failing_backend: u32,
    /// Number of events that the balancer has processed.
    event_count: usize,
    /// Number of actions by action code.
    action_counts: BTreeMap<u64, usize>,
    hash: Fnv1a,
}

fn settings(setup: Setup) -> Settings {
    let with_key = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: 2 * SECOND,
    };
    let class = |objective_ms: Nanos, weight: f64, idempotency| Class {
        latency_objective: objective_ms * MS,
        latency_objective_per_unit_of_work: 0.0,
        client_timeout: 5 * objective_ms * MS,
        priority_weight: weight,
        late_priority_weight: 0.3 * weight,
        idempotency,
        streamed: false,
    };
    let mut settings = Settings {
        classes: vec![
            class(200, 1.0, Idempotency::Idempotent),
            class(300, 2.0, with_key),
            class(150, 4.0, Idempotency::NotIdempotent),
        ],
        tenants: vec![Tenant {
            quota_per_second: 1e9,
        }],
        proxy_index: 1 % setup.proxy_count,
        proxy_count: setup.proxy_count,
        poll_endpoints: setup.poll_endpoints,
        ..Settings::default()
    };
    settings.limits.max_attempts = 4;
    settings.limits.max_retry_after = SECOND;
    settings.limits.never_attempted_timeout_fraction = 0.5;
    settings.rules.drain_grace = SECOND;
    settings.rules.slow_start_initial_capacity = 0.3;
    settings.rules.slow_start_duration = 8 * SECOND;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2 * SECOND;
    settings.rules.answer_slack = 20 * MS;
    if setup.extended {
        extend_settings(&mut settings, setup);
    }
    settings
}

/// Adds the settings that only extended setups have, such as a quota, a cross-zone cost and a
/// streamed class.
fn extend_settings(settings: &mut Settings, setup: Setup) {
    let quota_per_second =
        RATE_PER_BACKEND * f64::from(setup.backend_count) * f64::from(setup.proxy_count) / 4.0;
    settings.tenants.push(Tenant { quota_per_second });
    settings.over_quota_weight = 0.2;
    settings.cross_zone_cost = 0.03;
    settings.weight_per_unit_of_work = setup.proxy_count == 2;
    settings.tail_weight = if setup.proxy_count == 12 { 0.5 } else { 0.0 };
    settings.limits.can_cancel = setup.proxy_count != 12;
    settings.zone = ZoneId(1);
    settings.rules.drain_close_within = Some(300 * MS);
    settings.classes[0].latency_objective_per_unit_of_work = 1.5;
    settings.classes[1].streamed = true;
}

impl Recorder {
    fn new(setup: Setup, seed: u64) -> Recorder {
        let endpoints = (0..setup.backend_count)
            .map(|id| backend(setup, id, EndpointState::Ready, None))
            .collect();
        let mut recorder = Recorder {
            setup,
            balancer: Balancer::new(settings(setup), seed, START).unwrap(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: START,
            timeline: BinaryHeap::new(),
            sequence: 0,
            requests: BTreeMap::new(),
            last_request_id: 0,
            endpoints,
            failing_backend: 0,
            event_count: 0,
            action_counts: BTreeMap::new(),
            hash: Fnv1a::default(),
        };
        recorder.update_endpoints(UpdateKind::Full, recorder.endpoints.clone());
        recorder.schedule(START, Scheduled::Arrival);
        recorder.schedule(START + SECOND, Scheduled::EndpointChange);
        recorder
    }

    /// A uniform random number from [0, 1).
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An exponentially distributed random duration.
    fn exponential(&mut self, mean: f64) -> Nanos {
        (-(1.0 - self.uniform()).ln() * mean) as Nanos
    }

    fn schedule(&mut self, at: Nanos, scheduled_event: Scheduled) {
        self.sequence += 1;
        self.timeline
            .push(Reverse((at, self.sequence, scheduled_event)));
    }

    /// Runs the whole stream. Returns the hash of all actions, and the number of actions by code.
    fn run(mut self) -> (u64, BTreeMap<u64, usize>) {
        while self.event_count < EVENTS_PER_STREAM {
            let Reverse((at, _, scheduled_event)) =
                self.timeline.pop().expect("an arrival is always scheduled");
            self.now = self.now.max(at);
            match scheduled_event {
                Scheduled::Arrival => self.submit_request(),
                Scheduled::EndpointChange => self.change_endpoints(),
                Scheduled::PollAnswer => {
                    self.update_endpoints(UpdateKind::Full, self.endpoints.clone());
                }
                Scheduled::Timer(timer) => self.feed(Event::Timer { timer }),
                Scheduled::AttemptEnds { request, attempt } => self.end_attempt(request, attempt),
                Scheduled::ClientDisconnects(request) => self.disconnect_client(request),
            }
        }
        (self.hash.0, self.action_counts)
    }

    /// Submits a request, and schedules the next arrival and the end of the client's wait.
    fn submit_request(&mut self) {
        let rate_factor = if (self.now - START) % SURGE_PERIOD < SECOND {
            SURGE_FACTOR
        } else {
            1.0
        };
        let rate = RATE_PER_BACKEND * f64::from(self.setup.backend_count) * rate_factor;
        let interval = self.exponential(SECOND as f64 / rate);
        self.schedule(self.now + interval, Scheduled::Arrival);
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let class = (self.uniform() * 3.0) as u16;
        let client_timeout = if class == 2 { 700 * MS } else { 1_200 * MS };
        self.requests.insert(id, PendingRequest::default());
        self.schedule(
            self.now + client_timeout + 20 * MS,
            Scheduled::ClientDisconnects(id),
        );
        let mut request = Request {
            id,
            class: ClassId(class),
            client_timeout,
            client_retry: self.uniform() < 0.05,
            is_write: class > 0,
            ..Request::default()
        };
        if self.setup.extended {
            request.tenant = TenantId((self.uniform() * 2.0) as u16);
            request.work_hint = (self.uniform() < 0.5).then_some(20 * MS);
        }
        self.feed(Event::Request(request));
    }

    /// Drains, removes or restarts a random backend, or makes it the failing one.
    fn change_endpoints(&mut self) {
        self.schedule(self.now + SECOND / 2, Scheduled::EndpointChange);
        let index = (self.uniform() * f64::from(self.setup.backend_count)) as usize;
        let id = index as u32;
        let (now, state, random) = (self.now, self.endpoints[index].state, self.uniform());
        let entry = match state {
            EndpointState::Ready if random < 0.3 => {
                backend(self.setup, id, EndpointState::Draining, None)
            }
            EndpointState::Ready if random < 0.5 => {
                backend(self.setup, id, EndpointState::Ready, Some(now))
            }
            EndpointState::Ready => {
                self.failing_backend = id;
                return;
            }
            EndpointState::Draining => backend(self.setup, id, EndpointState::Removed, None),
            EndpointState::Removed => backend(self.setup, id, EndpointState::Ready, Some(now)),
        };
        self.endpoints[index] = entry.clone();
        match self.uniform() {
            random if random < 0.2 => self.feed(Event::DiscoveryFailed),
            random if random < 0.4 => {
                self.update_endpoints(UpdateKind::Full, self.endpoints.clone());
            }
            _ => self.update_endpoints(UpdateKind::Delta, vec![entry]),
        }
    }

    fn update_endpoints(&mut self, kind: UpdateKind, backends: Vec<Endpoint>) {
        self.feed(Event::EndpointUpdate {
            kind,
            endpoints: backends,
        });
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u8) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let state = &mut request.attempts[usize::from(attempt)];
        if !std::mem::replace(&mut state.in_flight, false) {
            return;
        }
        let (outcome, latency) = (state.outcome, self.now - state.sent_at);
        if self.setup.extended && outcome == Outcome::Reset && !request.finished {
            let request = id;
            self.feed(Event::FirstByte { request, attempt });
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.finished |= outcome == Outcome::Success;
        let finished = request.finished;
        self.feed(Event::AttemptEnded {
            request: id,
            attempt,
            latency,
            outcome,
            finished,
            load_report: Vec::new(),
        });
    }

    fn disconnect_client(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut pending.finished, true) {
            self.feed(Event::ClientDisconnected { request: id });
        }
    }

    /// Passes an event to the balancer, and hashes and carries out the resulting actions.
    fn feed(&mut self, event: Event) {
        self.event_count += 1;
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.execute(&action);
        }
    }

    /// Hashes the current time and the encoded action.
    fn record(&mut self, action: &Action) {
        let fields = encode(action);
        self.hash.write(&self.now.to_le_bytes());
        for field in &fields {
            self.hash.write(&field.to_le_bytes());
        }
        *self.action_counts.entry(fields[0]).or_default() += 1;
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::StartAttempt {
                request, backend, ..
            } => self.send(request, backend),
            Action::Reject { request, .. } | Action::Fail { request } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    pending.finished = true;
                }
            }
            Action::CancelAttempt { request, attempt } => {
                if let Some(state) = self
                    .requests
                    .get_mut(&request)
                    .and_then(|pending| pending.attempts.get_mut(attempt as usize))
                {
                    state.outcome = Outcome::Cancelled;
                    self.schedule(self.now, Scheduled::AttemptEnds { request, attempt });
                }
            }
            Action::SetTimer { at, timer } => self.schedule(at, Scheduled::Timer(timer)),
            Action::WatchEndpoints(_) | Action::PollEndpoints => {
                self.schedule(self.now + 5 * MS, Scheduled::PollAnswer);
            }
            Action::CheckHealth { .. }
            | Action::CloseIdleConnections { .. }
            | Action::Gossip { .. }
            | Action::Log(_) => {}
        }
    }

    /// Sends an attempt: chooses its outcome and latency, and schedules its end.
    fn send(&mut self, request: RequestId, backend: BackendId) {
        let slowdown = 1.0 + f64::from(backend.0 % 4);
        let mut latency = self.exponential(MEAN_LATENCY * slowdown);
        let failure_probability = if backend.0 == self.failing_backend {
            0.7
        } else {
            0.03
        };
        let outcome = if self.uniform() < failure_probability {
            let failures = [
                Outcome::Error,
                Outcome::Overloaded,
                Outcome::Timeout,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::BadRequest,
            ];
            failures[(self.uniform() * failures.len() as f64) as usize]
        } else {
            Outcome::Success
        };
        if outcome == Outcome::Timeout {
            latency = 2 * SECOND;
        }
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = pending.attempts.len() as u8;
        pending.attempts.push(AttemptState {
            sent_at: self.now,
            outcome,
            in_flight: true,
        });
        self.schedule(
            self.now + latency,
            Scheduled::AttemptEnds { request, attempt },
        );
    }
}

fn backend(setup: Setup, id: u32, state: EndpointState, started_at: Option<Nanos>) -> Endpoint {
    let group_index = |count: u32| {
        if setup.extended {
            (id % count) as u16
        } else {
            0
        }
    };
    Endpoint {
        id: BackendId(id),
        hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: ZoneId(group_index(3)),
        cell: CellId((id / 4) as u16),
        kind: KindId(group_index(2)),
        state,
        weight: 1.0,
        started_at,
    }
}

fn setups() -> impl Iterator<Item = Setup> {
    [(3, 2), (30, 12), (300, 100)]
        .into_iter()
        .flat_map(|(backend_count, proxy_count)| {
            [false, true].map(|poll_endpoints| Setup {
                backend_count,
                proxy_count,
                poll_endpoints,
                extended: false,
            })
        })
}

fn extended_setups() -> impl Iterator<Item = Setup> {
    [(10, 2, true), (60, 12, false), (200, 300, true)]
        .into_iter()
        .map(|(backend_count, proxy_count, poll_endpoints)| Setup {
            backend_count,
            proxy_count,
            poll_endpoints,
            extended: true,
        })
}

/// Codes of actions in the hashed encoding. They never change, so that the hashes stay the same
/// when an action is renamed.
const START_ATTEMPT: u64 = 1;
const REJECT: u64 = 2;
const FAIL: u64 = 3;
const CANCEL_ATTEMPT: u64 = 4;
const SET_TIMER: u64 = 5;
const CHECK_HEALTH: u64 = 6;
const CLOSE_IDLE_CONNECTIONS: u64 = 7;
const GOSSIP: u64 = 8;
const WATCH_ENDPOINTS: u64 = 9;
const POLL_ENDPOINTS: u64 = 10;
const LOG: u64 = 11;

/// Encodes an action as its code and the values of its fields, independent of all names. The event
/// of a log action is left out.
fn encode(action: &Action) -> Vec<u64> {
    match action {
        Action::StartAttempt {
            request,
            backend,
            abandon_at,
        } => {
            vec![
                START_ATTEMPT,
                request.0.into(),
                backend.0.into(),
                *abandon_at,
            ]
        }
        Action::Reject {
            request,
            retry_after,
        } => vec![REJECT, request.0.into(), *retry_after],
        Action::Fail { request } => vec![FAIL, request.0.into()],
        Action::CancelAttempt { request, attempt } => {
            vec![CANCEL_ATTEMPT, request.0.into(), (*attempt).into()]
        }
        Action::SetTimer { at, timer } => vec![SET_TIMER, *at, timer.0.into()],
        Action::CheckHealth { backend } => vec![CHECK_HEALTH, backend.0.into()],
        Action::CloseIdleConnections { backend } => vec![CLOSE_IDLE_CONNECTIONS, backend.0.into()],
        Action::Gossip { to, bytes } => {
            let to = to.map_or(u64::MAX, u64::from);
            let bytes = bytes.iter().copied().map(u64::from);
            [GOSSIP, to].into_iter().chain(bytes).collect()
        }
        Action::WatchEndpoints(watch) => vec![WATCH_ENDPOINTS, (*watch).into()],
        Action::PollEndpoints => vec![POLL_ENDPOINTS],
        Action::Log(_) => vec![LOG],
    }
}

#[test]
fn all_decisions_are_as_recorded() {
    let mut hashes = Vec::new();
    let mut counts = BTreeMap::<u64, usize>::new();
    for (index, setup) in setups().enumerate() {
        let (hash, stream_counts) = Recorder::new(setup, index as u64 + 1).run();
        hashes.push(hash);
        for (code, count) in stream_counts {
            *counts.entry(code).or_default() += count;
        }
    }
    // The hashes cover a kind of action only if it occurs, so each kind must occur often enough.
    for (code, minimum) in [
        (START_ATTEMPT, 30_000),
        (REJECT, 500),
        (FAIL, 500),
        (CANCEL_ATTEMPT, 500),
        (SET_TIMER, 1_000),
        (LOG, 100),
    ] {
        assert!(
            counts.get(&code).is_some_and(|count| *count >= minimum),
            "too few actions with code {code}: {counts:?}"
        );
    }
    assert_eq!(
        hashes,
        RECORDED_HASHES,
        "hashes of {:?}",
        setups().collect::<Vec<_>>()
    );
}

#[test]
fn all_decisions_are_as_recorded_with_zones_quotas_and_streams() {
    let hashes: Vec<u64> = extended_setups()
        .enumerate()
        .map(|(index, setup)| Recorder::new(setup, index as u64 + 11).run().0)
        .collect();
    assert_eq!(
        hashes,
        RECORDED_EXTENDED_HASHES,
        "hashes of {:?}",
        extended_setups().collect::<Vec<_>>()
    );
}

#[test]
fn equal_seeds_give_equal_hashes_and_different_seeds_different_ones() {
    let setup = Setup {
        backend_count: 3,
        proxy_count: 2,
        poll_endpoints: true,
        extended: false,
    };
    let stream_hash = |seed| Recorder::new(setup, seed).run().0;
    assert_eq!(stream_hash(7), stream_hash(7));
    assert_ne!(stream_hash(7), stream_hash(8));
}

/// Expected hashes of the actions, one for each stream of `setups`.
const RECORDED_HASHES: [u64; 6] = [
    12_786_921_807_614_902_306,
    3_421_389_659_336_541_266,
    12_684_950_265_294_078_953,
    4_743_792_019_669_178_329,
    17_461_562_763_215_201_970,
    15_964_821_636_492_578_482,
];

/// Expected hashes of the actions, one for each stream of `extended_setups`.
const RECORDED_EXTENDED_HASHES: [u64; 3] = [
    11_081_695_474_044_290_339,
    427_959_500_892_172_197,
    12_175_326_164_420_875_243,
];
