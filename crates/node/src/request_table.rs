//! The life of a req, and the bridge to the decisions: what happens to a req becomes an `Event`,
//! what is decided becomes an `Command` to whoever holds the connections. Nothing here knows how a
//! req or its answer looks on a wire: `C`, what is carried to the backend, belongs to the codec.

use std::collections::{HashSet, VecDeque};

use kitefork_balancer::{
    Action, BackendId, Balancer, ClassId, Event, Idempotency, LogEvent, Nanos, Outcome, Request,
    RequestId, Settings, SettingsError, TenantId, TimerId,
};

use crate::log::Trace;
use crate::rules::{self, Denial, History, StartFacts, Violation};
use crate::slab::Slab;

/// A req as the client put it.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The client's own name for it.
    pub txn: Box<str>,
    pub class: u16,
    pub tenant: u16,
    /// How long the client still waits.
    pub client_timeout: Nanos,
    pub work_hint: Option<Nanos>,
    pub client_retry: bool,
}

/// A final answer that no backend made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// Rejected: a retry by the client is harmless.
    Rejected {
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// Failed: it may have been executed.
    Failed,
    /// No answer in time.
    TimedOut,
}

/// Why a req is not taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// No more are held.
    TableFull,
    /// One of this name is open.
    DuplicateId,
}

/// What is to be done on the connections.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Start an attempt. It must be abandoned at `abandon_at`, and be written whole by `write_by` or
    /// not at all.
    StartAttempt {
        request: u32,
        attempt: u8,
        backend: BackendId,
        abandon_at: Nanos,
        write_by: Nanos,
    },
    /// Close the connection of an attempt.
    CancelAttempt { request: u32, attempt: u8 },
    /// Give the client connection `connection` its final answer.
    Reply { connection: u32, reply: LocalReply },
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Set a timer of the decisions.
    SetTimer { at: Nanos, timer: TimerId },
    /// Open a watch on the endpoint list, or close it.
    WatchEndpoints(bool),
    /// Read the whole endpoint list once.
    PollEndpoints,
    /// Write a line of the decisions to the log.
    Log(LogEvent),
    /// A gossip message was wanted, and this node carries none.
    GossipUnsupported,
}

struct Attempt {
    started_at: Nanos,
    /// `None` while it is out.
    outcome: Option<Outcome>,
}

struct PendingRequest<C> {
    connection: u32,
    txn: Box<str>,
    payload: C,
    idempotency: Idempotency,
    deadline: Nanos,
    attempts: Vec<Attempt>,
    /// It has its final answer, or nobody waits for one.
    is_finished: bool,
    last_outcome: Option<Outcome>,
}

impl<C> PendingRequest<C> {
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    fn may_have_been_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.outcome.is_none_or(|o| !o.not_executed()))
    }

    /// Whether "trying again is harmless" is true.
    fn is_rejectable(&self) -> bool {
        rules::may_reject(
            self.idempotency,
            self.may_have_been_executed().next().is_some(),
        )
        .is_ok()
    }

    fn history(&self) -> History {
        History {
            idempotency: self.idempotency,
            attempts: self.attempts.len(),
            in_flight: self.in_flight(),
            may_have_been_executed: self.may_have_been_executed().next().is_some(),
            write_by: self.write_by(),
        }
    }

    /// Until when another attempt may reach a backend.
    fn write_by(&self) -> Nanos {
        match self.idempotency {
            Idempotency::IdempotencyKey { window, .. } => self
                .may_have_been_executed()
                .map(|a| a.started_at.saturating_add(window))
                .min()
                .unwrap_or(Nanos::MAX),
            _ => Nanos::MAX,
        }
    }
}

pub struct RequestTable<C> {
    balancer: Balancer,
    table: Slab<PendingRequest<C>>,
    /// Names of the reqs in the table.
    names: HashSet<Box<str>>,
    idempotency_by_class: Vec<Idempotency>,
    max_attempts: usize,
    slack: Nanos,
    actions: Vec<Action>,
    /// Attempts that the decisions asked for and the rules denied, for whoever counts them.
    pub denials: Vec<Denial>,
    /// Rules that were found broken after the act, for whoever counts them.
    pub violations: Vec<Violation>,
    pub trace: Trace,
    /// What is to be done, in the order in which it was decided.
    pub commands: VecDeque<Command>,
}

impl<C> RequestTable<C> {
    pub fn new(
        settings: Settings,
        seed: u64,
        max: usize,
        now: Nanos,
    ) -> Result<RequestTable<C>, SettingsError> {
        Ok(RequestTable {
            table: Slab::new(max),
            names: HashSet::new(),
            idempotency_by_class: settings
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
            max_attempts: settings.limits.max_attempts as usize,
            slack: settings.rules.answer_slack,
            balancer: Balancer::new(settings, seed, now)?,
            actions: Vec::new(),
            denials: Vec::new(),
            violations: Vec::new(),
            trace: Trace::default(),
            commands: VecDeque::new(),
        })
    }

