//! Counts for each second of a run.

use std::time::Duration;

use kitefork_standin::discovery::CallOutcome;
use serde::Serialize;

use super::Measurements;
use crate::node::Incarnation;

/// Counts for one second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Number of calls that discovery received.
    pub calls: usize,
    /// Number of these calls that failed or were never answered.
    #[serde(rename = "failed")]
    pub failed_calls: usize,
    /// Number of nodes that discovery has notified in their current incarnation, at the end of the
    /// second.
    #[serde(rename = "fresh")]
    pub nodes_with_list: usize,
    /// Number of requests that were planned for this second.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Number of these requests that were served within their latency objectives.
    pub in_time: usize,
    /// Number of these requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Number of attempts that backends received.
    pub attempts: usize,
}

/// Computes the counts for each second from the start of the run.
pub(super) fn seconds(measurements: &Measurements) -> Vec<Second> {
    let length = measurements.scenario.length_s.ceil() as usize;
    let mut seconds = vec![Second::default(); length];
    let second_index = |at: Duration| at.saturating_sub(measurements.run_start).as_secs() as usize;
    for call in &measurements.discovery_calls {
        if let Some(second) = seconds.get_mut(second_index(call.arrived)) {
            second.calls += 1;
            second.failed_calls += usize::from(call.outcome != CallOutcome::Answered);
        }
    }
    for record in &measurements.records.requests {
        if let Some(second) = seconds.get_mut(second_index(record.request.planned)) {
            second.requests += 1;
            second.in_time += usize::from(measurements.meets_latency_objective(record));
            second.rejected += usize::from(record.outcome.is_rejected());
        }
    }
    for attempt in &measurements.records.attempts {
        if let Some(second) = seconds.get_mut(second_index(attempt.arrived)) {
            second.attempts += 1;
        }
    }
    for (number, second) in seconds.iter_mut().enumerate() {
        let end = measurements.run_start + Duration::from_secs(number as u64 + 1);
        second.nodes_with_list = nodes_with_list(measurements, end);
    }
    seconds
}

/// Number of nodes that run at this time and were notified by discovery since they started.
fn nodes_with_list(measurements: &Measurements, time: Duration) -> usize {
    let records = measurements.records;
    let has_list = |incarnation: &&Incarnation| {
        incarnation.started < time
            && incarnation.exit.is_none_or(|exit| exit.at >= time)
            && records.notifications.iter().any(|notification| {
                notification.node == incarnation.node
                    && notification.written_at >= incarnation.started
                    && notification.written_at < time
            })
    };
    records.incarnations.iter().filter(has_list).count()
}
