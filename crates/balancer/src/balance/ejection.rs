//! Outlier ejection: backends that fail far more often than the rest get nothing for a while, with
//! a backoff and a floor on how many.

use super::*;

impl Balancer {
    /// So many look bad that it can't be them alone.
    pub(super) fn fails_open(&self, now: Nanos) -> bool {
        let ejected = self.ready().filter(|s| s.ejected_until > now).count() as f64;
        ejected > MAX_EJECTED * self.ready().count() as f64
    }

    /// Counts a failure and ejects an outlier. Guards against fast errors, dead and unreachable
    /// backends, which answer too quickly for their latency to show. Harm: a fault of one class of
    /// requests only.
    pub(super) fn on_failure(&mut self, now: Nanos, id: BackendId, actions: &mut Vec<Action>) {
        let all = self
            .ready()
            .fold((0.0, 0.0), |sum, s| (sum.0 + s.failed, sum.1 + s.done));
        let full = self.ready().filter(|s| s.ejected_until > now).count() as f64 + 1.0
            > MAX_EJECTED * self.ready().count() as f64;
        let first_room = self.first_room();
        let base = 2.0 * self.longest_aim;
        let jitter = 0.75 + 0.5 * unit(&mut self.rng);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
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
            actions.push(Action::Log(LogEvent::BackendEjected {
                backend: id,
                seconds: span,
            }));
            self.stale = true;
        }
    }
}
