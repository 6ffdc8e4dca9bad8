//! The test cluster: one run of a scenario with stand-ins, processes of the node, and a timeline of
//! what happens to them.

mod actions;
mod front;
mod load;
mod node_config;
mod programs;
mod timeline;
mod usage;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kitefork_standin::backend::{AttemptLog, Backend, BackendSettings};
use kitefork_standin::clients::Clients;
use kitefork_standin::discovery::{Capacity, DiscoveryService, Endpoint, EndpointState};
use kitefork_standin::link::Link;
use kitefork_standin::misbehaving::MisbehavingClients;
use kitefork_standin::{Clock, locked};
use rustix::process::Signal;

pub use programs::Programs;
pub use usage::ResourceUsage;

use crate::node::{Node, ProcessSettings};
use crate::referee::{BackendStart, Pause, Records, Rules};
use crate::report::{Measurements, Report};
use crate::scenario::{Scenario, seconds};

/// Grace after a backend was listed as draining, as the nodes' settings have it.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// A final answer may come this much after the client's timeout, as the nodes' settings have it.
const ANSWER_SLACK: Duration = Duration::from_millis(20);
/// Repeats of an idempotency key are dropped for this long.
const KEY_WINDOW: Duration = Duration::from_secs(3);
/// A backend in slow start breaks down if it is sent too much for this long ...
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// ... where too much is this multiple of what it can do.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// What the referee allows nodes beyond their own grace and slack.
const REFEREE_MARGIN: Duration = Duration::from_millis(50);
/// Behind the longest timeout of a client, the run goes on for this long.
const SETTLING: Duration = Duration::from_millis(300);
/// Backends of a cell, within which repeats of an idempotency key are dropped.
const CELL_SIZE: usize = 4;
/// Spreads the seeds of backends.
const BACKEND_SEED_MULTIPLIER: u64 = 1_000_003;

/// Everything that takes part in a run.
struct Cluster {
    scenario: Scenario,
    clock: Clock,
    process: ProcessSettings,
    discovery: Arc<DiscoveryService>,
    /// Links of nodes to discovery, by number of the node.
    discovery_links: Vec<Arc<Link>>,
    discovery_addresses: Vec<SocketAddr>,
    attempt_log: Arc<AttemptLog>,
    backends: Vec<Arc<Backend>>,
    /// The endpoints of the backends as they were first listed.
    endpoints: Vec<Endpoint>,
    nodes: Vec<Mutex<Node>>,
    /// Whether clients are sent to a node, by its number.
    admitted: Vec<AtomicBool>,
    pauses: Mutex<Vec<Pause>>,
    backend_starts: Mutex<Vec<BackendStart>>,
    usage: Mutex<ResourceUsage>,
}

/// Plays a scenario.
///
/// # Errors
///
/// If a stand-in or a process can't be started, or a configuration can't be written.
pub async fn run(scenario: &Scenario, programs: &Programs) -> io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let clock = Clock::start();
    let cluster = Arc::new(Cluster::new(scenario, programs, folder.path(), clock).await?);
    cluster.configure_nodes()?;
    let clients = Clients::new(clock);
    let misbehaving = MisbehavingClients::new(clock);
    let begin = clock.now();
    let front = tokio::spawn(front::admit_nodes(cluster.clone()));
    let traffic = tokio::spawn(load::traffic(cluster.clone(), clients.clone(), begin));
    let disturbance = tokio::spawn(load::misbehaving_traffic(
        cluster.clone(),
        misbehaving.clone(),
        begin,
    ));
    for event in timeline::events(scenario) {
        tokio::time::sleep_until(clock.at(begin + event.at)).await;
        cluster.apply(&event)?;
    }
    tokio::time::sleep_until(clock.at(begin + seconds(scenario.length_s))).await;
    // Requests that are on their way come to their ends; the traffic has stopped before.
    let _ = traffic.await;
    let _ = disturbance.await;
    tokio::time::sleep(longest_client_timeout(scenario) + ANSWER_SLACK + SETTLING).await;
    front.abort();
    cluster.sample_usage();
    cluster.kill_nodes();
    let records = cluster.records(&clients, &misbehaving);
    Ok(Report::new(&cluster.measurements(&records, begin)))
}

fn longest_client_timeout(scenario: &Scenario) -> Duration {
    let classes = scenario.traffic.class.iter();
    let longest_ms = classes
        .map(|class| class.client_timeout_ms)
        .fold(0.0, f64::max);
    milliseconds(longest_ms)
}

fn milliseconds(ms: f64) -> Duration {
    seconds(ms / 1_000.0)
}

/// Nodes and backends are dealt over the zones in turn.
fn zone(scenario: &Scenario, number: usize) -> usize {
    number % scenario.fleet.zones
}

