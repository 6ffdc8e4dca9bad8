//! The loop: waits for sockets and deadlines, and carries out what is decided. One clock reading a round;
//! what sockets bring goes first, so that an answer which is there wins over its time-out.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use kitefork::{BackendId, Event, Nanos, Outcome, TimerId};
use kitefork_settings::Deployment;
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;

use crate::client::{self, Intake, Route, Session};
use crate::clock::{Clock, MS, SECOND};
use crate::config::Config;
use crate::discovery::{self, Call, Fleet, News, Update};
use crate::fetch::{self, Fetch, Job, Pool, Progress};
use crate::http1;
use crate::log::Log;
use crate::net;
use crate::req::{Order, Reqs, Synthetic};
use crate::slots::Slots;
use crate::wheel::Wheel;

/// New connections are still taken for this long after SIGTERM: the front does not know yet.
const ACCEPT_ON: Nanos = 600 * MS;
/// After SIGTERM all is over within the longest deadline, counted as 3 s where it is longer, and this:
/// SIGKILL may come 0.2 s later.
const DRAIN_MORE: Nanos = 500 * MS;
const LONGEST_DRAIN: Nanos = 3 * SECOND;
/// A probe that has no answer by then has failed.
const PROBE_PATIENCE: Nanos = 500 * MS;
/// When descriptors run out, accepting goes on after this time.
const ACCEPT_PAUSE: Nanos = 50 * MS;

/// What hangs on the wheel.
#[derive(Clone, Copy)]
enum Due {
    Session(u32),
    NextMessage(u32),
    Req(u32),
    Fetch(u32),
    Call(u32),
    Timer(TimerId),
    Accept,
    StopAccepting,
    EndDrain,
}

/// What a socket belongs to; its epoll token holds this and a number.
const LISTENER: u64 = 0;
const SIGNAL: u64 = 1;
const SESSION: u64 = 2;
const FETCH: u64 = 3;
const CALL: u64 = 4;

const READ: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);
const BOTH: EventFlags = READ.union(EventFlags::OUT);

fn token(kind: u64, number: u32) -> EventData {
    EventData::new_u64(kind << 32 | u64::from(number))
}

pub struct Node {
    clock: Clock,
    now: Nanos,
    wheel: Wheel<Due>,
    epoll: OwnedFd,
    log: Log,
    deployment: Deployment,
    discovery: std::net::SocketAddr,
    /// `None` once no more clients are taken.
    listener: Option<OwnedFd>,
    accepting: bool,
    signal: UnixStream,
    draining: bool,
    sessions: Slots<Session>,
    /// Sessions whose req has been answered: the answer is to be written, and the next message may be there.
    answered: VecDeque<u32>,
    fetches: Slots<Fetch>,
    pool: Pool,
    calls: Slots<Call>,
    rev: u64,
    fleet: Fleet,
    reqs: Reqs<client::Call>,
}

impl Node {
    /// Starts to listen. `signal` becomes readable when the node is to end.
    pub fn start(config: Config, signal: UnixStream) -> Result<Node, String> {
        let clock = Clock::start();
        let now = clock.read();
        let deployment = config.deployment;
        let settings = deployment.settings.clone();
        let tick = settings.tick.clamp(MS, 10 * MS);
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = own.map_or(config.sockets, |own| config.sockets.min(own as usize));
        // Five parts for clients, two for backends, one for the rest. At worst a connection holds a body, a
        // message on its way out and a head, under 180 KiB: seven eighths of six a megabyte fit in.
        let sockets = sockets.min(config.memory_mb.saturating_mul(6)).max(64);
        let (most_sessions, most_fetches) = (sockets * 5 / 8, sockets / 4);
        let most_reqs = most_sessions.min(deployment.most_held).max(1);
        let reqs = Reqs::new(settings, config.seed, most_reqs, now).map_err(|e| e.to_string())?;
        let wrong = |what: &'static str| move |e: Errno| format!("{what}: {e}");
        let listener =
            net::listener(config.listen).map_err(|e| format!("listen on {}: {e}", config.listen))?;
        let listens: std::net::SocketAddr =
            rustix::net::getsockname(&listener).and_then(TryInto::try_into).map_err(wrong("getsockname"))?;
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(wrong("epoll"))?;
        epoll::add(&epoll, &listener, token(LISTENER, 0), EventFlags::IN).map_err(wrong("epoll"))?;
        epoll::add(&epoll, &signal, token(SIGNAL, 0), EventFlags::IN).map_err(wrong("epoll"))?;
        let mut node = Node {
            wheel: Wheel::new(tick, now),
            now,
            clock,
            epoll,
            log: Log::default(),
            discovery: config.discovery,
            listener: Some(listener),
            accepting: true,
            signal,
            draining: false,
            // A session may end while its req's fetch is still out, so sessions need no more than their own.
            sessions: Slots::new(most_sessions),
            answered: VecDeque::new(),
            fetches: Slots::new(most_fetches),
            pool: Pool::default(),
            calls: Slots::new(4),
            rev: config.known.rev,
            fleet: Fleet::new(deployment.zones.clone(), deployment.kinds.clone()),
            reqs,
            deployment,
        };
        node.log.line(
            now,
            "start",
            format_args!("name={} listen={} sockets={sockets}", config.name, listens),
        );
        node.take_update(&config.known, true);
        node.settle();
        Ok(node)
    }

