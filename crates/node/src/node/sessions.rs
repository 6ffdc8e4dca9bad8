//! The loop's side of client sessions: taking clients, reading reqs, writing answers.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;
use rustix::event::epoll::EventFlags;

use super::Node;
use crate::client::{self, ClientConnection, HARDLY_MISSED, ReadEvent, Route};
use crate::clock::MS;
use crate::counters::CloseReason;
use crate::descriptor_budget::Purpose;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{MIN_RETRY, PEER_CLOSED, READ, READ_WRITE, TimerEvent, Token};
use crate::net;
use crate::request_table::{LocalReply, OpenError, RequestSpec};
use crate::ring_buffer::WriteOutcome;
use crate::rules::{self, ClosePermit, Denial, Violation};

/// Answers to clients that have ended their sending behind their request.
const LEFT_UNTRIED: &[u8] = b"refused: the client has left, nothing ran\n";
const LEFT_TRIED: &[u8] = b"failed: the client has left\n";
/// When clients can't be taken, taking them goes on after this time.
pub(super) const ACCEPT_PAUSE: Nanos = 50 * MS;

impl Node {
    /// Takes every client that waits: what the kernel has accepted counts as ours. In one turn no
    /// more than its queue holds: a flood that never ends must not hold the loop.
    pub(super) fn accept(&mut self) {
        for _ in 0..=net::ACCEPT_BACKLOG {
            let Some(listener) = self.listener.as_ref().filter(|_| self.accepting) else {
                return;
            };
            // No session is given up for nobody.
            if !self.client_fits() {
                match net::has_client(listener) {
                    Ok(true) => {}
                    Ok(false) => return self.queue_emptied(self.event_loop.now()),
                    // Not known now; the listener's event comes again.
                    Err(_) => return self.retry_accept_later(),
                }
            }
            if !self.make_room_for_client() {
                self.diagnostics.log(
                    self.event_loop.now(),
                    "client-connections-full",
                    format_args!("open={}", self.clients.len()),
                );
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match net::accept(listener) {
                Ok(socket) => {
                    self.accept_retry = MIN_RETRY;
                    self.add_client(socket);
                }
                Err(error) => match errno::of_accept(error) {
                    ErrorClass::WouldBlock => return self.queue_emptied(self.event_loop.now()),
                    ErrorClass::RetryNow => self.diagnostics.count("accept", "client_disconnected"),
                    ErrorClass::RetryLater => {
                        self.diagnostics
                            .log(self.event_loop.now(), "accept-failed", error);
                        return self.retry_accept_later();
                    }
                    _ => {
                        self.diagnostics
                            .log(self.event_loop.now(), "accept-failed", error);
                        // Out of descriptors: an idle session gives up its own. No spin on what
                        // can't be taken.
                        if let Some((.., number)) = self.eviction_candidate() {
                            self.evict(number);
                        }
                        return self.pause_accepting();
                    }
                },
            }
        }
        // More wait than one turn takes: how long they have is not known any more.
        self.queue_watched = Nanos::MAX;
    }

    pub(super) fn pause_accepting(&mut self) {
        self.set_accepting(false);
        self.event_loop.schedule(
            self.event_loop.now() + ACCEPT_PAUSE,
            TimerEvent::ResumeAccepting,
        );
    }

    /// The machine lacks something for a moment, and clients wait: soon at first, then ever more
    /// seldom.
    fn retry_accept_later(&mut self) {
        self.set_accepting(false);
        self.event_loop.schedule(
            self.event_loop.now() + self.accept_retry,
            TimerEvent::ResumeAccepting,
        );
        self.accept_retry = (self.accept_retry * 2).min(ACCEPT_PAUSE);
    }

    /// When the accept queue was last seen empty: read so, or by a look of the loop while it is
    /// watched.
    fn queue_empty_at(&self) -> Nanos {
        let seen = if self.queue_watched <= self.event_loop.previous_poll_at() {
            self.event_loop.previous_poll_at()
        } else {
            0
        };
        self.queue_emptied.max(seen)
    }

    fn queue_emptied(&mut self, now: Nanos) {
        self.queue_emptied = now;
        if self.accepting {
            self.queue_watched = self.queue_watched.min(now);
        }
    }

    pub(super) fn set_accepting(&mut self, on: bool) {
        self.accepting = on;
        // What waits when accepting begins anew may have waited all the while.
        self.queue_watched = Nanos::MAX;
        if let Some(listener) = &self.listener {
            let flags = if on {
                EventFlags::IN
            } else {
                EventFlags::empty()
            };
            let registered = self.event_loop.modify(listener, Token::Listener, flags);
            // Without its events no client would ever be taken again.
            if on && registered.is_err() {
                self.event_loop.schedule(
                    self.event_loop.now() + MIN_RETRY,
                    TimerEvent::ResumeAccepting,
                );
            }
        }
    }

    fn client_fits(&self) -> bool {
        self.descriptor_budget
            .fits(Purpose::Client, self.clients.len(), self.upstreams.len())
    }

    /// Whether another session may be held; what can best be missed closes for it.
    fn make_room_for_client(&mut self) -> bool {
        if self.client_fits() {
            return true;
        }
        // One that turns out to have asked is spared no more: each turn finds another, or closes
        // one.
        for _ in 0..=self.clients.len() {
            let spare = self.eviction_candidate();
            let hardly_missed = spare.is_some_and(|(class, ..)| class <= HARDLY_MISSED);
            if !hardly_missed
                && self
                    .descriptor_budget
                    .lends(Purpose::Upstream, self.upstreams.len())
                && let Some(idle) = self.pool.evict()
            {
                return self.upstreams.remove(idle).is_some();
            }
            let Some((.., number)) = spare else {
                return false;
            };
            if self.evict(number) {
                return true;
            }
        }
        false
    }

    /// Closes a session that can be spared, unless a request has come on it that nobody has read:
    /// to its client that close would be one without an answer. Tells whether it has closed.
    pub(super) fn evict(&mut self, number: u32) -> bool {
        self.close_if_allowed(number, CloseReason::Evicted)
    }

    /// Closes a session for a reason of the node's own, if the rules allow it; else takes up what
    /// forbids it. Tells whether it has closed.
    pub(super) fn close_if_allowed(&mut self, number: u32, reason: CloseReason) -> bool {
        let Some(connection) = self.clients.get(number) else {
            return false;
        };
        match rules::may_close(connection.close_facts()) {
            Ok(permit) => self.close_client(number, permit, reason),
            Err(denial) => {
                self.diagnostics.count_denial(
                    self.event_loop.now(),
                    denial,
                    format_args!("connection={number}"),
                );
                self.read_client(number);
                self.clients.get(number).is_none()
            }
        }
    }

    /// The session that can be spared most: its class, since when, its number.
    pub(super) fn eviction_candidate(&self) -> Option<(u8, Nanos, u32)> {
        let spare = |(number, connection): (u32, &ClientConnection)| {
            connection
                .eviction_rank(self.event_loop.now())
                .map(|(class, since)| (class, since, number))
        };
        self.clients.iter().filter_map(spare).min()
    }

    /// Clients may hold only so many connections for requests here. Guards against some that have
    /// asked once and keep theirs for good: others then can't connect, of which nothing shows here.
    pub(super) fn trim_clients(&mut self) {
        self.trim_scheduled = false;
        let asked = self
            .clients
            .iter()
            .filter(|(_, connection)| connection.has_sent_message())
            .count();
        let over = asked.saturating_sub(self.descriptor_budget.max_active_clients());
        let mut spare: Vec<(u8, Nanos, u32)> = self
            .clients
            .iter()
            .filter(|(_, connection)| connection.has_sent_message())
            .filter_map(|(number, connection)| {
                connection
                    .eviction_rank(self.event_loop.now())
                    .map(|(class, since)| (class, since, number))
            })
            .filter(|(class, ..)| *class <= HARDLY_MISSED)
            .collect();
        spare.sort_unstable();
        for (.., number) in spare.into_iter().take(over) {
            self.evict(number);
        }
        self.schedule_trim();
    }

    /// While there may be too many that have asked, they are looked at now and then.
    fn schedule_trim(&mut self) {
        if !self.trim_scheduled && self.clients.len() > self.descriptor_budget.max_active_clients()
        {
            self.trim_scheduled = true;
            self.event_loop.schedule(
                self.event_loop.now() + client::TRIM_INTERVAL,
                TimerEvent::TrimClients,
            );
        }
    }

    pub(super) fn add_client(&mut self, socket: OwnedFd) {
        let queued = self.queue_empty_at();
        let Some(number) = self.clients.insert(ClientConnection::new(
            socket,
            self.event_loop.now(),
            queued,
            &self.buffer_budget,
        )) else {
            return;
        };
        self.schedule_trim();
        self.read_client(number);
    }

    /// Closes a session; a req that it waits for has lost its client.
    pub(super) fn close_client(
        &mut self,
        number: u32,
        _permit: ClosePermit,
        reason: CloseReason,
    ) -> bool {
        let Some(mut connection) = self.clients.remove(number) else {
            return false;
        };
        self.diagnostics.count_closed(reason);
        self.diagnostics.trace(
            self.event_loop.now(),
            format_args!("closed connection={number} why={}", reason.name()),
        );
        let of_client = matches!(reason, CloseReason::ClientGone | CloseReason::Broken);
        if connection.request.is_some() && !of_client {
            self.report_violation(
                Violation::ClosedUnanswered,
                format_args!("connection={number}"),
            );
        }
        if let Some(request) = connection.request {
            self.requests.client_gone(self.event_loop.now(), request);
            self.cancel_unwritten(request);
        }
        connection.close_gracefully();
        true
    }

    pub(super) fn client_deadline_due(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        if !self
            .event_loop
            .is_due(&mut connection.deadline, TimerEvent::ClientDeadline(number))
        {
            return;
        }
        if connection.state == client::ConnectionState::Open
            && connection.outbox.is_empty()
            && !connection.is_idle()
        {
            self.reply(number, 408, &[], b"the request did not come whole\n", true);
            return self.answered.push_back(number);
        }
        // On a resting one a request may have come since this turn's look at the sockets.
        if connection.is_idle() {
            self.close_if_allowed(number, CloseReason::TimedOut);
        } else {
            self.close_client(number, ClosePermit::time_is_over(), CloseReason::TimedOut);
        }
    }

    pub(super) fn client_ready(&mut self, number: u32, flags: EventFlags) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        connection.peer_closed |= flags.intersects(PEER_CLOSED);
        // With a full inbox the end can't be read, and would be told again without a pause.
        if connection.peer_closed && connection.is_input_full() {
            self.client_closed_input(number);
        } else {
            self.read_client(number);
        }
    }

