//! The loop: waits for sockets and deadlines, and carries out what is decided. One clock reading a
//! round; what sockets bring goes first, so that an answer which is there wins over its time-out.

mod discovery;
mod downstream;
mod shutdown;
mod upstream;

use std::fmt;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use kitefork_balancer::{BackendId, Event, Nanos, SettingsError};
use kitefork_settings::Deployment;
use rustix::event::epoll::{self, EventFlags};
use rustix::io::Errno;
use thiserror::Error;

use crate::clock::{Clock, MS};
use crate::config::Config;
use crate::descriptor_budget::{DescriptorBudget, Purpose};
use crate::diagnostics::Diagnostics;
use crate::discovery::{CallKind, Discovery, DiscoveryMode, EndpointList};
use crate::downstream::{ClientConnections, ForwardedRequest, Listener};
use crate::event_loop::{EventLoop, PEER_CLOSED, TimerEvent, Token};
use crate::log::Trace;
use crate::net;
use crate::request_table::{Command, RequestTable};
use crate::ring_buffer::BufferBudget;
use crate::rules::Violation;
use crate::shutdown::Shutdown;
use crate::signals::{SignalKind, Signals};
use crate::upstream::{AttemptLimits, UpstreamAttempt, UpstreamConnections};

/// A health check without an answer after this, in nanoseconds, has failed.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;

/// Timer granularity, in nanoseconds, whatever tick the settings have.
const MIN_TICK: Nanos = MS;
const MAX_TICK: Nanos = 10 * MS;
/// Part of a request's time after which rejecting it has a price although no backend has seen it
/// (the platform's figure).
const NEVER_ATTEMPTED_FRACTION: f64 = 0.5;
/// Connections that fit in a mebibyte. Bodies are on the buffer budget; beside them a connection
/// holds a head at most, of which these fit in a third of the memory.
const CONNECTIONS_PER_MIB: usize = 16;
/// Descriptors that are used however little memory is configured.
const MIN_DESCRIPTORS_BY_MEMORY: usize = 64;
/// The buffer budget is a quarter of the configured memory, which counts as this much at least.
const BUFFER_BYTES_PER_MIB: usize = 1 << 18;
const MIN_MEMORY_MIB: usize = 4;

/// Why the node can't start or go on; the text is what the program prints.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The decision module does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listening address can't be bound.
    #[error("listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's answer.
        error: Errno,
    },
    /// The address of the listening socket can't be read.
    #[error("getsockname: {0}")]
    LocalAddress(Errno),
    /// A call of `epoll` failed.
    #[error("epoll: {0}")]
    Epoll(Errno),
}

/// Whether an event may forbid a send: a client has closed its side, or the endpoint list changes.
fn may_forbid_send(event: &epoll::Event) -> bool {
    // The fields of a packed struct are copied before they are used.
    let (data, flags) = (event.data, event.flags);
    match Token::decode(data) {
        Some(Token::Discovery(_)) => true,
        Some(Token::Client(_)) => flags.intersects(PEER_CLOSED),
        _ => false,
    }
}

/// One proxy process: the wiring of its parts.
pub struct Node {
    event_loop: EventLoop,
    diagnostics: Diagnostics,
    signals: Signals,
    deployment: Deployment,
    requests: RequestTable<ForwardedRequest>,
    /// Bounds what all connections hold in buffers.
    buffer_budget: BufferBudget,
    /// Bounds how many connections there are.
    descriptor_budget: DescriptorBudget,
    listener: Listener,
    clients: ClientConnections,
    discovery: Discovery,
    shutdown: Shutdown,
    upstreams: UpstreamConnections,
}

