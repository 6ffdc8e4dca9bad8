//! The loop: waits for sockets and deadlines, and carries out what is decided. One clock reading a
//! round; what sockets bring goes first, so that an answer which is there wins over its time-out.

mod end;
mod fetches;
mod lists;
mod sessions;

use std::collections::VecDeque;
use std::os::fd::OwnedFd;

use kitefork_balancer::{BackendId, Event, Nanos, Outcome, TimerId};
use kitefork_settings::Deployment;
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;

use crate::client::{self, ClientConnection};
use crate::clock::{Clock, MS, SECOND};
use crate::config::Config;
use crate::counters::Counters;
use crate::descriptor_budget::{DescriptorBudget, Purpose};
use crate::discovery::{DiscoveryCall, EndpointList, Freshness};
use crate::fetch::{Pool, UpstreamAttempt, UpstreamConnection};
use crate::log::{Log, Trace};
use crate::net;
use crate::request_table::{Command, RequestTable};
use crate::ring_buffer::BufferBudget;
use crate::rules::{Denial, Violation};
use crate::signals::Signal;
use crate::slab::Slab;
use crate::timer_wheel::TimerWheel;

/// A probe that has no answer by then has failed.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;
/// The loop looks at all sockets at least this often, so that it knows within this time since when
/// a socket that now holds bytes can have held them.
const MAX_POLL_WAIT: Nanos = 50 * MS;
/// A gap between two looks that only a process that was stopped has.
const STALL_THRESHOLD: Nanos = 250 * MS;
/// A loop that wakes so much later than it wanted to has been stopped meanwhile.
const MAX_WAKE_DELAY: Nanos = 50 * MS;
/// Events of a wait that took longer than this may be old; looking again costs one system call.
const MAX_EVENT_AGE: Nanos = 20 * MS;
/// Looks that are made anew in one turn at most, for a process that is held up at each.
const MAX_REPEATED_POLLS: u32 = 4;
/// What the machine could not do for a moment is tried again after this.
const MIN_RETRY: Nanos = 2 * MS;

/// An attempt whose connection the machine could not start for a moment.
struct PostponedDial {
    backend: BackendId,
    job: UpstreamAttempt,
    abandon_at: Nanos,
    write_by: Nanos,
    /// Then it has failed, through no fault of the backend.
    give_up: Nanos,
}

/// What hangs on the wheel.
#[derive(Clone, Copy)]
enum TimerEvent {
    ClientDeadline(u32),
    ResumeClient(u32),
    DeadlineGuard(u32),
    UpstreamDeadline(u32),
    ResumeUpstream(u32),
    RetryPostponedDials,
    DiscoveryDeadline(u32),
    ResumeDiscoveryCall(u32),
    RetryDiscoveryCall { watch: bool },
    BalancerTimer(TimerId),
    ResumeAccepting,
    TrimClients,
    StopAccepting,
    LastAnswers,
    ForceClose,
    OpenWatch,
    ServeStaleList,
}

/// What a socket belongs to; its epoll token holds this and a number.
const LISTENER: u64 = 0;
/// The number is the signal's place among the node's.
const SIGNAL: u64 = 1;
const TERMINATE: u32 = 0;
const RELOAD: u32 = 1;
const SESSION: u64 = 2;
const FETCH: u64 = 3;
const CALL: u64 = 4;

const READ: EventFlags = EventFlags::IN.union(EventFlags::RDHUP);
const BOTH: EventFlags = READ.union(EventFlags::OUT);
const LEFT: EventFlags = EventFlags::RDHUP
    .union(EventFlags::HUP)
    .union(EventFlags::ERR);

fn token(kind: u64, number: u32) -> EventData {
    EventData::new_u64(kind << 32 | u64::from(number))
}

/// Whether an event may forbid a send: a client has left, or there is news of the backends.
fn forbids(event: &epoll::Event) -> bool {
    let (kind, flags) = (event.data.u64() >> 32, event.flags);
    kind == CALL || (kind == SESSION && flags.intersects(LEFT))
}