    /// Runs until a SIGTERM has been followed to its end.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Vec::with_capacity(256);
        while !self.is_over() {
            let pause = self.wheel.next().map(|at| at.saturating_sub(self.clock.read()));
            let pause =
                pause.map(|ns| Timespec { tv_sec: (ns / SECOND) as i64, tv_nsec: (ns % SECOND) as i64 });
            events.clear();
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), pause.as_ref()) {
                Ok(_) | Err(Errno::INTR) => {}
                Err(error) => return Err(format!("epoll: {error}")),
            }
            self.now = self.clock.read();
            for event in &events {
                let (data, flags) = (event.data.u64(), event.flags);
                self.on_socket(data >> 32, data as u32, flags);
                self.settle();
            }
            for due in self.wheel.fire(self.now) {
                self.on_due(due);
                self.settle();
            }
        }
        self.log.line(self.now, "end", "all answered");
        Ok(())
    }

    fn is_over(&self) -> bool {
        self.draining && self.listener.is_none() && self.sessions.len() == 0
    }

    fn on_socket(&mut self, kind: u64, number: u32, flags: EventFlags) {
        match kind {
            LISTENER => self.accept(),
            SIGNAL => self.begin_drain(),
            SESSION => self.session_ready(number, flags),
            FETCH => self.go_on(number, true),
            CALL => self.read_call(number, flags),
            _ => {}
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Session(number) => self.session_due(number),
            Due::NextMessage(number) => self.read_session(number),
            Due::Req(req) => {
                if self.reqs.expire(self.now, req) {
                    self.log.line(self.now, "last-resort", format_args!("req={req}"));
                }
            }
            Due::Fetch(number) => self.fetch_due(number),
            Due::Call(number) => self.call_due(number),
            Due::Timer(timer) => self.reqs.feed(self.now, Event::Timer { timer }),
            Due::Accept => {
                self.set_accepting(true);
                self.accept();
            }
            Due::StopAccepting => self.stop_accepting(),
            Due::EndDrain => self.end_drain(),
        }
    }

    /// Does all that follows from an event: orders first, then answers go out.
    fn settle(&mut self) {
        loop {
            self.carry_out();
            let Some(number) = self.answered.pop_front() else { return };
            self.settle_session(number);
        }
    }

    /// Does what has been decided, in order. Doing it may lead to more.
    fn carry_out(&mut self) {
        while let Some(order) = self.reqs.orders.pop_front() {
            match order {
                Order::Fetch { req, attempt, backend, until, write_by } => {
                    self.start_fetch(backend, Job::Req { req, attempt }, until, write_by);
                }
                Order::Stop { req, attempt } => {
                    let job = Some(Job::Req { req, attempt });
                    let found =
                        self.fetches.iter().find(|(_, fetch)| fetch.job == job).map(|(number, _)| number);
                    if let Some(number) = found {
                        self.end_fetch(number, Outcome::Cancelled);
                    }
                }
                Order::Answer { owner, answer } => self.give_synthetic(owner, answer),
                Order::CloseIdle(backend) => self.close_idle(backend),
                Order::Probe(backend) => {
                    let until = self.now + PROBE_PATIENCE;
                    self.start_fetch(backend, Job::Probe { backend, sent: self.now }, until, until);
                }
                Order::Timer { at, timer } => self.wheel.hang(at, Due::Timer(timer)),
                Order::Watch(on) => self.watch(on),
                Order::FetchList => self.call(false),
                Order::Log(line) => self.log.line(self.now, "decision", line),
            }
        }
    }

    // ---- Client sessions. ----

    /// Takes every client that waits: what the kernel has accepted counts as ours.
    fn accept(&mut self) {
        while self.accepting {
            if self.sessions.is_full() && !self.close_oldest_session() {
                self.log.line(self.now, "sessions-full", format_args!("held={}", self.sessions.len()));
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else { return };
            match net::accept(listener) {
                Ok(Some(socket)) => self.open_session(socket),
                Ok(None) => return,
                Err(error) => {
                    self.log.line(self.now, "accept-failed", error);
                    // Out of descriptors: an idle session gives up its own. No spin on what can't be taken.
                    self.close_oldest_session();
                    return self.pause_accepting();
                }
            }
        }
    }

    fn pause_accepting(&mut self) {
        self.set_accepting(false);
        self.wheel.hang(self.now + ACCEPT_PAUSE, Due::Accept);
    }

    fn set_accepting(&mut self, on: bool) {
        self.accepting = on;
        if let Some(listener) = &self.listener {
            let flags = if on { EventFlags::IN } else { EventFlags::empty() };
            let _ = epoll::modify(&self.epoll, listener, token(LISTENER, 0), flags);
        }
    }

    fn open_session(&mut self, socket: OwnedFd) {
        let Some(number) = self.sessions.vacant() else { return };
        if let Err(error) = epoll::add(&self.epoll, &socket, token(SESSION, number), READ) {
            return self.log.line(self.now, "epoll-failed", error);
        }
        self.sessions.insert(Session::new(socket, self.now, READ));
        self.read_session(number);
    }

    /// Closes the session that has been idle for longest; tells whether there was one.
    fn close_oldest_session(&mut self) -> bool {
        let idle = self.sessions.iter().filter(|(_, session)| session.is_idle());
        let oldest = idle.min_by_key(|(_, session)| session.since()).map(|(number, _)| number);
        oldest.is_some_and(|number| self.close_session(number))
    }

    /// Closes a session; a req that it waits for has lost its client.
    fn close_session(&mut self, number: u32) -> bool {
        let Some(session) = self.sessions.remove(number) else { return false };
        if let Some(req) = session.req {
            self.reqs.gone(self.now, req);
        }
        true
    }

    fn session_due(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else { return };
        if !session.deadline.is_due(self.now, &mut self.wheel, Due::Session(number)) {
            return;
        }
        if session.phase == client::Phase::Open && session.outbox.is_empty() && !session.is_idle() {
            self.reply(number, 408, &[], b"the request did not come whole\n", true);
            return self.answered.push_back(number);
        }
        self.close_session(number);
    }

    fn session_ready(&mut self, number: u32, flags: EventFlags) {
        let left = flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
        // With a full inbox the end can't be read, and would be told again without a pause.
        if left && self.sessions.get(number).is_some_and(Session::is_stuffed) {
            self.close_session(number);
        } else {
            self.read_session(number);
        }
    }

    /// Reads a session and takes one message. The next one, if it has come behind it, gets its turn a tick
    /// later: a client that sends without end must not hold the loop.
    fn read_session(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else { return };
        if !session.flush(self.now) {
            self.close_session(number);
            return;
        }
        match session.read(self.now) {
            Intake::Wait => {}
            Intake::Gone => {
                self.close_session(number);
                return;
            }
            Intake::Bad(bad) => {
                let status = client::status_of(bad);
                self.log.line(self.now, "bad-request", format_args!("status={status} why={bad:?}"));
                self.reply(number, status, &[], b"the request can't be read\n", true);
            }
            Intake::Message(head, body, began) => {
                let waited = self.now.saturating_sub(began);
                match client::route(head, body, &self.deployment, waited) {
                    Route::Health => self.reply_health(number),
                    Route::Wrong(status, why) => {
                        self.log.line(self.now, "bad-request", format_args!("status={status} why={why}"));
                        let allow: &[(&str, &str)] = if status == 405 { &[("allow", why)] } else { &[] };
                        self.reply(number, status, allow, format!("{why}\n").as_bytes(), false);
                    }
                    Route::Req(ask, call) => self.open_req(number, &ask, call),
                }
            }
        }
        self.settle_session(number);
    }

    fn reply_health(&mut self, number: u32) {
        let (status, word) = match (self.draining, self.fleet.has_ready()) {
            (true, _) => (503, "ending\n"),
            (false, false) => (503, "no backend is ready\n"),
            (false, true) => (200, "ok\n"),
        };
        self.reply(number, status, &[], word.as_bytes(), false);
    }

    fn open_req(&mut self, number: u32, ask: &crate::req::Ask, call: client::Call) {
        let Some((req, last_resort)) = self.reqs.open(self.now, number, ask, call) else {
            self.log.line(self.now, "reqs-full", "refused");
            return self.reply(number, 503, &[], b"too many requests are held\n", false);
        };
        if let Some(session) = self.sessions.get_mut(number) {
            session.req = Some(req);
        }
        self.wheel.hang(last_resort, Due::Req(req));
    }

    /// Gives a session an answer of the node's own.
    fn reply(&mut self, number: u32, status: u16, headers: &[(&str, &str)], body: &[u8], end: bool) {
        let end = end || self.draining;
        if let Some(session) = self.sessions.get_mut(number) {
            session.answer(self.now, status, headers, body, end);
        }
    }

    fn give_synthetic(&mut self, number: u32, answer: Synthetic) {
        let (status, advice) = client::status_and_advice(answer);
        let advice = advice.as_deref().map(|seconds| ("retry-after", seconds));
        let body = match answer {
            Synthetic::Refused { .. } => "refused: trying again is harmless\n",
            Synthetic::Failed => "failed\n",
            Synthetic::TimedOut => "no answer in time\n",
        };
        self.reply(number, status, advice.as_slice(), body.as_bytes(), false);
        self.answered.push_back(number);
    }

    /// Writes what there is to write, and looks for the right events and deadline.
    fn settle_session(&mut self, number: u32) {
        let Some(session) = self.sessions.get_mut(number) else { return };
        if !session.flush(self.now) {
            self.close_session(number);
            return;
        }
        let wanted = match (session.outbox.is_empty(), session.is_stuffed()) {
            (true, false) => READ,
            (true, true) => EventFlags::RDHUP,
            (false, false) => BOTH,
            (false, true) => EventFlags::OUT | EventFlags::RDHUP,
        };
        if wanted != session.interest {
            session.interest = wanted;
            let _ = epoll::modify(&self.epoll, &session.socket, token(SESSION, number), wanted);
        }
        session.deadline.set(session.time_limit(), &mut self.wheel, Due::Session(number));
        if session.has_next() {
            self.wheel.hang(self.now, Due::NextMessage(number));
        }
    }

    // ---- Fetches. ----

    fn start_fetch(&mut self, backend: BackendId, job: Job, until: Nanos, write_by: Nanos) {
        let bytes = match job {
            Job::Probe { .. } => http1::write("GET /ping HTTP/1.1", [("host", "kitefork")], None),
            Job::Req { req, .. } => match self.reqs.cargo(req) {
                Some(call) => call.bytes(until.saturating_sub(self.now)),
                None => return,
            },
        };
        let Some(number) = self.connection(backend) else {
            return self.report(job, Outcome::ConnectFailed, None);
        };
        let connect_timeout = self.deployment.connect_timeout;
        let Some(fetch) = self.fetches.get_mut(number) else { return };
        let fits = fetch.outbox.push(&bytes);
        (fetch.job, fetch.until, fetch.write_by) = (Some(job), until, write_by);
        let by = match fetch.phase {
            fetch::Phase::Connecting => until.min(write_by).min(self.now.saturating_add(connect_timeout)),
            _ => until.min(write_by),
        };
        fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
        if fits { self.go_on(number, false) } else { self.end_fetch(number, Outcome::ConnectFailed) }
    }

    /// A connection to a backend: the newest idle one that is sound, or a new one.
    fn connection(&mut self, backend: BackendId) -> Option<u32> {
        let endpoint = self.fleet.endpoint(backend)?;
        while let Some(number) = self.pool.take(backend) {
            if let Some(fetch) = self.fetches.get_mut(number)
                && fetch.is_sound()
            {
                fetch.phase = fetch::Phase::Sending;
                return Some(number);
            }
            self.fetches.remove(number);
        }
        if self.fetches.is_full() {
            let spare = self.pool.spare()?;
            self.fetches.remove(spare);
        }
        let socket = net::dial(endpoint).inspect_err(|error| {
            self.log.line(self.now, "dial-failed", format_args!("backend={} {error}", backend.0));
        });
        let socket = socket.ok()?;
        let number = self.fetches.vacant()?;
        epoll::add(&self.epoll, &socket, token(FETCH, number), BOTH).ok()?;
        self.fetches.insert(Fetch::new(socket, backend, BOTH))
    }

    /// Moves a fetch on as far as its socket lets it.
    fn go_on(&mut self, number: u32, ready: bool) {
        let Some(fetch) = self.fetches.get_mut(number) else { return };
        let before = fetch.phase;
        match fetch.go_on(ready) {
            Progress::Going => {
                let wanted = match fetch.phase {
                    fetch::Phase::Connecting | fetch::Phase::Sending => BOTH,
                    fetch::Phase::Waiting | fetch::Phase::Idle => READ,
                };
                if wanted != fetch.interest {
                    fetch.interest = wanted;
                    let _ = epoll::modify(&self.epoll, &fetch.socket, token(FETCH, number), wanted);
                }
                let by = match fetch.phase {
                    fetch::Phase::Waiting => fetch.until,
                    _ => fetch.until.min(fetch.write_by),
                };
                if fetch.phase != before {
                    fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
                }
            }
            Progress::Answered(head, body, reusable) => self.answered(number, &head, body, reusable),
            Progress::Failed(outcome) => self.end_fetch(number, outcome),
            Progress::Stale => {
                let backend = fetch.backend;
                self.pool.remove(backend, number);
                self.fetches.remove(number);
            }
        }
    }

    fn answered(&mut self, number: u32, head: &http1::Head, body: Vec<u8>, reusable: bool) {
        let Some(fetch) = self.fetches.get_mut(number) else { return };
        let (job, backend) = (fetch.job.take(), fetch.backend);
        // A backend that is leaving gets its connections closed.
        if reusable && self.fleet.endpoint(backend).is_some() {
            fetch.phase = fetch::Phase::Idle;
            // Clearly before the backend's machine would close it: what crosses that close is a reset.
            let by = self.now.saturating_add(self.deployment.idle_limit / 4 * 3);
            fetch.deadline.set(by, &mut self.wheel, Due::Fetch(number));
            self.pool.put(backend, number);
        } else {
            self.fetches.remove(number);
        }
        if let Some(job) = job {
            self.report(job, fetch::outcome(head), Some((head, body)));
        }
    }

    /// Closes a fetch's connection, and only then tells how its attempt ended.
    fn end_fetch(&mut self, number: u32, outcome: Outcome) {
        if let Some(Fetch { job: Some(job), .. }) = self.fetches.remove(number) {
            self.report(job, outcome, None);
        }
    }

    fn report(&mut self, job: Job, outcome: Outcome, answer: Option<(&http1::Head, Vec<u8>)>) {
        match job {
            Job::Req { req, attempt } => {
                let owner = self.reqs.ended(self.now, req, attempt, outcome);
                if let (Some(owner), Some((head, body))) = (owner, answer) {
                    let headers: Vec<(&str, &str)> = head.end_to_end().collect();
                    self.reply(owner, 200, &headers, &body, false);
                    self.answered.push_back(owner);
                }
            }
            Job::Probe { backend, sent } => {
                let latency = self.now.saturating_sub(sent);
                self.reqs.feed(self.now, Event::Probed { backend, latency, outcome, load: Vec::new() });
            }
        }
    }

    fn fetch_due(&mut self, number: u32) {
        let Some(fetch) = self.fetches.get_mut(number) else { return };
        if !fetch.deadline.is_due(self.now, &mut self.wheel, Due::Fetch(number)) {
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

    fn close_idle(&mut self, backend: BackendId) {
        for number in self.pool.drain(backend) {
            self.fetches.remove(number);
        }
    }

    // ---- Discovery. ----

    fn watch(&mut self, on: bool) {
        let open: Vec<u32> = self.calls.iter().filter(|(_, call)| call.watch).map(|(n, _)| n).collect();
        for number in open {
            self.calls.remove(number);
        }
        if on {
            self.call(true);
        } else {
            // Each call of the decisions gets one event: nothing has changed.
            self.take_update(&Update { rev: self.rev, ..Update::default() }, false);
        }
    }

    fn call(&mut self, watch: bool) {
        let opened = net::dial(self.discovery).and_then(|socket| {
            let number = self.calls.vacant().ok_or(Errno::MFILE)?;
            epoll::add(&self.epoll, &socket, token(CALL, number), BOTH)?;
            let mut call = Call::new(socket, watch, self.rev, self.discovery, self.now);
            call.deadline.set(self.now + discovery::CONNECT, &mut self.wheel, Due::Call(number));
            self.calls.insert(call);
            Ok(())
        });
        if let Err(error) = opened {
            self.log.line(self.now, "discovery-failed", error);
            self.reqs.feed(self.now, Event::ListFailed);
        }
    }

    fn read_call(&mut self, number: u32, flags: EventFlags) {
        let Some(call) = self.calls.get_mut(number) else { return };
        if flags.intersects(EventFlags::OUT) && !call.outbox.is_empty() {
            // A connection that did not come up shows when it is read.
            let _ = call.outbox.write_to(&call.socket);
            if call.outbox.is_empty() {
                call.heard = self.now;
                let _ = epoll::modify(&self.epoll, &call.socket, token(CALL, number), READ);
            }
        }
        let news = call.read(self.now);
        if call.outbox.is_empty() {
            call.deadline.set(call.heard + discovery::SILENCE, &mut self.wheel, Due::Call(number));
        }
        self.take_news(number, news);
    }

    fn take_news(&mut self, number: u32, news: News) {
        if news.over.is_some() {
            self.calls.remove(number);
        }
        for update in &news.updates {
            self.take_update(update, false);
        }
        if let Some(why) = news.over.filter(|_| !news.well) {
            self.log.line(self.now, "discovery-failed", why);
            self.reqs.feed(self.now, Event::ListFailed);
        }
    }

    fn call_due(&mut self, number: u32) {
        let Some(call) = self.calls.get_mut(number) else { return };
        if call.deadline.is_due(self.now, &mut self.wheel, Due::Call(number)) {
            let over = Some("silent for too long".to_string());
            self.take_news(number, News { over, ..News::default() });
        }
    }

    fn take_update(&mut self, update: &Update, cached: bool) {
        self.rev = update.rev;
        let (event, ends) = self.fleet.apply(&self.clock, update, cached);
        self.reqs.feed(self.now, event);
        for backend in ends {
            self.close_idle(backend);
            // What is not connected yet would write its first byte at any later time; the rule on drains
            // counts that byte. It never ran, so it can go elsewhere.
            let connecting = |(_, fetch): &(u32, &Fetch)| {
                fetch.backend == backend && fetch.phase == fetch::Phase::Connecting
            };
            let numbers: Vec<u32> = self.fetches.iter().filter(connecting).map(|(n, _)| n).collect();
            for number in numbers {
                self.end_fetch(number, Outcome::ConnectFailed);
            }
        }
    }

    // ---- The end. ----

    fn begin_drain(&mut self) {
        let mut bytes = [0; 16];
        while matches!(rustix::io::read(&self.signal, &mut bytes), Ok(1..)) {}
        if self.draining {
            return;
        }
        self.draining = true;
        self.log.line(self.now, "sigterm", format_args!("sessions={}", self.sessions.len()));
        let longest = self.deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        self.wheel.hang(self.now + ACCEPT_ON, Due::StopAccepting);
        self.wheel.hang(self.now + longest.clamp(ACCEPT_ON, LONGEST_DRAIN) + DRAIN_MORE, Due::EndDrain);
    }

    /// Takes whoever still waits, then nobody; sessions without a req end.
    fn stop_accepting(&mut self) {
        self.set_accepting(true);
        self.accept();
        self.listener = None;
        let numbers: Vec<u32> = self.sessions.iter().map(|(number, _)| number).collect();
        for number in numbers {
            // A request that has come while nobody looked is served, not cut off.
            self.read_session(number);
            if self.sessions.get(number).is_some_and(Session::is_idle) {
                self.close_session(number);
            }
        }
    }

    /// SIGKILL is near: whatever waits gets its answer now.
    fn end_drain(&mut self) {
        for req in self.reqs.unanswered() {
            self.reqs.give_back(self.now, req);
        }
        self.settle();
        let numbers: Vec<u32> = self.sessions.iter().map(|(number, _)| number).collect();
        for number in numbers {
            self.close_session(number);
        }
    }
}
