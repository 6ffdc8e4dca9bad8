//! The loop's side of client sessions: taking clients, reading reqs, writing answers.

use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;
use rustix::event::epoll::{self, EventFlags};

use super::{BOTH, Due, LEFT, LISTENER, MIN_RETRY, Node, READ, SESSION, token};
use crate::client::{self, HARDLY_MISSED, Intake, Route, Session};
use crate::clock::MS;
use crate::counters::CloseReason;
use crate::descriptor_budget::Purpose;
use crate::errno::{self, ErrorClass};
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
            if !self.session_fits() {
                match net::has_client(listener) {
                    Ok(true) => {}
                    Ok(false) => return self.queue_emptied(self.now),
                    // Not known now; the listener's event comes again.
                    Err(_) => return self.retry_accept_later(),
                }
            }
            if !self.room_for_session() {
                self.log.line(
                    self.now,
                    "client-connections-full",
                    format_args!("open={}", self.sessions.len()),
                );
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match net::accept(listener) {
                Ok(socket) => {
                    self.accept_retry = MIN_RETRY;
                    self.open_session(socket);
                }
                Err(error) => match errno::of_accept(error) {
                    ErrorClass::WouldBlock => return self.queue_emptied(self.now),
                    ErrorClass::RetryNow => self.counters.add("accept", "client_disconnected"),
                    ErrorClass::RetryLater => {
                        self.log.line(self.now, "accept-failed", error);
                        return self.retry_accept_later();
                    }
                    _ => {
                        self.log.line(self.now, "accept-failed", error);
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
        self.wheel.schedule(self.now + ACCEPT_PAUSE, Due::Accept);
    }

    /// The machine lacks something for a moment, and clients wait: soon at first, then ever more
    /// seldom.
    fn retry_accept_later(&mut self) {
        self.set_accepting(false);
        self.wheel
            .schedule(self.now + self.accept_retry, Due::Accept);
        self.accept_retry = (self.accept_retry * 2).min(ACCEPT_PAUSE);
    }

    /// When the accept queue was last seen empty: read so, or by a look of the loop while it is
    /// watched.
    fn queue_empty_at(&self) -> Nanos {
        let seen = if self.queue_watched <= self.looked {
            self.looked
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
            let registered = epoll::modify(&self.epoll, listener, token(LISTENER, 0), flags);
            // Without its events no client would ever be taken again.
            if on && registered.is_err() {
                self.wheel.schedule(self.now + MIN_RETRY, Due::Accept);
            }
        }
    }

    fn session_fits(&self) -> bool {
        self.ledger
            .fits(Purpose::Session, self.sessions.len(), self.fetches.len())
    }

    /// Whether another session may be held; what can best be missed closes for it.
    fn room_for_session(&mut self) -> bool {
        if self.session_fits() {
            return true;
        }
        // One that turns out to have asked is spared no more: each turn finds another, or closes
        // one.
        for _ in 0..=self.sessions.len() {
            let spare = self.eviction_candidate();
            let hardly_missed = spare.is_some_and(|(class, ..)| class <= HARDLY_MISSED);
            if !hardly_missed
                && self.ledger.lends(Purpose::Fetch, self.fetches.len())
                && let Some(idle) = self.pool.evict()
            {
                return self.fetches.remove(idle).is_some();
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
        let Some(session) = self.sessions.get(number) else {
            return false;
        };
        match rules::may_close(session.close_facts()) {
            Ok(permit) => self.close_session(number, permit, reason),
            Err(denial) => {
                self.count_denial(denial, format_args!("connection={number}"));
                self.read_session(number);
                self.sessions.get(number).is_none()
            }
        }
    }

    /// The session that can be spared most: its class, since when, its number.
    pub(super) fn eviction_candidate(&self) -> Option<(u8, Nanos, u32)> {
        let spare = |(number, session): (u32, &Session)| {
            session
                .eviction_rank(self.now)
                .map(|(class, since)| (class, since, number))
        };
        self.sessions.iter().filter_map(spare).min()
    }

    /// Clients may hold only so many connections for requests here. Guards against some that have
    /// asked once and keep theirs for good: others then can't connect, of which nothing shows here.
    pub(super) fn trim_sessions(&mut self) {
        self.trimming = false;
        let asked = self
            .sessions
            .iter()
            .filter(|(_, session)| session.has_asked())
            .count();
        let over = asked.saturating_sub(self.ledger.most_active_sessions());
        let mut spare: Vec<(u8, Nanos, u32)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.has_asked())
            .filter_map(|(number, session)| {
                session
                    .eviction_rank(self.now)
                    .map(|(class, since)| (class, since, number))
            })
            .filter(|(class, ..)| *class <= HARDLY_MISSED)
            .collect();
        spare.sort_unstable();
        for (.., number) in spare.into_iter().take(over) {
            self.evict(number);
        }
        self.watch_sessions();
    }

    /// While there may be too many that have asked, they are looked at now and then.
    fn watch_sessions(&mut self) {
        if !self.trimming && self.sessions.len() > self.ledger.most_active_sessions() {
            self.trimming = true;
            self.wheel
                .schedule(self.now + client::TRIM, Due::TrimSessions);
        }
    }

    pub(super) fn open_session(&mut self, socket: OwnedFd) {
        let queued = self.queue_empty_at();
        let Some(number) =
            self.sessions
                .insert(Session::new(socket, self.now, queued, &self.budget))
        else {
            return;
        };
        self.watch_sessions();
        self.read_session(number);
    }

    /// Closes a session; a req that it waits for has lost its client.
    pub(super) fn close_session(
        &mut self,
        number: u32,
        _permit: ClosePermit,
        reason: CloseReason,
    ) -> bool {
        let Some(mut session) = self.sessions.remove(number) else {
            return false;
        };
        self.counters.closed(reason);
        self.trace.line(
            self.now,
            format_args!("closed connection={number} why={}", reason.name()),
        );
        let of_client = matches!(reason, CloseReason::ClientGone | CloseReason::Broken);
        if session.req.is_some() && !of_client {
            self.violated(
                Violation::ClosedUnanswered,
                format_args!("connection={number}"),
            );
        }
        if let Some(req) = session.req {
            self.reqs.gone(self.now, req);
            self.call_off(req);
        }
        session.close_gracefully();
        true
    }

    pub(super) fn session_due(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        if !session
            .deadline
            .is_due(self.now, &mut self.wheel, Due::Session(number))
        {
            return;
        }
        if session.phase == client::Phase::Open && session.outbox.is_empty() && !session.is_idle() {
            self.reply(number, 408, &[], b"the request did not come whole\n", true);
            return self.answered.push_back(number);
        }
        // On a resting one a request may have come since this turn's look at the sockets.
        if session.is_idle() {
            self.close_if_allowed(number, CloseReason::TimedOut);
        } else {
            self.close_session(number, ClosePermit::time_is_over(), CloseReason::TimedOut);
        }
    }

    pub(super) fn session_ready(&mut self, number: u32, flags: EventFlags) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        session.left |= flags.intersects(LEFT);
        // With a full inbox the end can't be read, and would be told again without a pause.
        if session.left && session.is_input_full() {
            self.client_left(number);
        } else {
            self.read_session(number);
        }
    }

    /// Reads a session and takes one message. The next one, if it has come behind it, gets its turn
    /// a tick later: a client that sends without end must not hold the loop.
    pub(super) fn read_session(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        if session.flush(self.now) == WriteOutcome::Broken {
            return self.drop_session(number, CloseReason::Broken);
        }
        match session.read(self.now, self.looked) {
            Intake::Wait => {}
            Intake::Later => return self.retry_session(number),
            Intake::Ended => return self.client_left(number),
            Intake::Broken => return self.drop_session(number, CloseReason::Broken),
            Intake::Bad(bad) => {
                let status = client::status_of(bad);
                self.log.line(
                    self.now,
                    "bad-request",
                    format_args!("status={status} why={bad:?}"),
                );
                self.reply(number, status, &[], b"the request can't be read\n", true);
            }
            Intake::Message(head, body, began) => {
                let waited = self.now.saturating_sub(began);
                let left = session.left;
                match client::route(head, body, &self.deployment, waited) {
                    // The client may have gone, so it must not run. It may also have ended its
                    // sending alone, and then it waits for an answer.
                    Route::Request(..) if left => {
                        self.trace
                            .line(self.now, format_args!("client-closed connection={number}"));
                        self.count_denial(Denial::ClientGone, format_args!("connection={number}"));
                        self.reply(number, 503, &[], LEFT_UNTRIED, true);
                    }
                    Route::Health => self.reply_health(number),
                    Route::Wrong(status, why) => {
                        self.log.line(
                            self.now,
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
                    Route::Request(ask, call) => self.open_req(number, ask, call),
                }
            }
        }
        self.flush_session(number);
    }

    /// The client has ended its sending. A close looks the same, so its request is not worked on
    /// any more; but a client that only ended its sending waits for an answer, and gets one.
    fn client_left(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        session.left = true;
        if let Some(req) = session.req {
            // What is not written yet never runs.
            let unwritten = self.is_unwritten(req);
            let untried = self.reqs.may_refuse(req, unwritten);
            self.reqs.gone(self.now, req);
            self.call_off(req);
            let (status, body) = if untried {
                (503, LEFT_UNTRIED)
            } else {
                (502, LEFT_TRIED)
            };
            self.reply(number, status, &[], body, true);
            return self.flush_session(number);
        }
        if session.outbox.is_empty() {
            self.drop_session(number, CloseReason::ClientGone);
        } else {
            // An answer is on its way to one that still reads.
            self.flush_session(number);
        }
    }

    /// Closes a session that its client has ended or broken.
    fn drop_session(&mut self, number: u32, reason: CloseReason) {
        self.close_session(number, ClosePermit::nothing_owed(), reason);
    }

    pub(super) fn reply_health(&mut self, number: u32) {
        let (status, word) = if self.is_draining() {
            (503, "ending\n")
        } else if !self.list_synced {
            (503, "discovery has not spoken\n")
        } else if !self.fleet.has_ready() {
            (503, "no backend is ready\n")
        } else {
            (200, "ok\n")
        };
        self.reply(number, status, &[], word.as_bytes(), false);
    }

    pub(super) fn open_req(&mut self, number: u32, mut ask: RequestSpec, call: client::Call) {
        if let Some(ends) = self.ends {
            if self.now >= ends {
                return self.reply(number, 503, &[], b"the node ends\n", true);
            }
            // No attempt outlives the node: what it began would be cut off and then have failed.
            ask.client_timeout = ask.client_timeout.min(ends - self.now);
        }
        let (req, last_resort) = match self.reqs.open(self.now, number, ask, call) {
            Ok(opened) => opened,
            Err(OpenError::TableFull) => {
                self.log.line(self.now, "requests-full", "rejected");
                return self.reply(number, 503, &[], b"too many requests are held\n", false);
            }
            Err(OpenError::DuplicateId) => {
                self.log
                    .line(self.now, "bad-request", "status=409 why=its X-Txn is open");
                return self.reply(
                    number,
                    409,
                    &[],
                    b"a request with this X-Txn is open\n",
                    false,
                );
            }
        };
        if let Some(session) = self.sessions.get_mut(number) {
            session.req = Some(req);
        }
        // The key is looked up among the headers: only for a trace.
        if self.trace.is_on()
            && let Some(call) = self.reqs.cargo(req)
        {
            self.trace.line(
                self.now,
                format_args!("accepted id={req} key={}", call.key()),
            );
        }
        self.wheel.schedule(last_resort, Due::Request(req));
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
        if let Some(session) = self.sessions.get_mut(number) {
            let end = end || session.left;
            session.answer(self.now, status, headers, body, end);
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
    fn retry_session(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        // Where this fails too, events come early and find the same.
        let _ = session.watch(
            &self.epoll,
            token(SESSION, number),
            EventFlags::empty(),
            self.now,
        );
        session
            .deadline
            .set(session.time_limit(), &mut self.wheel, Due::Session(number));
        self.wheel
            .schedule(self.now + MIN_RETRY, Due::NextMessage(number));
    }

    /// Writes what there is to write, and looks for the right events and deadline.
    pub(super) fn flush_session(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        let written = session.flush(self.now);
        if written == WriteOutcome::Broken {
            return self.drop_session(number, CloseReason::Broken);
        }
        if session.left && session.outbox.is_empty() && session.req.is_none() {
            let answered = session.phase == client::Phase::Lingering;
            let reason = if answered {
                CloseReason::Answered
            } else {
                CloseReason::ClientGone
            };
            return self.drop_session(number, reason);
        }
        let wanted = match (session.outbox.is_empty(), session.is_input_full()) {
            // Its end is known and would be told again without a pause.
            _ if session.left => EventFlags::OUT,
            (true, false) => READ,
            (true, true) => EventFlags::RDHUP,
            (false, false) => BOTH,
            (false, true) => EventFlags::OUT | EventFlags::RDHUP,
        };
        if written == WriteOutcome::RetryLater {
            return self.retry_session(number);
        }
        if let Err(error) = session.watch(&self.epoll, token(SESSION, number), wanted, self.now) {
            self.log.line(self.now, "epoll-failed", error);
            if errno::of_register(error) != ErrorClass::RetryLater {
                return self.drop_session(number, CloseReason::Broken);
            }
            self.wheel
                .schedule(self.now + MIN_RETRY, Due::NextMessage(number));
        }
        session
            .deadline
            .set(session.time_limit(), &mut self.wheel, Due::Session(number));
        if session.has_next() {
            self.wheel.schedule(self.now, Due::NextMessage(number));
        }
    }
}