pub struct Node {
    clock: Clock,
    now: Nanos,
    /// When the look before this turn's found no event on the sockets that have one now.
    previous_poll_at: Nanos,
    /// When this turn's look was made; the next turn's sockets with an event were without one then.
    last_poll_at: Nanos,
    /// When the accept queue was last read empty, and since when an event is given for a client
    /// that comes.
    queue_emptied: Nanos,
    queue_watched: Nanos,
    counters: Counters,
    /// After this the next accept is tried where the machine lacks something.
    accept_retry: Nanos,
    postponed: Vec<PostponedDial>,
    wheel: TimerWheel<TimerEvent>,
    epoll: OwnedFd,
    log: Log,
    trace: Trace,
    deployment: Deployment,
    discovery: std::net::SocketAddr,
    /// `None` once no more clients are taken.
    listener: Option<OwnedFd>,
    accepting: bool,
    /// Readable when the node is to end, and when it is to read its configuration anew.
    signals: [Signal; 2],
    /// From SIGTERM on: when whatever waits gets its answer.
    ends: Option<Nanos>,
    /// SIGKILL is due: the process ends whatever is open.
    quit: bool,
    /// For all that sessions and fetches hold in buffers.
    buffer_budget: BufferBudget,
    /// For all that sessions and fetches hold in descriptors.
    descriptor_budget: DescriptorBudget,
    /// A look at how many sessions have asked hangs on the wheel.
    trim_scheduled: bool,
    clients: Slab<ClientConnection>,
    /// Sessions whose req has been answered: the answer is to be written, and the next message may
    /// be there.
    answered: VecDeque<u32>,
    upstreams: Slab<UpstreamConnection>,
    pool: Pool,
    calls: Slab<DiscoveryCall>,
    revision: u64,
    /// When discovery last said something, be it that nothing has changed.
    confirmed: Option<Nanos>,
    /// The next call to discovery waits, for the decisions or, where lists are pushed, on the
    /// wheel.
    backing_off: bool,
    /// Only where lists are pushed: discovery has spoken since the start, and how many calls in a
    /// row failed.
    list_synced: bool,
    failed_calls: u32,
    endpoint_list: EndpointList,
    requests: RequestTable<client::ForwardedRequest>,
}

impl Node {
    /// Starts to listen. The first of `signals` comes when the node is to end, the second when it
    /// is to read its configuration anew.
    pub fn start(config: Config, signals: [Signal; 2]) -> Result<Node, String> {
        let clock = Clock::start();
        let now = clock.read();
        let deployment = config.deployment;
        let mut settings = deployment.settings.clone();
        // Past half of its time, a refusal of what no backend has seen has a price (the platform's
        // figure).
        settings.limits.never_attempted_fraction = 0.5;
        let tick = settings.tick.clamp(MS, 10 * MS);
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = own.map_or(config.sockets, |own| config.sockets.min(own as usize));
        // Bodies are on the budget; what a connection holds beside them is a head at most, of which
        // these fit a third of the memory.
        let sockets = sockets.min(config.memory_mb.saturating_mul(16).max(64));
        let descriptor_budget = DescriptorBudget::new(sockets);
        let (max_clients, max_upstreams) = (
            descriptor_budget.max(Purpose::Client),
            descriptor_budget.max(Purpose::Upstream),
        );
        let max_requests = max_clients.min(deployment.most_held).max(1);
        let mut requests = RequestTable::new(settings, config.seed, max_requests, now)
            .map_err(|e| e.to_string())?;
        let trace = Trace::new(config.trace, clock.unix_zero);
        requests.trace = trace;
        let wrong = |what: &'static str| move |e: Errno| format!("{what}: {e}");
        let listener = net::retry_at_start(|| net::listener(config.listen))
            .map_err(|e| format!("listen on {}: {e}", config.listen))?;
        let listens: std::net::SocketAddr = rustix::net::getsockname(&listener)
            .and_then(TryInto::try_into)
            .map_err(wrong("getsockname"))?;
        let epoll = net::retry_at_start(|| epoll::create(epoll::CreateFlags::CLOEXEC))
            .map_err(wrong("epoll"))?;
        let add = || epoll::add(&epoll, &listener, token(LISTENER, 0), EventFlags::IN);
        net::retry_at_start(add).map_err(wrong("epoll"))?;
        for (signal, number) in signals.iter().zip([TERMINATE, RELOAD]) {
            let add = || epoll::add(&epoll, &signal.wakes, token(SIGNAL, number), EventFlags::IN);
            net::retry_at_start(add).map_err(wrong("epoll"))?;
        }
        let mut node = Node {
            wheel: TimerWheel::new(tick, now),
            now,
            previous_poll_at: now,
            last_poll_at: now,
            queue_emptied: now,
            queue_watched: now,
            counters: Counters::default(),
            accept_retry: MIN_RETRY,
            postponed: Vec::new(),
            clock,
            epoll,
            log: Log::default(),
            trace,
            discovery: config.discovery,
            listener: Some(listener),
            accepting: true,
            signals,
            ends: None,
            quit: false,
            buffer_budget: BufferBudget::new(config.memory_mb.max(4).saturating_mul(1 << 18)),
            descriptor_budget,
            trim_scheduled: false,
            clients: Slab::new(max_clients),
            answered: VecDeque::new(),
            upstreams: Slab::new(max_upstreams),
            pool: Pool::default(),
            calls: Slab::new(4),
            revision: config.known.rev,
            confirmed: None,
            backing_off: false,
            list_synced: deployment.settings.poll_endpoints,
            failed_calls: 0,
            endpoint_list: EndpointList::new(deployment.zones.clone(), deployment.kinds.clone()),
            requests,
            deployment,
        };
        node.log.line(
            now,
            "start",
            format_args!("name={} listen={} sockets={sockets}", config.name, listens),
        );
        node.apply_list(&config.known, Freshness::Cached);
        node.follow_pushes();
        node.flush_pending();
        Ok(node)
    }

