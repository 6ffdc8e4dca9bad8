//! Draws: an independent choice of a backend for each attempt, by the shares of the split and the
//! weights of exploration.

use super::*;

impl Balancer {
    /// Draws a backend for a request among those that are legal, backends not yet tried first.
    pub(super) fn draw(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        if self.full(self.open[&id].needs) {
            return None;
        }
        if let Some(backend) = self.draw_candidate(now, id) {
            return Some(backend);
        }
        self.full_walks += 1;
        self.draw_from_all(now, id)
    }

    /// An attempt of `open` may go to this backend now, which has room and is not ejected. Ejected
    /// backends have no share, so they would get all that finds no room elsewhere.
    fn is_usable(&self, now: Nanos, open: &Open, server: &Server) -> bool {
        let sound = server.ejected_until <= now || self.failed_open;
        sound && Self::has_room(server) && self.may_send(now, open, server)
    }

    /// What must not run twice is not what finds out whether one that failed is sound; where many
    /// nodes share a backend, a time-out there tells of a crowd.
    fn wants_proven(&self, open: &Open) -> bool {
        let once = |class: &Class| class.idempotency == Idempotency::NotIdempotent;
        let classes = &self.settings.classes;
        let of_open = &classes[usize::from(open.request.class.0)];
        once(of_open) && !classes.iter().all(once) && !self.coarse()
    }

    /// Draws among the support set, or an exploration by its weight. `None` where neither finds a
    /// backend that is legal now and was not tried.
    fn draw_candidate(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        let (dice, place) = (unit(&mut self.rng), unit(&mut self.rng));
        let again = unit(&mut self.rng);
        let open = &self.open[&id];
        let untried = |s: &Server| open.attempts.iter().all(|a| a.backend != s.entry.id);
        let wanted = |s: &&Server| untried(s) && self.is_usable(now, open, s);
        let total = self.candidates.explore_total();
        if dice < total {
            let drawn = self
                .candidates
                .explorer(place)
                .and_then(|id| self.servers.get(&id))
                .filter(wanted);
            let proven = |s: &&Server| s.streak == 0.0 || !self.wants_proven(open);
            if let Some(server) = drawn.filter(proven) {
                return Some(server.entry.id);
            }
            if total >= 1.0 {
                return None;
            }
        }
        let support = self
            .candidates
            .support()
            .iter()
            .filter_map(|id| self.servers.get(id));
        let mut pool: Vec<&Server> = support.filter(wanted).collect();
        self.prefer_proven(open, &mut pool);
        self.pick_shared(now, open, &pool, again)
    }

    /// Draws among the whole list.
    fn draw_from_all(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        let (dice, place) = (unit(&mut self.rng), unit(&mut self.rng));
        let open = &self.open[&id];
        let mut pool: Vec<&Server> = self
            .servers
            .values()
            .filter(|s| self.is_usable(now, open, s))
            .collect();
        let tried = |s: &&Server| open.attempts.iter().any(|a| a.backend == s.entry.id);
        if !open.attempts.is_empty() && !pool.iter().all(tried) {
            pool.retain(|s| !tried(s));
        }
        self.prefer_proven(open, &mut pool);
        let explore: f64 = pool.iter().map(|s| s.explore).sum();
        let drawn = if dice >= explore.min(1.0) {
            self.pick_shared(now, open, &pool, place)
        } else {
            None
        };
        drawn
            .or_else(|| pick(&pool, place, |s| s.explore))
            .or_else(|| pick(&pool, place, |_| 1.0))
    }

    fn prefer_proven(&self, open: &Open, pool: &mut Vec<&Server>) {
        let proven = |s: &&Server| s.streak == 0.0;
        if self.wants_proven(open) && pool.iter().any(proven) {
            pool.retain(proven);
        }
    }

    /// The backend at `place` of the shares, idle ones first.
    fn pick_shared(
        &self,
        now: Nanos,
        open: &Open,
        pool: &[&Server],
        place: f64,
    ) -> Option<BackendId> {
        let part = |whether: bool, weight: f64| if whether { weight } else { 0.0 };
        let lately = now.saturating_sub((self.longest_aim * SECOND) as Nanos);
        let quick = |s: &Server| s.out == 0.0 && s.last < 1.0 && s.heard >= lately;
        let first = self.coarse() && open.needs <= 1.0;
        // Idle for all this node knows, and just now quicker than usual: likely idle still.
        pick(pool, place, |s| part(first && quick(s), s.rate))
            // What this node knows to be idle goes first: there is no wait at it.
            .or_else(|| pick(pool, place, |s| part(s.own && s.out == 0.0, s.share)))
            // One that (9) leaves out is slow, but there at once; not where it is a crowd of
            // others'.
            .or_else(|| {
                let keeps_up = |s: &Server| s.ratio < TOLERANCE * TOLERANCE;
                pick(pool, place, |s| {
                    part(s.own && s.out == 0.0 && keeps_up(s), s.rate)
                })
            })
            .or_else(|| pick(pool, place, |s| s.share))
    }

    /// Draws that had to walk the whole list so far.
    pub fn full_walks(&self) -> u64 {
        self.full_walks
    }
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
