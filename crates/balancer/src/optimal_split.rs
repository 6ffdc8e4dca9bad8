//! The optimal split, formula (9) of Choudhury, Joshi, Wang and Shakkottai (2021), and the weights
//! of exploration, K ln t / t.
//!
//! Both are worked out together at a bounded rate from the estimated service rates, and kept with
//! each backend until the next renewal. It decides with what weight a backend is picked; which one
//! is picked for a request is decided by [`pick`](crate::pick).

use std::f64::consts::E;

use crate::candidates::Candidates;
use crate::concurrency_limiter::TOLERANCE;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::ids::{Nanos, ZoneId};
use crate::timescale::{SECOND, Timescale};

/// Fraction of its share that a backend of another zone keeps while the home zone keeps up: it
/// shows what is there.
const MIN_SPILLOVER: f64 = 0.05;

/// Renewals in a shortest latency objective at most: estimates move little within a small part of
/// it, and renewing costs CPU time.
const MAX_RENEWALS_PER_OBJECTIVE: f64 = 64.0;

/// Backends up to which weights are renewed at the full rate.
const MAX_BACKENDS_AT_FULL_RATE: f64 = 200.0;

/// Weights with which a backend is picked, as of the last renewal.
#[derive(Clone, Copy, Default)]
pub(crate) struct PickWeights {
    /// Its service rate by the estimate; 0 if it is outside of the set that is split among.
    service_rate: f64,
    /// Its share by formula (9).
    share: f64,
    /// Its weight in an exploration.
    exploration: f64,
    /// When its exploration clock started: t of K ln t / t counts from there.
    exploring_since: Nanos,
}

impl PickWeights {
    /// Of a backend that is listed at `now`.
    pub(crate) fn new(now: Nanos) -> PickWeights {
        PickWeights {
            exploring_since: now,
            ..PickWeights::default()
        }
    }

    /// Its service rate by the estimate, in completions a slot.
    pub(crate) fn service_rate(&self) -> f64 {
        self.service_rate
    }

    /// Its share by formula (9).
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Its weight in an exploration.
    pub(crate) fn exploration(&self) -> f64 {
        self.exploration
    }

    /// Starts its exploration clock anew.
    pub(crate) fn restart_exploration(&mut self, at: Nanos) {
        self.exploring_since = at;
    }

    /// Weights for a test.
    #[cfg(test)]
    pub(crate) fn for_test(share: f64, exploration: f64) -> PickWeights {
        PickWeights {
            share,
            exploration,
            ..PickWeights::default()
        }
    }
}

/// What a renewal works from.
pub(crate) struct SplitInputs {
    /// Arrivals in a slot, of all proxies together.
    pub(crate) arrivals_per_slot: f64,
    /// Service rate of each backend, in the order of the endpoint list; 0: outside of the set.
    pub(crate) service_rates: Vec<f64>,
    /// Capacity fraction of each usable backend, in the same order; 0 for the others.
    pub(crate) capacity_fractions: Vec<f64>,
    /// Backends in the subset.
    pub(crate) member_count: usize,
    /// Kinds of machines, if evidence is pooled over them because each backend has too little.
    pub(crate) pooled_kind_count: Option<usize>,
    /// Latencies at home as a multiple of those in other zones.
    pub(crate) local_to_remote_ratio: f64,
}

/// The split of one proxy.
pub(crate) struct OptimalSplit {
    zone: ZoneId,
    has_cross_zone_cost: bool,
    tick: Nanos,
    shortest_objective: f64,
    renewed_at: Nanos,
    /// Whether the endpoint list or an ejection has changed what there is to pick.
    is_stale: bool,
    candidates: Candidates,
    /// Picks that had to look at the whole list.
    full_scans: u64,
}

impl OptimalSplit {
    /// Without weights until the first renewal. `cross_zone_costs`: attempts to other zones cost.
    pub(crate) fn new(
        zone: ZoneId,
        has_cross_zone_cost: bool,
        tick: Nanos,
        timescale: &Timescale,
    ) -> OptimalSplit {
        OptimalSplit {
            zone,
            has_cross_zone_cost,
            tick,
            shortest_objective: timescale.shortest_objective,
            renewed_at: timescale.started_at,
            is_stale: true,
            candidates: Candidates::default(),
            full_scans: 0,
        }
    }

