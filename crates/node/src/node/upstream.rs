//! Handles upstream connections: starts attempts and reports how they end.

use kitefork_balancer::{BackendId, Event, Nanos, Outcome};

use super::Node;
use crate::clock::MS;
use crate::counters::AnswerReason;
use crate::descriptor_budget::Purpose;
use crate::downstream::Reply;
use crate::http1;
use crate::net::Unread;
use crate::rules::{self, ClientState, Denial, WriteFacts};
use crate::upstream::{
    self, Answer, AttemptLimits, DialError, IdleConnection, PostponedDial, UpstreamAttempt,
    UpstreamCloseReason, UpstreamEvent,
};

/// In an iteration that has lasted longer than this, in nanoseconds, a client may have disconnected
/// unnoticed, so its connection is checked again before an attempt is written.
const MAX_CLIENT_STATE_AGE: Nanos = 5 * MS;
/// In an iteration that has lasted longer than this, in nanoseconds, attempts wait until unread
/// updates of the endpoint list are read. A shorter delay is covered by the grace period of
/// draining backends.
const MAX_UNREAD_UPDATE_AGE: Nanos = 20 * MS;

impl Node {
    pub(super) fn start_attempt(
        &mut self,
        backend: BackendId,
        attempt: UpstreamAttempt,
        limits: AttemptLimits,
    ) {
        // The client may have disconnected between the decision and its execution.
        if self.is_obsolete(attempt) {
            return self.report_outcome(attempt, Outcome::NotSent);
        }
        let now = self.event_loop.now();
        if self.client_state(attempt, now) == ClientState::Unknown {
            self.diagnostics.count_denial(
                now,
                Denial::ClientStateUnknown,
                format_args!("at=connect"),
            );
            return self.report_outcome(attempt, Outcome::NotSent);
        }
        self.dial_or_postpone(PostponedDial {
            backend,
            attempt,
            limits,
            give_up_at: self.upstreams.connect_by(limits, now),
        });
    }

    /// Whether the request of an attempt no longer waits for an answer; `false` for a health check.
    fn is_obsolete(&self, attempt: UpstreamAttempt) -> bool {
        attempt
            .request()
            .is_some_and(|request| !self.requests.is_waiting(request))
    }

    fn dial_or_postpone(&mut self, dial: PostponedDial) {
        match self.connect(dial.backend, dial.give_up_at) {
            Ok(number) => {
                self.upstreams
                    .assign(number, dial.attempt, dial.limits, &mut self.event_loop);
                self.advance_upstream(number, false);
            }
            Err(DialError::Endpoint) => self.report_outcome(dial.attempt, Outcome::ConnectFailed),
            Err(DialError::Local) => {
                self.diagnostics.count("dial", "postponed");
                self.upstreams.postpone(dial, &mut self.event_loop);
            }
            Err(DialError::Resting) => self.upstreams.postpone(dial, &mut self.event_loop),
        }
    }

    pub(super) fn retry_postponed_dials(&mut self) {
        for dial in self.upstreams.take_postponed() {
            if self.is_obsolete(dial.attempt) || self.event_loop.now() >= dial.give_up_at {
                self.report_outcome(dial.attempt, Outcome::NotSent);
            } else {
                self.dial_or_postpone(dial);
            }
        }
    }

    /// Returns a connection to a backend: an idle one that can be reused, or a new one. Waiting for
    /// an idle one may take until `wait_until`.
    fn connect(&mut self, backend: BackendId, wait_until: Nanos) -> Result<u32, DialError> {
        let now = self.event_loop.now();
        let address = self
            .discovery
            .ready_address(backend)
            .ok_or(DialError::Endpoint)?;
        let idle = self
            .upstreams
            .take_idle(backend, now, wait_until, &mut self.diagnostics);
        match idle {
            IdleConnection::Reusable(number) => return Ok(number),
            IdleConnection::Resting => return Err(DialError::Resting),
            IdleConnection::None => {}
        }
        if !self.ensure_upstream_capacity() {
            let open = self.upstreams.len();
            self.diagnostics.log(
                now,
                "upstream-connections-full",
                format_args!("open={open}"),
            );
            return Err(DialError::Local);
        }
        self.upstreams.dial(
            backend,
            address,
            &self.buffer_budget,
            now,
            &mut self.diagnostics,
        )
    }

    /// Returns whether the descriptor budget has capacity for another upstream connection; if
    /// necessary, closes the most expendable connection first.
    fn ensure_upstream_capacity(&mut self) -> bool {
        let budget = self.descriptor_budget;
        if budget.fits(Purpose::Upstream, self.upstreams.len(), self.clients.len()) {
            return true;
        }
        let candidate = if budget.exceeds_reserve(Purpose::Client, self.clients.len()) {
            self.eviction_candidate()
        } else {
            None
        };
        if let Some(expendable) = candidate.filter(|c| c.rank.is_expendable()) {
            return self.evict(expendable.number);
        }
        let now = self.event_loop.now();
        if let Some(has_closed) = self.upstreams.evict_idle(now, &mut self.diagnostics) {
            return has_closed;
        }
        candidate.is_some_and(|candidate| self.evict(candidate.number))
    }

