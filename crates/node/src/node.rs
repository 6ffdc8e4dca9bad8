//! The node: runs the event loop and dispatches each event to the component that handles it.
//!
//! - `start` constructs the components from the configuration.
//! - `accept`, `clients`: the listener and the client connections ([`crate::downstream`]).
//! - `replies`: the answers that the node itself gives.
//! - `upstream`: attempts at backends ([`crate::upstream`]).
//! - `discovery`: the endpoint list ([`crate::discovery`]).
//! - `commands`: the commands that the request table has queued ([`crate::request_table`]).
//! - `shutdown`: the graceful shutdown, from SIGTERM to the last answer ([`crate::shutdown`]).

mod accept;
mod clients;
mod commands;
mod discovery;
mod error;
mod replies;
mod shutdown;
mod start;
mod upstream;

use std::fmt;

use kitefork_balancer::Event;
use kitefork_settings::Deployment;
use rustix::event::epoll::{self, EventFlags};

use crate::descriptor_budget::DescriptorBudget;
use crate::diagnostics::Diagnostics;
use crate::discovery::{CallKind, Discovery};
use crate::downstream::{ClientConnections, ForwardedRequest, Listener};
use crate::event_loop::{EventLoop, PEER_CLOSED, TimerEvent, Token};
use crate::request_table::RequestTable;
use crate::ring_buffer::BufferBudget;
use crate::rules::Violation;
use crate::shutdown::Shutdown;
use crate::signals::{SignalKind, Signals};
use crate::upstream::UpstreamConnections;

pub use error::NodeError;

/// Number of events that one poll has capacity for besides those of connections and discovery
/// calls: one for the listener, one for each of the two kinds of signals, and a margin of one.
const NON_CONNECTION_EVENTS: usize = 4;

/// A proxy process. Connects its components, each of which owns its own state.
pub struct Node {
    event_loop: EventLoop,
    diagnostics: Diagnostics,
    signals: Signals,
    shutdown: Shutdown,
    deployment: Deployment,
    requests: RequestTable<ForwardedRequest>,
    /// Limits the memory that the buffers of all connections use together.
    buffer_budget: BufferBudget,
    /// Limits the number of client and upstream connections, as each uses a file descriptor.
    descriptor_budget: DescriptorBudget,
    listener: Listener,
    clients: ClientConnections,
    upstreams: UpstreamConnections,
    discovery: Discovery,
}

