//! The referee: checks the records of a run against the rules of the protocol.

mod backends;
mod misbehaving;
mod requests;
mod violation;

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::clients::RequestRecord;
use kitefork_standin::discovery::{EndpointChange, Notification};
use kitefork_standin::misbehaving::MisbehavingRecord;

pub use violation::{Rule, Violation};

use crate::node::Incarnation;

/// Maximum delay with which a stand-in observes an event on a busy machine. For example, a stand-in
/// notices that a connection was closed only when its task is scheduled.
const OBSERVATION_DELAY: Duration = Duration::from_millis(150);

/// Times and limits by which the referee judges.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Time after the client's timeout in which a final answer may still arrive.
    pub answer_slack: Duration,
    /// How long a node may still send to a backend after it was notified that the backend drains.
    pub drain_grace: Duration,
    /// Time in which the backends of a cell drop repeats of an idempotency key.
    pub key_window: Duration,
    /// Multiple of its current capacity above which a backend in slow start breaks down.
    pub overload_multiple: f64,
    /// Length of the window in which the attempts at a backend in slow start are counted.
    pub overload_duration: Duration,
    /// Fraction of the full speed that a backend has right after its start.
    pub slow_start_initial_speed: f64,
    /// Time from the start of a backend to its full speed.
    pub slow_start_duration: Duration,
    /// Mean execution time of a request at full speed.
    pub mean_execution_time: Duration,
}

/// A period in which a node was paused (SIGSTOP), including the time that it had to catch up.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Number of the paused node.
    pub node: usize,
    /// Time at which the node was paused.
    pub from: Duration,
    /// End of the time to catch up; [`Duration::MAX`] while the node is paused.
    pub until: Duration,
}

/// Restart of a backend during a run.
#[derive(Clone, Debug)]
pub struct BackendStart {
    /// Name of the backend in the endpoint list.
    pub uid: String,
    /// Time of the restart, at which slow start begins.
    pub at: Duration,
}

/// A period in which no bytes passed on the link to a backend. What nodes wrote meanwhile arrived
/// at its end.
#[derive(Clone, Debug)]
pub struct BackendCut {
    /// Name of the backend in the endpoint list.
    pub uid: String,
    /// Time at which the link was cut.
    pub from: Duration,
    /// End of the cut; [`Duration::MAX`] while it lasts.
    pub until: Duration,
}

/// What the stand-ins and the testbed recorded in a run, for the referee.
#[derive(Default)]
pub struct Records {
    /// Requests of well-behaved clients that have ended, with their outcomes.
    pub requests: Vec<RequestRecord>,
    /// Requests of misbehaving clients that have ended, with what the clients observed.
    pub misbehaving: Vec<MisbehavingRecord>,
    /// Attempts that all backends received, in the order in which they were recorded.
    pub attempts: Vec<Attempt>,
    /// Lists and watch events that discovery wrote to nodes.
    pub notifications: Vec<Notification>,
    /// Changes of the endpoint list, in order of revision.
    pub endpoint_changes: Vec<EndpointChange>,
    /// Incarnations of all nodes, in order of the node numbers.
    pub incarnations: Vec<Incarnation>,
    /// Periods in which nodes were paused, in order of their starts.
    pub pauses: Vec<Pause>,
    /// Restarts of backends, in order of time.
    pub backend_starts: Vec<BackendStart>,
    /// Cuts of the links to backends, in order of their starts.
    pub backend_cuts: Vec<BackendCut>,
}

/// Attempts of each request in order of arrival, by `X-Txn`.
struct AttemptsByRequest<'a>(BTreeMap<&'a str, Vec<&'a Attempt>>);

impl<'a> AttemptsByRequest<'a> {
    fn new(attempts: &'a [Attempt]) -> AttemptsByRequest<'a> {
        let mut by_txn: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in attempts {
            by_txn.entry(&attempt.txn).or_default().push(attempt);
        }
        for attempts in by_txn.values_mut() {
            attempts.sort_by_key(|attempt| attempt.arrived);
        }
        AttemptsByRequest(by_txn)
    }

    fn attempts_for(&self, txn: &str) -> &[&'a Attempt] {
        self.0.get(txn).map_or(&[], |attempts| attempts)
    }
}

/// Checks the records of a run against all rules. Returns every violation except those that nodes
/// report themselves.
pub fn find_violations(rules: &Rules, records: &Records) -> Vec<Violation> {
    let attempts = AttemptsByRequest::new(&records.attempts);
    let mut violations = Vec::new();
    for record in &records.requests {
        let attempts = attempts.attempts_for(&record.request.txn);
        let broken = requests::broken_rules(rules, records, record, attempts);
        violations.extend(broken.into_iter().map(|rule| Violation::Request {
            rule,
            record: record.clone(),
            attempts: attempts.iter().copied().cloned().collect(),
        }));
    }
    for record in &records.misbehaving {
        let attempts = attempts.attempts_for(&record.request.txn);
        let broken = misbehaving::broken_rules(records, record, attempts);
        violations.extend(broken.into_iter().map(|rule| Violation::MisbehavingClient {
            rule,
            record: record.clone(),
            attempts: attempts.iter().copied().cloned().collect(),
        }));
    }
    violations.extend(backends::sends_after_drain(rules, records));
    violations.extend(backends::slow_start_overloads(rules, records));
    violations.extend(records.incarnations.iter().filter_map(exit_violation));
    violations
}

/// Checks that a process ended only after a signal, and with exit code 0 unless it was killed.
fn exit_violation(incarnation: &Incarnation) -> Option<Violation> {
    let exit = incarnation.exit?;
    let is_bad = match incarnation.stop_signal {
        None => true,
        Some(signal) => !signal.is_kill && exit.code != Some(0),
    };
    is_bad.then(|| Violation::BadExit {
        incarnation: incarnation.clone(),
        exit,
    })
}

#[cfg(test)]
#[path = "referee_tests.rs"]
mod tests;