impl Cluster {
    async fn new(
        scenario: &Scenario,
        programs: &Programs,
        folder: &Path,
        clock: Clock,
    ) -> io::Result<Cluster> {
        let attempt_log = Arc::new(AttemptLog::default());
        let backends = new_backends(scenario, clock, &attempt_log);
        let endpoints = serve_backends(scenario, &backends).await?;
        let capacity = discovery_capacity(scenario);
        let discovery = DiscoveryService::new(clock, capacity, endpoints.clone());
        let nodes = 0..scenario.fleet.nodes;
        let (mut discovery_links, mut discovery_addresses) = (Vec::new(), Vec::new());
        for number in nodes.clone() {
            let link = Arc::new(Link::default());
            discovery_addresses.push(discovery.serve(number, link.clone()).await?);
            discovery_links.push(link);
        }
        let new_node = |number| Mutex::new(Node::new(number, folder));
        Ok(Cluster {
            scenario: scenario.clone(),
            clock,
            process: programs.process_settings(scenario),
            discovery,
            discovery_links,
            discovery_addresses,
            attempt_log,
            backends,
            endpoints,
            nodes: nodes.clone().map(new_node).collect(),
            admitted: nodes.map(|_| AtomicBool::new(false)).collect(),
            pauses: Mutex::default(),
            backend_starts: Mutex::default(),
            usage: Mutex::default(),
        })
    }

    fn kill_nodes(&self) {
        for node in &self.nodes {
            let mut node = locked(node);
            node.reap(self.clock);
            node.signal(Signal::CONT, self.clock);
            // The run is over, whatever the node's state: its process ends with it.
            node.signal(Signal::KILL, self.clock);
        }
    }

    fn records(&self, clients: &Clients, misbehaving: &MisbehavingClients) -> Records {
        let nodes = self.nodes.iter();
        Records {
            requests: clients.records(),
            misbehaving: misbehaving.records(),
            attempts: self.attempt_log.attempts(),
            notifications: self.discovery.notifications(),
            endpoint_changes: self.discovery.changes(),
            incarnations: nodes.flat_map(|node| locked(node).incarnations()).collect(),
            pauses: locked(&self.pauses).clone(),
            backend_starts: locked(&self.backend_starts).clone(),
        }
    }

    fn measurements<'a>(&'a self, records: &'a Records, begin: Duration) -> Measurements<'a> {
        let backends = || self.backends.iter();
        Measurements {
            scenario: &self.scenario,
            rules: rules(&self.scenario),
            records,
            begin,
            discovery_calls: self.discovery.calls(),
            discovery_bytes: self.discovery.bytes_written(),
            accepted_connections: backends().map(|backend| backend.link.accepted()).collect(),
            rejected_attempts: backends().map(|backend| backend.rejected()).sum(),
            usage: locked(&self.usage).clone(),
            log_lines: self.log_lines(),
        }
    }

    /// The logs of all nodes, each line with its node.
    fn log_lines(&self) -> Vec<String> {
        let lines_of = |node: &Mutex<Node>| {
            let node = locked(node);
            let number = node.number;
            let lines = node.lines().into_iter();
            lines.map(move |line| format!("n{number}: {line}"))
        };
        self.nodes.iter().flat_map(lines_of).collect()
    }
}

fn new_backends(scenario: &Scenario, clock: Clock, log: &Arc<AttemptLog>) -> Vec<Arc<Backend>> {
    let figures = &scenario.backend;
    let settings = BackendSettings {
        work: milliseconds(figures.work_ms),
        handshake: milliseconds(figures.handshake_ms),
        capacity: figures.capacity,
        connections: figures.connections,
        slow_start_from: figures.slow_start_from,
        slow_start: seconds(figures.slow_start_s),
        seed: 0,
    };
    let new_backend = |number: usize| {
        let uid = format!("s-{number:04}");
        let cell = (number / CELL_SIZE) as u16;
        let seed = scenario.seed.wrapping_mul(BACKEND_SEED_MULTIPLIER) + number as u64;
        let settings = BackendSettings { seed, ..settings };
        Backend::new(&uid, cell, settings, clock, log.clone())
    };
    (0..scenario.fleet.backends).map(new_backend).collect()
}

/// Starts the backends' listeners; gives the backends as discovery lists them at first.
async fn serve_backends(
    scenario: &Scenario,
    backends: &[Arc<Backend>],
) -> io::Result<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    for (number, backend) in backends.iter().enumerate() {
        endpoints.push(Endpoint {
            uid: backend.uid.clone(),
            address: backend.serve().await?,
            zone: format!("z{}", zone(scenario, number)),
            cell: backend.cell,
            state: EndpointState::Ready,
            boot_ms: 0,
        });
    }
    Ok(endpoints)
}

fn discovery_capacity(scenario: &Scenario) -> Capacity {
    let figures = &scenario.discovery;
    Capacity {
        call: milliseconds(figures.call_ms),
        endpoint: milliseconds(figures.endpoint_us / 1_000.0),
        max_wait: milliseconds(figures.max_wait_ms),
        history: figures.history,
    }
}

fn rules(scenario: &Scenario) -> Rules {
    Rules {
        answer_slack: ANSWER_SLACK + REFEREE_MARGIN,
        drain_grace: DRAIN_GRACE + REFEREE_MARGIN,
        key_window: KEY_WINDOW,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_time: OVERLOAD_TIME,
        slow_start_from: scenario.backend.slow_start_from,
        slow_start: seconds(scenario.backend.slow_start_s),
        work: milliseconds(scenario.backend.work_ms),
    }
}
