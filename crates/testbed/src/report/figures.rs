//! Figures of a run. Scenarios refer to figures by their names, so the names must not change.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::clients::{ClientOutcome, RequestRecord};
use kitefork_standin::discovery::CallOutcome;

use super::Measurements;
use crate::node::Incarnation;
use crate::scenario::duration_from_secs;

/// Length of the interval for the figure `calls_worst_100ms`.
const BURST_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct FigureMap(BTreeMap<String, f64>);

impl FigureMap {
    fn put(&mut self, name: &str, value: f64) {
        self.0.insert(name.to_string(), value);
    }
}

/// Computes all figures from the records of a run.
pub(super) fn compute(measurements: &Measurements) -> BTreeMap<String, f64> {
    let mut figures = FigureMap::default();
    put_calls(&mut figures, measurements);
    put_list_delays(&mut figures, measurements);
    put_connections(&mut figures, measurements);
    put_requests(&mut figures, measurements);
    put_resources(&mut figures, measurements);
    figures.0
}

/// `numerator / denominator`; a denominator of 0 counts as 1.
fn ratio(numerator: f64, denominator: usize) -> f64 {
    numerator / denominator.max(1) as f64
}

/// Adds the figures of the calls to discovery.
fn put_calls(figures: &mut FigureMap, measurements: &Measurements) {
    let calls = &measurements.discovery_calls;
    let count = calls.len() as f64;
    let failed = calls
        .iter()
        .filter(|call| call.outcome != CallOutcome::Answered)
        .count();
    let starts = measurements.records.incarnations.len();
    let mut arrivals: Vec<Duration> = calls.iter().map(|call| call.arrived).collect();
    arrivals.sort_unstable();
    figures.put("calls", count);
    figures.put(
        "calls_per_node",
        count / measurements.scenario.fleet.nodes as f64,
    );
    figures.put("calls_per_start", ratio(count, starts));
    figures.put("calls_failed", ratio(failed as f64, calls.len()));
    figures.put("calls_worst_100ms", largest_burst(&arrivals) as f64);
}

/// Maximum number of calls within [`BURST_INTERVAL`]; `arrivals` must be in ascending order.
fn largest_burst(arrivals: &[Duration]) -> usize {
    let calls_within = |(index, from): (usize, &Duration)| {
        let end = *from + BURST_INTERVAL;
        arrivals[index..].iter().take_while(|at| **at < end).count()
    };
    arrivals
        .iter()
        .enumerate()
        .map(calls_within)
        .max()
        .unwrap_or(0)
}

/// Adds the figures of the delay from the start of a process to its first list, for processes that
/// run until the end.
fn put_list_delays(figures: &mut FigureMap, measurements: &Measurements) {
    let incarnations = measurements.records.incarnations.iter();
    let running: Vec<&Incarnation> = incarnations
        .filter(|incarnation| incarnation.exit.is_none())
        .collect();
    let mut delays: Vec<f64> = running
        .iter()
        .filter_map(|incarnation| list_delay_s(measurements, incarnation))
        .collect();
    delays.sort_by(f64::total_cmp);
    let or_nan = |delay: Option<&f64>| delay.copied().unwrap_or(f64::NAN);
    let scenario = measurements.scenario;
    let min_last_delay_s = scenario.discovery.call_ms / 1e3 * scenario.fleet.nodes as f64;
    let missing = running.len() - delays.len();
    figures.put("nodes_without_list", missing as f64);
    figures.put("list_median_s", or_nan(delays.get(delays.len() / 2)));
    figures.put("list_last_s", or_nan(delays.last()));
    figures.put("list_floor_s", min_last_delay_s);
}

/// Seconds from the start of a process to its first notification by discovery; `None` without one.
fn list_delay_s(measurements: &Measurements, incarnation: &Incarnation) -> Option<f64> {
    let started = incarnation.started;
    let notifications = measurements.records.notifications.iter();
    let first = notifications
        .filter(|notification| {
            notification.node == incarnation.node && notification.written_at >= started
        })
        .map(|notification| notification.written_at)
        .min()?;
    Some(first.checked_sub(started).unwrap().as_secs_f64())
}

/// Adds the figures of connections to backends and of rejected attempts.
fn put_connections(figures: &mut FigureMap, measurements: &Measurements) {
    let accepted = measurements.accepted_connections.iter();
    let accepted: Vec<f64> = accepted.map(|count| *count as f64).collect();
    let sum: f64 = accepted.iter().sum();
    let mean = ratio(sum, accepted.len());
    let largest = accepted.iter().copied().fold(0.0, f64::max);
    figures.put("connections", sum);
    figures.put("connections_worst", largest / mean.max(1e-9));
    figures.put("turned_away", measurements.rejected_attempts as f64);
}

/// Adds the figures of the outcomes of requests.
fn put_requests(figures: &mut FigureMap, measurements: &Measurements) {
    let records = measurements.records;
    let requests = &records.requests;
    let fraction_since = |from: Duration, matches: &dyn Fn(&RequestRecord) -> bool| {
        let planned_since: Vec<&RequestRecord> = requests
            .iter()
            .filter(|record| record.request.planned >= from)
            .collect();
        let count = planned_since
            .iter()
            .filter(|record| matches(record))
            .count();
        ratio(count as f64, planned_since.len())
    };
    let fraction =
        |matches: &dyn Fn(&RequestRecord) -> bool| fraction_since(Duration::ZERO, matches);
    let meets_objective = |record: &RequestRecord| measurements.meets_latency_objective(record);
    let is_unreachable = |record: &RequestRecord| record.outcome == ClientOutcome::Unreachable;
    let steps_end = measurements.run_start + last_step_end(measurements);
    let attempts = records.attempts.len() as f64;
    figures.put("asked", requests.len() as f64);
    figures.put("in_time", fraction(&meets_objective));
    figures.put("served", fraction(&RequestRecord::is_served));
    figures.put("refused", fraction(&|record| record.outcome.is_rejected()));
    figures.put("unreachable", fraction(&is_unreachable));
    figures.put("in_time_after", fraction_since(steps_end, &meets_objective));
    figures.put("attempts_per_ask", ratio(attempts, requests.len()));
    figures.put("lives", records.incarnations.len() as f64);
}

/// Time after the start of the run at which the last step of the scenario is complete.
fn last_step_end(measurements: &Measurements) -> Duration {
    let steps = measurements.scenario.at.iter();
    duration_from_secs(
        steps
            .map(|step| step.at_s + step.over_s)
            .fold(0.0, f64::max),
    )
}

/// Adds the figures of resource usage and of the bytes that discovery wrote.
fn put_resources(figures: &mut FigureMap, measurements: &Measurements) {
    let usage = &measurements.usage;
    let memory = usage.max_memory_mb.values().copied();
    let cpu_s: f64 = usage.cpu_s.values().sum();
    figures.put("memory_mb_most", memory.fold(0.0, f64::max));
    figures.put("descriptors_most", usage.max_descriptors as f64);
    figures.put("list_kb", measurements.discovery_bytes as f64 / 1e3);
    figures.put("cpu_s_mean", ratio(cpu_s, usage.cpu_s.len()));
}
