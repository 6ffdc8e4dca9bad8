//! The loop's side of fetches: starting attempts, the pool, and how attempts ended.

use kitefork_balancer::{BackendId, Event, Nanos, Outcome};
use rustix::event::PollFlags;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::{BOTH, Due, FETCH, MIN_RETRY, Node, PostponedDial, READ, token};
use crate::client::HARDLY_MISSED;
use crate::clock::MS;
use crate::descriptor_budget::Purpose;
use crate::errno::{self, ErrorClass};
use crate::fetch::{self, Fetch, Job, Progress, Reuse};
use crate::http1;
use crate::net;
use crate::ring_buffer::Body;
use crate::rules::{self, Denial, WriteFacts};

/// A turn of the loop that has lasted longer than this has old news of its clients.
const LONG_TURN: Nanos = 5 * MS;
/// News of the list that have lain unread for no longer than this are waited for by no attempt: the
/// grace of drains has more than this to spare.
const OLD_NEWS: Nanos = 20 * MS;

/// Why a connection to a backend could not be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DialError {
    /// The backend can't be reached or may not be sent to.
    Endpoint,
    /// This machine or process lacks something for a moment.
    Local,
}

impl Node {
    pub(super) fn start_fetch(
        &mut self,
        backend: BackendId,
        job: Job,
        until: Nanos,
        write_by: Nanos,
    ) {
        // Its client may have left between the decision and here.
        if let Job::Request { req, .. } = job
            && !self.reqs.waits(req)
        {
            return self.report(job, Outcome::NotSent, None);
        }
        let connect_timeout = self.deployment.connect_timeout;
        let number = match self.connection(backend) {
            Ok(number) => number,
            Err(DialError::Endpoint) => return self.report(job, Outcome::ConnectFailed, None),
            Err(DialError::Local) => {
                let give_up = until
                    .min(write_by)
                    .min(self.now.saturating_add(connect_timeout));
                return self.postpone(PostponedDial {
                    backend,
                    job,
                    until,
                    write_by,
                    give_up,
                });
            }
        };
        self.begin_fetch(number, job, until, write_by);
    }

    fn begin_fetch(&mut self, number: u32, job: Job, until: Nanos, write_by: Nanos) {
        let connect_timeout = self.deployment.connect_timeout;
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        (fetch.job, fetch.until, fetch.write_by) = (Some(job), until, write_by);
        fetch.waited_for_news = false;
        let by = match fetch.phase {
            fetch::Phase::Connecting => until
                .min(write_by)
                .min(self.now.saturating_add(connect_timeout)),
            _ => until.min(write_by),
        };
        fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
        self.go_on(number, false);
    }

    /// An attempt whose connection this machine can't start now is neither a failed one nor speaks
    /// against the backend: it is tried again for as long as a connection may take.
    fn postpone(&mut self, dial: PostponedDial) {
        self.counters.add("dial", "postponed");
        if self.postponed.is_empty() {
            self.wheel.schedule(self.now + MIN_RETRY, Due::Redial);
        }
        self.postponed.push(dial);
    }

    pub(super) fn redial(&mut self) {
        for dial in std::mem::take(&mut self.postponed) {
            let gone = matches!(dial.job, Job::Request { req, .. } if !self.reqs.waits(req));
            if gone || self.now >= dial.give_up {
                self.report(dial.job, Outcome::NotSent, None);
                continue;
            }
            match self.connection(dial.backend) {
                Ok(number) => self.begin_fetch(number, dial.job, dial.until, dial.write_by),
                Err(DialError::Endpoint) => self.report(dial.job, Outcome::ConnectFailed, None),
                Err(DialError::Local) => self.postpone(dial),
            }
        }
    }

    /// Ends the postponed attempt of a request, if it has one: it never ran.
    pub(super) fn drop_postponed(&mut self, req: u32) {
        if let Some(place) = self
            .postponed
            .iter()
            .position(|dial| dial.job.is_attempt_of(req))
        {
            let dial = self.postponed.remove(place);
            self.report(dial.job, Outcome::NotSent, None);
        }
    }

