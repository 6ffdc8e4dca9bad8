//! The optimal split (9) of the paper over the backends that this node knows, renewed at a bounded
//! rate, and the weights of exploration, K ln t / t.

use super::*;

impl Balancer {
    /// Discounts what was counted of backends and renews the shares of all that are ready.
    pub(super) fn split(&mut self, now: Nanos) {
        if std::mem::take(&mut self.parts_stale) {
            self.take_part();
        }
        let step = now.saturating_sub(self.split_at) as f64 / SECOND;
        let rate = self.per_second(now, self.arrivals) / (self.servers.len().max(1) as f64);
        let memory =
            (MEMORY / rate.max(1e-9)).clamp(self.shortest_aim, MEMORY_AIMS * self.longest_aim);
        let keep = (-step / memory).exp();
        for server in self.servers.values_mut() {
            server.done *= keep;
            server.spent *= keep;
            server.failed *= keep;
        }
        let (slot, seconds) = (self.settings.tick as f64 / SECOND, now as f64 / SECOND);
        let lambda = self.per_second(now, self.arrivals) * self.proxy_count * slot;
        let (priors, against) = self.priors(seconds);
        let starved = self.starved(now);
        self.failed_open = self.fails_open(now);
        let members = self.members(now);
        let warm: f64 = members
            .iter()
            .map(|id| self.warmth(now, &self.servers[id]))
            .sum();
        self.per_backend = self.per_second(now, self.recent.count) / warm.max(1e-9);
        self.room = 0.0;
        let mut total = (0.0, 0.0, 0.0, 0.0);
        let mut rates = Vec::with_capacity(self.servers.len());
        let mut warmths = Vec::with_capacity(self.servers.len());
        let mut credits = Vec::with_capacity(self.servers.len());
        for (server, (prior, usual)) in self.servers.values().zip(&priors) {
            let usable = server.entry.state == EndpointState::Ready
                && (server.ejected_until <= now || self.failed_open);
            // Silence: what attempts out have waited joins L as a censored sample.
            let waited = server.out * seconds - server.out_sent;
            let latency = (server.spent + waited + PRIOR * prior) / (server.done + PRIOR);
            let rate = (CONCURRENCY * slot / latency.max(1e-9)).min(RATE_CAP);
            let known = server.done > 0.0 || starved && *prior > 0.0;
            // A backend that tips when crowded needs rest, which a smaller share is not; it is back
            // in the set as its samples age. Harm: slow but sound ones rest too, so only where
            // others are many nodes'.
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
                total = (
                    total.0 + server.spent,
                    total.1 + waited,
                    total.2 + ratio,
                    total.3 + server.done,
                );
            }
        }
        // What has waited shows a crowd before outcomes do. Guards against a whole fleet that tips
        // or goes silent at once; could waste capacity where latencies are long for another cause.
        let (spent, waited, ratios, count) = total;
        let strain = ratios / f64::max(count, 1e-9) * (1.0 + waited / f64::max(spent, 1e-3));
        if !self.coarse() {
            self.room /= (strain / (TOLERANCE * TOLERANCE)).max(1.0).powi(2);
        }
        // Crossing costs: away from home the shares count by how far home is from its tolerance.
        let near = |s: &Server| s.entry.zone == self.settings.zone;
        let home = self
            .servers
            .values()
            .zip(&rates)
            .filter(|(s, rate)| **rate > 0.0 && near(s));
        let (sum, count) = home.fold((0.0, 0.0), |all, (s, _)| (all.0 + s.ratio, all.1 + 1.0));
        let spill = if count == 0.0 || self.settings.cross_zone_cost <= 0.0 {
            1.0
        } else {
            ((against.min(sum / count) - 1.0) / (TOLERANCE - 1.0)).clamp(SPILL_LEAST, 1.0)
        };
        // The members meet their part of what all backends meet.
        let part = members.len() as f64 / self.ready().count().max(1) as f64;
        let shares = shares(lambda * part, &rates);
        // Where evidence is pooled, as many rates are unknown as there are kinds: that is K then.
        let unknown = if starved {
            self.kinds.len() as f64 / self.servers.len().max(1) as f64
        } else {
            1.0
        };
        for (place, server) in self.servers.values_mut().enumerate() {
            // A newcomer's clock stands until it has completed something: late in t it would get
            // scraps.
            let since = if server.done > 0.0 || starved {
                server.joined
            } else {
                now
            };
            let clock =
                now.saturating_sub(since) as f64 / self.settings.tick as f64 + std::f64::consts::E;
            server.explore = unknown * warmths[place] * clock.ln() / clock / (1.0 + server.streak);
            server.cold_credit = credits[place];
            server.rate = rates[place];
            server.share = shares[place] * if near(server) { 1.0 } else { spill };
        }
        self.candidates = Candidates::of(self.ready());
        self.split_at = now;
        self.stale = false;
    }

    /// Marks the part of its zone that this node uses first: by its number, a stretch of the
    /// backends in the order that all nodes have in common, so that parts cover the zone evenly.
    /// Guards against nodes that crowd one backend beside an idle one, as none knows what the
    /// others have out.
    fn take_part(&mut self) {
        let mut marks: BTreeMap<ZoneId, Vec<u64>> = BTreeMap::new();
        for server in self.ready() {
            marks
                .entry(server.entry.zone)
                .or_default()
                .push(server.entry.hash);
        }
        marks.values_mut().for_each(|zone| zone.sort_unstable());
        let nodes = (self.proxy_count / marks.len().max(1) as f64).max(1.0);
        // Where only some of the nodes are of this zone, multiples of the golden ratio lie evenly.
        let step = if marks.len() > 1 {
            std::f64::consts::GOLDEN_RATIO
        } else {
            1.0 / nodes
        };
        let start = f64::from(self.settings.proxy_index) * step;
        for server in self.servers.values_mut() {
            let Some(zone) = marks.get(&server.entry.zone) else {
                continue;
            };
            let rank = zone.partition_point(|mark| *mark < server.entry.hash) as f64;
            server.order = ((rank + 0.5) / zone.len() as f64 - start).rem_euclid(1.0);
            server.own = server.entry.zone == self.settings.zone && server.order < 1.0 / nodes;
        }
    }

    /// Fewer completions of a backend come in the longest memory than an estimate wants.
    fn starved(&self, now: Nanos) -> bool {
        let rate = self.per_second(now, self.arrivals) / (self.servers.len().max(1) as f64);
        rate * MEMORY_AIMS * self.longest_aim < MEMORY
    }

    /// The backends of each zone that this node can come to know: the first in its own order, as
    /// many as get the completions that an estimate wants within the longest memory. Guards against
    /// starved estimates and a handshake for every request; nodes have other orders, so together
    /// they cover the fleet. All backends where completions are plenty. Where crossing costs,
    /// little goes to other zones: together they have what home has. Harm: a node's few may be
    /// struck together, then it draws among the rest.
    pub(super) fn members(&self, now: Nanos) -> BTreeSet<BackendId> {
        let age = (now.saturating_sub(self.started) as f64 / SECOND).max(self.longest_aim);
        let count = self.sends / age * MEMORY_AIMS * self.longest_aim / MEMORY;
        let usable = |s: &&Server| s.ejected_until <= now || self.failed_open;
        let mut order: Vec<(ZoneId, f64, BackendId)> = self
            .ready()
            .filter(usable)
            .map(|s| (s.entry.zone, s.order, s.entry.id))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let zones: Vec<_> = order.chunk_by(|a, b| a.0 == b.0).collect();
        let others = if self.settings.cross_zone_cost > 0.0 {
            zones.len() as f64 - 1.0
        } else {
            1.0
        };
        let share = |zone: ZoneId| {
            if zone == self.settings.zone {
                1.0
            } else {
                others.max(1.0)
            }
        };
        let most = |zone: ZoneId| (count / share(zone)).max(OUTLIER_FAILURES).ceil() as usize;
        zones
            .iter()
            .flat_map(|zone| zone.iter().take(most(zone[0].0)))
            .map(|place| place.2)
            .collect()
    }

    /// Latency that an estimate leans to, and that of its kind, for each backend: the fleet's,
    /// times what is pooled for its kind, its cell, its zone, and for being cold. Guards against
    /// starved estimates behind many nodes, and against what strikes all of one label at once (a
    /// silent rack, a zone cut off). Harm: a sound backend among bad ones gets little.
    fn priors(&self, seconds: f64) -> (Vec<(f64, f64)>, f64) {
        let pooled = self
            .ready()
            .fold((0.0, 0.0), |sum, s| (sum.0 + s.spent, sum.1 + s.done));
        let mean = if pooled.1 > 0.0 {
            pooled.0 / pooled.1
        } else {
            0.0
        };
        let leaning = |pool: &DecayedSum| pool.prior_weighted_mean(POOL_PRIOR);
        let kind = |s: &Server| self.kinds.get(&s.entry.kind).map_or(1.0, leaning);
        let mut cells: BTreeMap<CellId, DecayedSum> = BTreeMap::new();
        let mut zones: BTreeMap<ZoneId, DecayedSum> = BTreeMap::new();
        let mut ages = [DecayedSum::default(), DecayedSum::default()];
        let cold = |s: &Server| self.warmth(self.refreshed, s) < 1.0;
        for server in self.ready() {
            let usual = (mean * kind(server)).max(1e-9);
            // Only what attempts out have waited beyond the usual speaks against them; a failure
            // costs an aim.
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
            let age = if cold(s) {
                leaning(&ages[1]) / leaning(&ages[0])
            } else {
                1.0
            };
            (
                usual * cell * age * zones.get(&s.entry.zone).map_or(1.0, leaning),
                usual,
            )
        };
        let (mut home, mut away) = (DecayedSum::default(), DecayedSum::default());
        for (zone, pool) in &zones {
            let side = if *zone == self.settings.zone {
                &mut home
            } else {
                &mut away
            };
            side.add(pool.count, pool.sum);
        }
        (
            self.servers.values().map(of).collect(),
            leaning(&home) / leaning(&away),
        )
    }
}

/// The paper's split (9): the slowest leave the support set while any share is not positive; no
/// share is under the slowest's. With lambda at or over the summed rates (9) has no answer; its
/// limit from below is proportional to the rates. A rate of 0 is outside the support set.
pub(super) fn shares(lambda: f64, rates: &[f64]) -> Vec<f64> {
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
        result[*i] = if order.len() == 1 {
            1.0
        } else {
            share(*i, sum, roots).max(0.0)
        };
    }
    result
}