impl Node {
    /// Starts to listen, and applies the endpoint list that the configuration holds.
    ///
    /// # Errors
    ///
    /// If the settings are invalid, or a system call fails that the node can't do without.
    pub fn start(config: Config, signals: Signals) -> Result<Node, NodeError> {
        let clock = Clock::start();
        let now = clock.read();
        let deployment = config.deployment;
        let mut settings = deployment.settings.clone();
        settings.limits.never_attempted_fraction = NEVER_ATTEMPTED_FRACTION;
        let tick = settings.tick.clamp(MIN_TICK, MAX_TICK);
        let descriptors = usable_descriptors(config.sockets, config.memory_mb);
        let descriptor_budget = DescriptorBudget::new(descriptors);
        let max_clients = descriptor_budget.max(Purpose::Client);
        let max_upstreams = descriptor_budget.max(Purpose::Upstream);
        let max_requests = max_clients.min(deployment.most_held).max(1);
        let trace = Trace::new(config.trace, clock.unix_zero());
        let requests = RequestTable::new(settings, config.seed, max_requests, now, trace)?;
        let listener = net::retry_at_start(|| net::listener(config.listen)).map_err(|error| {
            NodeError::Listen {
                address: config.listen,
                error,
            }
        })?;
        let local_address: SocketAddr = rustix::net::getsockname(&listener)
            .and_then(TryInto::try_into)
            .map_err(NodeError::LocalAddress)?;
        let event_loop = EventLoop::new(clock, now, tick).map_err(NodeError::Epoll)?;
        register_sources(&event_loop, &listener, &signals).map_err(NodeError::Epoll)?;
        let mode = if deployment.settings.poll_endpoints {
            DiscoveryMode::Polled
        } else {
            DiscoveryMode::Pushed {
                drain_grace: deployment.settings.rules.drain_grace,
            }
        };
        let endpoints = EndpointList::new(deployment.zones.clone(), deployment.kinds.clone());
        let discovery = Discovery::new(config.discovery, mode, config.known.rev, endpoints);
        let mut node = Node {
            event_loop,
            diagnostics: Diagnostics::new(trace),
            signals,
            requests,
            buffer_budget: BufferBudget::new(buffer_bytes(config.memory_mb)),
            descriptor_budget,
            listener: Listener::new(listener, now),
            clients: ClientConnections::new(max_clients),
            discovery,
            shutdown: Shutdown::new(),
            upstreams: UpstreamConnections::new(
                max_upstreams,
                deployment.connect_timeout,
                deployment.idle_limit,
            ),
            deployment,
        };
        node.diagnostics.log(
            now,
            "start",
            format_args!(
                "name={} listen={local_address} sockets={descriptors}",
                config.name
            ),
        );
        node.apply_cached_list(&config.known);
        node.start_discovery();
        node.flush_pending();
        Ok(node)
    }