    /// Takes up a req; gives its number and the time of its last resort. One of the same name as
    /// another that is open or has an attempt out is not: its attempt would be a second copy of the
    /// other's.
    pub fn open(
        &mut self,
        now: Nanos,
        connection: u32,
        spec: RequestSpec,
        payload: C,
    ) -> Result<(u32, Nanos), OpenError> {
        if self.names.contains(&spec.txn) {
            return Err(OpenError::DuplicateId);
        }
        let pending = PendingRequest {
            connection,
            txn: spec.txn.clone(),
            payload,
            idempotency: self.idempotency_by_class[usize::from(spec.class)],
            deadline: now.saturating_add(spec.client_timeout),
            attempts: Vec::new(),
            is_finished: false,
            last_outcome: None,
        };
        let id = self.table.insert(pending).ok_or(OpenError::TableFull)?;
        self.trace.line(
            now,
            format_args!(
                "request id={id} txn={} client_timeout_us={}",
                spec.txn,
                spec.client_timeout / 1_000
            ),
        );
        self.names.insert(spec.txn);
        let request = Request {
            id: RequestId(id),
            class: ClassId(spec.class),
            tenant: TenantId(spec.tenant),
            // No request of ours names its subject, and no decision asks for it.
            key: 0,
            client_timeout: spec.client_timeout,
            work_hint: spec.work_hint,
            client_retry: spec.client_retry,
            is_write: !matches!(
                self.idempotency_by_class[usize::from(spec.class)],
                Idempotency::Idempotent
            ),
        };
        self.feed(now, Event::Request(request));
        Ok((
            id,
            now.saturating_add(spec.client_timeout)
                .saturating_add(self.slack),
        ))
    }

    pub fn payload(&self, id: u32) -> Option<&C> {
        self.table.get(id).map(|pending| &pending.payload)
    }

    /// Draws of the decisions that had to walk the whole list of backends.
    pub fn full_walks(&self) -> u64 {
        self.balancer.full_walks()
    }

    /// The client session that waits for it.
    pub fn connection(&self, id: u32) -> Option<u32> {
        self.table.get(id).map(|pending| pending.connection)
    }

    /// It has no answer yet, and somebody waits for it.
    pub fn is_waiting(&self, id: u32) -> bool {
        self.table
            .get(id)
            .is_some_and(|pending| !pending.is_finished)
    }

