//! The requests in progress, and the interface to the decision module: what happens to a request is
//! passed on as an [`Event`], and each decision becomes a [`Command`] to the owner of the
//! connections.
//!
//! This module is independent of the wire format: the codec defines the payload `C` that is
//! forwarded to a backend. All times are in nanoseconds on the node's clock.

mod command;
mod executed_ids;
mod pending;

use std::collections::{HashSet, VecDeque};

use kitefork_balancer::{
    Action, BackendId, Balancer, ClassId, Event, Idempotency, Nanos, Outcome, Request, RequestId,
    Settings, SettingsError, TenantId,
};

use crate::log::Trace;
use crate::rules::{self, Denial, Violation};
use crate::slab::Slab;

pub use command::{Command, LocalReply, OpenError, OpenedRequest, RequestSpec};
use executed_ids::ExecutedIds;
use pending::{Attempt, PendingRequest};

/// An attempt that the decision module started and the protocol rules denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DeniedAttempt {
    request: u32,
    attempt: u8,
}

/// The requests in progress, each with its attempts.
pub struct RequestTable<C> {
    balancer: Balancer,
    table: Slab<PendingRequest<C>>,
    /// Transaction IDs of the requests in the table.
    txns: HashSet<Box<str>>,
    /// Transaction IDs of requests that are no longer in the table and may have been executed.
    executed: ExecutedIds,
    idempotency_by_class: Vec<Idempotency>,
    max_attempts: usize,
    /// Time from a request's deadline until the deadline guard answers it.
    guard_slack: Nanos,
    /// Buffer for the decisions about one event, kept to reuse its allocation.
    actions: Vec<Action>,
    denials: Vec<Denial>,
    violations: Vec<Violation>,
    trace: Trace,
    commands: VecDeque<Command>,
}