    /// Runs until a SIGTERM has been followed to its end.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        while !self.is_over() {
            self.wait_for_events(&mut events)?;
            // What forbids a send goes before what may lead to one, and is carried out only when
            // all of it is known: clients that have left, and news of the backends.
            for event in events.iter().filter(|event| forbids(event)) {
                self.on_socket(event);
            }
            self.flush_pending();
            for event in events.iter().filter(|event| !forbids(event)) {
                self.on_socket(event);
                self.flush_pending();
            }
            self.take_signals();
            for due in self.wheel.expire(self.now) {
                self.on_timer(due);
                self.flush_pending();
            }
        }
        let walks = self.requests.full_walks();
        self.log.line(
            self.now,
            "counts",
            format_args!("full_scans={walks} {}", self.counters),
        );
        self.log.line(self.now, "end", "all answered");
        Ok(())
    }

    /// Waits until a socket has an event or a deadline is due. Gives all that is ready in one look:
    /// a deadline must not fire, and nothing must be sent, while an answer, a client's leave or a
    /// drain still waits for the next one, as after a stall. For the same reason a look that is old
    /// by now is made anew.
    fn wait_for_events(&mut self, events: &mut Vec<epoll::Event>) -> Result<(), String> {
        self.previous_poll_at = self.last_poll_at;
        let mut repeated_polls = 0;
        loop {
            let began = self.clock.read();
            let longest = if repeated_polls == 0 {
                MAX_POLL_WAIT
            } else {
                0
            };
            let wake = self
                .wheel
                .next()
                .unwrap_or(Nanos::MAX)
                .min(began.saturating_add(longest));
            let pause = wake.saturating_sub(began);
            let pause = Timespec {
                tv_sec: (pause / SECOND) as i64,
                tv_nsec: (pause % SECOND) as i64,
            };
            events.clear();
            events.reserve(self.clients.len() + self.upstreams.len() + self.calls.len() + 4);
            match epoll::wait(
                &self.epoll,
                rustix::buffer::spare_capacity(events),
                Some(&pause),
            ) {
                Ok(_) => {}
                // A process that was stopped and goes on comes here too: much may lie in its
                // sockets, and no deadline may fire before that is read.
                Err(Errno::INTR) => continue,
                Err(error) => return Err(format!("epoll: {error}")),
            }
            self.now = self.clock.read();
            // A process that stood still in its wait may have looked before that.
            let stood_still = self.now > wake.saturating_add(MAX_WAKE_DELAY);
            self.last_poll_at = if stood_still { began } else { self.now };
            // One that was held up between the wait and the clock may have events from before that:
            // others can have come since, which go before these.
            let is_old = !events.is_empty() && self.now > began.saturating_add(MAX_EVENT_AGE);
            if !(stood_still || is_old) || repeated_polls == MAX_REPEATED_POLLS {
                return Ok(());
            }
            repeated_polls += 1;
            if events.is_empty() {
                self.previous_poll_at = began;
            }
        }
    }

    /// Counts what the rules did not allow.
    fn count_denial(&mut self, denial: Denial, of: std::fmt::Arguments) {
        self.counters.add("denied", denial.name());
        self.trace
            .line(self.now, format_args!("denied why={denial} {of}"));
    }

    /// A rule was found broken after the act: a fault of the program.
    fn violated(&mut self, violation: Violation, of: std::fmt::Arguments) {
        self.counters.add("violation", violation.name());
        self.log.line(
            self.now,
            "violation",
            format_args!("rule={} {of}", violation.name()),
        );
        // A process that was stopped can't act in time.
        debug_assert!(
            self.now > self.previous_poll_at.saturating_add(STALL_THRESHOLD),
            "rule broken: {violation:?} {of}"
        );
    }

    fn is_draining(&self) -> bool {
        self.ends.is_some()
    }

    fn is_over(&self) -> bool {
        self.quit || (self.is_draining() && self.listener.is_none() && self.clients.len() == 0)
    }

    fn on_socket(&mut self, event: &epoll::Event) {
        let (data, flags) = (event.data.u64(), event.flags);
        let number = data as u32;
        match data >> 32 {
            LISTENER => self.accept(),
            SIGNAL => self.on_signal(number),
            SESSION => self.client_ready(number, flags),
            FETCH => self.advance(number, true),
            CALL => self.read_call(number, flags),
            _ => {}
        }
    }

    fn on_signal(&mut self, number: u32) {
        let mut bytes = [0; 16];
        let signal = &self.signals[number as usize].wakes;
        while matches!(
            rustix::io::read(signal, &mut bytes),
            Ok(1..) | Err(Errno::INTR)
        ) {}
    }

    /// Carries out the signals that have come, whether or not the byte that wakes the loop could be
    /// written.
    fn take_signals(&mut self) {
        if self.signals[TERMINATE as usize].take() {
            self.begin_drain();
        }
        if self.signals[RELOAD as usize].take() {
            self.reload();
        }
        self.flush_pending();
    }

    fn on_timer(&mut self, due: TimerEvent) {
        match due {
            TimerEvent::ClientDeadline(number) => self.client_deadline_due(number),
            TimerEvent::ResumeClient(number) => self.read_client(number),
            TimerEvent::DeadlineGuard(request) => {
                if self.requests.expire(self.now, request) {
                    self.log.line(
                        self.now,
                        "deadline-guard",
                        format_args!("request={request}"),
                    );
                }
            }
            TimerEvent::UpstreamDeadline(number) => self.upstream_deadline_due(number),
            TimerEvent::ResumeUpstream(number) => self.advance(number, false),
            TimerEvent::RetryPostponedDials => self.retry_postponed_dials(),
            TimerEvent::DiscoveryDeadline(number) => self.call_due(number),
            TimerEvent::ResumeDiscoveryCall(number) => self.read_call(number, EventFlags::OUT),
            TimerEvent::RetryDiscoveryCall { watch } => self.recall(watch),
            TimerEvent::BalancerTimer(timer) => {
                self.requests.feed(self.now, Event::Timer { timer })
            }
            TimerEvent::ResumeAccepting => {
                self.set_accepting(true);
                self.accept();
            }
            TimerEvent::TrimClients => self.trim_clients(),
            TimerEvent::StopAccepting => self.stop_accepting(),
            TimerEvent::LastAnswers => self.end_drain(),
            TimerEvent::ForceClose => self.quit(),
            TimerEvent::OpenWatch => self.watch_pushes(),
            TimerEvent::ServeStaleList => self.serve_stale_list(),
        }
    }

    /// Does all that follows from an event: commands first, then answers go out.
    fn flush_pending(&mut self) {
        loop {
            self.execute_commands();
            let Some(number) = self.answered.pop_front() else {
                return;
            };
            self.flush_client(number);
        }
    }

    /// Does what has been decided, in order. Doing it may lead to more.
    fn execute_commands(&mut self) {
        while let Some(denial) = self.requests.denials.pop() {
            self.count_denial(denial, format_args!("at=start"));
        }
        while let Some(violation) = self.requests.violations.pop() {
            self.violated(violation, format_args!("at=answer"));
        }
        while let Some(command) = self.requests.commands.pop_front() {
            match command {
                Command::StartAttempt {
                    request,
                    attempt,
                    backend,
                    abandon_at,
                    write_by,
                } => {
                    self.start_attempt(
                        backend,
                        UpstreamAttempt::Request { request, attempt },
                        abandon_at,
                        write_by,
                    );
                }
                Command::CancelAttempt { request, attempt } => {
                    let job = Some(UpstreamAttempt::Request { request, attempt });
                    let found = self
                        .upstreams
                        .iter()
                        .find(|(_, upstream)| upstream.job == job)
                        .map(|(number, _)| number);
                    if let Some(number) = found {
                        self.end_attempt(number, Outcome::Cancelled);
                    }
                    self.drop_postponed(request);
                }
                Command::Reply { connection, reply } => self.send_local_reply(connection, reply),
                Command::CloseIdleConnections(backend) => self.close_idle(backend),
                Command::CheckHealth(backend) => {
                    let abandon_at = self.now + HEALTH_CHECK_TIMEOUT;
                    self.start_attempt(
                        backend,
                        UpstreamAttempt::HealthCheck {
                            backend,
                            sent: self.now,
                        },
                        abandon_at,
                        abandon_at,
                    );
                }
                Command::SetTimer { at, timer } => {
                    self.wheel.schedule(at, TimerEvent::BalancerTimer(timer))
                }
                Command::WatchEndpoints(on) => self.watch(on),
                Command::PollEndpoints => self.call(false),
                Command::Log(line) => self.log.line(self.now, "decision", line),
                Command::GossipUnsupported => {
                    let text = "a message to peers is not carried";
                    self.log.line(self.now, "decision", text);
                }
            }
        }
    }
}
