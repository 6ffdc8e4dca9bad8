//! Requests without a final answer or with attempts in flight, and their attempts.

use std::collections::BTreeMap;

use crate::admission_queue::{AdmissionCost, QueuePosition};
use crate::event::{Outcome, Request};
use crate::ids::{BackendId, CellId, Nanos, RequestId, ZoneId};

/// An attempt that was started for a request. `zone` and `cell` are those of the backend when the
/// attempt was sent.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Nanos,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// How the attempt ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the backend may have executed the attempt or may still do so.
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }

    /// Whether the attempt ended without any byte of it having been written to a backend.
    fn is_unwritten(&self) -> bool {
        matches!(
            self.outcome,
            Some(Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

/// A request that has no final answer yet, or has attempts in flight.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// When the client stops waiting for an answer.
    pub(crate) deadline: Nanos,
    /// Time up to which an answer is within the latency objective. A later answer has less weight,
    /// or none.
    pub(crate) objective_at: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the request has its final answer, or its client has disconnected.
    pub(crate) finished: bool,
    /// Whether the answer has begun to be streamed; no retry is possible then.
    pub(crate) streaming: bool,
    /// Position in the admission queue, for all attempts of the request.
    pub(crate) position: QueuePosition,
    /// Tokens that must be available before an attempt of the request is admitted.
    pub(crate) admission_cost: AdmissionCost,
}

impl PendingRequest {
    /// Index of the request's class in the settings.
    pub(crate) fn class(&self) -> usize {
        usize::from(self.request.class.0)
    }

    /// Number of attempts that have not ended.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    /// Attempts that a backend may have executed or may still execute.
    pub(crate) fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed())
    }

    /// Whether a backend may have executed any attempt or may still do so.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.possibly_executed().next().is_some()
    }

    /// Whether no byte of any attempt was written to a backend; also true without attempts.
    pub(crate) fn never_written(&self) -> bool {
        self.attempts.iter().all(Attempt::is_unwritten)
    }

    /// Whether an attempt was sent to this backend, whatever its outcome.
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
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Adds a request, which replaces one with the same id.
    pub(crate) fn insert(&mut self, pending: PendingRequest) {
        self.requests.insert(pending.request.id, pending);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request; does nothing if there is none with this id.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
