//! The referee: holds the records of a run against the rules of the protocol.

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

/// What a stand-in notices late on a busy machine: it reads that a connection is closed only when
/// it is scheduled.
const OBSERVATION_DELAY: Duration = Duration::from_millis(150);

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A final answer may come this much after the client's timeout.
    pub answer_slack: Duration,
    /// Nothing new goes to a backend later than this after the node was notified that it drains.
    pub drain_grace: Duration,
    /// Repeats of an idempotency key are dropped within a cell for this long.
    pub key_window: Duration,
    /// A backend in slow start breaks down if it is sent more than this multiple of what it can do
    /// ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_duration: Duration,
    /// Fraction of its speed that a backend starts with.
    pub slow_start_from: f64,
    /// Time after a start until a backend is at full speed.
    pub slow_start: Duration,
    /// Mean work of a request.
    pub work: Duration,
}

/// A time in which a node was stopped, with what it took to catch up.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Number of the node.
    pub node: usize,
    /// When it was stopped.
    pub from: Duration,
    /// When it had caught up; [`Duration::MAX`] while it is stopped.
    pub until: Duration,
}

/// The start of a backend in the course of a run.
#[derive(Clone, Debug)]
pub struct BackendStart {
    /// The backend.
    pub uid: String,
    /// When it started.
    pub at: Duration,
}

/// All that is judged.
#[derive(Default)]
pub struct Records {
    /// Requests of the well-behaved clients.
    pub requests: Vec<RequestRecord>,
    /// Requests of the misbehaving clients.
    pub misbehaving: Vec<MisbehavingRecord>,
    /// Attempts that backends received.
    pub attempts: Vec<Attempt>,
    /// What discovery wrote to nodes.
    pub notifications: Vec<Notification>,
    /// Changes of the endpoint list, by revision.
    pub endpoint_changes: Vec<EndpointChange>,
    /// Incarnations of the nodes.
    pub incarnations: Vec<Incarnation>,
    /// Times in which nodes were stopped.
    pub pauses: Vec<Pause>,
    /// Starts of backends.
    pub backend_starts: Vec<BackendStart>,
}

/// The attempts of each request, by arrival.
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

/// Every violation of a rule.
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

/// A process ends only after a signal, and with exit code 0 unless it is killed.
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