    /// Whether the attempt of a request that is out, if one is, has not been written whole and so
    /// never ran.
    pub(super) fn is_unwritten(&self, req: u32) -> bool {
        self.postponed
            .iter()
            .any(|dial| dial.job.is_attempt_of(req))
            || self
                .fetches
                .iter()
                .any(|(_, fetch)| fetch.is_unwritten_of(req))
    }

    /// Begins the request of a connection that is up, if the rules still allow it by a fresh
    /// reading of the clock and of the client's connection.
    fn begin_request(&mut self, number: u32) {
        let now = self.clock.read();
        if self.waits_for_news(number, now) {
            return self.retry_fetch(number);
        }
        let Some(fetch) = self.fetches.get(number) else {
            return;
        };
        let Some(job) = fetch.job else { return };
        let (until, write_by, backend) = (fetch.until, fetch.write_by, fetch.backend);
        let facts = WriteFacts {
            answered: matches!(job, Job::Request { req, .. } if !self.reqs.waits(req)),
            client_gone: matches!(job, Job::Request { req, .. } if self.client_is_gone(req, now)),
            backend_ready: self.fleet.endpoint(backend).is_some(),
            until,
            write_by,
        };
        let permit = match rules::may_write(now, &facts) {
            Ok(permit) => permit,
            Err(denial) => return self.deny_write(number, denial),
        };
        let bytes = match job {
            Job::Probe { .. } => http1::write("GET /ping HTTP/1.1", [("host", "kitefork")], None),
            Job::Request { req, .. } => match self.reqs.cargo(req) {
                Some(call) => call.bytes(permit.told_ms()),
                None => return,
            },
        };
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        if !fetch.begin(&bytes) {
            return self.end_fetch(number, Outcome::ConnectFailed);
        }
        self.go_on(number, false);
        if let Err(violation) = permit.check(self.clock.read()) {
            self.violated(violation, format_args!("upstream={number}"));
        }
    }

    /// Whether the client of a request has left. Its connection is looked at anew where this turn
    /// has lasted.
    fn client_is_gone(&self, req: u32, now: Nanos) -> bool {
        let session = self
            .reqs
            .owner(req)
            .and_then(|owner| self.sessions.get(owner));
        session.is_none_or(|session| {
            session.left
                || (self.turn_has_lasted(now, LONG_TURN) && net::has_peer_closed(&session.socket))
        })
    }

    /// Whether what this turn's look has found may be older than this by now.
    fn turn_has_lasted(&self, now: Nanos, span: Nanos) -> bool {
        now.saturating_sub(self.now) > span
    }

    /// Whether an attempt has to wait for news of the list, which go before a send: where this turn
    /// has lasted, they may have come since its look. It waits once, as discovery may never stop
    /// talking.
    fn waits_for_news(&mut self, number: u32, now: Nanos) -> bool {
        if !self.turn_has_lasted(now, OLD_NEWS) || !self.has_unread_news() {
            return false;
        }
        let Some(fetch) = self.fetches.get_mut(number) else {
            return false;
        };
        if std::mem::replace(&mut fetch.waited_for_news, true) {
            return false;
        }
        // Its connection is up, so the time for that no longer counts.
        fetch.deadline.set(
            fetch.until.min(fetch.write_by),
            &mut self.wheel,
            Due::Fetch(number),
        );
        true
    }

    /// Whether discovery has said something that is not read, as far as that can be known.
    fn has_unread_news(&self) -> bool {
        self.calls
            .iter()
            .any(|(_, call)| net::is_ready(&call.socket, PollFlags::IN).unwrap_or(true))
    }

    /// Ends an attempt of which nothing has been written, and which must not be.
    fn deny_write(&mut self, number: u32, denial: Denial) {
        self.count_denial(denial, format_args!("upstream={number}"));
        let outcome = match denial {
            Denial::BackendNotReady | Denial::DeadlinePassed | Denial::WindowClosed => {
                Outcome::ConnectFailed
            }
            _ => Outcome::NotSent,
        };
        self.end_fetch(number, outcome);
    }

