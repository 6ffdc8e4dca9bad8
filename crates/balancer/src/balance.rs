//! Every decision of the balancer. Its interface (settings, events, actions) is `src/interface.rs`.
//!
//! The ordinary path is the rate-learning splitter of `docs/design.md`: rates from own completions
//! over summed latencies, the split (9) with trimming, independent draws, decaying exploration.

mod admission;
mod attempts;
mod draw;
mod ejection;
mod estimator;
mod legality;
mod membership;
mod split;

use std::collections::{BTreeMap, BTreeSet};

use crate::statistics::DecayedSum;
use crate::timer_queue::TimerQueue;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::candidates::Candidates;
use crate::interface::*;
use crate::state::*;

/// c of the design: how many requests a backend is taken to work on at once, so that c completions
/// come in one latency. One figure everywhere; summed estimates exceed lambda under ordinary load.
const CONCURRENCY: f64 = 8.0;
/// Attempts that all nodes together let a backend hold: half of c, as room must end before the
/// estimates do.
const HELD: f64 = CONCURRENCY / 2.0;
/// Completions of a backend that the discount keeps: standard error of a rate near a quarter.
const MEMORY: f64 = 12.0;
/// An estimate stays this far under one completion a slot.
const RATE_CAP: f64 = 0.99;
/// Evidence, in completions, by which an estimate leans to the pooled one as its own samples age
/// away.
const PRIOR: f64 = 1.0;
/// The same for estimates that are pooled over the backends of a label.
const POOL_PRIOR: f64 = 2.0;
/// Longest memory of a backend's completions, in longest aims.
const MEMORY_AIMS: f64 = 10.0;
/// Share of what is believed safe that this node sends a cold backend; the rest is for what it
/// can't see.
const COLD_MARGIN: f64 = 0.5;
/// Further attempts that a request pays for: the storm limit.
const RETRY_RATIO: f64 = 0.2;
/// Failures that can make an outlier.
const OUTLIER_FAILURES: f64 = 3.0;
/// An outlier fails by this share more often than the rest of the fleet. One that fails less still
/// has capacity, which a crowd elsewhere lacks; its rate tells how much.
const OUTLIER_EXCESS: f64 = 0.5;
/// Failures in a row that make an outlier, whatever it did before: in one that has use they are
/// rare.
const OUTLIER_STREAK: f64 = 6.0;
/// Latencies that the means of a class remember: standard error under a tenth.
const SAMPLES: f64 = 64.0;
/// Multiple of the usual latency in the best of times up to which a backend keeps up.
const TOLERANCE: f64 = 1.3;
/// Part of its share that a backend away from home keeps while home has time: it shows what is
/// there.
const SPILL_LEAST: f64 = 0.05;
/// Part by which room moves at an answer that is off by as much as the tolerance.
const ROOM_GAIN: f64 = 0.2;
/// Multiple of what it was to take by which an attempt is overdue, and part of the aim that it has
/// at least.
const OVERDUE: f64 = 8.0;
const OVERDUE_AIM: f64 = 0.25;
/// Multiple of what is completed that a pace reaches at most, and part of their aims that answers
/// may take in the mean: an exponential tail then leaves a fifth late.
const PACE_MOST: f64 = 5.0;
const PACE_AIM: f64 = 0.65;
/// Attempts that a pace keeps for what is worth the most, as many as it saves up in any case; less
/// than half of that worth for the same work leaves them alone.
const RESERVE: f64 = 2.0;
const WORTHY: f64 = 0.5;
/// Bits of a worth that don't count in the order of waiting: those within a fifth are equals.
/// Guards against an order by age where the usual work, which worth is divided by, drifts.
const EQUALS: u32 = 50;
/// What attempts out have waited strains by at most this multiple of what answers took.
const MOST_WAITED: f64 = 3.0;
/// At most this share of the listed backends is ejected; beyond, ejection fails open.
const MAX_EJECTED: f64 = 0.5;

/// Longest wait after a failed call for the list. A change counts as told 6 s after the list
/// service had it and could be reached (protocol page); of these, 2 s are left for the call.
const LONGEST_BACKOFF: Nanos = 3_990_000_000;
/// Backends up to which shares are renewed at the full rate.
const USUAL_LIST: f64 = 200.0;

const SECOND: f64 = 1e9;

impl Open {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    /// Attempts that may have run or may still run.
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.outcome.is_none_or(|o| !o.not_executed()))
    }
}

