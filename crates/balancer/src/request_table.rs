//! Requests that have no final answer yet, or have attempts in flight, and what was attempted for
//! them.

use std::collections::BTreeMap;

use crate::admission_queue::{AdmissionCost, QueuePosition};
use crate::event::{Outcome, Request};
use crate::ids::{BackendId, CellId, Nanos, RequestId, ZoneId};

/// An attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Nanos,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether it was, or may still be, executed.
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }

    /// Whether nothing of it was ever written to a backend.
    fn is_unwritten(&self) -> bool {
        matches!(
            self.outcome,
            Some(Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

/// A request that is not over, or has attempts in flight.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// When its client stops waiting.
    pub(crate) deadline: Nanos,
    /// An answer later than this has lost weight.
    pub(crate) objective_at: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it has its final answer, or nobody waits for one.
    pub(crate) finished: bool,
    /// Whether its answer has begun to be streamed.
    pub(crate) streaming: bool,
    /// Place in the admission queue.
    pub(crate) position: QueuePosition,
    /// What its admission costs.
    pub(crate) admission_cost: AdmissionCost,
}

impl PendingRequest {
    /// Index of its class.
    pub(crate) fn class(&self) -> usize {
        usize::from(self.request.class.0)
    }

    /// How many attempts are in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    /// Attempts that were, or may still be, executed.
    pub(crate) fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed())
    }

    /// Whether any attempt was, or may still be, executed.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.possibly_executed().next().is_some()
    }

    /// Whether no byte of any attempt was written to a backend.
    pub(crate) fn never_written(&self) -> bool {
        self.attempts.iter().all(Attempt::is_unwritten)
    }

    /// Whether an attempt was made at this backend.
    pub(crate) fn was_attempted_at(&self, backend: BackendId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.backend == backend)
    }
}

/// The pending requests of this proxy.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Whether a request of this id is pending.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, pending: PendingRequest) {
        self.requests.insert(pending.request.id, pending);
    }

    /// A pending request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A pending request, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Forgets a request.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// How many requests are pending.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
