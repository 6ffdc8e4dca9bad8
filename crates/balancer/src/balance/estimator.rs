//! Estimator: completions N, summed latencies L and arrivals lambda, each with its discount.

use super::*;

impl Balancer {
    /// Seconds over which arrivals are counted.
    pub(super) fn lambda_window(&self) -> f64 {
        2.0 * self.longest_aim
    }

    /// A count that is discounted over the window of lambda, by the second; that of arrivals is
    /// lambda.
    pub(super) fn per_second(&self, now: Nanos, count: f64) -> f64 {
        let window = self.lambda_window();
        let age = now.saturating_sub(self.started) as f64 / SECOND;
        count / (window * (1.0 - (-age / window).exp())).max(self.shortest_aim)
    }

    pub(super) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(|s| s.entry.state == EndpointState::Ready)
    }

    /// Once for each time: discounts what was counted.
    pub(super) fn refresh(&mut self, now: Nanos) {
        let step = now.saturating_sub(self.refreshed) as f64 / SECOND;
        if step <= 0.0 {
            return;
        }
        let keep = (-step / self.lambda_window()).exp();
        (self.arrivals, self.asked) = (self.arrivals * keep, self.asked * keep);
        self.recent.decay(keep);
        let pace = self.pace(now);
        self.saved = (self.saved + pace * step).min((pace * self.shortest_aim).max(2.0 + RESERVE));
        for (tokens, tenant) in self.quota.iter_mut().zip(&self.settings.tenants) {
            let rate = tenant.quota_per_second / self.proxy_count;
            *tokens = (*tokens + rate * step).min(rate.max(1.0));
        }
        for class in &mut self.classes {
            // The best of times is forgotten slowly, should the work itself grow.
            for kept in class.zones.values_mut().chain([&mut class.all]) {
                kept.raise_lowest(step / (100.0 * self.longest_aim));
            }
        }
        self.refreshed = now;
    }
}
