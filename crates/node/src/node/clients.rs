//! Handles client connections: reading messages, answering, closing.

use rustix::event::epoll::EventFlags;

use super::Node;
use crate::counters::{AnswerReason, CloseReason};
use crate::downstream::{
    self, ForwardedRequest, InvalidRequest, LocalReplyHead, Message, ReadEvent, Reply, Route,
};
use crate::event_loop::{PEER_CLOSED, TimerEvent};
use crate::http1::ParseError;
use crate::request_table::{LocalReply, OpenError, OpenedRequest, RequestSpec};
use crate::ring_buffer::WriteOutcome;
use crate::rules::{ClientState, ClosePermit, Denial, Violation};

/// Body of the answer while discovery has sent nothing since the start.
const NOT_SYNCED: &[u8] = b"discovery has not spoken\n";
/// Body of the answer to a client that has closed its side after sending a request, if the request
/// was not executed.
const CLIENT_DISCONNECTED_REJECTED: &[u8] = b"refused: the client has left, nothing ran\n";
/// Body of the answer to a client that has closed its side after sending a request, if the request
/// may have been executed.
const CLIENT_DISCONNECTED_FAILED: &[u8] = b"failed: the client has left\n";
/// Body of the answer to a request behind which more is sent than the node reads, if the request
/// was not executed.
const CLIENT_STATE_UNKNOWN_REJECTED: &[u8] =
    b"refused: too much is sent behind the request, nothing ran\n";
/// Body of the answer to a request behind which more is sent than the node reads, if the request
/// may have been executed.
const CLIENT_STATE_UNKNOWN_FAILED: &[u8] = b"failed: too much is sent behind the request\n";

impl Node {
    /// Closes a client connection; `_permit` shows that the rules allow this. If a request on the
    /// connection waits for its answer, reports that its client has disconnected, and ends its
    /// attempt unless the attempt is completely written. Returns whether the connection was open.
    pub(super) fn close_client(
        &mut self,
        number: u32,
        _permit: ClosePermit,
        reason: CloseReason,
    ) -> bool {
        let Some(mut connection) = self.clients.remove(number) else {
            return false;
        };
        let now = self.event_loop.now();
        self.diagnostics.count_closed(reason);
        self.diagnostics.trace(
            now,
            format_args!("closed connection={number} why={}", reason.name()),
        );
        if let Some(request) = connection.request() {
            if !reason.is_by_client() {
                self.report_violation(
                    Violation::ClosedUnanswered,
                    format_args!("connection={number}"),
                );
            }
            self.requests.client_disconnected(now, request);
            self.cancel_unwritten(request);
        }
        connection.close_gracefully();
        true
    }

    /// Closes a connection that its client has closed or that has failed.
    fn drop_client(&mut self, number: u32, reason: CloseReason) {
        self.close_client(number, ClosePermit::client_or_process_ended(), reason);
    }

    pub(super) fn client_deadline_due(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        if !connection.is_due(number, &mut self.event_loop) {
            return;
        }
        if connection.extend_for_body_pace(self.event_loop.now()) {
            return self.flush_client(number);
        }
        if connection.has_partial_message() {
            if connection.has_parsable_input() {
                let subject = format_args!("connection={number}");
                self.report_violation(Violation::UnparsedInput, subject);
            }
            return self.reply_incomplete(number);
        }
        // On an idle connection, a request may have arrived since this iteration's poll, so the
        // rules decide whether the connection may be closed.
        if connection.is_idle() {
            self.close_if_allowed(number, CloseReason::TimedOut);
        } else {
            self.close_client(
                number,
                ClosePermit::deadline_passed(),
                CloseReason::TimedOut,
            );
        }
    }

    /// Answers a request that is not complete, or behind which bytes stand that may belong to it.
    pub(super) fn reply_incomplete(&mut self, number: u32) {
        let Some(connection) = self.clients.get(number) else {
            return;
        };
        let now = self.event_loop.now();
        let incomplete = connection.incomplete_message(number, now);
        self.diagnostics.log(now, "incomplete-request", incomplete);
        let reply = Reply::closing(408, b"the request did not come whole\n");
        self.reply(number, AnswerReason::Incomplete, reply);
        self.clients.push_answered(number);
    }

