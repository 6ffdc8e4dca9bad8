//! Prior latencies: the expected latency of a backend with few completions, pooled over the
//! backends that share a label with it.
//!
//! The prior is the mean latency of the fleet, multiplied by factors that are pooled for the
//! backend's kind of machine, its cell, its zone, and slow start. It helps proxies that send few
//! attempts to each backend, and it detects a fault that affects all backends with one label, such
//! as a cell that stops answering or a zone that is cut off. As a drawback, a healthy backend among
//! faulty ones gets a small share.

use std::collections::BTreeMap;

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::ids::{CellId, KindId, ZoneId};
use crate::statistics::DecayedSum;

/// Weight, in completions, of the value 1 towards which the factor of each pool is drawn.
const POOL_PRIOR_WEIGHT: f64 = 2.0;

/// Prior latencies of one backend, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PriorLatency {
    /// Expected latency by all labels of the backend.
    pub(crate) expected: f64,
    /// Expected latency by the kind of machine alone: the latency without a fault.
    pub(crate) kind_latency: f64,
}

/// Prior latencies of all backends.
pub(crate) struct PriorLatencies {
    /// One entry per backend, in the order of the endpoint list.
    pub(crate) by_backend: Vec<PriorLatency>,
    /// Latencies in this proxy's zone as a multiple of those in other zones.
    pub(crate) local_to_remote_ratio: f64,
}

/// Inputs of the pooling besides the endpoint list.
pub(crate) struct PoolingContext<'a> {
    /// Latencies of each kind of machine, as multiples of the mean latency of their class.
    pub(crate) kinds: &'a BTreeMap<KindId, DecayedSum>,
    /// Zone of this proxy.
    pub(crate) zone: ZoneId,
    /// Shortest latency objective, in seconds: the latency that a failure counts as.
    pub(crate) shortest_objective: f64,
    /// Current time, in seconds.
    pub(crate) now_seconds: f64,
}

/// Latencies as multiples of the usual latency of the kind of machine, pooled by label.
#[derive(Default)]
struct Pools {
    cells: BTreeMap<CellId, DecayedSum>,
    zones: BTreeMap<ZoneId, DecayedSum>,
    past_slow_start: DecayedSum,
    slow_start: DecayedSum,
}

/// Calculates the prior latencies of all backends. `in_slow_start` tells whether a backend is in
/// slow start.
pub(crate) fn prior_latencies(
    endpoints: &EndpointList,
    context: &PoolingContext,
    in_slow_start: impl Fn(&EndpointRecord) -> bool,
) -> PriorLatencies {
    let mean_latency = fleet_mean_latency(endpoints);
    let kind_latency_of = |record: &EndpointRecord| mean_latency * kind_factor(record, context);
    let mut pools = Pools::default();
    for record in endpoints.ready() {
        let usual_latency = kind_latency_of(record).max(1e-9);
        pools.add(record, usual_latency, in_slow_start(record), context);
    }
    let prior = |record: &EndpointRecord| {
        let kind_latency = kind_latency_of(record);
        let slow_start_factor = if in_slow_start(record) {
            pools.slow_start_factor()
        } else {
            1.0
        };
        let cell_factor = pooled_factor(pools.cells.get(&record.endpoint().cell));
        let zone_factor = pooled_factor(pools.zones.get(&record.endpoint().zone));
        PriorLatency {
            expected: kind_latency * cell_factor * slow_start_factor * zone_factor,
            kind_latency,
        }
    };
    PriorLatencies {
        by_backend: endpoints.iter().map(prior).collect(),
        local_to_remote_ratio: pools.local_to_remote_ratio(context.zone),
    }
}

impl Pools {
    fn add(
        &mut self,
        record: &EndpointRecord,
        usual_latency: f64,
        in_slow_start: bool,
        context: &PoolingContext,
    ) {
        let (service_times, load) = (&record.service_times, &record.load);
        // Attempts in flight count only with the time that they have waited beyond the usual
        // latency; a failure counts as the shortest latency objective.
        let excess_wait = (load.summed_wait_seconds(context.now_seconds)
            - load.in_flight() * usual_latency)
            .max(0.0);
        let failure_latency = record.failure_history.failures() * context.shortest_objective;
        let ratio_sum =
            (service_times.latency_sum() + excess_wait + failure_latency) / usual_latency;
        let start_pool = if in_slow_start {
            &mut self.slow_start
        } else {
            &mut self.past_slow_start
        };
        start_pool.add(service_times.completions(), ratio_sum);
        let cell_pool = self.cells.entry(record.endpoint().cell).or_default();
        cell_pool.add(service_times.completions(), ratio_sum);
        let zone_pool = self.zones.entry(record.endpoint().zone).or_default();
        zone_pool.add(service_times.completions(), ratio_sum);
    }

    fn slow_start_factor(&self) -> f64 {
        pooled_factor(Some(&self.slow_start)) / pooled_factor(Some(&self.past_slow_start))
    }

    fn local_to_remote_ratio(&self, local_zone: ZoneId) -> f64 {
        let (mut local, mut remote) = (DecayedSum::default(), DecayedSum::default());
        for (zone, pool) in &self.zones {
            let group = if *zone == local_zone {
                &mut local
            } else {
                &mut remote
            };
            group.add(pool.count, pool.sum);
        }
        pooled_factor(Some(&local)) / pooled_factor(Some(&remote))
    }
}

/// Mean latency of the ready backends, in seconds; 0 before the first completion.
fn fleet_mean_latency(endpoints: &EndpointList) -> f64 {
    let mut total = DecayedSum::default();
    for record in endpoints.ready() {
        total.add(
            record.service_times.completions(),
            record.service_times.latency_sum(),
        );
    }
    if total.count > 0.0 {
        total.sum / total.count
    } else {
        0.0
    }
}

fn kind_factor(record: &EndpointRecord, context: &PoolingContext) -> f64 {
    pooled_factor(context.kinds.get(&record.endpoint().kind))
}

/// Mean of a pool, drawn towards 1; 1 if there is no pool.
fn pooled_factor(pool: Option<&DecayedSum>) -> f64 {
    pool.map_or(1.0, |pool| pool.prior_weighted_mean(POOL_PRIOR_WEIGHT))
}

#[cfg(test)]
#[path = "pooled_latency_tests.rs"]
mod tests;