/// The decisions of one proxy.
pub struct Balancer {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    proxy_count: f64,
    servers: BTreeMap<BackendId, Server>,
    open: BTreeMap<RequestId, Open>,
    classes: Vec<ClassStats>,
    /// Completions of each kind of machine, latencies over the mean of their class.
    kinds: BTreeMap<KindId, DecayedSum>,
    /// Tokens of each tenant's quota.
    quota: Vec<f64>,
    agenda: TimerQueue<Task>,
    started: Nanos,
    refreshed: Nanos,
    /// What draws look at, as of the last split, and draws that found nothing there.
    candidates: Candidates,
    full_walks: u64,
    /// Some backend has come, gone or moved since parts were taken.
    parts_stale: bool,
    /// Backends that are gone and have attempts out.
    lingering: BTreeSet<BackendId>,
    stale: bool,
    split_at: Nanos,
    /// As of the last split: completions a second for each warm backend, and whether ejection fails
    /// open.
    per_backend: f64,
    failed_open: bool,
    /// Attempts out, and the summed room of usable backends.
    out: f64,
    room: f64,
    /// Completions and their latencies, of all backends together in the window of lambda; the
    /// attempts that the pace from these has saved up; and when a timer for those that wait is due.
    recent: DecayedSum,
    saved: f64,
    wake: Nanos,
    /// Discounted requests taken up, and all that came, in the window of lambda.
    arrivals: f64,
    asked: f64,
    /// First sends since the start.
    sends: f64,
    /// Requests that wait for room, in the order in which they get it.
    waiting: BTreeSet<((u64, u64), RequestId)>,
    /// Requests ranked since the start.
    turns: u64,
    retry_tokens: f64,
    ask_failures: u32,
    shortest_aim: f64,
    longest_aim: f64,
}

impl Balancer {
    /// Starts a balancer at `now` with the seed of its draws.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let aims = || {
            settings
                .classes
                .iter()
                .map(|c| c.latency_objective as f64 / SECOND)
        };
        let mut agenda = TimerQueue::default();
        if settings.poll_endpoints {
            agenda.schedule(now, Task::Ask);
        }
        Ok(Balancer {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            proxy_count: f64::from(settings.proxy_count.max(1)),
            servers: BTreeMap::new(),
            open: BTreeMap::new(),
            classes: vec![ClassStats::default(); settings.classes.len()],
            kinds: BTreeMap::new(),
            quota: vec![0.0; settings.tenants.len()],
            agenda,
            started: now,
            refreshed: now,
            candidates: Candidates::default(),
            full_walks: 0,
            parts_stale: false,
            lingering: BTreeSet::new(),
            stale: true,
            split_at: now,
            per_backend: 0.0,
            failed_open: false,
            out: 0.0,
            room: 0.0,
            recent: DecayedSum::default(),
            saved: 1.0,
            wake: 0,
            arrivals: 0.0,
            asked: 0.0,
            sends: 0.0,
            waiting: BTreeSet::new(),
            turns: 0,
            retry_tokens: 0.0,
            ask_failures: 0,
            shortest_aim: aims().reduce(f64::min).unwrap_or(1.0),
            longest_aim: aims().reduce(f64::max).unwrap_or(1.0),
            settings,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.refresh(now);
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_list(now, kind, endpoints, actions)
            }
            Event::DiscoveryFailed => self.on_list_failed(now, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::FirstByte { request, .. } => {
                self.open
                    .entry(request)
                    .and_modify(|open| open.streaming = true);
            }
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                ..
            } => {
                self.on_outcome(now, (request, attempt), latency, outcome, finished, actions);
            }
            Event::ClientDisconnected { request } => self.close(request, actions),
            Event::Timer { timer } => self.agenda.fired(timer),
            Event::HealthCheckEnded { .. } | Event::GossipReceived { .. } => {}
        }
        self.serve_waiting(now, actions);
        while let Some(task) = self.agenda.pop_due(now) {
            match task {
                Task::Ask => actions.push(Action::WatchEndpoints(true)),
                Task::Look(id) => self.look(now, id, actions),
                Task::Wake => {}
                Task::Close(id) => actions.push(Action::CloseIdleConnections { backend: id }),
            }
        }
        if let Some(armed) = self.agenda.arm() {
            actions.push(Action::SetTimer {
                at: armed.at,
                timer: armed.timer,
            });
        }
    }
}

/// A draw from [0, 1).
fn unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
