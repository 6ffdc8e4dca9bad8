//! A request until it has its final answer and nothing in flight, with the history of its attempts.

use kitefork_balancer::{Idempotency, Nanos, Outcome};

use super::command::{LocalReply, RequestSpec};
use crate::rules::{self, AttemptHistory, StartFacts};

/// One attempt of a request.
pub struct Attempt {
    /// When it was started, in nanoseconds on the node's clock.
    pub started_at: Nanos,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

/// A request in the table; `C` is the payload that the codec forwards.
pub struct PendingRequest<C> {
    /// The client connection that waits for it.
    pub connection: u32,
    /// The client's own name for it.
    pub txn: Box<str>,
    /// What is forwarded.
    pub payload: C,
    /// What executing it twice means.
    pub idempotency: Idempotency,
    /// When the client gives up, in nanoseconds on the node's clock.
    pub deadline: Nanos,
    /// Its attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or nobody waits for one.
    pub is_finished: bool,
    /// How the attempt that ended last did.
    pub last_outcome: Option<Outcome>,
}

impl<C> PendingRequest<C> {
    /// A request without attempts.
    pub fn new(
        connection: u32,
        spec: &RequestSpec,
        payload: C,
        idempotency: Idempotency,
        now: Nanos,
    ) -> PendingRequest<C> {
        PendingRequest {
            connection,
            txn: spec.txn.clone(),
            payload,
            idempotency,
            deadline: now.saturating_add(spec.client_timeout),
            attempts: Vec::new(),
            is_finished: false,
            last_outcome: None,
        }
    }

    /// When an attempt must be abandoned for which `abandon_at` was decided; 0 is the client's
    /// deadline.
    pub fn bound_to_deadline(&self, abandon_at: Nanos) -> Nanos {
        match abandon_at {
            0 => self.deadline,
            at => at.min(self.deadline),
        }
    }

    /// What decides whether another attempt may start, where the settings allow `max_attempts`.
    pub fn start_facts(&self, max_attempts: usize) -> StartFacts {
        StartFacts {
            answered: self.is_finished,
            deadline: self.deadline,
            max_attempts,
            history: self.history(),
        }
    }

    /// Attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    fn maybe_executed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| {
            attempt
                .outcome
                .is_none_or(|outcome| !outcome.not_executed())
        })
    }

    /// What the protocol rules ask of its attempts.
    pub fn history(&self) -> AttemptHistory {
        AttemptHistory {
            idempotency: self.idempotency,
            attempts: self.attempts.len(),
            in_flight: self.in_flight(),
            may_have_been_executed: self.maybe_executed_attempts().next().is_some(),
            write_by: self.write_by(),
        }
    }

    /// Until when another attempt may reach a backend.
    fn write_by(&self) -> Nanos {
        match self.idempotency {
            Idempotency::IdempotencyKey { window, .. } => self
                .maybe_executed_attempts()
                .map(|attempt| attempt.started_at.saturating_add(window))
                .min()
                .unwrap_or(Nanos::MAX),
            _ => Nanos::MAX,
        }
    }

    /// Whether a rejection of it, which says that a retry is harmless, would be true. What is in
    /// flight counts as not executed where it is `in_flight_unwritten`.
    pub fn is_rejectable(&self, in_flight_unwritten: bool) -> bool {
        let may_have_been_executed = self
            .maybe_executed_attempts()
            .any(|attempt| attempt.outcome.is_some() || !in_flight_unwritten);
        rules::may_reject(self.idempotency, may_have_been_executed).is_ok()
    }

    /// The answer that is true of it: a rejection promises that a retry is harmless; where that is
    /// not so it becomes a failure, and after a timeout a timeout.
    pub fn permitted_reply(&self, reply: LocalReply) -> LocalReply {
        let reply = match reply {
            LocalReply::Rejected { .. } if !self.is_rejectable(false) => LocalReply::Failed,
            other => other,
        };
        match reply {
            LocalReply::Failed if self.last_outcome == Some(Outcome::Timeout) => {
                LocalReply::TimedOut
            }
            other => other,
        }
    }
}