    /// Advances a connection as far as its socket allows, and handles the resulting event.
    pub(super) fn advance_upstream(&mut self, number: u32, is_ready: bool) {
        let event = self.upstreams.advance(
            number,
            is_ready,
            &mut self.event_loop,
            &mut self.diagnostics,
        );
        match event {
            None => {}
            Some(UpstreamEvent::Connected) => self.begin_request(number),
            Some(UpstreamEvent::Answered(answer)) => self.handle_answer(number, answer),
            Some(UpstreamEvent::Failed(outcome, reason)) => {
                self.close_and_report(number, outcome, reason);
            }
        }
    }

    /// Starts writing the request on an established connection if the rules still allow the write.
    /// For this check, the clock is read again, the connection is checked for unread bytes and, in
    /// a long iteration, the state of the client's connection too.
    fn begin_request(&mut self, number: u32) {
        let now = self.event_loop.clock().read();
        if self.must_wait_for_discovery(number, now) {
            return;
        }
        let Some(attempt) = self.upstreams.get(number).and_then(|c| c.attempt()) else {
            return;
        };
        let Some(facts) = self.write_facts(number, attempt, now) else {
            return self.upstreams.delay_write(number, &mut self.event_loop);
        };
        let permit = match rules::may_write(now, &facts) {
            Ok(permit) => permit,
            Err(denial) => return self.deny_write(number, denial),
        };
        let Some(bytes) = self.request_bytes(attempt, permit.timeout_ms()) else {
            return;
        };
        self.trace_write(number, attempt, now);
        let Some(connection) = self.upstreams.get_mut(number) else {
            return;
        };
        if !connection.queue_request(&bytes, &permit) {
            return self.end_attempt(number, Outcome::ConnectFailed);
        }
        self.advance_upstream(number, false);
        if let Err(violation) = permit.check(self.event_loop.clock().read()) {
            self.report_violation(violation, format_args!("upstream={number}"));
        }
    }

    /// Traces which connection carries an attempt, and for how long that connection was idle;
    /// -1 is a new connection.
    fn trace_write(&self, number: u32, attempt: UpstreamAttempt, now: Nanos) {
        let UpstreamAttempt::Request { request, attempt } = attempt else {
            return;
        };
        let last_answer_at = self.upstreams.get(number).and_then(|c| c.last_answer_at());
        let idle_us = last_answer_at.map_or(-1, |at| (now.saturating_sub(at) / 1_000) as i64);
        self.diagnostics.trace(
            now,
            format_args!("write id={request} try={attempt} upstream={number} idle_us={idle_us}"),
        );
    }

    /// Whether an attempt must wait for unread updates of the endpoint list; if so, delays it. In a
    /// long iteration, updates may have arrived since its poll, and they must be applied before the
    /// attempt is sent.
    fn must_wait_for_discovery(&mut self, number: u32, now: Nanos) -> bool {
        self.event_loop
            .has_run_longer_than(now, MAX_UNREAD_UPDATE_AGE)
            && self.discovery.has_unread_bytes()
            && self
                .upstreams
                .delay_for_discovery(number, &mut self.event_loop)
    }

    /// The facts that decide whether the attempt of a connection may be written; `None` if the
    /// kernel temporarily can't tell what is unread, or the connection does not exist.
    fn write_facts(&self, number: u32, attempt: UpstreamAttempt, now: Nanos) -> Option<WriteFacts> {
        let connection = self.upstreams.get(number)?;
        let limits = connection.limits();
        let unread = connection.unread();
        if unread == Unread::Unknown {
            return None;
        }
        Some(WriteFacts {
            answered: self.is_obsolete(attempt),
            client: self.client_state(attempt, now),
            backend_ready: self.discovery.ready_address(connection.backend()).is_some(),
            unread,
            abandon_at: limits.abandon_at,
            write_by: limits.write_by,
        })
    }

    /// What is known of the client of an attempt's request; connected for a health check. In a long
    /// iteration, the socket of the client is checked again.
    fn client_state(&self, attempt: UpstreamAttempt, now: Nanos) -> ClientState {
        let Some(request) = attempt.request() else {
            return ClientState::Connected;
        };
        let connection = self
            .requests
            .connection(request)
            .and_then(|number| self.clients.get(number));
        let is_old = self
            .event_loop
            .has_run_longer_than(now, MAX_CLIENT_STATE_AGE);
        match connection {
            Some(connection) if is_old => connection.client_state_now(),
            Some(connection) => connection.client_state(),
            None => ClientState::Disconnected,
        }
    }

    fn request_bytes(&self, attempt: UpstreamAttempt, timeout_ms: u64) -> Option<Vec<u8>> {
        match attempt {
            UpstreamAttempt::HealthCheck { .. } => Some(http1::write(
                "GET /ping HTTP/1.1",
                [("host", "kitefork")],
                None,
            )),
            UpstreamAttempt::Request { request, .. } => {
                let payload = self.requests.payload(request)?;
                Some(payload.encode(timeout_ms))
            }
        }
    }

