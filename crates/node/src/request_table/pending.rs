//! A request in progress with the history of its attempts. It is kept until it is finished and has
//! no attempt in flight.

use kitefork_balancer::{Idempotency, Nanos, Outcome};

use super::command::{LocalReply, RequestSpec};
use crate::rules::{self, AttemptHistory, StartFacts};

/// An attempt of a request, also one that the rules denied, with its start and its outcome.
pub struct Attempt {
    /// When the attempt was started, in nanoseconds on the node's clock.
    pub started_at: Nanos,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

/// A request in the table; `C` is the payload that the codec forwards.
pub struct PendingRequest<C> {
    /// Number of the client connection that sent the request.
    pub connection: u32,
    /// The transaction ID that the client chose (header `X-Txn`).
    pub txn: Box<str>,
    /// The payload that is forwarded to a backend.
    pub payload: C,
    /// Whether the request can be executed twice without harm; set by its class.
    pub idempotency: Idempotency,
    /// When the client stops waiting, in nanoseconds on the node's clock.
    pub deadline: Nanos,
    /// The attempts of the request, oldest first, including those that the rules denied.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final answer, or its client has disconnected.
    pub is_finished: bool,
    /// Outcome of the attempt that ended last; `None` before any attempt has ended.
    pub last_outcome: Option<Outcome>,
}

impl<C> PendingRequest<C> {
    /// Creates a request without attempts that was received at `now`.
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

    /// The time at which to abandon an attempt: the `abandon_at` that the decision module chose,
    /// but not after the client's deadline. An `abandon_at` of 0 stands for the deadline.
    pub fn bound_to_deadline(&self, abandon_at: Nanos) -> Nanos {
        match abandon_at {
            0 => self.deadline,
            at => at.min(self.deadline),
        }
    }

    /// The facts that decide whether another attempt may start, if the settings allow
    /// `max_attempts` per request.
    pub fn start_facts(&self, max_attempts: usize) -> StartFacts {
        StartFacts {
            answered: self.is_finished,
            deadline: self.deadline,
            max_attempts,
            history: self.history(),
        }
    }

    /// Number of attempts that have not ended.
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

    /// The history of the request's attempts, for the protocol rules.
    pub fn history(&self) -> AttemptHistory {
        AttemptHistory {
            idempotency: self.idempotency,
            attempts: self.attempts.len(),
            in_flight: self.in_flight(),
            may_have_been_executed: self.maybe_executed_attempts().next().is_some(),
            write_by: self.write_by(),
        }
    }

    /// Latest time at which another attempt may be written; `Nanos::MAX` without a limit.
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

    /// Whether the request may be rejected, which promises the client that a retry is harmless. If
    /// `in_flight_unwritten` is set, the attempts in flight are not completely written, so they
    /// count as not executed.
    pub fn is_rejectable(&self, in_flight_unwritten: bool) -> bool {
        let may_have_been_executed = self
            .maybe_executed_attempts()
            .any(|attempt| attempt.outcome.is_some() || !in_flight_unwritten);
        rules::may_reject(self.idempotency, may_have_been_executed).is_ok()
    }

    /// Replaces a reply that the history of the request contradicts. A rejection promises that a
    /// retry is harmless; if a retry could do harm, the reply becomes a failure. A failure becomes
    /// a timeout if the attempt that ended last timed out.
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
