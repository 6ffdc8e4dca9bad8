//! Every decision of the balancer. Its interface (settings, events, actions) is `src/interface.rs`.
//!
//! The ordinary path is the rate-learning splitter of `docs/design.md`: rates from own completions over
//! summed latencies, the split (9) with trimming, independent draws, decaying exploration.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_ground::{Agenda, Sum};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::candidates::Candidates;
use crate::interface::*;
use crate::state::*;

/// c of the design: how many requests a backend is taken to work on at once, so that c completions come in
/// one latency. One figure everywhere; summed estimates exceed lambda under ordinary load.
const CONCURRENCY: f64 = 8.0;
/// Attempts that all nodes together let a backend hold: half of c, as room must end before the estimates do.
const HELD: f64 = CONCURRENCY / 2.0;
/// Completions of a backend that the discount keeps: standard error of a rate near a quarter.
const MEMORY: f64 = 12.0;
/// An estimate stays this far under one completion a slot.
const RATE_CAP: f64 = 0.99;
/// Evidence, in completions, by which an estimate leans to the pooled one as its own samples age away.
const PRIOR: f64 = 1.0;
/// The same for estimates that are pooled over the backends of a label.
const POOL_PRIOR: f64 = 2.0;
/// Longest memory of a backend's completions, in longest aims.
const MEMORY_AIMS: f64 = 10.0;
/// Share of what is believed safe that this node sends a cold backend; the rest is for what it can't see.
const COLD_MARGIN: f64 = 0.5;
/// Further attempts that a request pays for: the storm limit.
const RETRY_RATIO: f64 = 0.2;
/// Failures that can make an outlier.
const OUTLIER_FAILURES: f64 = 3.0;
/// An outlier fails by this share more often than the rest of the fleet. One that fails less still has
/// capacity, which a crowd elsewhere lacks; its rate tells how much.
const OUTLIER_EXCESS: f64 = 0.5;
/// Failures in a row that make an outlier, whatever it did before: in one that has use they are rare.
const OUTLIER_STREAK: f64 = 6.0;
/// Latencies that the means of a class remember: standard error under a tenth.
const SAMPLES: f64 = 64.0;
/// Multiple of the usual latency in the best of times up to which a backend keeps up.
const TOLERANCE: f64 = 1.3;
/// Part of its share that a backend away from home keeps while home has time: it shows what is there.
const SPILL_LEAST: f64 = 0.05;
/// Part by which room moves at an answer that is off by as much as the tolerance.
const ROOM_GAIN: f64 = 0.2;
/// Multiple of what it was to take by which an attempt is overdue, and part of the aim that it has at least.
const OVERDUE: f64 = 8.0;
const OVERDUE_AIM: f64 = 0.25;
/// Multiple of what is completed that a pace reaches at most, and part of their aims that answers may take
/// in the mean: an exponential tail then leaves a fifth late.
const PACE_MOST: f64 = 5.0;
const PACE_AIM: f64 = 0.65;
/// Attempts that a pace keeps for what is worth the most, as many as it saves up in any case; less than half
/// of that worth for the same work leaves them alone.
const RESERVE: f64 = 2.0;
const WORTHY: f64 = 0.5;
/// Bits of a worth that don't count in the order of waiting: those within a fifth are equals. Guards
/// against an order by age where the usual work, which worth is divided by, drifts.
const EQUALS: u32 = 50;
/// What attempts out have waited strains by at most this multiple of what answers took.
const MOST_WAITED: f64 = 3.0;
/// At most this share of the listed backends is ejected; beyond, ejection fails open.
const MAX_EJECTED: f64 = 0.5;

/// Longest wait after a failed call for the list. A change counts as told 6 s after the list service had it and
/// could be reached (protocol page); of these, 2 s are left for the call.
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
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }
}

