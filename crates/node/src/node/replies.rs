//! The answers that the node itself gives to clients, and the queueing of all answers.

use super::Node;
use crate::counters::AnswerReason;
use crate::downstream::{InvalidRequest, LocalReplyHead, Reply};
use crate::http1::ParseError;
use crate::request_table::{LocalReply, OpenError};

/// Body of the answer while discovery has sent nothing since the start.
pub(super) const NOT_SYNCED: &[u8] = b"discovery has not spoken\n";
/// Body of the answer to a client that has closed its side after sending a request, if the request
/// was not executed.
pub(super) const CLIENT_DISCONNECTED_REJECTED: &[u8] =
    b"refused: the client has left, nothing ran\n";
/// Body of the answer to a client that has closed its side after sending a request, if the request
/// may have been executed.
pub(super) const CLIENT_DISCONNECTED_FAILED: &[u8] = b"failed: the client has left\n";
/// Body of the answer to a request behind which more is sent than the node reads, if the request
/// was not executed.
pub(super) const CLIENT_STATE_UNKNOWN_REJECTED: &[u8] =
    b"refused: too much is sent behind the request, nothing ran\n";
/// Body of the answer to a request behind which more is sent than the node reads, if the request
/// may have been executed.
pub(super) const CLIENT_STATE_UNKNOWN_FAILED: &[u8] =
    b"failed: too much is sent behind the request\n";

impl Node {
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

    /// Answers bytes that can't be read. If they stand behind a request that waits for its answer,
    /// the length of that request is wrong: it is abandoned, and gets this answer.
    pub(super) fn reply_parse_error(&mut self, number: u32, error: ParseError) {
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

    pub(super) fn reply_invalid(&mut self, number: u32, invalid: InvalidRequest) {
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

    pub(super) fn reply_health(&mut self, number: u32) {
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

    pub(super) fn reply_to_disconnected(&mut self, number: u32, request: u32) {
        let reply = if self.abandon_request(request) {
            Reply::closing(503, CLIENT_DISCONNECTED_REJECTED)
        } else {
            Reply::closing(502, CLIENT_DISCONNECTED_FAILED)
        };
        self.reply(number, AnswerReason::ClientDisconnected, reply);
    }

    pub(super) fn reply_open_error(&mut self, number: u32, error: OpenError) {
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
}