impl Node {
    /// Serves requests until a graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// If polling the sockets fails.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut events = Vec::new();
        while !self.is_shutdown_complete() {
            let capacity = self.max_events();
            self.event_loop
                .poll(&mut events, capacity)
                .map_err(NodeError::Epoll)?;
            self.handle_socket_events(&events);
            self.handle_signals();
            for event in self.event_loop.expire_timers() {
                self.on_timer_event(event);
                self.flush_pending();
            }
        }
        self.log_end();
        Ok(())
    }

    fn max_events(&self) -> usize {
        let connections = self.clients.len() + self.upstreams.len();
        connections + self.discovery.open_calls() + NON_CONNECTION_EVENTS
    }

    /// Handles events that may forbid a send (see [`Node::may_forbid_send`]) before all others, and
    /// executes commands only after the last of these events. Socket events are handled before
    /// timers, so that an answer that has arrived takes precedence over its timeout.
    fn handle_socket_events(&mut self, events: &[epoll::Event]) {
        let (may_forbid_send, others): (Vec<_>, Vec<_>) =
            events.iter().partition(|event| self.may_forbid_send(event));
        for event in may_forbid_send {
            self.on_socket_event(event);
        }
        self.flush_pending();
        for event in others {
            self.on_socket_event(event);
            self.flush_pending();
        }
    }

    /// Whether an event may forbid a send: a client has closed its side, a client whose request
    /// waits for its answer has sent more, behind which a close may be hidden, or the endpoint list
    /// may change.
    fn may_forbid_send(&self, event: &epoll::Event) -> bool {
        // `epoll::Event` is a packed struct, so its fields are copied: they can't be referenced.
        let (data, flags) = (event.data, event.flags);
        match Token::decode(data) {
            Some(Token::Discovery(_)) => true,
            Some(Token::Client(number)) => {
                let connection = self.clients.get(number);
                flags.intersects(PEER_CLOSED) || connection.is_some_and(|c| c.request().is_some())
            }
            _ => false,
        }
    }

    fn log_end(&mut self) {
        let now = self.event_loop.now();
        let full_scans = self.requests.full_scans();
        let counts = format!("full_scans={full_scans} {}", self.diagnostics.counters());
        self.diagnostics.log(now, "counts", counts);
        self.diagnostics.log(now, "end", "all answered");
    }

    /// Counts and logs that the node has violated a protocol rule; `subject` is the `key=value`
    /// that the log line ends with. A violation is a bug in the program, so a debug build panics,
    /// unless the process was stopped and could not act in time.
    fn report_violation(&mut self, violation: Violation, subject: fmt::Arguments) {
        let now = self.event_loop.now();
        self.diagnostics.count_violation(now, violation, subject);
        debug_assert!(
            self.event_loop.was_stalled(),
            "protocol rule violated: {violation:?} {subject}"
        );
    }

    fn is_shutdown_complete(&self) -> bool {
        let is_drained = self.listener.is_closed() && self.clients.len() == 0;
        self.shutdown.is_forced() || (self.shutdown.is_draining() && is_drained)
    }

    fn on_socket_event(&mut self, event: &epoll::Event) {
        match Token::decode(event.data) {
            Some(Token::Listener) => self.accept_clients(),
            Some(Token::Signal(kind)) => self.signals.get(kind).drain_wake_up(),
            Some(Token::Client(number)) => self.client_ready(number, event.flags),
            Some(Token::Upstream(number)) => self.advance_upstream(number, true),
            Some(Token::Discovery(number)) => self.advance_discovery_call(number, event.flags),
            None => {}
        }
    }

    /// Handles the signals that have arrived, whether or not the byte that wakes the loop could be
    /// written.
    fn handle_signals(&mut self) {
        if self.signals.get(SignalKind::Terminate).take_pending() {
            self.begin_shutdown();
        }
        if self.signals.get(SignalKind::Reload).take_pending() {
            self.reload();
        }
        self.flush_pending();
    }

    fn on_timer_event(&mut self, event: TimerEvent) {
        let now = self.event_loop.now();
        match event {
            TimerEvent::ClientDeadline(number) => self.client_deadline_due(number),
            TimerEvent::ResumeClient(number) => self.read_client(number),
            TimerEvent::DeadlineGuard(request) => self.deadline_guard_due(request),
            TimerEvent::UpstreamDeadline(number) => self.upstream_deadline_due(number),
            TimerEvent::ResumeUpstream(number) => self.advance_upstream(number, false),
            TimerEvent::RetryPostponedDials => self.retry_postponed_dials(),
            TimerEvent::DiscoveryDeadline(number) => self.discovery_deadline_due(number),
            TimerEvent::ResumeDiscoveryCall(number) => {
                self.advance_discovery_call(number, EventFlags::OUT);
            }
            TimerEvent::RetryDiscoveryWatch => self.retry_discovery_call(CallKind::Watch),
            TimerEvent::RetryDiscoveryPoll => self.retry_discovery_call(CallKind::Poll),
            TimerEvent::OpenWatch => self.end_discovery_backoff(),
            TimerEvent::HedgeWatch => self.hedge_discovery_watch(),
            TimerEvent::ServeStaleList => {
                self.discovery.serve_stale_list(now, &mut self.diagnostics);
            }
            TimerEvent::BalancerTimer(timer) => self.requests.feed(now, Event::Timer { timer }),
            TimerEvent::ResumeAccepting => self.resume_accepting(),
            TimerEvent::TrimClients => self.trim_clients(),
            TimerEvent::StopAccepting => self.stop_accepting(),
            TimerEvent::LastAnswers => self.give_last_answers(),
            TimerEvent::ForceClose => self.force_close(),
        }
    }

    fn deadline_guard_due(&mut self, request: u32) {
        let now = self.event_loop.now();
        if self.requests.expire(now, request) {
            self.diagnostics
                .log(now, "deadline-guard", format_args!("request={request}"));
        }
    }
}