/// The decisions of one proxy.
pub struct Balancer {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    siblings: f64,
    servers: BTreeMap<BackendId, Server>,
    open: BTreeMap<RequestId, Open>,
    classes: Vec<ClassStats>,
    /// Completions of each kind of machine, latencies over the mean of their class.
    kinds: BTreeMap<KindId, Sum>,
    /// Tokens of each tenant's quota.
    quota: Vec<f64>,
    agenda: Agenda<Task>,
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
    /// As of the last split: completions a second for each warm backend, and whether ejection fails open.
    per_backend: f64,
    failed_open: bool,
    /// Attempts out, and the summed room of usable backends.
    out: f64,
    room: f64,
    /// Completions and their latencies, of all backends together in the window of lambda; the attempts that
    /// the pace from these has saved up; and when a timer for those that wait is due.
    recent: Sum,
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
        let aims = || settings.classes.iter().map(|c| c.aim as f64 / SECOND);
        let mut agenda = Agenda::default();
        if settings.ask_list {
            agenda.add(now, Task::Ask);
        }
        Ok(Balancer {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            siblings: f64::from(settings.siblings.max(1)),
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
            recent: Sum::default(),
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
            Event::List { kind, backends } => self.on_list(now, kind, backends, actions),
            Event::ListFailed => self.on_list_failed(now, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::FirstByte { request, .. } => {
                self.open.entry(request).and_modify(|open| open.streaming = true);
            }
            Event::Outcome { request, attempt, latency, outcome, finished, .. } => {
                self.on_outcome(now, (request, attempt), latency, outcome, finished, actions);
            }
            Event::ClientGone { request } => self.close(request, actions),
            Event::Timer { timer } => self.agenda.fired(timer.0),
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
        self.serve_waiting(now, actions);
        while let Some(task) = self.agenda.due(now) {
            match task {
                Task::Ask => actions.push(Action::Subscribe(true)),
                Task::Look(id) => self.look(now, id, actions),
                Task::Wake => {}
                Task::Close(id) => actions.push(Action::CloseIdle { backend: id }),
            }
        }
        if let Some((at, timer)) = self.agenda.arm() {
            actions.push(Action::SetTimer { at, timer: TimerId(timer) });
        }
    }

    // ---- Legality: one predicate for each kind of action holds the four rules. ----

    /// Whether an attempt of `open` may go to `server` now. Every send passes here.
    fn may_send(&self, now: Nanos, open: &Open, server: &Server) -> bool {
        let (limits, entry) = (&self.settings.limits, &server.entry);
        let lasting = !open.finished && !open.streaming && now < open.deadline;
        let counted = open.attempts.len() < limits.max_attempts as usize && open.out() == 0;
        let once = match self.settings.classes[usize::from(open.request.class.0)].effect {
            Effect::Safe => true,
            Effect::Unsafe => open.may_have_run().next().is_none(),
            Effect::Keyed { group, window } => open.may_have_run().all(|a| {
                now <= a.sent.saturating_add(window)
                    && match group {
                        Group::All => true,
                        Group::Zone => a.zone == entry.zone,
                        Group::Cell => a.cell == entry.cell,
                    }
            }),
        };
        lasting && counted && once && entry.state == BackendState::Ready && self.cold_room(now, server)
    }

    /// Whether `open` may be refused, which tells the client that trying again is harmless.
    fn may_refuse(&self, open: &Open) -> bool {
        match self.settings.classes[usize::from(open.request.class.0)].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Unsafe | Effect::Keyed { .. } => open.may_have_run().next().is_none(),
        }
    }

    /// Rule 4: this node's share of what a cold backend can take, in whole sends that are saved up for.
    fn cold_room(&self, now: Nanos, server: &Server) -> bool {
        self.warmth(now, server) >= 1.0 || server.cold_credit >= 1.0
    }

    /// Saves up sends to a cold backend over `step` seconds. What a warm one is seen to bear is a lower bound
    /// of capacity, and linear warming from the stated start one of warmth. The credit starts at a random
    /// part of a send: many nodes, each with less than a send for a window, then keep the budget by chance.
    /// Two are saved at least: a node that draws the backend seldom would else lose a part at most draws.
    fn save_up(&self, server: &Server, warmth: f64, step: f64) -> f64 {
        let rules = &self.settings.rules;
        // A fleet that is cold as a whole gets something to be judged by.
        let least = 1.0 / (self.siblings * self.shortest_aim);
        let rate = COLD_MARGIN * rules.fall_multiple * warmth * self.per_backend.max(least);
        let most = (rate * rules.fall as f64 / SECOND).max(2.0);
        (server.cold_credit + rate * step).min(most)
    }

    /// Part of its capacity that a backend surely has: 1 when warm.
    fn warmth(&self, now: Nanos, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let age = server.entry.started.map_or(rules.cold, |at| now.saturating_sub(at));
        if age >= rules.cold {
            return 1.0;
        }
        rules.cold_from + (1.0 - rules.cold_from) * age as f64 / rules.cold as f64
    }

    // ---- Estimator: N, L and lambda, with discount. ----

    /// Seconds over which arrivals are counted.
    fn lambda_window(&self) -> f64 {
        2.0 * self.longest_aim
    }

    /// A count that is discounted over the window of lambda, by the second; that of arrivals is lambda.
    fn per_second(&self, now: Nanos, count: f64) -> f64 {
        let window = self.lambda_window();
        let age = now.saturating_sub(self.started) as f64 / SECOND;
        count / (window * (1.0 - (-age / window).exp())).max(self.shortest_aim)
    }

    fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.entry.state == BackendState::Ready)
    }

    /// Once for each time: discounts what was counted.
    fn refresh(&mut self, now: Nanos) {
        let step = now.saturating_sub(self.refreshed) as f64 / SECOND;
        if step <= 0.0 {
            return;
        }
        let keep = (-step / self.lambda_window()).exp();
        (self.arrivals, self.asked) = (self.arrivals * keep, self.asked * keep);
        self.recent.keep(keep);
        let pace = self.pace(now);
        self.saved = (self.saved + pace * step).min((pace * self.shortest_aim).max(2.0 + RESERVE));
        for (tokens, tenant) in self.quota.iter_mut().zip(&self.settings.tenants) {
            let rate = tenant.quota_per_s / self.siblings;
            *tokens = (*tokens + rate * step).min(rate.max(1.0));
        }
        for class in &mut self.classes {
            // The best of times is forgotten slowly, should the work itself grow.
            for kept in class.zones.values_mut().chain([&mut class.all]) {
                kept.forget(step / (100.0 * self.longest_aim));
            }
        }
        self.refreshed = now;
    }

    // ---- Split and draw: shares by (9), exploration, independent draws. ----

    /// Discounts what was counted of backends and renews the shares of all that are ready.
    fn split(&mut self, now: Nanos) {
        if std::mem::take(&mut self.parts_stale) {
            self.take_part();
        }
        let step = now.saturating_sub(self.split_at) as f64 / SECOND;
        let rate = self.per_second(now, self.arrivals) / (self.servers.len().max(1) as f64);
        let memory = (MEMORY / rate.max(1e-9)).clamp(self.shortest_aim, MEMORY_AIMS * self.longest_aim);
        let keep = (-step / memory).exp();
        for server in self.servers.values_mut() {
            server.done *= keep;
            server.spent *= keep;
            server.failed *= keep;
        }
        let (slot, seconds) = (self.settings.tick as f64 / SECOND, now as f64 / SECOND);
        let lambda = self.per_second(now, self.arrivals) * self.siblings * slot;
        let (priors, against) = self.priors(seconds);
        let starved = self.starved(now);
        self.failed_open = self.fails_open(now);
        let members = self.members(now);
        let warm: f64 = members.iter().map(|id| self.warmth(now, &self.servers[id])).sum();
        self.per_backend = self.per_second(now, self.recent.done) / warm.max(1e-9);
        self.room = 0.0;
        let mut total = (0.0, 0.0, 0.0, 0.0);
        let mut rates = Vec::with_capacity(self.servers.len());
        let mut warmths = Vec::with_capacity(self.servers.len());
        let mut credits = Vec::with_capacity(self.servers.len());
        for (server, (prior, usual)) in self.servers.values().zip(&priors) {
            let usable = server.entry.state == BackendState::Ready
                && (server.ejected_until <= now || self.failed_open);
            // Silence: what attempts out have waited joins L as a censored sample.
            let waited = server.out * seconds - server.out_sent;
            let latency = (server.spent + waited + PRIOR * prior) / (server.done + PRIOR);
            let rate = (CONCURRENCY * slot / latency.max(1e-9)).min(RATE_CAP);
            let known = server.done > 0.0 || starved && *prior > 0.0;
            // A backend that tips when crowded needs rest, which a smaller share is not; it is back in the
            // set as its samples age. Harm: slow but sound ones rest too, so only where others are many
            // nodes'.
            let rests = self.coarse() && latency > TOLERANCE * TOLERANCE * usual;
            let member = members.contains(&server.entry.id) && !rests;
            rates.push(if usable && known && member { rate } else { 0.0 });
            let warmth = self.warmth(now, server);
            credits.push(self.save_up(server, warmth, step));
            warmths.push(if usable { warmth } else { 0.0 });
            self.room += if usable { server.room } else { 0.0 };
            if usable && server.done > 0.0 {
                // A few silent connections must not outweigh all that is answered.
                let waited = waited.min(MOST_WAITED * server.spent);
                // By completions: one that is met no more would strain all room for good.
                let ratio = server.ratio * server.done;
                total = (total.0 + server.spent, total.1 + waited, total.2 + ratio, total.3 + server.done);
            }
        }
        // What has waited shows a crowd before outcomes do. Guards against a whole fleet that tips or goes
        // silent at once; could waste capacity where latencies are long for another cause.
        let (spent, waited, ratios, count) = total;
        let strain = ratios / f64::max(count, 1e-9) * (1.0 + waited / f64::max(spent, 1e-3));
        if !self.coarse() {
            self.room /= (strain / (TOLERANCE * TOLERANCE)).max(1.0).powi(2);
        }
        // Crossing costs: away from home the shares count by how far home is from its tolerance.
        let near = |s: &Server| s.entry.zone == self.settings.zone;
        let home = self.servers.values().zip(&rates).filter(|(s, rate)| **rate > 0.0 && near(s));
        let (sum, count) = home.fold((0.0, 0.0), |all, (s, _)| (all.0 + s.ratio, all.1 + 1.0));
        let spill = if count == 0.0 || self.settings.cross_zone_price <= 0.0 {
            1.0
        } else {
            ((against.min(sum / count) - 1.0) / (TOLERANCE - 1.0)).clamp(SPILL_LEAST, 1.0)
        };
        // The members meet their part of what all backends meet.
        let part = members.len() as f64 / self.ready().count().max(1) as f64;
        let shares = shares(lambda * part, &rates);
        // Where evidence is pooled, as many rates are unknown as there are kinds: that is K then.
        let unknown = if starved { self.kinds.len() as f64 / self.servers.len().max(1) as f64 } else { 1.0 };
        for (place, server) in self.servers.values_mut().enumerate() {
            // A newcomer's clock stands until it has completed something: late in t it would get scraps.
            let since = if server.done > 0.0 || starved { server.joined } else { now };
            let clock = now.saturating_sub(since) as f64 / self.settings.tick as f64 + std::f64::consts::E;
            server.explore = unknown * warmths[place] * clock.ln() / clock / (1.0 + server.streak);
            server.cold_credit = credits[place];
            server.rate = rates[place];
            server.share = shares[place] * if near(server) { 1.0 } else { spill };
        }
        self.candidates = Candidates::of(self.ready());
        self.split_at = now;
        self.stale = false;
    }

    /// Marks the part of its zone that this node uses first: by its number, a stretch of the backends in the
    /// order that all nodes have in common, so that parts cover the zone evenly. Guards against nodes that
    /// crowd one backend beside an idle one, as none knows what the others have out.
    fn take_part(&mut self) {
        let mut marks: BTreeMap<ZoneId, Vec<u64>> = BTreeMap::new();
        for server in self.ready() {
            marks.entry(server.entry.zone).or_default().push(server.entry.mark);
        }
        marks.values_mut().for_each(|zone| zone.sort_unstable());
        let nodes = (self.siblings / marks.len().max(1) as f64).max(1.0);
        // Where only some of the nodes are of this zone, multiples of the golden ratio lie evenly.
        let step = if marks.len() > 1 { std::f64::consts::GOLDEN_RATIO } else { 1.0 / nodes };
        let start = f64::from(self.settings.me) * step;
        for server in self.servers.values_mut() {
            let Some(zone) = marks.get(&server.entry.zone) else { continue };
            let rank = zone.partition_point(|mark| *mark < server.entry.mark) as f64;
            server.order = ((rank + 0.5) / zone.len() as f64 - start).rem_euclid(1.0);
            server.own = server.entry.zone == self.settings.zone && server.order < 1.0 / nodes;
        }
    }

    /// Fewer completions of a backend come in the longest memory than an estimate wants.
    fn starved(&self, now: Nanos) -> bool {
        let rate = self.per_second(now, self.arrivals) / (self.servers.len().max(1) as f64);
        rate * MEMORY_AIMS * self.longest_aim < MEMORY
    }

    /// The backends of each zone that this node can come to know: the first in its own order, as many as get
    /// the completions that an estimate wants within the longest memory. Guards against starved estimates and
    /// a handshake for every request; nodes have other orders, so together they cover the fleet. All backends
    /// where completions are plenty. Where crossing costs, little goes to other zones: together they have
    /// what home has. Harm: a node's few may be struck together, then it draws among the rest.
    fn members(&self, now: Nanos) -> BTreeSet<BackendId> {
        let age = (now.saturating_sub(self.started) as f64 / SECOND).max(self.longest_aim);
        let count = self.sends / age * MEMORY_AIMS * self.longest_aim / MEMORY;
        let usable = |s: &&Server| s.ejected_until <= now || self.failed_open;
        let mut order: Vec<(ZoneId, f64, BackendId)> =
            self.ready().filter(usable).map(|s| (s.entry.zone, s.order, s.entry.id)).collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let zones: Vec<_> = order.chunk_by(|a, b| a.0 == b.0).collect();
        let others = if self.settings.cross_zone_price > 0.0 { zones.len() as f64 - 1.0 } else { 1.0 };
        let share = |zone: ZoneId| if zone == self.settings.zone { 1.0 } else { others.max(1.0) };
        let most = |zone: ZoneId| (count / share(zone)).max(OUTLIER_FAILURES).ceil() as usize;
        zones.iter().flat_map(|zone| zone.iter().take(most(zone[0].0))).map(|place| place.2).collect()
    }

    /// Latency that an estimate leans to, and that of its kind, for each backend: the fleet's, times what is
    /// pooled for its kind, its cell, its zone, and for being cold. Guards against starved estimates behind
    /// many nodes, and against what strikes all of one label at once (a silent rack, a zone cut off). Harm: a
    /// sound backend among bad ones gets little.
    fn priors(&self, seconds: f64) -> (Vec<(f64, f64)>, f64) {
        let pooled = self.ready().fold((0.0, 0.0), |sum, s| (sum.0 + s.spent, sum.1 + s.done));
        let mean = if pooled.1 > 0.0 { pooled.0 / pooled.1 } else { 0.0 };
        let leaning = |pool: &Sum| pool.lean(POOL_PRIOR);
        let kind = |s: &Server| self.kinds.get(&s.entry.kind).map_or(1.0, leaning);
        let mut cells: BTreeMap<CellId, Sum> = BTreeMap::new();
        let mut zones: BTreeMap<ZoneId, Sum> = BTreeMap::new();
        let mut ages = [Sum::default(), Sum::default()];
        let cold = |s: &Server| self.warmth(self.refreshed, s) < 1.0;
        for server in self.ready() {
            let usual = (mean * kind(server)).max(1e-9);
            // Only what attempts out have waited beyond the usual speaks against them; a failure costs an
            // aim.
            let waited = (server.out * seconds - server.out_sent - server.out * usual).max(0.0);
            let spent = (server.spent + waited + server.failed * self.shortest_aim) / usual;
            let age = &mut ages[usize::from(cold(server))];
            for pool in [
                cells.entry(server.entry.cell).or_default(),
                zones.entry(server.entry.zone).or_default(),
                age,
            ] {
                pool.add(server.done, spent);
            }
        }
        let of = |s: &Server| {
            let cell = cells.get(&s.entry.cell).map_or(1.0, leaning);
            let usual = mean * kind(s);
            let age = if cold(s) { leaning(&ages[1]) / leaning(&ages[0]) } else { 1.0 };
            (usual * cell * age * zones.get(&s.entry.zone).map_or(1.0, leaning), usual)
        };
        let (mut home, mut away) = (Sum::default(), Sum::default());
        for (zone, pool) in &zones {
            let side = if *zone == self.settings.zone { &mut home } else { &mut away };
            side.add(pool.done, pool.spent);
        }
        (self.servers.values().map(of).collect(), leaning(&home) / leaning(&away))
    }

    /// Draws a backend for a request among those that are legal, backends not yet tried first.
    fn draw(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        if self.full(self.open[&id].needs) {
            return None;
        }
        if let Some(backend) = self.draw_candidate(now, id) {
            return Some(backend);
        }
        self.full_walks += 1;
        self.draw_from_all(now, id)
    }

    /// An attempt of `open` may go to this backend now, which has room and is not ejected. Ejected backends have
    /// no share, so they would get all that finds no room elsewhere.
    fn is_usable(&self, now: Nanos, open: &Open, server: &Server) -> bool {
        let sound = server.ejected_until <= now || self.failed_open;
        sound && Self::has_room(server) && self.may_send(now, open, server)
    }

    /// What must not run twice is not what finds out whether one that failed is sound; where many nodes share a
    /// backend, a time-out there tells of a crowd.
    fn wants_proven(&self, open: &Open) -> bool {
        let once = |class: &Class| class.effect == Effect::Unsafe;
        let classes = &self.settings.classes;
        let of_open = &classes[usize::from(open.request.class.0)];
        once(of_open) && !classes.iter().all(once) && !self.coarse()
    }

    /// Draws among the support set, or an exploration by its weight. `None` where neither finds a backend that
    /// is legal now and was not tried.
    fn draw_candidate(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        let (dice, place) = (unit(&mut self.rng), unit(&mut self.rng));
        let again = unit(&mut self.rng);
        let open = &self.open[&id];
        let untried = |s: &Server| open.attempts.iter().all(|a| a.backend != s.entry.id);
        let wanted = |s: &&Server| untried(s) && self.is_usable(now, open, s);
        let total = self.candidates.explore_total();
        if dice < total {
            let drawn = self.candidates.explorer(place).and_then(|id| self.servers.get(&id)).filter(wanted);
            let proven = |s: &&Server| s.streak == 0.0 || !self.wants_proven(open);
            if let Some(server) = drawn.filter(proven) {
                return Some(server.entry.id);
            }
            if total >= 1.0 {
                return None;
            }
        }
        let support = self.candidates.support().iter().filter_map(|id| self.servers.get(id));
        let mut pool: Vec<&Server> = support.filter(wanted).collect();
        self.prefer_proven(open, &mut pool);
        self.pick_shared(now, open, &pool, again)
    }

    /// Draws among the whole list.
    fn draw_from_all(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        let (dice, place) = (unit(&mut self.rng), unit(&mut self.rng));
        let open = &self.open[&id];
        let mut pool: Vec<&Server> = self.servers.values().filter(|s| self.is_usable(now, open, s)).collect();
        let tried = |s: &&Server| open.attempts.iter().any(|a| a.backend == s.entry.id);
        if !open.attempts.is_empty() && !pool.iter().all(tried) {
            pool.retain(|s| !tried(s));
        }
        self.prefer_proven(open, &mut pool);
        let explore: f64 = pool.iter().map(|s| s.explore).sum();
        let drawn = if dice >= explore.min(1.0) { self.pick_shared(now, open, &pool, place) } else { None };
        drawn.or_else(|| pick(&pool, place, |s| s.explore)).or_else(|| pick(&pool, place, |_| 1.0))
    }

    fn prefer_proven(&self, open: &Open, pool: &mut Vec<&Server>) {
        let proven = |s: &&Server| s.streak == 0.0;
        if self.wants_proven(open) && pool.iter().any(proven) {
            pool.retain(proven);
        }
    }

    /// The backend at `place` of the shares, idle ones first.
    fn pick_shared(&self, now: Nanos, open: &Open, pool: &[&Server], place: f64) -> Option<BackendId> {
        let part = |whether: bool, weight: f64| if whether { weight } else { 0.0 };
        let lately = now.saturating_sub((self.longest_aim * SECOND) as Nanos);
        let quick = |s: &Server| s.out == 0.0 && s.last < 1.0 && s.heard >= lately;
        let first = self.coarse() && open.needs <= 1.0;
        // Idle for all this node knows, and just now quicker than usual: likely idle still.
        pick(pool, place, |s| part(first && quick(s), s.rate))
            // What this node knows to be idle goes first: there is no wait at it.
            .or_else(|| pick(pool, place, |s| part(s.own && s.out == 0.0, s.share)))
            // One that (9) leaves out is slow, but there at once; not where it is a crowd of others'.
            .or_else(|| {
                let keeps_up = |s: &Server| s.ratio < TOLERANCE * TOLERANCE;
                pick(pool, place, |s| part(s.own && s.out == 0.0 && keeps_up(s), s.rate))
            })
            .or_else(|| pick(pool, place, |s| s.share))
    }

    /// Draws that had to walk the whole list so far.
    pub fn full_walks(&self) -> u64 {
        self.full_walks
    }

    // ---- Health: outlier ejection with backoff and a floor. ----

    /// So many look bad that it can't be them alone.
    fn fails_open(&self, now: Nanos) -> bool {
        let ejected = self.ready().filter(|s| s.ejected_until > now).count() as f64;
        ejected > MAX_EJECTED * self.ready().count() as f64
    }

    /// Counts a failure and ejects an outlier. Guards against fast errors, dead and unreachable backends,
    /// which answer too quickly for their latency to show. Harm: a fault of one class of requests only.
    fn on_failure(&mut self, now: Nanos, id: BackendId, actions: &mut Vec<Action>) {
        let all = self.ready().fold((0.0, 0.0), |sum, s| (sum.0 + s.failed, sum.1 + s.done));
        let full = self.ready().filter(|s| s.ejected_until > now).count() as f64 + 1.0
            > MAX_EJECTED * self.ready().count() as f64;
        let first_room = self.first_room();
        let base = 2.0 * self.longest_aim;
        let jitter = 0.75 + 0.5 * unit(&mut self.rng);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.failed += 1.0;
        server.streak += 1.0;
        let others = (all.0 - server.failed).max(0.0) / (all.0 + all.1 - server.done).max(1.0);
        let share = server.failed / (server.failed + server.done);
        let returned = server.ejections > 0 && server.done < 1.0;
        let many = server.failed >= OUTLIER_FAILURES || returned;
        let outlier = many && (server.streak >= OUTLIER_STREAK || share > others + OUTLIER_EXCESS);
        if outlier && !full && server.ejected_until <= now {
            let span = base * jitter * f64::from(1u32 << server.ejections.min(3));
            server.ejected_until = now + (span * SECOND) as Nanos;
            server.ejections += 1;
            server.joined = server.ejected_until;
            server.room = first_room;
            (server.done, server.spent, server.failed) = (0.0, 0.0, 0.0);
            actions.push(Action::Log(format!("backend {} ejected for {span:.1} s", id.0)));
            self.stale = true;
        }
    }

    // ---- Admission: room at the backends, and an order for those that wait for it. ----

    /// Room of a backend of which nothing is known: one attempt, or this node's share of c if that is less.
    fn first_room(&self) -> f64 {
        (HELD / self.siblings).min(1.0)
    }

    /// This node's share of a backend's c, siblings' swings included, is less than one attempt.
    fn coarse(&self) -> bool {
        let share = HELD / self.siblings;
        share + share.sqrt() < 1.0
    }

    /// No further attempt may be out. Where this node's share of a backend's c is under one attempt, whole
    /// attempts are too coarse a measure: they are paced by what is completed, and need so much saved up.
    fn full(&self, needs: f64) -> bool {
        if self.coarse() { self.saved < needs } else { self.out >= self.room.max(1.0) && self.out > 0.0 }
    }

    /// Attempts a second that this node may start where room is too coarse: as many as are completed, times
    /// how far they are under the part of their aims that is meant. Guards against a fleet that many nodes
    /// push over together, where all is late. So much of what comes starts in any case that, once
    /// answers are fast, a window brings back the whole: with a few of them, chance would keep a node down.
    fn pace(&self, now: Nanos) -> f64 {
        let window = self.lambda_window();
        let age = now.saturating_sub(self.started) as f64 / SECOND;
        if age < window {
            return SECOND / self.settings.tick as f64;
        }
        let latency = self.recent.spent / self.recent.done.max(1e-9);
        let slack = PACE_AIM * self.shortest_aim / latency.max(1e-9);
        let least = (self.asked / PACE_MOST).max(1.0);
        (self.recent.done * slack.min(PACE_MOST)).max(least) / window
    }

    /// Whether a backend holds less from this node than it is seen to keep up with. Guards against crowding,
    /// silence and a choking fleet. Harm: too small a limit wastes capacity, so it grows with each success.
    fn has_room(server: &Server) -> bool {
        server.out == 0.0 || server.out + 1.0 <= server.room
    }

    /// Moves a backend's room so that its mean latency, over that of the best of times, nears TOLERANCE.
    fn adjust_room(&mut self, id: BackendId, class: usize, spent: f64, outcome: Outcome) {
        let Some(server) = self.servers.get(&id) else { return };
        // The way to a zone is no crowd there: it counts among what is usual.
        let zone = self.classes[class].zones.entry(server.entry.zone).or_default();
        if outcome == Outcome::Ok {
            zone.add(spent, SAMPLES);
        }
        let scale = self.shortest_aim * SECOND / self.settings.classes[class].aim as f64;
        let base = if zone.seen < SAMPLES { self.classes[class].all.base } else { zone.base };
        let ratio = spent / base.max(1e-9);
        match outcome {
            Outcome::Ok => self.recent.add(1.0, spent * scale),
            Outcome::Full | Outcome::Timeout => self.recent.spent += self.shortest_aim,
            // It has used no capacity: another may go out for it.
            _ => self.saved += 1.0,
        }
        let ratio = match outcome {
            Outcome::Ok => ratio,
            Outcome::Timeout | Outcome::Full => ratio.max(2.0 * TOLERANCE),
            _ => return,
        };
        // This node's share of c, and the root of it, as siblings are not all at their shares at a time.
        let share = HELD / self.siblings;
        // Behind as many of the longest work as it lets a backend hold, the tightest class is still in time.
        let longest = self.classes.iter().map(|c| c.all.base).fold(1e-9, f64::max);
        let fits = HELD.min(self.shortest_aim / longest - 1.0).max(1.0) / self.siblings;
        let most = (fits + fits.sqrt()).round();
        let mean = self.classes[class].all.mean;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last = if outcome == Outcome::Ok { spent / mean.max(1e-9) } else { f64::INFINITY };
        server.heard = self.refreshed;
        server.ratio += (ratio.min(10.0) - server.ratio) / MEMORY;
        let growth = ROOM_GAIN * (TOLERANCE / server.ratio - 1.0);
        if growth < 0.0 || server.out + 1.0 >= server.room.floor() {
            server.room = (server.room * (1.0 + growth)).clamp(0.25 * share, most.max(1.0));
        }
    }

    /// Place in the order of waiting: most worth per work first, tenants over their quota behind, the newest
    /// of equals first, by a count, as ids tell no order. Guards against a crowd that is served first come,
    /// first served: each gets its turn just too late. Harm: in a crowd the oldest are given up. With it goes
    /// what must be saved up before a start: what can wait would else use up what others need at once.
    fn rank(&mut self, request: &Request, late: bool) -> ((u64, u64), f64) {
        let class = usize::from(request.class.0);
        let settings = &self.settings.classes[class];
        let mut value = self.value(class);
        let seen = |c: &usize| self.classes[*c].all.seen > 0.0;
        let most = (0..self.classes.len()).filter(seen).map(|c| self.value(c)).fold(0.0, f64::max);
        if let Some(tokens) = self.quota.get_mut(usize::from(request.tenant.0)) {
            if *tokens >= 1.0 {
                *tokens -= 1.0;
            } else {
                value *= self.settings.over_quota_worth;
            }
        }
        // A marked repeat comes when its first try has used up the aim or nearly so. Guards against room
        // spent on answers that count no more; could harm repeats after a fast failure, in a crowd only.
        if request.client_retry || late {
            value *= settings.late_worth.clamp(0.0, 1.0);
        }
        self.turns += 1;
        let needs = if value < WORTHY * most { 1.0 + RESERVE } else { 1.0 };
        ((u64::MAX - (value.max(0.0).to_bits() >> EQUALS), u64::MAX - self.turns), needs)
    }

    /// Worth of a class for its usual work.
    fn value(&self, class: usize) -> f64 {
        let work = if self.settings.worth_by_work { 1.0 } else { self.classes[class].all.base.max(1e-3) };
        self.settings.classes[class].worth / work
    }

    /// How long ago a request's first try was, as its patience tells: first tries come with one patience and
    /// are the most; what a repeat has left tells what is gone. Guards against room spent on answers that
    /// count no more. Harm: a client that is impatient from the start waits behind others in a crowd.
    fn elapsed(&mut self, request: &Request) -> Nanos {
        let class = usize::from(request.class.0);
        let deadline = self.settings.classes[class].deadline;
        let usual = self.classes[class].patience.add(request.patience as f64 / deadline as f64);
        if usual { 0 } else { deadline.saturating_sub(request.patience) }
    }

    /// Multiple of the usual pause between renewals of the shares: a renewal walks the whole list, so with long
    /// lists it comes more seldom and costs the same over time.
    fn renewal_stretch(&self) -> f64 {
        (self.servers.len() as f64 / USUAL_LIST).max(1.0)
    }

    /// Gives room to those that wait, until none is left.
    fn serve_waiting(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        // Estimates move little within a small part of an aim; renewing shares costs CPU.
        let usual = self.shortest_aim * SECOND / 64.0;
        let pause = usual * if self.stale { self.renewal_stretch() - 1.0 } else { self.renewal_stretch() };
        let empty = self.candidates.is_empty();
        if self.stale && empty || now >= self.split_at.saturating_add(pause as Nanos) {
            self.split(now);
        }
        if self.waiting.is_empty() || !self.servers.values().any(Self::has_room) {
            return;
        }
        let mut misses = 0;
        let mut after = ((0, 0), RequestId(0));
        while misses < 3
            && let Some(next) = self.waiting.range(after..).next().copied()
            && !self.full(self.open[&next.1].needs)
        {
            misses += usize::from(!self.attempt(now, next.1, actions));
            after = (next.0, RequestId(next.1.0.saturating_add(1)));
        }
        if self.coarse()
            && self.wake <= now
            && let Some(needs) = self.waiting.first().map(|(_, id)| self.open[id].needs)
            && self.full(needs)
        {
            let wait = (needs - self.saved) / self.pace(now);
            self.wake = now + (wait * SECOND) as Nanos + self.settings.tick;
            self.agenda.add(self.wake, Task::Wake);
        }
    }

    // ---- Attempts and time-outs. ----

    fn on_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            actions.push(Action::Fail { request: id });
            return;
        };
        if self.open.contains_key(&id) {
            return;
        }
        let stretch = class.aim_stretch.max(0.0) * request.work_hint.unwrap_or(0) as f64;
        let span = class.aim.saturating_add(stretch as Nanos);
        let deadline = now.saturating_add(request.patience);
        let elapsed = self.elapsed(&request);
        let late = elapsed >= span;
        let aim = now.saturating_add(if late { span } else { span - elapsed }).min(deadline);
        let (rank, needs) = self.rank(&request, late);
        self.asked += 1.0;
        let (finished, streaming, attempts) = (false, false, Vec::new());
        let open = Open { request, deadline, aim, attempts, finished, streaming, rank, needs };
        self.open.insert(id, open);
        self.waiting.insert((rank, id));
        self.agenda.add(self.give_up(id), Task::Look(id));
    }

    /// When a request that still waits can't be answered in time any more.
    fn give_up(&self, id: RequestId) -> Nanos {
        let open = &self.open[&id];
        let class = usize::from(open.request.class.0);
        // Where misses are counted apart, a refusal within the aim is none, and a late answer is one.
        let late = self.settings.classes[class].late_worth > 0.0 && self.settings.tail == 0.0;
        let end = if late { open.deadline } else { open.aim };
        // A refusal of what was never written to a backend costs nothing up to a part of its time.
        let unwritten = |a: &Attempt| matches!(a.outcome, Some(Outcome::ConnectFailed | Outcome::Moot));
        let untried = (open.request.patience as f64 * (1.0 - self.settings.limits.untried)) as Nanos;
        let end = if open.attempts.iter().all(unwritten) { end.min(open.deadline - untried) } else { end };
        let usual = (self.classes[class].all.base * SECOND) as Nanos;
        end.saturating_sub(usual.min(self.settings.classes[class].aim / 2) + self.settings.tick)
    }

    /// Sends an attempt if some backend is legal and has room; else the request waits.
    fn attempt(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.draw(now, id) else { return false };
        let server = self.servers.get_mut(&backend).expect("drawn from the list");
        self.out += 1.0;
        self.saved -= 1.0;
        server.out += 1.0;
        server.out_sent += now as f64 / SECOND;
        server.cold_credit = (server.cold_credit - 1.0).max(0.0);
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        let open = self.open.get_mut(&id).expect("held");
        open.attempts.push(Attempt { backend, sent: now, zone, cell, outcome: None });
        self.waiting.remove(&(open.rank, id));
        if open.attempts.len() == 1 {
            self.arrivals += 1.0;
            self.sends += 1.0;
            self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(10.0);
        }
        // An answer without worth is not waited for.
        let class = &self.settings.classes[usize::from(open.request.class.0)];
        let until = if class.late_worth > 0.0 { open.deadline } else { open.aim };
        actions.push(Action::Send { request: id, backend, until });
        self.agenda.add(now.saturating_add(self.overdue(id)), Task::Look(id));
        true
    }

    /// How long an attempt of a request may take before it looks lost.
    fn overdue(&self, id: RequestId) -> Nanos {
        let open = &self.open[&id];
        let class = usize::from(open.request.class.0);
        let hint = open.request.work_hint.unwrap_or(0) as f64;
        let least = OVERDUE_AIM * self.settings.classes[class].aim as f64;
        (OVERDUE * (self.classes[class].all.mean * SECOND + hint)).max(least) as Nanos
    }

    /// Calls off an attempt that looks lost, if another may go out in time. Guards against
    /// connections that fall silent, which cost a request all its time and hold room for as long, so one
    /// that can't be called off yet is looked at again. Harm: work is done twice where backends are only
    /// slow; the storm limit bounds it.
    fn call_off(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let (open, limits) = (&self.open[&id], &self.settings.limits);
        let class = usize::from(open.request.class.0);
        let Some((place, last)) = open.attempts.iter().enumerate().next_back() else { return };
        let once = match self.settings.classes[class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { window, .. } => open.may_have_run().all(|a| now < a.sent.saturating_add(window)),
        };
        let more = limits.cancel && once && open.attempts.len() < limits.max_attempts as usize;
        if !more || now >= self.give_up(id) {
            return;
        }
        let span = self.overdue(id);
        let at = last.sent.saturating_add(span);
        if now < at || self.retry_tokens < 1.0 {
            let again = if now < at { at } else { now.saturating_add(span / OVERDUE as u64) };
            self.agenda.add(again, Task::Look(id));
        } else {
            self.retry_tokens -= 1.0;
            actions.push(Action::Cancel { request: id, attempt: place as u8 });
        }
    }

    /// A moment set for a request has come: it was held, or an attempt is slow.
    fn look(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.finished && !o.streaming) else { return };
        if open.out() == 0 {
            // What is usual may have changed since this moment was set.
            match self.give_up(id) {
                later if later > now => self.agenda.add(later, Task::Look(id)),
                _ => self.conclude(id, actions),
            }
            return;
        }
        self.call_off(now, id, actions);
    }

    fn on_outcome(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u8),
        latency: Nanos,
        outcome: Outcome,
        finished: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(done) = open.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return;
        };
        done.outcome = Some(outcome);
        let (backend, sent) = (done.backend, done.sent);
        let class = usize::from(open.request.class.0);
        let spent = latency as f64 / SECOND;
        // Called off here as lost: the backend has failed it as by a time-out.
        let lost = outcome == Outcome::Cancelled && !finished && !open.finished;
        self.out -= 1.0;
        if let Some(server) = self.servers.get_mut(&backend) {
            server.out -= 1.0;
            server.out_sent -= sent as f64 / SECOND;
            server.spent += match outcome {
                Outcome::Rejected => 0.0,
                // At once or not, the request has to begin again elsewhere. Guards against a backend that is
                // gone or leaving while the list is late: its own latency would make it the fastest.
                Outcome::ConnectFailed | Outcome::Full => spent.max(self.shortest_aim),
                _ => spent,
            };
            if outcome == Outcome::Ok {
                server.joined = if server.done > 0.0 { server.joined } else { now };
                server.done += 1.0;
                server.streak = 0.0;
                let pool = self.kinds.entry(server.entry.kind).or_default();
                let keep = 1.0 - 1.0 / SAMPLES;
                let mean = self.classes[class].all.mean;
                pool.keep(keep);
                pool.add(1.0, if mean > 0.0 { spent / mean } else { 1.0 });
                if server.done > 0.5 * MEMORY {
                    server.ejections = 0;
                }
            }
        }
        if self.servers.get(&backend).is_none_or(|s| s.entry.state != BackendState::Ready) {
            self.let_go(now, backend, actions);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.classes[class].all.add(spent, SAMPLES);
        }
        self.adjust_room(backend, class, spent, outcome);
        let failed =
            matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Timeout);
        if failed || lost {
            self.on_failure(now, backend, actions);
        }
        let open = self.open.get_mut(&id).expect("held");
        if finished || open.finished {
            self.close(id, actions);
        } else if open.streaming {
            // The stream broke without an end told: only a failure can follow.
            self.conclude(id, actions);
        } else if open.out() == 0 {
            let open = &self.open[&id];
            // An unsafe request that may have run is over, and so is one that is itself at fault.
            let effect = self.settings.classes[class].effect;
            let barred = effect == Effect::Unsafe && open.may_have_run().next().is_some()
                || outcome == Outcome::Rejected;
            let more = !barred && open.attempts.len() < self.settings.limits.max_attempts as usize;
            // What was lost has paid already.
            let free = lost || outcome == Outcome::ConnectFailed;
            let give_up = self.give_up(id);
            if now < give_up && more && (free || self.retry_tokens >= 1.0) {
                self.retry_tokens -= if free { 0.0 } else { 1.0 };
                self.waiting.insert((open.rank, id));
                self.agenda.add(give_up, Task::Look(id));
            } else {
                self.conclude(id, actions);
            }
        }
    }

    /// Gives the final answer: a refusal where that is true, else a failure.
    fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.finished) else { return };
        if self.may_refuse(open) {
            actions.push(Action::Refuse { request: id, retry_after: self.settings.limits.max_retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The request is over: calls off what is out and forgets it when nothing is.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut open.finished, true);
        self.waiting.remove(&(open.rank, id));
        if open.out() == 0 {
            self.open.remove(&id);
        } else if first && self.settings.limits.cancel {
            for (place, attempt) in open.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    actions.push(Action::Cancel { request: id, attempt: place as u8 });
                }
            }
        }
    }

    // ---- List following. ----

    fn on_list(&mut self, now: Nanos, kind: ListKind, backends: Vec<Backend>, actions: &mut Vec<Action>) {
        if kind != ListKind::Cached {
            self.ask_failures = 0;
        }
        let named: Vec<BackendId> = if kind == ListKind::Delta {
            backends.iter().map(|b| b.id).collect()
        } else {
            self.servers.keys().copied().chain(backends.iter().map(|b| b.id)).collect()
        };
        let state = |servers: &BTreeMap<BackendId, Server>, id: &BackendId| {
            servers.get(id).map(|server| server.entry.state)
        };
        let before: Vec<Option<BackendState>> = named.iter().map(|id| state(&self.servers, id)).collect();
        if kind != ListKind::Delta {
            let listed: BTreeSet<BackendId> = backends.iter().map(|b| b.id).collect();
            for server in self.servers.values_mut().filter(|s| !listed.contains(&s.entry.id)) {
                server.entry.state = BackendState::Gone;
            }
        }
        for entry in backends {
            self.take_entry(now, entry);
        }
        for (id, before) in named.iter().zip(before) {
            let after = state(&self.servers, id);
            if after != before && after.is_some_and(|state| state != BackendState::Ready) {
                self.let_go(now, *id, actions);
            }
        }
        self.forget_gone(&named);
        self.parts_stale = true;
        if self.ready().next().is_none() {
            actions.push(Action::Log("no backend is ready".into()));
        }
        self.stale = true;
    }

    /// Takes what a list says of one backend.
    fn take_entry(&mut self, now: Nanos, entry: Backend) {
        let cold_credit = unit(&mut self.rng);
        let room = self.first_room();
        let fresh =
            Server { entry: entry.clone(), joined: now, ratio: 1.0, room, cold_credit, ..Server::default() };
        let server = self.servers.entry(entry.id).or_insert_with(|| fresh.clone());
        if entry.started > server.entry.started {
            // A new process: what was learned of the old one says nothing, but what is out will end.
            let (out, out_sent) = (server.out, server.out_sent);
            *server = Server { out, out_sent, ..fresh };
        }
        server.entry = entry;
    }

    /// Forgets backends that are gone and have nothing out, of these and of those that had when they went.
    fn forget_gone(&mut self, named: &[BackendId]) {
        self.lingering.extend(named);
        let servers = &mut self.servers;
        self.lingering.retain(|id| {
            let gone = servers.get(id).is_some_and(|s| s.entry.state == BackendState::Gone);
            let over = gone && servers.get(id).is_some_and(|s| s.out <= 0.0);
            if over {
                servers.remove(id);
            }
            gone && !over
        });
    }

    /// Rule on drains where connections must close: at the notice and after each outcome there, and again
    /// within the stated time for a connection that was not idle yet. Only these need a late timer.
    fn let_go(&mut self, now: Nanos, id: BackendId, actions: &mut Vec<Action>) {
        if let Some(within) = self.settings.rules.drain_close {
            actions.push(Action::CloseIdle { backend: id });
            self.agenda.add(now.saturating_add(within / 2), Task::Close(id));
        }
    }

    /// Asks again after a jittered backoff, so that many proxies don't come in step; the list held stays.
    fn on_list_failed(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.settings.ask_list {
            return;
        }
        let first = self.settings.rules.ask_within / 20;
        // The jitter below takes it to 1.5 times this at most.
        let wait = first.saturating_mul(1 << self.ask_failures.min(3)).min(LONGEST_BACKOFF / 3 * 2);
        let wait = ((wait as f64 * (0.5 + unit(&mut self.rng))) as Nanos).saturating_add(self.settings.tick);
        self.ask_failures = self.ask_failures.saturating_add(1);
        self.agenda.add(now.saturating_add(wait), Task::Ask);
        if self.ask_failures == 1 {
            actions.push(Action::Log("list out of reach, the old one stays".into()));
        }
    }
}