    /// What there is to pick has changed.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// The backends that have weight.
    pub(crate) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// Seconds since the last renewal.
    pub(crate) fn seconds_since_renewal(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.renewed_at) as f64 / SECOND
    }

    /// Whether weights are to be renewed now. A renewal walks the whole list: with long lists it
    /// comes more seldom and costs the same over time.
    pub(crate) fn is_due(&self, now: Nanos, backends: usize) -> bool {
        let base_interval = self.shortest_objective * SECOND / MAX_RENEWALS_PER_OBJECTIVE;
        let interval_factor = (backends as f64 / MAX_BACKENDS_AT_FULL_RATE).max(1.0);
        let interval = base_interval
            * if self.is_stale {
                interval_factor - 1.0
            } else {
                interval_factor
            };
        self.is_stale && self.candidates.is_empty()
            || now >= self.renewed_at.saturating_add(interval as Nanos)
    }

    /// A pick had to look at the whole list.
    pub(crate) fn count_full_scan(&mut self) {
        self.full_scans += 1;
    }

    /// Picks that had to look at the whole list so far.
    pub(crate) fn full_scans(&self) -> u64 {
        self.full_scans
    }

    /// Renews the weights of all backends.
    pub(crate) fn renew(&mut self, now: Nanos, endpoints: &mut EndpointList, inputs: &SplitInputs) {
        let spillover = self.spillover(endpoints, inputs);
        // The members of the subset meet their part of what all backends meet.
        let member_fraction = inputs.member_count as f64 / endpoints.ready().count().max(1) as f64;
        let shares = optimal_split(
            inputs.arrivals_per_slot * member_fraction,
            &inputs.service_rates,
        );
        let exploration_constant = exploration_constant(endpoints.len(), inputs);
        for (index, record) in endpoints.iter_mut().enumerate() {
            let age = self.exploration_age(now, record, inputs);
            let scaled_constant = exploration_constant * inputs.capacity_fractions[index];
            let is_local = record.endpoint().zone == self.zone;
            record.weights = PickWeights {
                service_rate: inputs.service_rates[index],
                share: shares[index] * if is_local { 1.0 } else { spillover },
                exploration: scaled_constant * age.ln()
                    / age
                    / (1.0 + record.failure_history.consecutive_failures()),
                exploring_since: record.weights.exploring_since,
            };
        }
        self.candidates = Candidates::from_records(endpoints.ready());
        self.renewed_at = now;
        self.is_stale = false;
    }

    /// t of K ln t / t, in slots. The clock of a newcomer stands until it has completed something:
    /// late in t it would get next to nothing.
    fn exploration_age(&self, now: Nanos, record: &EndpointRecord, inputs: &SplitInputs) -> f64 {
        let has_started =
            record.service_times.has_completions() || inputs.pooled_kind_count.is_some();
        let since = if has_started {
            record.weights.exploring_since
        } else {
            now
        };
        now.saturating_sub(since) as f64 / self.tick as f64 + E
    }

    /// Fraction of their shares that backends of other zones get: where attempts to them cost, by
    /// how far the home zone is from its tolerance.
    fn spillover(&self, endpoints: &EndpointList, inputs: &SplitInputs) -> f64 {
        let (mut ratio_sum, mut count) = (0.0, 0.0);
        for (record, rate) in endpoints.iter().zip(&inputs.service_rates) {
            if *rate > 0.0 && record.endpoint().zone == self.zone {
                ratio_sum += record.load.latency_ratio();
                count += 1.0;
            }
        }
        if count == 0.0 || !self.has_cross_zone_cost {
            return 1.0;
        }
        let ratio = inputs.local_to_remote_ratio.min(ratio_sum / count);
        ((ratio - 1.0) / (TOLERANCE - 1.0)).clamp(MIN_SPILLOVER, 1.0)
    }
}

/// K of K ln t / t, for each backend: 1 where each rate is unknown by itself. Where evidence is
/// pooled, as many rates are unknown as there are kinds of machines.
fn exploration_constant(backends: usize, inputs: &SplitInputs) -> f64 {
    match inputs.pooled_kind_count {
        Some(kinds) => kinds as f64 / backends.max(1) as f64,
        None => 1.0,
    }
}

/// Formula (9): the shares that minimise the mean latency for `arrivals` in a slot, given the
/// service rates in a slot, from 0 to 1 each.
///
/// The slowest backends leave the support set while any share is not positive. Where the arrivals
/// reach the summed rates (9) has no answer; its limit from below is proportional to the rates. A
/// rate of 0 is outside of the support set.
pub(crate) fn optimal_split(arrivals: f64, rates: &[f64]) -> Vec<f64> {
    let mut rate_sum: f64 = rates.iter().sum();
    let mut shares = vec![0.0; rates.len()];
    if rate_sum <= 0.0 {
        return shares;
    }
    if arrivals >= rate_sum || arrivals <= 0.0 {
        return rates.iter().map(|rate| rate / rate_sum).collect();
    }
    let mut support: Vec<usize> = (0..rates.len()).filter(|i| rates[*i] > 0.0).collect();
    support.sort_by(|a, b| rates[*b].total_cmp(&rates[*a]).then(a.cmp(b)));
    let mut deviation_sum: f64 = support.iter().map(|i| deviation(rates[*i])).sum();
    let share = |rate: f64, rate_sum: f64, deviation_sum: f64| {
        let excess = rate_sum / arrivals - 1.0;
        rate / arrivals - deviation(rate) / deviation_sum.max(f64::MIN_POSITIVE) * excess
    };
    while let [.., slowest] = support[..]
        && support.len() > 1
        && share(rates[slowest], rate_sum, deviation_sum) <= 0.0
    {
        rate_sum -= rates[slowest];
        deviation_sum -= deviation(rates[slowest]);
        support.pop();
    }
    for i in &support {
        let is_only = support.len() == 1;
        shares[*i] = if is_only {
            1.0
        } else {
            share(rates[*i], rate_sum, deviation_sum).max(0.0)
        };
    }
    shares
}

/// sqrt(mu (1 - mu)), the standard deviation of completions in a slot.
fn deviation(rate: f64) -> f64 {
    (rate * (1.0 - rate)).max(0.0).sqrt()
}

#[cfg(test)]
#[path = "optimal_split_tests.rs"]
mod tests;