    /// A connection to a backend: the newest idle one that is sound, or a new one.
    fn connection(&mut self, backend: BackendId) -> Result<u32, DialError> {
        let endpoint = self.fleet.endpoint(backend).ok_or(DialError::Endpoint)?;
        while let Some(number) = self.pool.take(backend, self.now) {
            let Some(fetch) = self.fetches.get_mut(number) else {
                continue;
            };
            let sound = fetch.soundness();
            self.pool.note(sound, self.now);
            // After a stall the wheel has not yet told that it stands idle for too long.
            if self.now < fetch.until && sound == Reuse::Yes {
                fetch.phase = fetch::Phase::Connected;
                return Ok(number);
            }
            self.fetches.remove(number);
        }
        if !self.room_for_fetch() {
            self.log.line(
                self.now,
                "upstream-connections-full",
                format_args!("open={}", self.fetches.len()),
            );
            return Err(DialError::Local);
        }
        self.trace.line(
            self.now,
            format_args!("connect b={} open={}", backend.0, self.fetches.len()),
        );
        let opened = net::dial(endpoint).and_then(|socket| {
            self.fetches
                .insert(Fetch::new(socket, backend, &self.budget))
                .ok_or(Errno::MFILE)
        });
        opened.map_err(|error| {
            self.log.line(
                self.now,
                "dial-failed",
                format_args!("backend={} {error}", backend.0),
            );
            match errno::of_connect(error) {
                ErrorClass::ConnectionLost => DialError::Endpoint,
                _ => DialError::Local,
            }
        })
    }

    /// Has the events given for a fetch that its phase wants; a little later where that fails now.
    fn watch_fetch(&mut self, number: u32) {
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        let wanted = match fetch.phase {
            fetch::Phase::Connecting | fetch::Phase::Connected | fetch::Phase::Sending => BOTH,
            fetch::Phase::Waiting | fetch::Phase::Idle => READ,
        };
        if let Err(error) =
            fetch
                .registration
                .set(&self.epoll, &fetch.socket, token(FETCH, number), wanted)
        {
            self.log.line(self.now, "epoll-failed", error);
            if errno::of_register(error) != ErrorClass::RetryLater {
                let outcome = fetch.broken(Outcome::Reset);
                return self.end_fetch(number, outcome);
            }
            self.wheel
                .schedule(self.now + MIN_RETRY, Due::ResumeFetch(number));
        }
    }

    /// The machine lacks something for a moment, or there is news to be read first: the fetch is
    /// gone on with a little later, and has no event before that, which would come without a pause.
    fn retry_fetch(&mut self, number: u32) {
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        // Where this fails too, events come early and find the same.
        let _ = fetch.registration.set(
            &self.epoll,
            &fetch.socket,
            token(FETCH, number),
            EventFlags::empty(),
        );
        self.wheel
            .schedule(self.now + MIN_RETRY, Due::ResumeFetch(number));
    }

    /// Whether another connection to a backend may be held; what can best be missed closes for it.
    fn room_for_fetch(&mut self) -> bool {
        if self
            .ledger
            .fits(Purpose::Fetch, self.fetches.len(), self.sessions.len())
        {
            return true;
        }
        let lends = self.ledger.lends(Purpose::Session, self.sessions.len());
        let session = if lends {
            self.eviction_candidate()
        } else {
            None
        };
        if let Some((.., number)) = session.filter(|(class, ..)| *class <= HARDLY_MISSED) {
            return self.evict(number);
        }
        if let Some(idle) = self.pool.evict() {
            return self.fetches.remove(idle).is_some();
        }
        session.is_some_and(|(.., number)| self.evict(number))
    }

