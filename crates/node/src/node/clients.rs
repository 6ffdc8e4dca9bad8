//! Handles client connections: reading messages, opening requests, closing.

use rustix::event::epoll::EventFlags;

use super::Node;
use super::replies::{
    CLIENT_DISCONNECTED_REJECTED, CLIENT_STATE_UNKNOWN_FAILED, CLIENT_STATE_UNKNOWN_REJECTED,
    NOT_SYNCED,
};
use crate::counters::{AnswerReason, CloseReason};
use crate::downstream::{self, ForwardedRequest, Message, ReadEvent, Reply, Route};
use crate::event_loop::{PEER_CLOSED, TimerEvent};
use crate::request_table::{OpenedRequest, RequestSpec};
use crate::ring_buffer::WriteOutcome;
use crate::rules::{ClientState, ClosePermit, Denial, Violation};

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

    /// Ends a request whose client can't be served, with its attempt unless that is completely
    /// written. Returns whether the request may be rejected.
    pub(super) fn abandon_request(&mut self, request: u32) -> bool {
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