    /// Reads a session and takes one message. The next one, if it has come behind it, gets its turn
    /// a tick later: a client that sends without end must not hold the loop.
    pub(super) fn read_client(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        if connection.flush(self.event_loop.now()) == WriteOutcome::Broken {
            return self.drop_client(number, CloseReason::Broken);
        }
        match connection.read(self.event_loop.now(), self.event_loop.previous_poll_at()) {
            ReadEvent::Incomplete => {}
            ReadEvent::RetryLater => return self.retry_client(number),
            ReadEvent::EndOfStream => return self.client_closed_input(number),
            ReadEvent::Broken => return self.drop_client(number, CloseReason::Broken),
            ReadEvent::Invalid(bad) => {
                let status = client::status_of(bad);
                self.diagnostics.log(
                    self.event_loop.now(),
                    "bad-request",
                    format_args!("status={status} why={bad:?}"),
                );
                self.reply(number, status, &[], b"the request can't be read\n", true);
            }
            ReadEvent::Message(head, body, began) => {
                let waited = self.event_loop.now().saturating_sub(began);
                let peer_closed = connection.peer_closed;
                match client::route(head, body, &self.deployment, waited) {
                    // The client may have gone, so it must not run. It may also have ended its
                    // sending alone, and then it waits for an answer.
                    Route::Request(..) if peer_closed => {
                        self.diagnostics.trace(
                            self.event_loop.now(),
                            format_args!("client-closed connection={number}"),
                        );
                        self.diagnostics.count_denial(
                            self.event_loop.now(),
                            Denial::ClientGone,
                            format_args!("connection={number}"),
                        );
                        self.reply(number, 503, &[], LEFT_UNTRIED, true);
                    }
                    Route::Health => self.reply_health(number),
                    Route::Wrong(status, why) => {
                        self.diagnostics.log(
                            self.event_loop.now(),
                            "bad-request",
                            format_args!("status={status} why={why}"),
                        );
                        let allow: &[(&str, &str)] = if status == 405 {
                            &[("allow", why)]
                        } else {
                            &[]
                        };
                        self.reply(number, status, allow, format!("{why}\n").as_bytes(), false);
                    }
                    Route::Request(spec, call) => self.open_request(number, spec, call),
                }
            }
        }
        self.flush_client(number);
    }

