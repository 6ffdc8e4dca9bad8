//! Legality: whether a send or a refusal keeps the four rules. Every send passes
//! [`Balancer::may_send`].
//!
//! Also the fourth rule's budget: what this node may send a backend in slow start, saved up as
//! whole sends.

use super::*;

impl Balancer {
    /// Whether an attempt of `open` may go to `server` now. Every send passes here.
    pub(super) fn may_send(&self, now: Nanos, open: &Open, server: &Server) -> bool {
        let (limits, entry) = (&self.settings.limits, &server.entry);
        let lasting = !open.finished && !open.streaming && now < open.deadline;
        let counted = open.attempts.len() < limits.max_attempts as usize && open.out() == 0;
        let once = match self.settings.classes[usize::from(open.request.class.0)].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => open.may_have_run().next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => open.may_have_run().all(|a| {
                now <= a.sent.saturating_add(window)
                    && match scope {
                        DeduplicationScope::Global => true,
                        DeduplicationScope::Zone => a.zone == entry.zone,
                        DeduplicationScope::Cell => a.cell == entry.cell,
                    }
            }),
        };
        lasting
            && counted
            && once
            && entry.state == EndpointState::Ready
            && self.cold_room(now, server)
    }

    /// Whether `open` may be refused, which tells the client that trying again is harmless.
    pub(super) fn may_refuse(&self, open: &Open) -> bool {
        match self.settings.classes[usize::from(open.request.class.0)].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::Global,
                ..
            } => true,
            Idempotency::NotIdempotent | Idempotency::IdempotencyKey { .. } => {
                open.may_have_run().next().is_none()
            }
        }
    }

    /// Rule 4: this node's share of what a cold backend can take, in whole sends that are saved up
    /// for.
    fn cold_room(&self, now: Nanos, server: &Server) -> bool {
        self.warmth(now, server) >= 1.0 || server.cold_credit >= 1.0
    }

    /// Saves up sends to a cold backend over `step` seconds. What a warm one is seen to bear is a
    /// lower bound of capacity, and linear warming from the stated start one of warmth. The credit
    /// starts at a random part of a send: many nodes, each with less than a send for a window, then
    /// keep the budget by chance. Two are saved at least: a node that draws the backend seldom
    /// would else lose a part at most draws.
    pub(super) fn save_up(&self, server: &Server, warmth: f64, step: f64) -> f64 {
        let rules = &self.settings.rules;
        // A fleet that is cold as a whole gets something to be judged by.
        let least = 1.0 / (self.proxy_count * self.shortest_aim);
        let rate = COLD_MARGIN * rules.overload_multiple * warmth * self.per_backend.max(least);
        let most = (rate * rules.overload_duration as f64 / SECOND).max(2.0);
        (server.cold_credit + rate * step).min(most)
    }

    /// Part of its capacity that a backend surely has: 1 when warm.
    pub(super) fn warmth(&self, now: Nanos, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let age = server
            .entry
            .started_at
            .map_or(rules.slow_start_duration, |at| now.saturating_sub(at));
        if age >= rules.slow_start_duration {
            return 1.0;
        }
        rules.slow_start_initial_capacity
            + (1.0 - rules.slow_start_initial_capacity) * age as f64
                / rules.slow_start_duration as f64
    }
}
