//! The requests in progress, and the bridge to the decision module: what happens to a request
//! becomes an [`Event`], what is decided becomes a [`Command`] to whoever holds the connections.
//!
//! Nothing here knows how a request or its answer looks on the wire: the payload `C`, what is
//! forwarded to a backend, belongs to the codec. All times are in nanoseconds on the node's clock.

mod command;
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
use pending::{Attempt, PendingRequest};

/// An attempt that the rules denied after it was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DeniedAttempt {
    request: u32,
    attempt: u8,
}

/// The requests in progress, each with its attempts.
pub struct RequestTable<C> {
    balancer: Balancer,
    table: Slab<PendingRequest<C>>,
    /// Names of the requests in the table.
    txns: HashSet<Box<str>>,
    idempotency_by_class: Vec<Idempotency>,
    max_attempts: usize,
    /// How long after its deadline the guard answers a request.
    guard_slack: Nanos,
    /// Reused buffer for what is decided.
    actions: Vec<Action>,
    denials: Vec<Denial>,
    violations: Vec<Violation>,
    trace: Trace,
    commands: VecDeque<Command>,
}

impl<C> RequestTable<C> {
    /// An empty table for `max_requests` requests at a time. The decision module draws its random numbers
    /// from `seed`.
    ///
    /// # Errors
    ///
    /// If the decision module does not accept the settings.
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

    /// What is to be done next, in the order in which it was decided.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// An attempt that was decided and that the rules denied, for whoever counts them.
    pub fn pop_denial(&mut self) -> Option<Denial> {
        self.denials.pop()
    }

    /// A rule that was found broken after the act, for whoever counts them.
    pub fn pop_violation(&mut self) -> Option<Violation> {
        self.violations.pop()
    }

    /// Opens a request of a client connection.
    ///
    /// # Errors
    ///
    /// If the table is full, or another request of the same name is open or has an attempt in
    /// flight: its attempt would be a second copy of the other's.
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
            // No request of ours names its subject, and no decision asks for it.
            key: 0,
            client_timeout: spec.client_timeout,
            work_hint: spec.work_hint,
            client_retry: spec.client_retry,
            is_write: !matches!(idempotency, Idempotency::Idempotent),
        };
        self.feed(now, Event::Request(request));
        Ok(OpenedRequest { id, guard_at })
    }

    /// What is forwarded for a request.
    pub fn payload(&self, id: u32) -> Option<&C> {
        self.table.get(id).map(|pending| &pending.payload)
    }

    /// Picks of the decision module that had to walk the whole endpoint list.
    pub fn full_scans(&self) -> u64 {
        self.balancer.full_scans()
    }

    /// The client connection that waits for a request.
    pub fn connection(&self, id: u32) -> Option<u32> {
        self.table.get(id).map(|pending| pending.connection)
    }

    /// Whether a request has no answer yet, and somebody waits for it.
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

    /// An attempt has ended. Gives the client connection that is now to have its answer, if this is
    /// the request's first and the client still waits.
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
        self.remove_if_finished(id);
        answered_connection
    }

    /// Whether a rejection of a request would be true, if what is in flight counts as not executed
    /// where it is `in_flight_unwritten`.
    pub fn may_reject(&self, id: u32, in_flight_unwritten: bool) -> bool {
        self.table
            .get(id)
            .is_some_and(|pending| pending.is_rejectable(in_flight_unwritten))
    }

    /// The client of a request has gone.
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
        self.remove_if_finished(id);
    }

    /// The deadline guard: a request without an answer a little after its client's timeout fails
    /// here, whatever was decided, so that none is ever forgotten. Whether it still waited.
    pub fn expire(&mut self, now: Nanos, id: u32) -> bool {
        self.force_reply(now, id, LocalReply::TimedOut)
    }

    /// The node ends before a request has its answer. What was not executed is rejected, so that
    /// the client may go to another node at once; what may have been executed has failed.
    pub fn fail_for_shutdown(&mut self, now: Nanos, id: u32) {
        self.force_reply(now, id, LocalReply::Rejected { retry_after: 0 });
    }

    /// Answers a request over the head of the decision module; whether it still waited.
    fn force_reply(&mut self, now: Nanos, id: u32, reply: LocalReply) -> bool {
        let is_waiting = self.is_waiting(id);
        if is_waiting {
            self.reply(now, id, reply);
            self.report_disconnect(now, id);
        }
        is_waiting
    }

    /// Every request that has no answer yet.
    pub fn unanswered(&self) -> Vec<u32> {
        self.table
            .iter()
            .filter(|(_, pending)| !pending.is_finished)
            .map(|(id, _)| id)
            .collect()
    }

    /// Tells the decision module what happened, and makes commands of what it decides.
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

    /// Makes a command of a decision other than the start of an attempt into a command.
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
        self.remove_if_finished(request.0);
    }

    /// Starts an attempt; gives it back where it must not go out: the rules hold here too, should a
    /// decision ever be wrong.
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

    /// Gives the final answer, once.
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

    /// Removes a request that is finished and has nothing in flight.
    fn remove_if_finished(&mut self, id: u32) {
        let is_done = |pending: &PendingRequest<C>| pending.is_finished && pending.in_flight() == 0;
        if self.table.get(id).is_some_and(is_done)
            && let Some(pending) = self.table.remove(id)
        {
            self.txns.remove(&pending.txn);
        }
    }
}

#[cfg(test)]
#[path = "request_table_tests.rs"]
mod tests;
