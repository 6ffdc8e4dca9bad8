//! Admission: concurrency limits of backends, the pace of attempts where a limit is too coarse, and
//! the order of requests that wait.

use super::*;

impl Balancer {
    /// Room of a backend of which nothing is known: one attempt, or this node's share of c if that
    /// is less.
    pub(super) fn first_room(&self) -> f64 {
        (HELD / self.proxy_count).min(1.0)
    }

    /// This node's share of a backend's c, proxy_count' swings included, is less than one attempt.
    pub(super) fn coarse(&self) -> bool {
        let share = HELD / self.proxy_count;
        share + share.sqrt() < 1.0
    }

    /// No further attempt may be out. Where this node's share of a backend's c is under one
    /// attempt, whole attempts are too coarse a measure: they are paced by what is completed, and
    /// need so much saved up.
    pub(super) fn full(&self, needs: f64) -> bool {
        if self.coarse() {
            self.saved < needs
        } else {
            self.out >= self.room.max(1.0) && self.out > 0.0
        }
    }

    /// Attempts a second that this node may start where room is too coarse: as many as are
    /// completed, times how far they are under the part of their aims that is meant. Guards against
    /// a fleet that many nodes push over together, where all is late. So much of what comes starts
    /// in any case that, once answers are fast, a window brings back the whole: with a few of them,
    /// chance would keep a node down.
    pub(super) fn pace(&self, now: Nanos) -> f64 {
        let window = self.lambda_window();
        let age = now.saturating_sub(self.started) as f64 / SECOND;
        if age < window {
            return SECOND / self.settings.tick as f64;
        }
        let latency = self.recent.sum / self.recent.count.max(1e-9);
        let slack = PACE_AIM * self.shortest_aim / latency.max(1e-9);
        let least = (self.asked / PACE_MOST).max(1.0);
        (self.recent.count * slack.min(PACE_MOST)).max(least) / window
    }

    /// Whether a backend holds less from this node than it is seen to keep up with. Guards against
    /// crowding, silence and a choking fleet. Harm: too small a limit wastes capacity, so it grows
    /// with each success.
    pub(super) fn has_room(server: &Server) -> bool {
        server.out == 0.0 || server.out + 1.0 <= server.room
    }

    /// Moves a backend's room so that its mean latency, over that of the best of times, nears
    /// TOLERANCE.
    pub(super) fn adjust_room(
        &mut self,
        id: BackendId,
        class: usize,
        spent: f64,
        outcome: Outcome,
    ) {
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        // The way to a zone is no crowd there: it counts among what is usual.
        let zone = self.classes[class]
            .zones
            .entry(server.entry.zone)
            .or_default();
        if outcome == Outcome::Success {
            zone.add(spent, SAMPLES);
        }
        let scale =
            self.shortest_aim * SECOND / self.settings.classes[class].latency_objective as f64;
        let base = if zone.count < SAMPLES {
            self.classes[class].all.lowest
        } else {
            zone.lowest
        };
        let ratio = spent / base.max(1e-9);
        match outcome {
            Outcome::Success => self.recent.add(1.0, spent * scale),
            Outcome::Overloaded | Outcome::Timeout => self.recent.sum += self.shortest_aim,
            // It has used no capacity: another may go out for it.
            _ => self.saved += 1.0,
        }
        let ratio = match outcome {
            Outcome::Success => ratio,
            Outcome::Timeout | Outcome::Overloaded => ratio.max(2.0 * TOLERANCE),
            _ => return,
        };
        // This node's share of c, and the root of it, as proxy_count are not all at their shares at a
        // time.
        let share = HELD / self.proxy_count;
        // Behind as many of the longest work as it lets a backend hold, the tightest class is still
        // in time.
        let longest = self
            .classes
            .iter()
            .map(|c| c.all.lowest)
            .fold(1e-9, f64::max);
        let fits = HELD.min(self.shortest_aim / longest - 1.0).max(1.0) / self.proxy_count;
        let most = (fits + fits.sqrt()).round();
        let mean = self.classes[class].all.mean;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.last = if outcome == Outcome::Success {
            spent / mean.max(1e-9)
        } else {
            f64::INFINITY
        };
        server.heard = self.refreshed;
        server.ratio += (ratio.min(10.0) - server.ratio) / MEMORY;
        let growth = ROOM_GAIN * (TOLERANCE / server.ratio - 1.0);
        if growth < 0.0 || server.out + 1.0 >= server.room.floor() {
            server.room = (server.room * (1.0 + growth)).clamp(0.25 * share, most.max(1.0));
        }
    }

