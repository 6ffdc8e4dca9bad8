//! The loop's side of fetches: starting attempts, the pool, and how attempts ended.

use kitefork_balancer::{BackendId, Event, Nanos, Outcome};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::{Node, PostponedDial};
use crate::clock::MS;
use crate::descriptor_budget::Purpose;
use crate::downstream::Reply;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{MIN_RETRY, READ, READ_WRITE, TimerEvent, Token};
use crate::fetch::{self, Progress, Reuse, UpstreamAttempt, UpstreamConnection};
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
    pub(super) fn start_attempt(
        &mut self,
        backend: BackendId,
        job: UpstreamAttempt,
        abandon_at: Nanos,
        write_by: Nanos,
    ) {
        // Its client may have left between the decision and here.
        if let UpstreamAttempt::Request { request, .. } = job
            && !self.requests.is_waiting(request)
        {
            return self.report(job, Outcome::NotSent, None);
        }
        let connect_timeout = self.deployment.connect_timeout;
        let number = match self.connection(backend) {
            Ok(number) => number,
            Err(DialError::Endpoint) => return self.report(job, Outcome::ConnectFailed, None),
            Err(DialError::Local) => {
                let give_up = abandon_at
                    .min(write_by)
                    .min(self.event_loop.now().saturating_add(connect_timeout));
                return self.postpone(PostponedDial {
                    backend,
                    job,
                    abandon_at,
                    write_by,
                    give_up,
                });
            }
        };
        self.begin_attempt(number, job, abandon_at, write_by);
    }

    fn begin_attempt(
        &mut self,
        number: u32,
        job: UpstreamAttempt,
        abandon_at: Nanos,
        write_by: Nanos,
    ) {
        let connect_timeout = self.deployment.connect_timeout;
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        (upstream.job, upstream.abandon_at, upstream.write_by) = (Some(job), abandon_at, write_by);
        upstream.waited_for_discovery = false;
        let by = match upstream.state {
            fetch::UpstreamState::Connecting => abandon_at
                .min(write_by)
                .min(self.event_loop.now().saturating_add(connect_timeout)),
            _ => abandon_at.min(write_by),
        };
        self.event_loop.set_deadline(
            &mut upstream.deadline,
            by,
            TimerEvent::UpstreamDeadline(number),
        );
        self.advance(number, false);
    }

    /// An attempt whose connection this machine can't start now is neither a failed one nor speaks
    /// against the backend: it is tried again for as long as a connection may take.
    fn postpone(&mut self, dial: PostponedDial) {
        self.diagnostics.count("dial", "postponed");
        if self.postponed.is_empty() {
            self.event_loop.schedule(
                self.event_loop.now() + MIN_RETRY,
                TimerEvent::RetryPostponedDials,
            );
        }
        self.postponed.push(dial);
    }

    pub(super) fn retry_postponed_dials(&mut self) {
        for dial in std::mem::take(&mut self.postponed) {
            let client_gone = matches!(dial.job, UpstreamAttempt::Request { request, .. } if !self.requests.is_waiting(request));
            if client_gone || self.event_loop.now() >= dial.give_up {
                self.report(dial.job, Outcome::NotSent, None);
                continue;
            }
            match self.connection(dial.backend) {
                Ok(number) => self.begin_attempt(number, dial.job, dial.abandon_at, dial.write_by),
                Err(DialError::Endpoint) => self.report(dial.job, Outcome::ConnectFailed, None),
                Err(DialError::Local) => self.postpone(dial),
            }
        }
    }

    /// Ends the postponed attempt of a request, if it has one: it never ran.
    pub(super) fn drop_postponed(&mut self, request: u32) {
        if let Some(place) = self
            .postponed
            .iter()
            .position(|dial| dial.job.is_attempt_of(request))
        {
            let dial = self.postponed.remove(place);
            self.report(dial.job, Outcome::NotSent, None);
        }
    }

    /// Whether the attempt of a request that is out, if one is, has not been written whole and so
    /// never ran.
    pub(super) fn is_unwritten(&self, request: u32) -> bool {
        self.postponed
            .iter()
            .any(|dial| dial.job.is_attempt_of(request))
            || self
                .upstreams
                .iter()
                .any(|(_, upstream)| upstream.is_unwritten_of(request))
    }

    /// Begins the request of a connection that is up, if the rules still allow it by a fresh
    /// reading of the clock and of the client's connection.
    fn begin_request(&mut self, number: u32) {
        let now = self.event_loop.clock().read();
        if self.waits_for_news(number, now) {
            return self.retry_upstream(number);
        }
        let Some(upstream) = self.upstreams.get(number) else {
            return;
        };
        let Some(job) = upstream.job else { return };
        let (abandon_at, write_by, backend) =
            (upstream.abandon_at, upstream.write_by, upstream.backend);
        let facts = WriteFacts {
            answered: matches!(job, UpstreamAttempt::Request { request, .. } if !self.requests.is_waiting(request)),
            client_gone: matches!(job, UpstreamAttempt::Request { request, .. } if self.client_is_gone(request, now)),
            backend_ready: self.discovery.ready_address(backend).is_some(),
            abandon_at,
            write_by,
        };
        let permit = match rules::may_write(now, &facts) {
            Ok(permit) => permit,
            Err(denial) => return self.deny_write(number, denial),
        };
        let bytes = match job {
            UpstreamAttempt::HealthCheck { .. } => {
                http1::write("GET /ping HTTP/1.1", [("host", "kitefork")], None)
            }
            UpstreamAttempt::Request { request, .. } => match self.requests.payload(request) {
                Some(call) => call.bytes(permit.timeout_ms()),
                None => return,
            },
        };
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        if !upstream.begin(&bytes) {
            return self.end_attempt(number, Outcome::ConnectFailed);
        }
        self.advance(number, false);
        if let Err(violation) = permit.check(self.event_loop.clock().read()) {
            self.report_violation(violation, format_args!("upstream={number}"));
        }
    }

    /// Whether the client of a request has left. Its connection is looked at anew where this turn
    /// has lasted.
    fn client_is_gone(&self, request: u32, now: Nanos) -> bool {
        let connection = self
            .requests
            .connection(request)
            .and_then(|number| self.clients.get(number));
        connection.is_none_or(|connection| {
            connection.is_peer_closed()
                || (self.event_loop.has_lasted(now, LONG_TURN) && connection.has_peer_closed_now())
        })
    }

    /// Whether an attempt has to wait for news of the list, which go before a send: where this turn
    /// has lasted, they may have come since its look. It waits once, as discovery may never stop
    /// talking.
    fn waits_for_news(&mut self, number: u32, now: Nanos) -> bool {
        if !self.event_loop.has_lasted(now, OLD_NEWS) || !self.discovery.has_unread_bytes() {
            return false;
        }
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return false;
        };
        if std::mem::replace(&mut upstream.waited_for_discovery, true) {
            return false;
        }
        // Its connection is up, so the time for that no longer counts.
        self.event_loop.set_deadline(
            &mut upstream.deadline,
            upstream.abandon_at.min(upstream.write_by),
            TimerEvent::UpstreamDeadline(number),
        );
        true
    }

    /// Ends an attempt of which nothing has been written, and which must not be.
    fn deny_write(&mut self, number: u32, denial: Denial) {
        self.diagnostics.count_denial(
            self.event_loop.now(),
            denial,
            format_args!("upstream={number}"),
        );
        let outcome = match denial {
            Denial::BackendNotReady | Denial::DeadlinePassed | Denial::WindowClosed => {
                Outcome::ConnectFailed
            }
            _ => Outcome::NotSent,
        };
        self.end_attempt(number, outcome);
    }

    /// A connection to a backend: the newest idle one that is sound, or a new one.
    fn connection(&mut self, backend: BackendId) -> Result<u32, DialError> {
        let endpoint = self
            .discovery
            .ready_address(backend)
            .ok_or(DialError::Endpoint)?;
        while let Some(number) = self.pool.take(backend, self.event_loop.now()) {
            let Some(upstream) = self.upstreams.get_mut(number) else {
                continue;
            };
            let sound = upstream.check_reuse();
            self.pool.note(sound, self.event_loop.now());
            // After a stall the wheel has not yet told that it stands idle for too long.
            if self.event_loop.now() < upstream.abandon_at && sound == Reuse::Yes {
                upstream.state = fetch::UpstreamState::Connected;
                return Ok(number);
            }
            self.upstreams.remove(number);
        }
        if !self.make_room_for_upstream() {
            self.diagnostics.log(
                self.event_loop.now(),
                "upstream-connections-full",
                format_args!("open={}", self.upstreams.len()),
            );
            return Err(DialError::Local);
        }
        self.diagnostics.trace(
            self.event_loop.now(),
            format_args!("connect b={} open={}", backend.0, self.upstreams.len()),
        );
        let opened = net::dial(endpoint).and_then(|socket| {
            self.upstreams
                .insert(UpstreamConnection::new(
                    socket,
                    backend,
                    &self.buffer_budget,
                ))
                .ok_or(Errno::MFILE)
        });
        opened.map_err(|error| {
            self.diagnostics.log(
                self.event_loop.now(),
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
    fn register_upstream(&mut self, number: u32) {
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        let wanted = match upstream.state {
            fetch::UpstreamState::Connecting
            | fetch::UpstreamState::Connected
            | fetch::UpstreamState::Sending => READ_WRITE,
            fetch::UpstreamState::Waiting | fetch::UpstreamState::Idle => READ,
        };
        if let Err(error) = self.event_loop.register(
            &mut upstream.registration,
            &upstream.socket,
            Token::Upstream(number),
            wanted,
        ) {
            self.diagnostics
                .log(self.event_loop.now(), "epoll-failed", error);
            if errno::of_register(error) != ErrorClass::RetryLater {
                let outcome = upstream.outcome_if_closed(Outcome::Reset);
                return self.end_attempt(number, outcome);
            }
            self.event_loop.schedule(
                self.event_loop.now() + MIN_RETRY,
                TimerEvent::ResumeUpstream(number),
            );
        }
    }

    /// The machine lacks something for a moment, or there is news to be read first: the fetch is
    /// gone on with a little later, and has no event before that, which would come without a pause.
    fn retry_upstream(&mut self, number: u32) {
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        // Where this fails too, events come early and find the same.
        let _ = self.event_loop.register(
            &mut upstream.registration,
            &upstream.socket,
            Token::Upstream(number),
            EventFlags::empty(),
        );
        self.event_loop.schedule(
            self.event_loop.now() + MIN_RETRY,
            TimerEvent::ResumeUpstream(number),
        );
    }

    /// Whether another connection to a backend may be held; what can best be missed closes for it.
    fn make_room_for_upstream(&mut self) -> bool {
        if self
            .descriptor_budget
            .fits(Purpose::Upstream, self.upstreams.len(), self.clients.len())
        {
            return true;
        }
        let lends = self
            .descriptor_budget
            .lends(Purpose::Client, self.clients.len());
        let candidate = if lends {
            self.eviction_candidate()
        } else {
            None
        };
        if let Some(expendable) = candidate.filter(|c| c.rank.is_expendable()) {
            return self.evict(expendable.number);
        }
        if let Some(idle) = self.pool.evict() {
            return self.upstreams.remove(idle).is_some();
        }
        candidate.is_some_and(|candidate| self.evict(candidate.number))
    }

    /// Moves a fetch on as far as its socket lets it.
    pub(super) fn advance(&mut self, number: u32, ready: bool) {
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        let before = upstream.state;
        // A connection that has come up, or taken more, through a stall: its time may be over
        // though the wheel has not said so yet.
        let unwritten = !matches!(
            before,
            fetch::UpstreamState::Waiting | fetch::UpstreamState::Idle
        );
        if unwritten
            && (self.event_loop.now() > upstream.write_by
                || self.event_loop.now() >= upstream.abandon_at)
        {
            return self.end_attempt(number, Outcome::ConnectFailed);
        }
        match upstream.advance(ready) {
            Progress::Connected => self.begin_request(number),
            Progress::Later => self.retry_upstream(number),
            Progress::Going => {
                let by = match upstream.state {
                    fetch::UpstreamState::Waiting => upstream.abandon_at,
                    _ => upstream.abandon_at.min(upstream.write_by),
                };
                if upstream.state != before {
                    self.event_loop.set_deadline(
                        &mut upstream.deadline,
                        by,
                        TimerEvent::UpstreamDeadline(number),
                    );
                }
                self.register_upstream(number);
            }
            Progress::Answered(head, body, reuse) => self.answered(number, &head, body, reuse),
            Progress::Failed(outcome) => self.end_attempt(number, outcome),
            Progress::Stale(reuse) => {
                let backend = upstream.backend;
                self.pool.note(reuse, self.event_loop.now());
                self.pool.remove(backend, number);
                self.upstreams.remove(number);
            }
        }
    }

    pub(super) fn answered(&mut self, number: u32, head: &http1::Head, body: Body, reuse: Reuse) {
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        let (job, backend) = (upstream.job.take(), upstream.backend);
        self.pool.note(reuse, self.event_loop.now());
        // A backend that is leaving gets its connections closed.
        if reuse == Reuse::Yes && self.discovery.ready_address(backend).is_some() {
            upstream.state = fetch::UpstreamState::Idle;
            // Clearly before the backend's machine would close it: what crosses that close is a
            // reset.
            let by = self
                .event_loop
                .now()
                .saturating_add(self.deployment.idle_limit / 4 * 3);
            upstream.abandon_at = by;
            self.event_loop.set_deadline(
                &mut upstream.deadline,
                by,
                TimerEvent::UpstreamDeadline(number),
            );
            self.pool.put(backend, number, self.event_loop.now());
        } else {
            self.upstreams.remove(number);
        }
        if let Some(job) = job {
            self.report(job, fetch::outcome(head), Some((head, body)));
        }
    }

    /// A req has lost its client: an attempt that is not written whole is not written at all, also
    /// where the deployment lets no attempt be called off.
    pub(super) fn cancel_unwritten(&mut self, request: u32) {
        let found = self
            .upstreams
            .iter()
            .find(|(_, upstream)| upstream.is_unwritten_of(request))
            .map(|(number, _)| number);
        if let Some(number) = found {
            self.end_attempt(number, Outcome::NotSent);
        }
        self.drop_postponed(request);
    }

    /// Closes a fetch's connection, and only then tells how its attempt ended.
    pub(super) fn end_attempt(&mut self, number: u32, outcome: Outcome) {
        if let Some(UpstreamConnection { job: Some(job), .. }) = self.upstreams.remove(number) {
            self.report(job, outcome, None);
        }
    }

    pub(super) fn report(
        &mut self,
        job: UpstreamAttempt,
        outcome: Outcome,
        answer: Option<(&http1::Head, Body)>,
    ) {
        match job {
            UpstreamAttempt::Request { request, attempt } => {
                let owner =
                    self.requests
                        .attempt_ended(self.event_loop.now(), request, attempt, outcome);
                if let (Some(owner), Some((head, body))) = (owner, answer) {
                    let headers: Vec<(&str, &str)> = head.end_to_end_headers().collect();
                    let http1::Start::Response { status } = head.start else {
                        return;
                    };
                    self.reply(
                        owner,
                        Reply {
                            headers: &headers,
                            ..Reply::new(status, &body)
                        },
                    );
                    self.clients.push_answered(owner);
                }
            }
            UpstreamAttempt::HealthCheck { backend, sent } => {
                let latency = self.event_loop.now().saturating_sub(sent);
                self.requests.feed(
                    self.event_loop.now(),
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

    pub(super) fn upstream_deadline_due(&mut self, number: u32) {
        let Some(upstream) = self.upstreams.get_mut(number) else {
            return;
        };
        if !self
            .event_loop
            .is_due(&mut upstream.deadline, TimerEvent::UpstreamDeadline(number))
        {
            return;
        }
        if upstream.state == fetch::UpstreamState::Idle {
            let backend = upstream.backend;
            self.pool.remove(backend, number);
            self.upstreams.remove(number);
        } else {
            let outcome = upstream.outcome_if_closed(Outcome::Timeout);
            self.end_attempt(number, outcome);
        }
    }

    /// The connections to a backend that are not established yet.
    pub(super) fn connecting_to(&self, backend: BackendId) -> Vec<u32> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.backend == backend)
            .filter(|(_, upstream)| upstream.state == fetch::UpstreamState::Connecting)
            .map(|(number, _)| number)
            .collect()
    }

    pub(super) fn close_idle(&mut self, backend: BackendId) {
        for number in self.pool.drain(backend) {
            self.upstreams.remove(number);
        }
    }
}
