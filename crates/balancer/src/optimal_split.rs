//! The optimal split, formula (9) of Choudhury, Joshi, Wang and Shakkottai (2021), and the
//! exploration weights, K ln t / t.
//!
//! The split is calculated from the estimated service rates, the exploration weights from the time
//! for which each backend has been explored. Both are renewed together, at a limited frequency, and
//! stored with each backend until the next renewal. This module decides the weight with which a
//! backend is picked; [`pick`](crate::pick) decides which backend a request gets.

use std::f64::consts::E;

use crate::candidates::Candidates;
use crate::concurrency_limiter::TOLERANCE;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::ids::{Nanos, ZoneId};
use crate::timescale::{SECOND, Timescale};

/// Minimum fraction of its share that a backend of another zone keeps while the local zone is not
/// overloaded, so that its latency stays known.
const MIN_SPILLOVER: f64 = 0.05;

/// Maximum number of renewals within the shortest latency objective. Estimates change little
/// between two renewals at this rate, and a renewal costs CPU time.
const MAX_RENEWALS_PER_OBJECTIVE: f64 = 64.0;

/// Number of backends up to which weights are renewed at the full rate.
const MAX_BACKENDS_AT_FULL_RATE: f64 = 200.0;

/// Weights with which one backend is picked, as of the last renewal.
#[derive(Clone, Copy, Default)]
pub(crate) struct PickWeights {
    /// Estimated service rate, in completions per slot; 0 if the backend is not part of the split.
    service_rate: f64,
    /// Share by formula (9), from 0 to 1; for a backend outside the local zone, multiplied by the
    /// spillover fraction.
    share: f64,
    /// Exploration weight K ln t / t, multiplied by the capacity fraction and divided by 1 plus the
    /// number of consecutive failures.
    exploration: f64,
    /// The time from which t of K ln t / t is counted.
    exploring_since: Nanos,
}

impl PickWeights {
    /// Weights of a backend that was added to the list at `now`: 0 until the next renewal.
    pub(crate) fn new(now: Nanos) -> PickWeights {
        PickWeights {
            exploring_since: now,
            ..PickWeights::default()
        }
    }

    /// Estimated service rate, in completions per slot; 0 if the backend is not part of the split.
    pub(crate) fn service_rate(&self) -> f64 {
        self.service_rate
    }

    /// Share by formula (9), from 0 to 1; for a backend outside the local zone, multiplied by the
    /// spillover fraction.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Exploration weight K ln t / t, multiplied by the capacity fraction and divided by 1 plus the
    /// number of consecutive failures.
    pub(crate) fn exploration(&self) -> f64 {
        self.exploration
    }

    /// Counts t of K ln t / t from `at` on; the exploration weight changes at the next renewal.
    pub(crate) fn restart_exploration(&mut self, at: Nanos) {
        self.exploring_since = at;
    }

    /// Weights with a service rate of 0, for tests.
    #[cfg(test)]
    pub(crate) fn for_test(share: f64, exploration: f64) -> PickWeights {
        PickWeights {
            share,
            exploration,
            ..PickWeights::default()
        }
    }
}

/// Estimates from which a renewal calculates the weights.
pub(crate) struct SplitInputs {
    /// Arrivals per slot at all proxies together.
    pub(crate) arrivals_per_slot: f64,
    /// Service rate of each backend, in completions per slot and in the order of the endpoint list;
    /// 0 for backends that are not part of the split.
    pub(crate) service_rates: Vec<f64>,
    /// Capacity fraction of each usable backend, in the order of the endpoint list; 0 for the
    /// others.
    pub(crate) capacity_fractions: Vec<f64>,
    /// Number of backends in the subset.
    pub(crate) member_count: usize,
    /// Number of kinds of machines if completions are pooled by kind, because each backend has too
    /// few of its own; `None` if they are not pooled.
    pub(crate) pooled_kind_count: Option<usize>,
    /// Latencies in the local zone as a multiple of those in other zones.
    pub(crate) local_to_remote_ratio: f64,
}