    /// The client has ended its sending. A close looks the same, so its request is not worked on
    /// any more; but a client that only ended its sending waits for an answer, and gets one.
    fn client_closed_input(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        connection.peer_closed = true;
        if let Some(request) = connection.request {
            // What is not written yet never runs.
            let unwritten = self.is_unwritten(request);
            let rejectable = self.requests.may_reject(request, unwritten);
            self.requests.client_gone(self.event_loop.now(), request);
            self.cancel_unwritten(request);
            let (status, body) = if rejectable {
                (503, LEFT_UNTRIED)
            } else {
                (502, LEFT_TRIED)
            };
            self.reply(number, status, &[], body, true);
            return self.flush_client(number);
        }
        if connection.outbox.is_empty() {
            self.drop_client(number, CloseReason::ClientGone);
        } else {
            // An answer is on its way to one that still reads.
            self.flush_client(number);
        }
    }

    /// Closes a session that its client has ended or broken.
    fn drop_client(&mut self, number: u32, reason: CloseReason) {
        self.close_client(number, ClosePermit::nothing_owed(), reason);
    }

    pub(super) fn reply_health(&mut self, number: u32) {
        let (status, word) = if self.is_draining() {
            (503, "ending\n")
        } else if !self.discovery.is_synced() {
            (503, "discovery has not spoken\n")
        } else if !self.discovery.has_ready() {
            (503, "no backend is ready\n")
        } else {
            (200, "ok\n")
        };
        self.reply(number, status, &[], word.as_bytes(), false);
    }

