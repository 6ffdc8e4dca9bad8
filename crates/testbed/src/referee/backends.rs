//! Rules for the attempts that backends receive. A node that was notified that a backend drains or
//! was removed sends it none after a grace. All nodes together send a backend in slow start no more
//! than it can take.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::discovery::{EndpointChange, EndpointState, Notification};

use super::{BackendStart, OBSERVATION_DELAY, Records, Rules, Violation};

/// Changes of the endpoint list, and the times at which nodes were notified of them.
struct EndpointHistory<'a> {
    /// Node of each request, by `X-Txn`.
    node_by_request: BTreeMap<&'a str, usize>,
    /// Notifications of each node, by node number.
    notifications: BTreeMap<usize, Vec<&'a Notification>>,
    /// Changes of each backend in order of revision, by uid.
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

    /// Latest revision of which a node had been notified at this time; `None` if the node had not
    /// been notified of any.
    fn notified_revision(&self, node: usize, at: Duration) -> Option<u64> {
        let notifications = self.notifications.get(&node).into_iter().flatten();
        notifications
            .filter(|notification| notification.written_at <= at)
            .map(|notification| notification.revision)
            .max()
    }

    /// Returns the node that sent an attempt, if the node had been notified that the backend drains
    /// or was removed, and the grace after this notification was over.
    fn sender_after_drain(&self, rules: &Rules, attempt: &Attempt) -> Option<usize> {
        let node = *self.node_by_request.get(attempt.txn.as_str())?;
        let changes = self.changes.get(attempt.uid.as_str())?;
        let grace = rules.drain_grace + OBSERVATION_DELAY;
        let revision = self.notified_revision(node, attempt.arrived.saturating_sub(grace));
        let latest_first = || changes.iter().rev();
        let notified_change = latest_first().find(|change| Some(change.revision) <= revision)?;
        // After that change, the backend may have become ready again, and the node may have been
        // notified of this. Changes after the attempt do not count.
        let last_change = latest_first().find(|change| change.published_at <= attempt.arrived);
        let is_ready_again =
            last_change.is_some_and(|change| change.endpoint.state == EndpointState::Ready);
        let is_violation =
            notified_change.endpoint.state != EndpointState::Ready && !is_ready_again;
        is_violation.then_some(node)
    }
}

/// Finds the attempts that were sent to a backend after the grace that follows the notification of
/// its drain or removal.
pub(super) fn sends_after_drain(rules: &Rules, records: &Records) -> Vec<Violation> {
    let history = EndpointHistory::new(records);
    let violation = |attempt: &Attempt| {
        let node = history.sender_after_drain(rules, attempt)?;
        let attempt = attempt.clone();
        Some(Violation::SentAfterDrain { node, attempt })
    };
    records.attempts.iter().filter_map(violation).collect()
}

/// Finds the backends that received more attempts from all nodes together than they can take in
/// slow start.
pub(super) fn slow_start_overloads(rules: &Rules, records: &Records) -> Vec<Violation> {
    let starts = records.backend_starts.iter();
    starts
        .filter_map(|start| slow_start_overload(rules, records, start))
        .collect()
}

/// Finds the first overload after a restart of a backend.
fn slow_start_overload(
    rules: &Rules,
    records: &Records,
    start: &BackendStart,
) -> Option<Violation> {
    let arrivals = arrivals_since(records, start);
    let within_slow_start = |from: &Duration| *from < rules.slow_start_duration;
    let window_starts = arrivals.iter().copied().take_while(within_slow_start);
    for (index, from) in window_starts.enumerate() {
        let capacity = slow_start_capacity(rules, from);
        let within_window = |at: &&Duration| **at <= from + rules.overload_duration;
        let sent = arrivals[index..].iter().take_while(within_window).count();
        // Tolerates three standard deviations of a Poisson process, and 3 attempts more for small
        // counts.
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

/// Times after a restart at which the backend received attempts, in ascending order.
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

/// Number of attempts that a backend can take in a window of the overload duration. `from` is the
/// start of the window, relative to the restart of the backend.
fn slow_start_capacity(rules: &Rules, from: Duration) -> f64 {
    let slow_start_s = rules.slow_start_duration.as_secs_f64().max(1e-9);
    let fraction = rules.slow_start_initial_speed
        + (1.0 - rules.slow_start_initial_speed) * from.as_secs_f64() / slow_start_s;
    rules.overload_multiple * fraction * rules.overload_duration.as_secs_f64()
        / rules.mean_execution_time.as_secs_f64()
}