/// The split of one proxy's attempts among the backends.
pub(crate) struct OptimalSplit {
    /// Zone of this proxy.
    zone: ZoneId,
    has_cross_zone_cost: bool,
    tick: Nanos,
    /// Shortest latency objective of a class, in seconds.
    shortest_objective: f64,
    renewed_at: Nanos,
    /// Whether the endpoint list has changed, or a backend was ejected, since the last renewal.
    is_stale: bool,
    candidates: Candidates,
    /// Number of picks that scanned the whole endpoint list.
    full_scans: u64,
}

impl OptimalSplit {
    /// A split without weights until the first renewal. `has_cross_zone_cost` tells whether
    /// attempts to other zones have a cost.
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

    /// Marks the weights as outdated: the backends that can be picked have changed.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// The backends that had a weight at the last renewal.
    pub(crate) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// Seconds since the last renewal.
    pub(crate) fn seconds_since_renewal(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.renewed_at) as f64 / SECOND
    }

    /// Whether the weights are to be renewed now. A renewal iterates over the whole list, so with
    /// long lists renewals are less frequent and cost the same over time. A stale split is renewed
    /// earlier, and at once if no backend has a weight.
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

    /// Counts a pick that scanned the whole endpoint list.
    pub(crate) fn count_full_scan(&mut self) {
        self.full_scans += 1;
    }

    /// Number of picks so far that scanned the whole endpoint list.
    pub(crate) fn full_scans(&self) -> u64 {
        self.full_scans
    }

    /// Recalculates the weights of all backends, and the candidates of later picks.
    pub(crate) fn renew(&mut self, now: Nanos, endpoints: &mut EndpointList, inputs: &SplitInputs) {
        let spillover = self.spillover(endpoints, inputs);
        // The subset receives its proportion of the arrivals at all ready backends.
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

    /// t of K ln t / t, in slots; at least e. If each backend is estimated by itself, t stays at e
    /// until the backend has a completion: the exploration weight would otherwise fall to nearly 0
    /// before that completion.
    fn exploration_age(&self, now: Nanos, record: &EndpointRecord, inputs: &SplitInputs) -> f64 {
        let t_advances =
            record.service_times.has_completions() || inputs.pooled_kind_count.is_some();
        let since = if t_advances {
            record.weights.exploring_since
        } else {
            now
        };
        now.saturating_sub(since) as f64 / self.tick as f64 + E
    }

    /// Fraction of their shares that backends of other zones get. 1 if attempts to other zones have
    /// no cost or no backend of the local zone is part of the split. Otherwise the fraction rises
    /// from [`MIN_SPILLOVER`] to 1 while the latencies in the local zone rise to [`TOLERANCE`]
    /// times both the unloaded latency and the latencies in other zones.
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

/// K of K ln t / t for each backend: 1 if the rate of each backend is estimated by itself. If
/// completions are pooled, only as many rates are unknown as there are kinds of machines, and the
/// backends share that number equally.
fn exploration_constant(backends: usize, inputs: &SplitInputs) -> f64 {
    match inputs.pooled_kind_count {
        Some(kinds) => kinds as f64 / backends.max(1) as f64,
        None => 1.0,
    }
}

/// Formula (9): the shares that minimise the mean latency for `arrivals` per slot, given the
/// service rates in completions per slot, from 0 to 1 each. The shares sum to 1, or are all 0 if no
/// rate is positive.
///
/// The slowest backends are left out until the shares of the remaining ones are positive. If the
/// arrivals reach the summed rates, formula (9) has no solution. The shares are then proportional
/// to the rates; formula (9) approaches these shares as the arrivals rise to the summed rates. A
/// backend with a rate of 0 gets no share.
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

/// Standard deviation of the completions in a slot, sqrt(mu (1 - mu)).
fn deviation(rate: f64) -> f64 {
    (rate * (1.0 - rate)).max(0.0).sqrt()
}

#[cfg(test)]
#[path = "optimal_split_tests.rs"]
mod tests;
