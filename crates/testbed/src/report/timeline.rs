//! The figures of each second of a run.

use std::time::Duration;

use kitefork_standin::discovery::CallOutcome;
use serde::Serialize;

use super::Measurements;
use crate::node::Incarnation;

/// What happened in a second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Calls to discovery.
    pub calls: usize,
    /// Calls to discovery that were not answered.
    #[serde(rename = "failed")]
    pub failed_calls: usize,
    /// Nodes that discovery has written anything to in their present incarnation.
    #[serde(rename = "fresh")]
    pub nodes_with_list: usize,
    /// Requests, by when they were meant to be sent.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Of these, served within their latency objectives.
    pub in_time: usize,
    /// Of these, rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Attempts that backends received.
    pub attempts: usize,
}

/// The seconds of a run, from its begin.
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

/// Nodes that run at a time and were notified of anything before.
fn nodes_with_list(measurements: &Measurements, time: Duration) -> usize {
    let records = measurements.records;
    let has_list = |incarnation: &&Incarnation| {
        incarnation.started < time
            && incarnation.exit.is_none_or(|exit| exit.at >= time)
            && records.notifications.iter().any(|notification| {
                notification.node == incarnation.node
                    && notification.at >= incarnation.started
                    && notification.at < time
            })
    };
    records.incarnations.iter().filter(has_list).count()
}