    /// Ends an attempt that the rules do not allow to be written, before any of it is written.
    fn deny_write(&mut self, number: u32, denial: Denial) {
        let now = self.event_loop.now();
        self.diagnostics
            .count_denial(now, denial, format_args!("upstream={number}"));
        let outcome = match denial {
            Denial::BackendNotReady
            | Denial::DeadlinePassed
            | Denial::WindowClosed
            | Denial::UnexpectedBytes => Outcome::ConnectFailed,
            _ => Outcome::NotSent,
        };
        let reason = match denial {
            Denial::UnexpectedBytes => UpstreamCloseReason::UnexpectedBytes,
            _ => UpstreamCloseReason::AttemptEnded,
        };
        self.close_and_report(number, outcome, reason);
    }

    fn handle_answer(&mut self, number: u32, answer: Answer) {
        let is_backend_ready = self
            .upstreams
            .get(number)
            .is_some_and(|connection| self.discovery.ready_address(connection.backend()).is_some());
        let attempt = self.upstreams.release(
            number,
            answer.reuse,
            is_backend_ready,
            &mut self.event_loop,
            &mut self.diagnostics,
        );
        if let Some(attempt) = attempt {
            let outcome = upstream::outcome(&answer.head);
            self.report_attempt_end(attempt, outcome, Some(answer));
        }
    }

    pub(super) fn upstream_deadline_due(&mut self, number: u32) {
        if let Some(outcome) =
            self.upstreams
                .expire(number, &mut self.event_loop, &mut self.diagnostics)
        {
            self.end_attempt(number, outcome);
        }
    }

    /// Ends the attempt of a connection, which is closed.
    pub(super) fn end_attempt(&mut self, number: u32, outcome: Outcome) {
        self.close_and_report(number, outcome, UpstreamCloseReason::AttemptEnded);
    }

    /// Closes a connection, and only then reports how its attempt ended.
    fn close_and_report(&mut self, number: u32, outcome: Outcome, reason: UpstreamCloseReason) {
        let now = self.event_loop.now();
        let attempt = self
            .upstreams
            .close(number, reason, now, &mut self.diagnostics);
        if let Some(attempt) = attempt {
            self.report_outcome(attempt, outcome);
        }
    }

    /// Cancels an attempt that the decision module no longer wants.
    pub(super) fn cancel_attempt(&mut self, request: u32, attempt: u8) {
        let connection_number = self
            .upstreams
            .find_attempt(UpstreamAttempt::Request { request, attempt });
        if let Some(number) = connection_number {
            self.end_attempt(number, Outcome::Cancelled);
        }
        self.drop_postponed(request);
    }

    /// Ends the attempt of a request whose client has disconnected, unless the attempt is
    /// completely written; the rest of an incomplete attempt is never written, even where the
    /// deployment does not allow cancelling attempts.
    pub(super) fn cancel_unwritten(&mut self, request: u32) {
        if let Some(number) = self.upstreams.find_unwritten(request) {
            self.end_attempt(number, Outcome::NotSent);
        }
        self.drop_postponed(request);
    }

    /// Ends the postponed attempt of a request, if it has one, as not sent.
    fn drop_postponed(&mut self, request: u32) {
        if let Some(attempt) = self.upstreams.remove_postponed(request) {
            self.report_outcome(attempt, Outcome::NotSent);
        }
    }

    fn report_outcome(&mut self, attempt: UpstreamAttempt, outcome: Outcome) {
        self.report_attempt_end(attempt, outcome, None);
    }

    /// Reports the end of an attempt to the request table or the decision module, and forwards an
    /// answer to a client that still waits for one.
    fn report_attempt_end(
        &mut self,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        answer: Option<Answer>,
    ) {
        let now = self.event_loop.now();
        match attempt {
            UpstreamAttempt::Request { request, attempt } => {
                let waiting_connection =
                    self.requests.attempt_ended(now, request, attempt, outcome);
                if let (Some(connection), Some(answer)) = (waiting_connection, answer) {
                    self.forward_answer(connection, &answer);
                }
            }
            UpstreamAttempt::HealthCheck { backend, sent_at } => {
                let event = Event::HealthCheckEnded {
                    backend,
                    latency: now.saturating_sub(sent_at),
                    outcome,
                    load_report: Vec::new(),
                };
                self.requests.feed(now, event);
            }
        }
    }

    fn forward_answer(&mut self, connection: u32, answer: &Answer) {
        let http1::Start::Response { status } = answer.head.start else {
            return;
        };
        let headers: Vec<(&str, &str)> = answer.head.end_to_end_headers().collect();
        let reply = Reply {
            headers: &headers,
            ..Reply::new(status, &answer.body)
        };
        self.reply(connection, AnswerReason::Forwarded, reply);
        self.clients.push_answered(connection);
    }
}