    /// An attempt has ended. Gives the client session that is now to have its answer, if it is the
    /// req's first and the client still waits.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: u32,
        attempt: u8,
        outcome: Outcome,
    ) -> Option<u32> {
        let pending = self.table.get_mut(id)?;
        let attempt_ended = pending
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|a| a.outcome.is_none())?;
        attempt_ended.outcome = Some(outcome);
        let latency = now.saturating_sub(attempt_ended.started_at);
        pending.last_outcome = Some(outcome);
        let last = matches!(outcome, Outcome::Success | Outcome::BadRequest);
        let served = (last && !pending.is_finished).then_some(pending.connection);
        pending.is_finished |= last;
        if served.is_some() {
            self.violations
                .extend(rules::check_answer(now, pending.deadline).err());
        }
        let finished = pending.is_finished;
        self.trace.line(
            now,
            format_args!(
                "ended id={id} try={attempt} outcome={outcome:?} us={}",
                latency / 1_000
            ),
        );
        let request = RequestId(id);
        self.feed(
            now,
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                load_report: Vec::new(),
            },
        );
        self.remove_if_finished(id);
        served
    }

    /// Whether a refusal of it would be true, if what is out counts as never run where it is
    /// `unwritten`.
    pub fn may_reject(&self, id: u32, unwritten: bool) -> bool {
        let Some(pending) = self.table.get(id) else {
            return false;
        };
        let ran = pending
            .may_have_been_executed()
            .any(|attempt| attempt.outcome.is_some() || !unwritten);
        rules::may_reject(pending.idempotency, ran).is_ok()
    }

    /// The client has gone.
    pub fn client_gone(&mut self, now: Nanos, id: u32) {
        if let Some(pending) = self
            .table
            .get_mut(id)
            .filter(|pending| !pending.is_finished)
        {
            pending.is_finished = true;
            self.trace
                .line(now, format_args!("client-disconnected id={id}"));
            self.feed(
                now,
                Event::ClientDisconnected {
                    request: RequestId(id),
                },
            );
            self.remove_if_finished(id);
        }
    }

    /// The last resort: a req without an answer a little after its client's patience fails here,
    /// whatever the decisions think. Guards against a req that is forgotten anywhere.
    pub fn expire(&mut self, now: Nanos, id: u32) -> bool {
        self.force_reply(now, id, LocalReply::TimedOut)
    }

    /// The node ends before the req has its answer. What never ran is refused, so that the client
    /// may go to another node at once; what may have run has failed.
    pub fn fail_for_shutdown(&mut self, now: Nanos, id: u32) {
        self.force_reply(now, id, LocalReply::Rejected { retry_after: 0 });
    }

    /// Answers a req over the head of the decisions; tells whether it still waited.
    fn force_reply(&mut self, now: Nanos, id: u32, reply: LocalReply) -> bool {
        let is_waiting = self.is_waiting(id);
        if is_waiting {
            self.reply(now, id, reply);
            self.feed(
                now,
                Event::ClientDisconnected {
                    request: RequestId(id),
                },
            );
            self.remove_if_finished(id);
        }
        is_waiting
    }

    /// Every req that has no answer yet.
    pub fn unanswered(&self) -> Vec<u32> {
        self.table
            .iter()
            .filter(|(_, pending)| !pending.is_finished)
            .map(|(id, _)| id)
            .collect()
    }

    /// Tells the decisions what happened and turns what they decide into commands.
    pub fn feed(&mut self, now: Nanos, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        let mut not_sent = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    request,
                    backend,
                    abandon_at,
                } => {
                    not_sent.extend(self.start_attempt(now, request.0, backend, abandon_at));
                }
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    self.reply(now, request.0, LocalReply::Rejected { retry_after });
                    self.remove_if_finished(request.0);
                }
                Action::Fail { request } => {
                    self.reply(now, request.0, LocalReply::Failed);
                    self.remove_if_finished(request.0);
                }
                Action::CancelAttempt { request, attempt } => {
                    self.trace
                        .line(now, format_args!("cancel id={} try={attempt}", request.0));
                    self.commands.push_back(Command::CancelAttempt {
                        request: request.0,
                        attempt,
                    });
                }
                Action::SetTimer { at, timer } => {
                    self.commands.push_back(Command::SetTimer { at, timer })
                }
                Action::CheckHealth { backend } => {
                    self.commands.push_back(Command::CheckHealth(backend))
                }
                Action::CloseIdleConnections { backend } => self
                    .commands
                    .push_back(Command::CloseIdleConnections(backend)),
                Action::WatchEndpoints(on) => self.commands.push_back(Command::WatchEndpoints(on)),
                Action::PollEndpoints => self.commands.push_back(Command::PollEndpoints),
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
                Action::Gossip { .. } => {
                    self.commands.push_back(Command::GossipUnsupported);
                }
            }
        }
        self.actions = actions;
        for (id, attempt) in not_sent {
            self.attempt_ended(now, id, attempt, Outcome::NotSent);
        }
    }

    /// Starts an attempt, or names it when it must not go out: the rules hold here too, should a
    /// decision ever be wrong.
    fn start_attempt(
        &mut self,
        now: Nanos,
        id: u32,
        backend: BackendId,
        abandon_at: Nanos,
    ) -> Option<(u32, u8)> {
        let pending = self.table.get_mut(id)?;
        let attempt = u8::try_from(pending.attempts.len()).ok()?;
        let abandon_at = if abandon_at == 0 {
            pending.deadline
        } else {
            abandon_at.min(pending.deadline)
        };
        let facts = StartFacts {
            answered: pending.is_finished,
            deadline: pending.deadline,
            max_attempts: self.max_attempts,
            history: pending.history(),
        };
        let allowed = rules::may_start(now, &facts);
        let write_by = pending.write_by();
        pending.attempts.push(Attempt {
            started_at: now,
            outcome: None,
        });
        self.trace.line(
            now,
            format_args!(
                "send id={id} try={attempt} b={} denied={}",
                backend.0,
                u8::from(allowed.is_err())
            ),
        );
        if let Err(denial) = allowed {
            self.denials.push(denial);
            return Some((id, attempt));
        }
        self.commands.push_back(Command::StartAttempt {
            request: id,
            attempt,
            backend,
            abandon_at,
            write_by,
        });
        None
    }

    /// Gives the final answer, once. A refusal promises that trying again is harmless; where that
    /// is not so it becomes a failure.
    fn reply(&mut self, now: Nanos, id: u32, reply: LocalReply) {
        let Some(pending) = self
            .table
            .get_mut(id)
            .filter(|pending| !pending.is_finished)
        else {
            return;
        };
        pending.is_finished = true;
        self.violations
            .extend(rules::check_answer(now, pending.deadline).err());
        let reply = match reply {
            LocalReply::Rejected { .. } if !pending.is_rejectable() => LocalReply::Failed,
            other => other,
        };
        let reply = match reply {
            LocalReply::Failed if pending.last_outcome == Some(Outcome::Timeout) => {
                LocalReply::TimedOut
            }
            other => other,
        };
        self.trace
            .line(now, format_args!("answer id={id} what={reply:?}"));
        self.commands.push_back(Command::Reply {
            connection: pending.connection,
            reply,
        });
    }

    /// Ends a req that is over and has nothing out.
    fn remove_if_finished(&mut self, id: u32) {
        if self
            .table
            .get(id)
            .is_some_and(|pending| pending.is_finished && pending.in_flight() == 0)
            && let Some(pending) = self.table.remove(id)
        {
            self.names.remove(&pending.txn);
        }
    }
}

#[cfg(test)]
#[path = "request_table_tests.rs"]
mod tests;
