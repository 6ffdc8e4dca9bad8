//! The rules for what all nodes together send to a backend.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::discovery::{EndpointChange, EndpointState, Notification};

use super::{BackendStart, OBSERVATION_DELAY, Records, Rules, Violation};

/// What the nodes have been notified of, and when.
struct EndpointHistory<'a> {
    /// Node of each request, by the request's name.
    node_by_request: BTreeMap<&'a str, usize>,
    /// Notifications of each node.
    notifications: BTreeMap<usize, Vec<&'a Notification>>,
    /// Changes of each backend, by revision.
    changes: BTreeMap<&'a str, Vec<&'a EndpointChange>>,
}

impl<'a> EndpointHistory<'a> {
    fn new(records: &'a Records) -> EndpointHistory<'a> {
        let requests = records.requests.iter();
        let nodes = requests.map(|record| (record.request.txn.as_str(), record.node));
        let mut history = EndpointHistory {
            node_by_request: nodes.collect(),
            notifications: BTreeMap::new(),
            changes: BTreeMap::new(),
        };
        for notification in &records.notifications {
            let node_notifications = history.notifications.entry(notification.node);
            node_notifications.or_default().push(notification);
        }
        for change in &records.endpoint_changes {
            let backend_changes = history.changes.entry(&change.endpoint.uid);
            backend_changes.or_default().push(change);
        }
        history
    }

    /// The latest revision that a node had been notified of at a time.
    fn revision(&self, node: usize, at: Duration) -> Option<u64> {
        let notifications = self.notifications.get(&node).into_iter().flatten();
        notifications
            .filter(|notification| notification.at <= at)
            .map(|notification| notification.revision)
            .max()
    }

    /// The node that made an attempt, if it knew a grace before that the backend takes nothing new.
    fn sender_after_drain(&self, rules: &Rules, attempt: &Attempt) -> Option<usize> {
        let node = *self.node_by_request.get(attempt.txn.as_str())?;
        let changes = self.changes.get(attempt.uid.as_str())?;
        let grace = rules.drain_grace + OBSERVATION_DELAY;
        let revision = self.revision(node, attempt.arrived.saturating_sub(grace));
        let latest_first = || changes.iter().rev();
        let known = latest_first().find(|change| Some(change.revision) <= revision)?;
        // The node may have been notified since that the backend is back; what came after the
        // attempt does not count.
        let last = latest_first().find(|change| change.at <= attempt.arrived);
        let is_ready_again =
            last.is_some_and(|change| change.endpoint.state == EndpointState::Ready);
        let is_violation = known.endpoint.state != EndpointState::Ready && !is_ready_again;
        is_violation.then_some(node)
    }
}

/// Nothing new goes to a backend after the grace of its drain or removal.
pub(super) fn sends_after_drain(rules: &Rules, records: &Records) -> Vec<Violation> {
    let history = EndpointHistory::new(records);
    let violation = |attempt: &Attempt| {
        let node = history.sender_after_drain(rules, attempt)?;
        let attempt = attempt.clone();
        Some(Violation::SentAfterDrain { node, attempt })
    };
    records.attempts.iter().filter_map(violation).collect()
}

/// What all nodes together send to a backend in slow start stays within what it can take.
pub(super) fn slow_start_overloads(rules: &Rules, records: &Records) -> Vec<Violation> {
    let starts = records.backend_starts.iter();
    starts
        .filter_map(|start| slow_start_overload(rules, records, start))
        .collect()
}

/// The first overload after a start.
fn slow_start_overload(
    rules: &Rules,
    records: &Records,
    start: &BackendStart,
) -> Option<Violation> {
    let arrivals = arrivals_since(records, start);
    let within_slow_start = |from: &Duration| *from < rules.slow_start;
    let window_starts = arrivals.iter().copied().take_while(within_slow_start);
    for (index, from) in window_starts.enumerate() {
        let capacity = slow_start_capacity(rules, from);
        let within_window = |at: &&Duration| **at <= from + rules.overload_duration;
        let sent = arrivals[index..].iter().take_while(within_window).count();
        // Three standard deviations of a Poisson process, and a few for small numbers.
        if sent as f64 > capacity + 3.0 * capacity.sqrt() + 3.0 {
            return Some(Violation::SlowStartOverload {
                uid: start.uid.clone(),
                sent,
                capacity,
                from,
            });
        }
    }
    None
}

/// Times after a start at which attempts came to the backend, in order.
fn arrivals_since(records: &Records, start: &BackendStart) -> Vec<Duration> {
    let mut arrivals: Vec<Duration> = records
        .attempts
        .iter()
        .filter(|attempt| attempt.uid == start.uid && attempt.arrived >= start.at)
        .map(|attempt| attempt.arrived.checked_sub(start.at).unwrap())
        .collect();
    arrivals.sort_unstable();
    arrivals
}

/// Attempts that a backend can take in the overload time that begins this long after its start.
fn slow_start_capacity(rules: &Rules, from: Duration) -> f64 {
    let slow_start_s = rules.slow_start.as_secs_f64().max(1e-9);
    let fraction =
        rules.slow_start_from + (1.0 - rules.slow_start_from) * from.as_secs_f64() / slow_start_s;
    rules.overload_multiple * fraction * rules.overload_duration.as_secs_f64()
        / rules.work.as_secs_f64()
}