    /// Serves until a graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// If the loop can't poll its sockets.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut events = Vec::new();
        while !self.is_over() {
            let capacity =
                self.clients.len() + self.upstreams.len() + self.discovery.open_calls() + 4;
            self.event_loop
                .poll(&mut events, capacity)
                .map_err(NodeError::Epoll)?;
            self.handle_socket_events(&events);
            self.handle_signals();
            for event in self.event_loop.expire_timers() {
                self.on_timer(event);
                self.flush_pending();
            }
        }
        self.log_end();
        Ok(())
    }

    /// What forbids a send goes before what may lead to one, and is carried out only when all of it
    /// is known: clients that have closed their side, and changes of the endpoint list. What sockets
    /// bring goes before the timers, so that an answer which is there wins over its timeout.
    fn handle_socket_events(&mut self, events: &[epoll::Event]) {
        for event in events.iter().filter(|event| may_forbid_send(event)) {
            self.on_socket(event);
        }
        self.flush_pending();
        for event in events.iter().filter(|event| !may_forbid_send(event)) {
            self.on_socket(event);
            self.flush_pending();
        }
    }

    fn log_end(&mut self) {
        let now = self.event_loop.now();
        let full_scans = self.requests.full_walks();
        let counts = format!("full_scans={full_scans} {}", self.diagnostics.counters());
        self.diagnostics.log(now, "counts", counts);
        self.diagnostics.log(now, "end", "all answered");
    }

    /// A protocol rule was found broken after the act: a fault of the program. Panics in a debug
    /// build, unless the process was stopped and could not act in time.
    fn report_violation(&mut self, violation: Violation, subject: fmt::Arguments) {
        let now = self.event_loop.now();
        self.diagnostics.count_violation(now, violation, subject);
        debug_assert!(
            self.event_loop.was_stalled(),
            "rule broken: {violation:?} {subject}"
        );
    }

    fn is_over(&self) -> bool {
        let is_drained = self.listener.is_closed() && self.clients.len() == 0;
        self.shutdown.is_forced() || (self.shutdown.is_draining() && is_drained)
    }

    fn on_socket(&mut self, event: &epoll::Event) {
        match Token::decode(event.data) {
            Some(Token::Listener) => self.accept_clients(),
            Some(Token::Signal(kind)) => self.signals.get(kind).drain_wake_up(),
            Some(Token::Client(number)) => self.client_ready(number, event.flags),
            Some(Token::Upstream(number)) => self.advance_upstream(number, true),
            Some(Token::Discovery(number)) => self.advance_discovery_call(number, event.flags),
            None => {}
        }
    }

    /// Carries out the signals that have come, whether or not the byte that wakes the loop could be
    /// written.
    fn handle_signals(&mut self) {
        if self.signals.get(SignalKind::Terminate).take() {
            self.begin_shutdown();
        }
        if self.signals.get(SignalKind::Reload).take() {
            self.reload();
        }
        self.flush_pending();
    }

    fn on_timer(&mut self, due: TimerEvent) {
        match due {
            TimerEvent::ClientDeadline(number) => self.client_deadline_due(number),
            TimerEvent::ResumeClient(number) => self.read_client(number),
            TimerEvent::DeadlineGuard(request) => {
                if self.requests.expire(self.event_loop.now(), request) {
                    self.diagnostics.log(
                        self.event_loop.now(),
                        "deadline-guard",
                        format_args!("request={request}"),
                    );
                }
            }
            TimerEvent::UpstreamDeadline(number) => self.upstream_deadline_due(number),
            TimerEvent::ResumeUpstream(number) => self.advance_upstream(number, false),
            TimerEvent::RetryPostponedDials => self.retry_postponed_dials(),
            TimerEvent::DiscoveryDeadline(number) => self.discovery_deadline_due(number),
            TimerEvent::ResumeDiscoveryCall(number) => {
                self.advance_discovery_call(number, EventFlags::OUT)
            }
            TimerEvent::RetryDiscoveryWatch => self.retry_discovery_call(CallKind::Watch),
            TimerEvent::RetryDiscoveryPoll => self.retry_discovery_call(CallKind::Poll),
            TimerEvent::BalancerTimer(timer) => self
                .requests
                .feed(self.event_loop.now(), Event::Timer { timer }),
            TimerEvent::ResumeAccepting => self.resume_accepting(),
            TimerEvent::TrimClients => self.trim_clients(),
            TimerEvent::StopAccepting => self.stop_accepting(),
            TimerEvent::LastAnswers => self.give_last_answers(),
            TimerEvent::ForceClose => self.force_close(),
            TimerEvent::OpenWatch => self.end_discovery_backoff(),
            TimerEvent::ServeStaleList => {
                let now = self.event_loop.now();
                self.discovery.serve_stale_list(now, &mut self.diagnostics)
            }
        }
    }

    /// Does all that follows from an event: commands first, then answers go out.
    fn flush_pending(&mut self) {
        loop {
            self.execute_commands();
            let Some(number) = self.clients.pop_answered() else {
                return;
            };
            self.flush_client(number);
        }
    }

    /// Does what has been decided, in order. Doing it may lead to more.
    fn execute_commands(&mut self) {
        while let Some(denial) = self.requests.pop_denial() {
            self.diagnostics
                .count_denial(self.event_loop.now(), denial, format_args!("at=start"));
        }
        while let Some(violation) = self.requests.pop_violation() {
            self.report_violation(violation, format_args!("at=answer"));
        }
        while let Some(command) = self.requests.next_command() {
            match command {
                Command::StartAttempt {
                    request,
                    attempt,
                    backend,
                    abandon_at,
                    write_by,
                } => {
                    let attempt = UpstreamAttempt::Request { request, attempt };
                    let limits = AttemptLimits {
                        abandon_at,
                        write_by,
                    };
                    self.start_attempt(backend, attempt, limits);
                }
                Command::CancelAttempt { request, attempt } => {
                    self.cancel_attempt(request, attempt);
                }
                Command::Reply { connection, reply } => self.send_local_reply(connection, reply),
                Command::CloseIdleConnections(backend) => self.upstreams.close_idle(backend),
                Command::CheckHealth(backend) => self.check_health(backend),
                Command::SetTimer { at, timer } => self
                    .event_loop
                    .schedule(at, TimerEvent::BalancerTimer(timer)),
                Command::WatchEndpoints(on) => self.change_watch(on),
                Command::PollEndpoints => self.open_discovery_call(CallKind::Poll),
                Command::Log(line) => self
                    .diagnostics
                    .log(self.event_loop.now(), "decision", line),
                Command::GossipUnsupported => {
                    let text = "a message to peers is not carried";
                    self.diagnostics
                        .log(self.event_loop.now(), "decision", text);
                }
            }
        }
    }

    fn check_health(&mut self, backend: BackendId) {
        let now = self.event_loop.now();
        let attempt = UpstreamAttempt::HealthCheck {
            backend,
            sent_at: now,
        };
        let limits = AttemptLimits {
            abandon_at: now + HEALTH_CHECK_TIMEOUT,
            write_by: now + HEALTH_CHECK_TIMEOUT,
        };
        self.start_attempt(backend, attempt, limits);
    }
}

/// Descriptors that the process may use: as configured, within its resource limit and its memory.
fn usable_descriptors(configured: usize, memory_mib: usize) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let allowed = limit.map_or(configured, |limit| configured.min(limit as usize));
    let by_memory = memory_mib.saturating_mul(CONNECTIONS_PER_MIB);
    allowed.min(by_memory.max(MIN_DESCRIPTORS_BY_MEMORY))
}

fn buffer_bytes(memory_mib: usize) -> usize {
    memory_mib
        .max(MIN_MEMORY_MIB)
        .saturating_mul(BUFFER_BYTES_PER_MIB)
}

fn register_sources(
    event_loop: &EventLoop,
    listener: &OwnedFd,
    signals: &Signals,
) -> Result<(), Errno> {
    event_loop.add_at_start(listener, Token::Listener)?;
    for kind in [SignalKind::Terminate, SignalKind::Reload] {
        event_loop.add_at_start(signals.get(kind).wake_up(), Token::Signal(kind))?;
    }
    Ok(())
}