    pub(super) fn open_request(
        &mut self,
        number: u32,
        mut spec: RequestSpec,
        call: client::ForwardedRequest,
    ) {
        if let Some(ends) = self.ends {
            if self.event_loop.now() >= ends {
                return self.reply(number, 503, &[], b"the node ends\n", true);
            }
            // No attempt outlives the node: what it began would be cut off and then have failed.
            spec.client_timeout = spec.client_timeout.min(ends - self.event_loop.now());
        }
        let (request, guard_at) =
            match self
                .requests
                .open(self.event_loop.now(), number, spec, call)
            {
                Ok(opened) => opened,
                Err(OpenError::TableFull) => {
                    self.diagnostics
                        .log(self.event_loop.now(), "requests-full", "rejected");
                    return self.reply(number, 503, &[], b"too many requests are held\n", false);
                }
                Err(OpenError::DuplicateId) => {
                    self.diagnostics.log(
                        self.event_loop.now(),
                        "bad-request",
                        "status=409 why=its X-Txn is open",
                    );
                    return self.reply(
                        number,
                        409,
                        &[],
                        b"a request with this X-Txn is open\n",
                        false,
                    );
                }
            };
        if let Some(connection) = self.clients.get_mut(number) {
            connection.request = Some(request);
        }
        // The key is looked up among the headers: only for a trace.
        if self.diagnostics.is_tracing()
            && let Some(call) = self.requests.payload(request)
        {
            self.diagnostics.trace(
                self.event_loop.now(),
                format_args!("accepted id={request} key={}", call.key()),
            );
        }
        self.event_loop
            .schedule(guard_at, TimerEvent::DeadlineGuard(request));
    }