    /// Place in the order of waiting: most worth per work first, tenants over their quota behind,
    /// the newest of equals first, by a count, as ids tell no order. Guards against a crowd that is
    /// served first come, first served: each gets its turn just too late. Harm: in a crowd the
    /// oldest are given up. With it goes what must be saved up before a start: what can wait would
    /// else use up what others need at once.
    pub(super) fn rank(&mut self, request: &Request, late: bool) -> ((u64, u64), f64) {
        let class = usize::from(request.class.0);
        let settings = &self.settings.classes[class];
        let mut value = self.value(class);
        let seen = |c: &usize| self.classes[*c].all.count > 0.0;
        let most = (0..self.classes.len())
            .filter(seen)
            .map(|c| self.value(c))
            .fold(0.0, f64::max);
        if let Some(tokens) = self.quota.get_mut(usize::from(request.tenant.0)) {
            if *tokens >= 1.0 {
                *tokens -= 1.0;
            } else {
                value *= self.settings.over_quota_weight;
            }
        }
        // A marked repeat comes when its first try has used up the aim or nearly so. Guards against
        // room spent on answers that count no more; could harm repeats after a fast failure, in a
        // crowd only.
        if request.client_retry || late {
            value *= settings.late_priority_weight.clamp(0.0, 1.0);
        }
        self.turns += 1;
        let needs = if value < WORTHY * most {
            1.0 + RESERVE
        } else {
            1.0
        };
        (
            (
                u64::MAX - (value.max(0.0).to_bits() >> EQUALS),
                u64::MAX - self.turns,
            ),
            needs,
        )
    }

    /// Worth of a class for its usual work.
    fn value(&self, class: usize) -> f64 {
        let work = if self.settings.weight_per_unit_of_work {
            1.0
        } else {
            self.classes[class].all.lowest.max(1e-3)
        };
        self.settings.classes[class].priority_weight / work
    }

    /// How long ago a request's first try was, as its patience tells: first tries come with one
    /// patience and are the most; what a repeat has left tells what is gone. Guards against room
    /// spent on answers that count no more. Harm: a client that is impatient from the start waits
    /// behind others in a crowd.
    pub(super) fn elapsed(&mut self, request: &Request) -> Nanos {
        let class = usize::from(request.class.0);
        let deadline = self.settings.classes[class].client_timeout;
        let usual = self.classes[class]
            .patience
            .add(request.client_timeout as f64 / deadline as f64);
        if usual {
            0
        } else {
            deadline.saturating_sub(request.client_timeout)
        }
    }

    /// Multiple of the usual pause between renewals of the shares: a renewal walks the whole list,
    /// so with long lists it comes more seldom and costs the same over time.
    fn renewal_stretch(&self) -> f64 {
        (self.servers.len() as f64 / USUAL_LIST).max(1.0)
    }

    /// Gives room to those that wait, until none is left.
    pub(super) fn serve_waiting(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        // Estimates move little within a small part of an aim; renewing shares costs CPU.
        let usual = self.shortest_aim * SECOND / 64.0;
        let pause = usual
            * if self.stale {
                self.renewal_stretch() - 1.0
            } else {
                self.renewal_stretch()
            };
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
            self.agenda.schedule(self.wake, Task::Wake);
        }
    }
}