    pub(super) fn client_ready(&mut self, number: u32, flags: EventFlags) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        if flags.intersects(PEER_CLOSED) {
            connection.note_peer_closed();
        }
        // With a full inbox the end of the stream can't be read, and every poll would report it
        // again.
        if connection.is_peer_closed() && connection.is_input_full() {
            self.handle_client_eof(number);
        } else {
            self.read_client(number);
        }
    }

    /// Reads a connection and handles one message. A further message that has already arrived is
    /// handled a tick later, so that a client that sends continuously can't block the loop.
    pub(super) fn read_client(&mut self, number: u32) {
        let now = self.event_loop.now();
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        if connection.flush(now) == WriteOutcome::Broken {
            return self.drop_client(number, CloseReason::Broken);
        }
        match connection.read(now, self.event_loop.previous_poll_at()) {
            ReadEvent::Incomplete => self.reject_if_close_is_hidden(number),
            ReadEvent::RetryLater => return connection.pause(number, &mut self.event_loop),
            ReadEvent::EndOfStream => return self.handle_client_eof(number),
            ReadEvent::Broken => return self.drop_client(number, CloseReason::Broken),
            ReadEvent::Invalid(error) => self.reply_parse_error(number, error),
            ReadEvent::Message(message) => self.handle_message(number, message),
        }
        self.flush_client(number);
    }

    /// Answers bytes that can't be read. If they stand behind a request that waits for its answer,
    /// the length of that request is wrong: it is abandoned, and gets this answer.
    fn reply_parse_error(&mut self, number: u32, error: ParseError) {
        let request = self.clients.get(number).and_then(|c| c.request());
        if let Some(request) = request {
            self.abandon_request(request);
        }
        let status = error.status();
        self.diagnostics.log(
            self.event_loop.now(),
            "bad-request",
            format_args!("status={status} why={error:?}"),
        );
        let reply = Reply::closing(status, b"the request can't be read\n");
        self.reply(number, AnswerReason::Unparsable, reply);
    }

    fn handle_message(&mut self, number: u32, message: Message) {
        let now = self.event_loop.now();
        let elapsed = now.saturating_sub(message.started_at);
        let client = match self.clients.get(number) {
            Some(connection) => connection.client_state(),
            None => ClientState::Disconnected,
        };
        match downstream::route(message.head, message.body, &self.deployment, elapsed) {
            // The client may have disconnected, so its request must not be executed. If the client
            // has closed only its sending side, it still waits for an answer.
            Route::Request { .. } if client == ClientState::Disconnected => {
                self.diagnostics
                    .trace(now, format_args!("client-closed connection={number}"));
                self.count_client_denial(Denial::ClientDisconnected, number);
                let reply = Reply::closing(503, CLIENT_DISCONNECTED_REJECTED);
                self.reply(number, AnswerReason::ClientDisconnected, reply);
            }
            // The connection stays open: each of the requests behind this one gets an answer too.
            Route::Request { .. } if client == ClientState::Unknown => {
                self.count_client_denial(Denial::ClientStateUnknown, number);
                let reply = Reply::new(503, CLIENT_STATE_UNKNOWN_REJECTED);
                self.reply(number, AnswerReason::ClientStateUnknown, reply);
            }
            // A backend of the cached list may be draining by what discovery knows.
            Route::Request { .. } if !self.discovery.is_synced() => {
                let reply = Reply::new(503, NOT_SYNCED);
                self.reply(number, AnswerReason::NotSynced, reply);
            }
            Route::Health => self.reply_health(number),
            Route::Invalid(invalid) => self.reply_invalid(number, invalid),
            Route::Request { spec, payload } => self.open_request(number, spec, payload),
        }
    }

    fn reply_invalid(&mut self, number: u32, invalid: InvalidRequest) {
        let InvalidRequest { status, reason } = invalid;
        self.diagnostics.log(
            self.event_loop.now(),
            "bad-request",
            format_args!("status={status} why={reason}"),
        );
        let allow = invalid.allow().map(|methods| ("allow", methods));
        let body = format!("{reason}\n");
        let reply = Reply {
            headers: allow.as_slice(),
            ..Reply::new(status, body.as_bytes())
        };
        self.reply(number, AnswerReason::Invalid, reply);
    }

    fn reply_health(&mut self, number: u32) {
        let reply = if self.shutdown.is_draining() {
            Reply::new(503, b"ending\n")
        } else if !self.discovery.is_synced() {
            Reply::new(503, NOT_SYNCED)
        } else if !self.discovery.has_ready() {
            Reply::new(503, b"no backend is ready\n")
        } else {
            Reply::new(200, b"ok\n")
        };
        self.reply(number, AnswerReason::Health, reply);
    }

    /// Handles the end of a client's input. A full close can't be distinguished from a half-close,
    /// so the client's request is abandoned; but a client that has closed only its sending side
    /// waits for an answer, and gets one.
    fn handle_client_eof(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        connection.note_peer_closed();
        if let Some(request) = connection.request() {
            self.reply_to_disconnected(number, request);
        } else if connection.is_outbox_empty() {
            return self.drop_client(number, CloseReason::ClientDisconnected);
        }
        // The client may still read: sends the rest of its answer.
        self.flush_client(number);
    }

    fn reply_to_disconnected(&mut self, number: u32, request: u32) {
        let reply = if self.abandon_request(request) {
            Reply::closing(503, CLIENT_DISCONNECTED_REJECTED)
        } else {
            Reply::closing(502, CLIENT_DISCONNECTED_FAILED)
        };
        self.reply(number, AnswerReason::ClientDisconnected, reply);
    }

    /// Ends a request whose client can't be served, with its attempt unless that is completely
    /// written. Returns whether the request may be rejected.
    fn abandon_request(&mut self, request: u32) -> bool {
        // An attempt that has not been completely written is never executed.
        let is_unwritten = self.upstreams.has_unwritten(request);
        let is_rejectable = self.requests.may_reject(request, is_unwritten);
        self.requests
            .client_disconnected(self.event_loop.now(), request);
        self.cancel_unwritten(request);
        is_rejectable
    }

    /// Answers a request that waits to be sent if its client has sent so much behind it that a
    /// close would not be seen. An attempt that is completely written goes on.
    fn reject_if_close_is_hidden(&mut self, number: u32) {
        let connection = self.clients.get(number);
        let hidden = connection.filter(|c| c.client_state() == ClientState::Unknown);
        let Some(request) = hidden.and_then(|c| c.request()) else {
            return;
        };
        if self.requests.has_attempt_in_flight(request) && !self.upstreams.has_unwritten(request) {
            return;
        }
        self.count_client_denial(Denial::ClientStateUnknown, number);
        let reply = if self.abandon_request(request) {
            Reply::new(503, CLIENT_STATE_UNKNOWN_REJECTED)
        } else {
            Reply::new(502, CLIENT_STATE_UNKNOWN_FAILED)
        };
        self.reply(number, AnswerReason::ClientStateUnknown, reply);
    }

    fn open_request(&mut self, number: u32, mut spec: RequestSpec, payload: ForwardedRequest) {
        let now = self.event_loop.now();
        if let Some(last_answers_at) = self.shutdown.last_answers_at() {
            if now >= last_answers_at {
                let reply = Reply::closing(503, b"the node ends\n");
                return self.reply(number, AnswerReason::Rejected, reply);
            }
            // Limits the timeout of the request to the time of the last answers: an attempt that is
            // in flight when the process ends is cut off, so its request fails.
            spec.client_timeout = spec.client_timeout.min(last_answers_at - now);
        }
        let opened = match self.requests.open(now, number, spec, payload) {
            Ok(opened) => opened,
            Err(error) => return self.reply_open_error(number, error),
        };
        let OpenedRequest {
            id: request,
            guard_at,
        } = opened;
        if let Some(connection) = self.clients.get_mut(number) {
            connection.set_request(request);
        }
        self.diagnostics.trace(
            now,
            format_args!("opened connection={number} request={request}"),
        );
        // Finding the idempotency key requires a search of the headers, so it is done only if the
        // trace is on.
        if self.diagnostics.is_tracing()
            && let Some(payload) = self.requests.payload(request)
        {
            let key = payload.idempotency_key();
            self.diagnostics
                .trace(now, format_args!("accepted id={request} key={key}"));
        }
        self.event_loop
            .schedule(guard_at, TimerEvent::DeadlineGuard(request));
    }

    fn reply_open_error(&mut self, number: u32, error: OpenError) {
        let now = self.event_loop.now();
        let (reason, reply) = match error {
            OpenError::TableFull => {
                self.diagnostics.log(now, "requests-full", "rejected");
                let reply = Reply::new(503, b"too many requests are held\n");
                (AnswerReason::TableFull, reply)
            }
            OpenError::DuplicateId => {
                let details = "status=409 why=its X-Txn is open";
                self.diagnostics.log(now, "bad-request", details);
                let reply = Reply::new(409, b"a request with this X-Txn is open\n");
                (AnswerReason::RepeatedId, reply)
            }
            OpenError::ExecutedId => {
                let details = "status=409 why=its X-Txn may have been executed";
                self.diagnostics.log(now, "bad-request", details);
                let reply = Reply::new(409, b"a request with this X-Txn may have been executed\n");
                (AnswerReason::RepeatedId, reply)
            }
        };
        self.reply(number, reason, reply);
    }

    /// Queues an answer on a connection. The connection closes after the answer if `reply` says so,
    /// the node is shutting down, or the client has closed its side.
    pub(super) fn reply(&mut self, number: u32, reason: AnswerReason, reply: Reply) {
        let is_draining = self.shutdown.is_draining();
        if let Some(connection) = self.clients.get_mut(number) {
            let now = self.event_loop.now();
            self.diagnostics
                .count_answered(now, number, reply.status, reason);
            let reply = Reply {
                close: reply.close || is_draining || connection.is_peer_closed(),
                ..reply
            };
            connection.queue_reply(now, reply);
        }
    }

    pub(super) fn send_local_reply(&mut self, number: u32, local_reply: LocalReply) {
        let head = LocalReplyHead::new(local_reply);
        let retry_after = head
            .retry_after
            .as_deref()
            .map(|seconds| ("retry-after", seconds));
        let (reason, body) = match local_reply {
            LocalReply::Rejected { .. } => (
                AnswerReason::Rejected,
                "refused: trying again is harmless\n",
            ),
            LocalReply::Failed => (AnswerReason::Failed, "failed\n"),
            LocalReply::TimedOut => (AnswerReason::TimedOut, "no answer in time\n"),
        };
        let reply = Reply {
            headers: retry_after.as_slice(),
            ..Reply::new(head.status, body.as_bytes())
        };
        self.reply(number, reason, reply);
        self.clients.push_answered(number);
    }

    /// Writes pending output, then updates the connection's registered events and its deadline.
    pub(super) fn flush_client(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        let flushed =
            connection.flush_and_register(number, &mut self.event_loop, &mut self.diagnostics);
        if let Err(reason) = flushed {
            self.drop_client(number, reason);
        }
    }
}
