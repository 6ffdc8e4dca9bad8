//! Constructs a node from its configuration.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use kitefork_balancer::{Nanos, SettingsError};
use kitefork_settings::Deployment;
use rustix::io::Errno;

use super::{Node, NodeError};
use crate::clock::{Clock, MS};
use crate::config::Config;
use crate::descriptor_budget::{DescriptorBudget, Purpose};
use crate::diagnostics::Diagnostics;
use crate::discovery::{Discovery, DiscoveryMode, EndpointList};
use crate::downstream::{ClientConnections, ForwardedRequest, Listener};
use crate::event_loop::{EventLoop, Token};
use crate::log::Trace;
use crate::net;
use crate::request_table::RequestTable;
use crate::ring_buffer::BufferBudget;
use crate::shutdown::Shutdown;
use crate::signals::{SignalKind, Signals};
use crate::upstream::UpstreamConnections;

/// Finest timer granularity, in nanoseconds; a shorter tick in the settings is raised to this.
const MIN_TICK: Nanos = MS;
/// Coarsest timer granularity, in nanoseconds; a longer tick in the settings is lowered to this.
const MAX_TICK: Nanos = 10 * MS;
/// A request that no backend has received can be rejected at no cost until this fraction of its
/// client timeout has passed (set by the platform).
const NEVER_ATTEMPTED_TIMEOUT_FRACTION: f64 = 0.5;
/// Connections per mebibyte of configured memory. The buffer budget limits the memory for bodies;
/// besides bodies, a connection holds at most one message head, and this many heads fit in a third
/// of the memory.
const CONNECTIONS_PER_MIB: usize = 16;
/// The descriptor limit that follows from the configured memory is raised to this if it is lower.
const MIN_DESCRIPTORS_BY_MEMORY: usize = 64;
/// Bytes of the buffer budget per mebibyte of configured memory: a quarter of a mebibyte.
const BUFFER_BYTES_PER_MIB: usize = 1 << 18;
/// The buffer budget is calculated from at least this much memory, in MiB, even if less is
/// configured.
const MIN_MEMORY_MIB: usize = 4;

impl Node {
    /// Creates a node: opens its listening socket, applies the cached endpoint list of the
    /// configuration, and starts discovery.
    ///
    /// # Errors
    ///
    /// If the settings are invalid, or a system call fails that the node depends on.
    pub fn start(config: Config, signals: Signals) -> Result<Node, NodeError> {
        let clock = Clock::start();
        let now = clock.read();
        let trace = Trace::new(config.trace, clock.unix_time_at_zero());
        let descriptors = usable_descriptors(config.sockets, config.memory_mb);
        let descriptor_budget = DescriptorBudget::new(descriptors);
        let requests = request_table(&config, &descriptor_budget, now, trace)?;
        let socket = listen(config.listen)?;
        let local_address = local_address(&socket)?;
        let event_loop = event_loop(clock, now, &config.deployment, &socket, &signals)?;
        let deployment = config.deployment;
        let mut node = Node {
            event_loop,
            diagnostics: Diagnostics::new(trace),
            signals,
            shutdown: Shutdown::new(),
            requests,
            buffer_budget: BufferBudget::new(buffer_bytes(config.memory_mb)),
            descriptor_budget,
            listener: Listener::new(socket, now),
            clients: ClientConnections::new(descriptor_budget.max(Purpose::Client)),
            upstreams: UpstreamConnections::new(
                descriptor_budget.max(Purpose::Upstream),
                deployment.connect_timeout,
                deployment.idle_limit,
            ),
            discovery: discovery(
                config.discovery,
                config.cached_endpoints.revision,
                &deployment,
            ),
            deployment,
        };
        let name = config.name;
        node.diagnostics.log(
            now,
            "start",
            format_args!("name={name} listen={local_address} sockets={descriptors}"),
        );
        node.apply_cached_list(&config.cached_endpoints);
        node.start_discovery();
        node.flush_pending();
        Ok(node)
    }
}

fn request_table(
    config: &Config,
    descriptor_budget: &DescriptorBudget,
    now: Nanos,
    trace: Trace,
) -> Result<RequestTable<ForwardedRequest>, SettingsError> {
    let mut settings = config.deployment.settings.clone();
    settings.limits.never_attempted_timeout_fraction = NEVER_ATTEMPTED_TIMEOUT_FRACTION;
    let max_requests = descriptor_budget
        .max(Purpose::Client)
        .min(config.deployment.max_pending_requests)
        .max(1);
    RequestTable::new(settings, config.seed, max_requests, now, trace)
}

fn listen(address: SocketAddr) -> Result<OwnedFd, NodeError> {
    net::retry_at_start(|| net::listener(address))
        .map_err(|error| NodeError::Listen { address, error })
}

/// The address on which the node listens, with the actual port if the configuration leaves its
/// choice to the system.
fn local_address(socket: &OwnedFd) -> Result<SocketAddr, NodeError> {
    rustix::net::getsockname(socket)
        .and_then(TryInto::try_into)
        .map_err(NodeError::LocalAddress)
}

fn event_loop(
    clock: Clock,
    now: Nanos,
    deployment: &Deployment,
    listener: &OwnedFd,
    signals: &Signals,
) -> Result<EventLoop, NodeError> {
    let tick = deployment.settings.tick.clamp(MIN_TICK, MAX_TICK);
    let event_loop = EventLoop::new(clock, now, tick).map_err(NodeError::Epoll)?;
    register_sources(&event_loop, listener, signals).map_err(NodeError::Epoll)?;
    Ok(event_loop)
}

fn discovery(address: SocketAddr, revision: u64, deployment: &Deployment) -> Discovery {
    let mode = if deployment.settings.poll_endpoints {
        DiscoveryMode::Polled
    } else {
        DiscoveryMode::Pushed {
            drain_grace: deployment.settings.rules.drain_grace,
        }
    };
    let endpoints = EndpointList::new(deployment.zones.clone(), deployment.kinds.clone());
    Discovery::new(address, mode, revision, endpoints)
}

/// Number of descriptors that the process may use: the configured limit, but not more than the
/// resource limit of the process or than the configured memory allows.
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