impl<C> RequestTable<C> {
    /// Creates an empty table for at most `max_requests` requests at a time. The decision module
    /// seeds its random numbers with `seed`.
    ///
    /// # Errors
    ///
    /// If the decision module rejects the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_requests: usize,
        now: Nanos,
        trace: Trace,
    ) -> Result<RequestTable<C>, SettingsError> {
        Ok(RequestTable {
            table: Slab::new(max_requests),
            txns: HashSet::new(),
            executed: ExecutedIds::default(),
            idempotency_by_class: settings
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
            max_attempts: settings.limits.max_attempts as usize,
            guard_slack: settings.rules.answer_slack,
            balancer: Balancer::new(settings, seed, now)?,
            actions: Vec::new(),
            denials: Vec::new(),
            violations: Vec::new(),
            trace,
            commands: VecDeque::new(),
        })
    }

    /// Removes and returns the next command, in the order of the decisions; `None` if there is
    /// none.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Removes and returns the reason why the rules denied an attempt that the decision module had
    /// started, so that the caller can count the denial; `None` if no denial is left.
    pub fn pop_denial(&mut self) -> Option<Denial> {
        self.denials.pop()
    }

    /// Removes and returns a violation that was found when a request got its final answer (the
    /// answer was late), so that the caller can count it; `None` if no violation is left.
    pub fn pop_violation(&mut self) -> Option<Violation> {
        self.violations.pop()
    }

    /// Adds a request of a client connection to the table and passes it to the decision module.
    ///
    /// # Errors
    ///
    /// If the table is full, if another request with the same transaction ID is open or has an
    /// attempt in flight, as two attempts with the same ID could otherwise be in flight at once, or
    /// if one may have been executed a while ago.
    pub fn open(
        &mut self,
        now: Nanos,
        connection: u32,
        spec: RequestSpec,
        payload: C,
    ) -> Result<OpenedRequest, OpenError> {
        if self.txns.contains(&spec.txn) {
            return Err(OpenError::DuplicateId);
        }
        if self.executed.contains(now, &spec.txn) {
            return Err(OpenError::ExecutedId);
        }
        let idempotency = self.idempotency_by_class[usize::from(spec.class)];
        let pending = PendingRequest::new(connection, &spec, payload, idempotency, now);
        let guard_at = pending.deadline.saturating_add(self.guard_slack);
        let id = self.table.insert(pending).ok_or(OpenError::TableFull)?;
        self.trace.line(
            now,
            format_args!(
                "request id={id} txn={} client_timeout_us={}",
                spec.txn,
                spec.client_timeout / 1_000
            ),
        );
        self.txns.insert(spec.txn);
        let request = Request {
            id: RequestId(id),
            class: ClassId(spec.class),
            tenant: TenantId(spec.tenant),
            // Clients of the node do not name an object that a request concerns, and no decision
            // depends on this key.
            key: 0,
            client_timeout: spec.client_timeout,
            work_hint: spec.work_hint,
            client_retry: spec.client_retry,
            is_write: !matches!(idempotency, Idempotency::Idempotent),
        };
        self.feed(now, Event::Request(request));
        Ok(OpenedRequest { id, guard_at })
    }

    /// The payload that is forwarded for a request; `None` if the request is not in the table.
    pub fn payload(&self, id: u32) -> Option<&C> {
        self.table.get(id).map(|pending| &pending.payload)
    }

    /// Number of backend selections for which the decision module had to scan the whole endpoint
    /// list.
    pub fn full_scans(&self) -> u64 {
        self.balancer.full_scans()
    }

    /// Number of the client connection that sent a request; `None` if the request is not in the
    /// table.
    pub fn connection(&self, id: u32) -> Option<u32> {
        self.table.get(id).map(|pending| pending.connection)
    }

    /// Whether a request has an attempt that has not ended.
    pub fn has_attempt_in_flight(&self, id: u32) -> bool {
        self.table
            .get(id)
            .is_some_and(|pending| pending.history().in_flight > 0)
    }

    /// Whether a request has no final answer yet and its client still waits for one.
    pub fn is_waiting(&self, id: u32) -> bool {
        self.table
            .get(id)
            .is_some_and(|pending| !pending.is_finished)
    }

    fn waiting_mut(&mut self, id: u32) -> Option<&mut PendingRequest<C>> {
        self.table
            .get_mut(id)
            .filter(|pending| !pending.is_finished)
    }

    /// Records the end of an attempt and reports it to the decision module. Returns the number of
    /// the client connection to forward the answer to. `None` if the outcome is not a final answer,
    /// if the request already has a final answer, or if its client has disconnected.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: u32,
        attempt: u8,
        outcome: Outcome,
    ) -> Option<u32> {
        let pending = self.table.get_mut(id)?;
        let ended = pending
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|attempt| attempt.outcome.is_none())?;
        ended.outcome = Some(outcome);
        let latency = now.saturating_sub(ended.started_at);
        pending.last_outcome = Some(outcome);
        let is_final = matches!(outcome, Outcome::Success | Outcome::BadRequest);
        let answered_connection = (is_final && !pending.is_finished).then_some(pending.connection);
        pending.is_finished |= is_final;
        if answered_connection.is_some() {
            self.violations
                .extend(rules::check_answer(now, pending.deadline).err());
        }
        let finished = pending.is_finished;
        let latency_us = latency / 1_000;
        self.trace.line(
            now,
            format_args!("ended id={id} try={attempt} outcome={outcome:?} us={latency_us}"),
        );
        let event = Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            latency,
            outcome,
            finished,
            load_report: Vec::new(),
        };
        self.feed(now, event);
        self.remove_if_finished(now, id);
        answered_connection
    }

    /// Whether a request may be rejected, which promises the client that a retry is harmless. If
    /// `in_flight_unwritten` is set, the attempts in flight are not completely written, so they
    /// count as not executed.
    pub fn may_reject(&self, id: u32, in_flight_unwritten: bool) -> bool {
        self.table
            .get(id)
            .is_some_and(|pending| pending.is_rejectable(in_flight_unwritten))
    }

    /// Records that the client of a request has disconnected: the request counts as finished, and
    /// the table queues no answer for it any more.
    pub fn client_disconnected(&mut self, now: Nanos, id: u32) {
        if let Some(pending) = self.waiting_mut(id) {
            pending.is_finished = true;
            self.trace
                .line(now, format_args!("client-disconnected id={id}"));
            self.report_disconnect(now, id);
        }
    }

    fn report_disconnect(&mut self, now: Nanos, id: u32) {
        let request = RequestId(id);
        self.feed(now, Event::ClientDisconnected { request });
        self.remove_if_finished(now, id);
    }

    /// The deadline guard: answers a request as timed out if it has no answer shortly after its
    /// client's timeout, whatever the decision module has decided, so that no request stays
    /// unanswered. Returns whether the request was still waiting.
    pub fn expire(&mut self, now: Nanos, id: u32) -> bool {
        self.force_reply(now, id, LocalReply::TimedOut)
    }

    /// Answers a request that is still pending when the node must end. If a retry is harmless, the
    /// request is rejected, so that the client may retry at another node at once; otherwise the
    /// answer is a failure, or a timeout if the attempt that ended last timed out.
    pub fn fail_for_shutdown(&mut self, now: Nanos, id: u32) {
        self.force_reply(now, id, LocalReply::Rejected { retry_after: 0 });
    }

    /// Answers a request without a decision of the decision module. Returns whether the request was
    /// still waiting.
    fn force_reply(&mut self, now: Nanos, id: u32, reply: LocalReply) -> bool {
        let is_waiting = self.is_waiting(id);
        if is_waiting {
            self.reply(now, id, reply);
            self.report_disconnect(now, id);
        }
        is_waiting
    }

    /// Numbers of all requests that still wait for a final answer.
    pub fn unanswered(&self) -> Vec<u32> {
        self.table
            .iter()
            .filter(|(_, pending)| !pending.is_finished)
            .map(|(id, _)| id)
            .collect()
    }

    /// Passes an event to the decision module and queues a command for each of its decisions.
    pub fn feed(&mut self, now: Nanos, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        let mut denied = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    request,
                    backend,
                    abandon_at,
                } => denied.extend(self.start_attempt(now, request.0, backend, abandon_at)),
                other => self.queue_command(now, other),
            }
        }
        self.actions = actions;
        for DeniedAttempt { request, attempt } in denied {
            self.attempt_ended(now, request, attempt, Outcome::NotSent);
        }
    }

    /// Queues the command for a decision other than the start of an attempt.
    fn queue_command(&mut self, now: Nanos, action: Action) {
        let command = match action {
            Action::StartAttempt { .. } => return,
            Action::Reject {
                request,
                retry_after,
            } => return self.finish(now, request, LocalReply::Rejected { retry_after }),
            Action::Fail { request } => return self.finish(now, request, LocalReply::Failed),
            Action::CancelAttempt { request, attempt } => {
                self.trace
                    .line(now, format_args!("cancel id={} try={attempt}", request.0));
                Command::CancelAttempt {
                    request: request.0,
                    attempt,
                }
            }
            Action::SetTimer { at, timer } => Command::SetTimer { at, timer },
            Action::CheckHealth { backend } => Command::CheckHealth(backend),
            Action::CloseIdleConnections { backend } => Command::CloseIdleConnections(backend),
            Action::WatchEndpoints(on) => Command::WatchEndpoints(on),
            Action::PollEndpoints => Command::PollEndpoints,
            Action::Log(line) => Command::Log(line),
            Action::Gossip { .. } => Command::GossipUnsupported,
        };
        self.commands.push_back(command);
    }

    fn finish(&mut self, now: Nanos, request: RequestId, reply: LocalReply) {
        self.reply(now, request.0, reply);
        self.remove_if_finished(now, request.0);
    }

    /// Queues the command that starts an attempt. If the protocol rules deny the attempt, because
    /// the decision was wrong, records the denial and returns the attempt instead.
    fn start_attempt(
        &mut self,
        now: Nanos,
        id: u32,
        backend: BackendId,
        abandon_at: Nanos,
    ) -> Option<DeniedAttempt> {
        let pending = self.table.get_mut(id)?;
        let attempt = u8::try_from(pending.attempts.len()).ok()?;
        let abandon_at = pending.bound_to_deadline(abandon_at);
        let facts = pending.start_facts(self.max_attempts);
        let allowed = rules::may_start(now, &facts);
        pending.attempts.push(Attempt {
            started_at: now,
            outcome: None,
        });
        let denied = u8::from(allowed.is_err());
        self.trace.line(
            now,
            format_args!("send id={id} try={attempt} b={} denied={denied}", backend.0),
        );
        if let Err(denial) = allowed {
            self.denials.push(denial);
            return Some(DeniedAttempt {
                request: id,
                attempt,
            });
        }
        self.commands.push_back(Command::StartAttempt {
            request: id,
            attempt,
            backend,
            abandon_at,
            write_by: facts.history.write_by,
        });
        None
    }

    /// Gives a request its final answer, unless it already has one.
    fn reply(&mut self, now: Nanos, id: u32, reply: LocalReply) {
        let Some(pending) = self.waiting_mut(id) else {
            return;
        };
        pending.is_finished = true;
        let violation = rules::check_answer(now, pending.deadline).err();
        let connection = pending.connection;
        let reply = pending.permitted_reply(reply);
        self.violations.extend(violation);
        self.trace
            .line(now, format_args!("answer id={id} what={reply:?}"));
        self.commands
            .push_back(Command::Reply { connection, reply });
    }

    /// Removes a request that is finished and has no attempt in flight.
    fn remove_if_finished(&mut self, now: Nanos, id: u32) {
        let is_done = |pending: &PendingRequest<C>| pending.is_finished && pending.in_flight() == 0;
        if self.table.get(id).is_some_and(is_done)
            && let Some(pending) = self.table.remove(id)
        {
            self.txns.remove(&pending.txn);
            if pending.history().may_have_been_executed {
                self.executed.add(now, &pending.txn);
            }
        }
    }
}

#[cfg(test)]
#[path = "request_table_tests.rs"]
mod tests;