    /// Gives a session an answer of the node's own.
    pub(super) fn reply(
        &mut self,
        number: u32,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        end: bool,
    ) {
        let end = end || self.is_draining();
        if let Some(connection) = self.clients.get_mut(number) {
            let end = end || connection.peer_closed;
            connection.answer(self.event_loop.now(), status, headers, body, end);
        }
    }

    pub(super) fn send_local_reply(&mut self, number: u32, answer: LocalReply) {
        let (status, advice) = client::status_and_advice(answer);
        let advice = advice.as_deref().map(|seconds| ("retry-after", seconds));
        let body = match answer {
            LocalReply::Rejected { .. } => "refused: trying again is harmless\n",
            LocalReply::Failed => "failed\n",
            LocalReply::TimedOut => "no answer in time\n",
        };
        self.reply(number, status, advice.as_slice(), body.as_bytes(), false);
        self.answered.push_back(number);
    }

    /// The machine lacks something for a moment: the session is gone on with a little later, and
    /// has no event before that, which would come without a pause.
    fn retry_client(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        // Where this fails too, events come early and find the same.
        let _ = connection.watch(
            &self.event_loop,
            Token::Client(number),
            EventFlags::empty(),
            self.event_loop.now(),
        );
        let time_limit = connection.time_limit();
        self.event_loop.set_deadline(
            &mut connection.deadline,
            time_limit,
            TimerEvent::ClientDeadline(number),
        );
        self.event_loop.schedule(
            self.event_loop.now() + MIN_RETRY,
            TimerEvent::ResumeClient(number),
        );
    }

    /// Writes what there is to write, and looks for the right events and deadline.
    pub(super) fn flush_client(&mut self, number: u32) {
        let Some(connection) = self.clients.get_mut(number) else {
            return;
        };
        let written = connection.flush(self.event_loop.now());
        if written == WriteOutcome::Broken {
            return self.drop_client(number, CloseReason::Broken);
        }
        if connection.peer_closed && connection.outbox.is_empty() && connection.request.is_none() {
            let answered = connection.state == client::ConnectionState::Lingering;
            let reason = if answered {
                CloseReason::Answered
            } else {
                CloseReason::ClientGone
            };
            return self.drop_client(number, reason);
        }
        let wanted = match (connection.outbox.is_empty(), connection.is_input_full()) {
            // Its end is known and would be told again without a pause.
            _ if connection.peer_closed => EventFlags::OUT,
            (true, false) => READ,
            (true, true) => EventFlags::RDHUP,
            (false, false) => READ_WRITE,
            (false, true) => EventFlags::OUT | EventFlags::RDHUP,
        };
        if written == WriteOutcome::RetryLater {
            return self.retry_client(number);
        }
        if let Err(error) = connection.watch(
            &self.event_loop,
            Token::Client(number),
            wanted,
            self.event_loop.now(),
        ) {
            self.diagnostics
                .log(self.event_loop.now(), "epoll-failed", error);
            if errno::of_register(error) != ErrorClass::RetryLater {
                return self.drop_client(number, CloseReason::Broken);
            }
            self.event_loop.schedule(
                self.event_loop.now() + MIN_RETRY,
                TimerEvent::ResumeClient(number),
            );
        }
        let time_limit = connection.time_limit();
        self.event_loop.set_deadline(
            &mut connection.deadline,
            time_limit,
            TimerEvent::ClientDeadline(number),
        );
        if connection.has_next() {
            self.event_loop
                .schedule(self.event_loop.now(), TimerEvent::ResumeClient(number));
        }
    }
}