    /// Moves a fetch on as far as its socket lets it.
    pub(super) fn go_on(&mut self, number: u32, ready: bool) {
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        let before = fetch.phase;
        // A connection that has come up, or taken more, through a stall: its time may be over
        // though the wheel has not said so yet.
        let unwritten = !matches!(before, fetch::Phase::Waiting | fetch::Phase::Idle);
        if unwritten && (self.now > fetch.write_by || self.now >= fetch.until) {
            return self.end_fetch(number, Outcome::ConnectFailed);
        }
        match fetch.go_on(ready) {
            Progress::Connected => self.begin_request(number),
            Progress::Later => self.retry_fetch(number),
            Progress::Going => {
                let by = match fetch.phase {
                    fetch::Phase::Waiting => fetch.until,
                    _ => fetch.until.min(fetch.write_by),
                };
                if fetch.phase != before {
                    fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
                }
                self.watch_fetch(number);
            }
            Progress::Answered(head, body, reuse) => self.answered(number, &head, body, reuse),
            Progress::Failed(outcome) => self.end_fetch(number, outcome),
            Progress::Stale(reuse) => {
                let backend = fetch.backend;
                self.pool.note(reuse, self.now);
                self.pool.remove(backend, number);
                self.fetches.remove(number);
            }
        }
    }

    pub(super) fn answered(&mut self, number: u32, head: &http1::Head, body: Body, reuse: Reuse) {
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        let (job, backend) = (fetch.job.take(), fetch.backend);
        self.pool.note(reuse, self.now);
        // A backend that is leaving gets its connections closed.
        if reuse == Reuse::Yes && self.fleet.endpoint(backend).is_some() {
            fetch.phase = fetch::Phase::Idle;
            // Clearly before the backend's machine would close it: what crosses that close is a
            // reset.
            let by = self.now.saturating_add(self.deployment.idle_limit / 4 * 3);
            fetch.until = by;
            fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
            self.pool.put(backend, number, self.now);
        } else {
            self.fetches.remove(number);
        }
        if let Some(job) = job {
            self.report(job, fetch::outcome(head), Some((head, body)));
        }
    }

    /// A req has lost its client: an attempt that is not written whole is not written at all, also
    /// where the deployment lets no attempt be called off.
    pub(super) fn call_off(&mut self, req: u32) {
        let found = self
            .fetches
            .iter()
            .find(|(_, fetch)| fetch.is_unwritten_of(req))
            .map(|(number, _)| number);
        if let Some(number) = found {
            self.end_fetch(number, Outcome::NotSent);
        }
        self.drop_postponed(req);
    }

    /// Closes a fetch's connection, and only then tells how its attempt ended.
    pub(super) fn end_fetch(&mut self, number: u32, outcome: Outcome) {
        if let Some(Fetch { job: Some(job), .. }) = self.fetches.remove(number) {
            self.report(job, outcome, None);
        }
    }

    pub(super) fn report(
        &mut self,
        job: Job,
        outcome: Outcome,
        answer: Option<(&http1::Head, Body)>,
    ) {
        match job {
            Job::Request { req, attempt } => {
                let owner = self.reqs.ended(self.now, req, attempt, outcome);
                if let (Some(owner), Some((head, body))) = (owner, answer) {
                    let headers: Vec<(&str, &str)> = head.end_to_end_headers().collect();
                    let http1::Start::Response { status } = head.start else {
                        return;
                    };
                    self.reply(owner, status, &headers, &body, false);
                    self.answered.push_back(owner);
                }
            }
            Job::Probe { backend, sent } => {
                let latency = self.now.saturating_sub(sent);
                self.reqs.feed(
                    self.now,
                    Event::HealthCheckEnded {
                        backend,
                        latency,
                        outcome,
                        load_report: Vec::new(),
                    },
                );
            }
        }
    }

    pub(super) fn fetch_due(&mut self, number: u32) {
        let Some(fetch) = self.fetches.get_mut(number) else {
            return;
        };
        if !fetch
            .deadline
            .is_due(self.now, &mut self.wheel, Due::Fetch(number))
        {
            return;
        }
        if fetch.phase == fetch::Phase::Idle {
            let backend = fetch.backend;
            self.pool.remove(backend, number);
            self.fetches.remove(number);
        } else {
            let outcome = fetch.broken(Outcome::Timeout);
            self.end_fetch(number, outcome);
        }
    }

    pub(super) fn close_idle(&mut self, backend: BackendId) {
        for number in self.pool.drain(backend) {
            self.fetches.remove(number);
        }
    }
}
