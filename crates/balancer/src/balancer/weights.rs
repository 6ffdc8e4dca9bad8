//! Renewal of the weights: derives the optimal split, the tokens of backends in slow start and the
//! total concurrency limit from the estimates of each backend.

use std::collections::BTreeSet;

use crate::concurrency_limiter::{OVERLOAD_RATIO, Pressure};
use crate::endpoint_list::EndpointRecord;
use crate::estimator::service_rate;
use crate::ids::{BackendId, Nanos};
use crate::optimal_split::SplitInputs;
use crate::pooled_latency::{PoolingContext, PriorLatencies, PriorLatency, prior_latencies};
use crate::timescale::seconds;

use super::Balancer;

impl Balancer {
    /// Decays the counts of all backends and renews what is derived from them: the members of the
    /// subset, the slow-start tokens, the total limit, the split, and whether ejection fails open.
    pub(super) fn renew_weights(&mut self, now: Nanos) {
        self.estimation.subset.renew(&mut self.endpoints);
        let elapsed_seconds = self.estimation.split.seconds_since_renewal(now);
        self.decay_backends(now, elapsed_seconds);
        let priors = self.prior_latencies(now);
        self.outliers.renew(now, &self.endpoints);
        let members = self.subset_members(now);
        self.renew_slow_start(now, elapsed_seconds, &members);
        self.renew_total_limit(now);
        let inputs = SplitInputs {
            arrivals_per_slot: self.fleet_arrivals(now),
            service_rates: self.service_rates(now, &priors, &members),
            capacity_fractions: self.capacity_fractions(now),
            member_count: members.len(),
            pooled_kind_count: self
                .is_data_sparse(now)
                .then(|| self.estimation.estimator.kinds().len()),
            local_to_remote_ratio: priors.local_to_remote_ratio,
        };
        self.estimation
            .split
            .renew(now, &mut self.endpoints, &inputs);
    }

    fn decay_backends(&mut self, now: Nanos, elapsed_seconds: f64) {
        let time_constant = self
            .estimation
            .estimator
            .completion_time_constant(now, self.endpoints.len());
        let decay_factor = (-elapsed_seconds / time_constant).exp();
        for record in self.endpoints.iter_mut() {
            record.service_times.decay(decay_factor);
            record.failure_history.decay(decay_factor);
        }
    }

    fn prior_latencies(&self, now: Nanos) -> PriorLatencies {
        let context = PoolingContext {
            kinds: self.estimation.estimator.kinds(),
            zone: self.settings.zone,
            shortest_objective: self.timescale.shortest_objective,
            now_seconds: seconds(now),
        };
        prior_latencies(&self.endpoints, &context, |record| {
            self.slow_start
                .capacity_fraction(self.decayed_at, record.endpoint())
                < 1.0
        })
    }

    /// The ready backends of this proxy's subset that are not ejected.
    pub(super) fn subset_members(&self, now: Nanos) -> BTreeSet<BackendId> {
        let estimable_backends = self.estimation.estimator.estimable_backends(now);
        self.estimation
            .subset
            .members(&self.endpoints, estimable_backends, |record| {
                !self.outliers.is_ejected(now, &record.failure_history)
            })
    }

    /// Whether a backend is ready according to the endpoint list and not ejected.
    fn is_usable(&self, now: Nanos, record: &EndpointRecord) -> bool {
        record.is_ready() && !self.outliers.is_ejected(now, &record.failure_history)
    }

    fn is_data_sparse(&self, now: Nanos) -> bool {
        self.estimation
            .estimator
            .is_data_sparse(now, self.endpoints.len())
    }

    /// Arrivals per slot at all proxies together, assuming that each receives as many as this one.
    fn fleet_arrivals(&self, now: Nanos) -> f64 {
        self.estimation.estimator.arrival_rate(now) * self.proxy_count() * self.slot_seconds()
    }

    /// Service rate of each backend, in completions per slot; 0 for backends that are not part of
    /// the split.
    fn service_rates(
        &self,
        now: Nanos,
        priors: &PriorLatencies,
        members: &BTreeSet<BackendId>,
    ) -> Vec<f64> {
        let is_data_sparse = self.is_data_sparse(now);
        let rate = |(record, prior): (&EndpointRecord, &PriorLatency)| {
            let summed_wait = record.load.summed_wait_seconds(seconds(now));
            let latency = record
                .service_times
                .estimated_latency(summed_wait, prior.expected);
            let has_estimate =
                record.service_times.has_completions() || is_data_sparse && prior.expected > 0.0;
            let is_eligible_member =
                members.contains(&record.id()) && !self.is_overloaded(latency, prior);
            let is_in_split = self.is_usable(now, record) && has_estimate && is_eligible_member;
            if is_in_split {
                service_rate(latency, self.slot_seconds())
            } else {
                0.0
            }
        };
        self.endpoints
            .iter()
            .zip(&priors.by_backend)
            .map(rate)
            .collect()
    }

    /// Whether a backend is so clearly overloaded that it should receive nothing for a while, as a
    /// smaller share would not relieve it. The backend is part of the split again once its samples
    /// have decayed. As this condition also applies to slow but healthy backends, it is used only
    /// where many proxies share each backend.
    fn is_overloaded(&self, latency: f64, prior: &PriorLatency) -> bool {
        self.limiter.is_below_one() && latency > OVERLOAD_RATIO * prior.kind_latency
    }

    /// Capacity fraction of each usable backend; 0 for the others.
    fn capacity_fractions(&self, now: Nanos) -> Vec<f64> {
        let fraction = |record: &EndpointRecord| {
            if self.is_usable(now, record) {
                self.slow_start.capacity_fraction(now, record.endpoint())
            } else {
                0.0
            }
        };
        self.endpoints.iter().map(fraction).collect()
    }

    /// Updates the completion rate that slow start uses, and refills the slow-start tokens of all
    /// backends for `elapsed_seconds`.
    fn renew_slow_start(
        &mut self,
        now: Nanos,
        elapsed_seconds: f64,
        members: &BTreeSet<BackendId>,
    ) {
        let fraction_sum = members
            .iter()
            .filter_map(|id| self.endpoints.get(*id))
            .map(|record| self.slow_start.capacity_fraction(now, record.endpoint()))
            .sum();
        self.slow_start.set_completions(
            self.admission.rate.completions_per_second(now),
            fraction_sum,
        );
        for record in self.endpoints.iter_mut() {
            let fraction = self.slow_start.capacity_fraction(now, record.endpoint());
            self.slow_start
                .refill(&mut record.slow_start_tokens, fraction, elapsed_seconds);
        }
    }

    /// Sets the total concurrency limit from the summed limits of the usable backends and the
    /// pressure on them.
    fn renew_total_limit(&mut self, now: Nanos) {
        let mut summed_limits = 0.0;
        let mut pressure = Pressure::default();
        for record in self
            .endpoints
            .iter()
            .filter(|record| self.is_usable(now, record))
        {
            summed_limits += record.load.concurrency_limit();
            if record.service_times.has_completions() {
                pressure.add(&record.load, &record.service_times, now);
            }
        }
        self.limiter.set_total(summed_limits, pressure.value());
    }

    fn proxy_count(&self) -> f64 {
        f64::from(self.settings.proxy_count.max(1))
    }

    /// Length of a slot in seconds; service rates count completions per slot.
    fn slot_seconds(&self) -> f64 {
        seconds(self.settings.tick)
    }
}