/// The paper's split (9): the slowest leave the support set while any share is not positive; no share is
/// under the slowest's. With lambda at or over the summed rates (9) has no answer; its limit from below is
/// proportional to the rates. A rate of 0 is outside the support set.
fn shares(lambda: f64, rates: &[f64]) -> Vec<f64> {
    let mut sum: f64 = rates.iter().sum();
    let mut result = vec![0.0; rates.len()];
    if sum <= 0.0 {
        return result;
    }
    if lambda >= sum || lambda <= 0.0 {
        return rates.iter().map(|mu| mu / sum).collect();
    }
    let root = |mu: f64| (mu * (1.0 - mu)).max(0.0).sqrt();
    let mut order: Vec<usize> = (0..rates.len()).filter(|i| rates[*i] > 0.0).collect();
    order.sort_by(|a, b| rates[*b].total_cmp(&rates[*a]).then(a.cmp(b)));
    let mut roots: f64 = order.iter().map(|i| root(rates[*i])).sum();
    let share = |i: usize, sum: f64, roots: f64| {
        rates[i] / lambda - root(rates[i]) / roots.max(f64::MIN_POSITIVE) * (sum / lambda - 1.0)
    };
    while let [.., slowest] = order[..]
        && order.len() > 1
        && share(slowest, sum, roots) <= 0.0
    {
        sum -= rates[slowest];
        roots -= root(rates[slowest]);
        order.pop();
    }
    for i in &order {
        result[*i] = if order.len() == 1 { 1.0 } else { share(*i, sum, roots).max(0.0) };
    }
    result
}

/// A draw from [0, 1).
fn unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The one of `pool` at `place` of the summed weights; none where the sum is not positive.
fn pick(pool: &[&Server], place: f64, weight: impl Fn(&Server) -> f64) -> Option<BackendId> {
    let sum: f64 = pool.iter().map(|s| weight(s)).sum();
    let mut left = place * sum;
    let mut last = None;
    for server in pool.iter().filter(|s| weight(s) > 0.0) {
        last = Some(server.entry.id);
        left -= weight(server);
        if left < 0.0 {
            break;
        }
    }
    last
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
