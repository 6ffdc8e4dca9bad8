//! Test cluster: runs a scenario with stand-ins, processes of the node, and a timeline of the
//! actions on them.

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
use crate::referee::{BackendCut, BackendStart, Pause, Records, Rules};
use crate::report::{Measurements, Report};
use crate::scenario::{Scenario, duration_from_secs};

/// How long a node may still send to a backend after it was notified that the backend drains; the
/// nodes' settings state this time too.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Time after the client's timeout in which a final answer may still arrive; the nodes' settings
/// state this time too.
const ANSWER_SLACK: Duration = Duration::from_millis(20);
/// Time in which the backends of a cell drop repeats of an idempotency key.
const KEY_WINDOW: Duration = Duration::from_secs(3);
/// Time after which a backend in slow start breaks down if it is overloaded.
const OVERLOAD_DURATION: Duration = Duration::from_secs(2);
/// Multiple of its current capacity above which a backend in slow start is overloaded.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time that the referee allows nodes beyond [`DRAIN_GRACE`] and beyond [`ANSWER_SLACK`].
const REFEREE_MARGIN: Duration = Duration::from_millis(50);
/// Time from the latest allowed final answer to the end of the run.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of backends in a cell, within which repeats of an idempotency key are dropped.
const CELL_SIZE: usize = 4;
/// Multiplier of the run's seed. The product plus a backend's number is the backend's seed, so that
/// runs with different seeds share no backend seeds.
const BACKEND_SEED_MULTIPLIER: u64 = 1_000_003;

/// Processes, stand-ins and records of a run.
struct Cluster {
    scenario: Scenario,
    clock: Clock,
    process_settings: ProcessSettings,
    discovery: Arc<DiscoveryService>,
    /// Links from the nodes to discovery, by node number.
    discovery_links: Vec<Arc<Link>>,
    discovery_addresses: Vec<SocketAddr>,
    attempt_log: Arc<AttemptLog>,
    backends: Vec<Arc<Backend>>,
    /// Endpoints of the backends as discovery lists them at the start.
    endpoints: Vec<Endpoint>,
    nodes: Vec<Mutex<Node>>,
    /// Whether the front sends clients to a node, by node number.
    admitted: Vec<AtomicBool>,
    pauses: Mutex<Vec<Pause>>,
    backend_starts: Mutex<Vec<BackendStart>>,
    backend_cuts: Mutex<Vec<BackendCut>>,
    usage: Mutex<ResourceUsage>,
}

/// Runs a scenario, and reports what the stand-ins and the processes recorded.
///
/// # Errors
///
/// If a stand-in or a process can't be started, or a configuration can't be written.
pub async fn run(scenario: &Scenario, programs: &Programs) -> io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let clock = Clock::start();
    let cluster = Arc::new(Cluster::new(scenario, programs, folder.path(), clock).await?);
    cluster.write_initial_configs()?;
    let clients = Clients::new(clock);
    let misbehaving = MisbehavingClients::new(clock);
    let run_start = clock.now();
    let front_task = tokio::spawn(front::admit_nodes(cluster.clone()));
    let traffic_task = tokio::spawn(load::send_traffic(
        cluster.clone(),
        clients.clone(),
        run_start,
    ));
    let misbehaving_task = tokio::spawn(load::send_misbehaving_traffic(
        cluster.clone(),
        misbehaving.clone(),
        run_start,
    ));
    for event in timeline::events(scenario) {
        tokio::time::sleep_until(clock.instant_at(run_start + event.at)).await;
        cluster.apply(&event)?;
    }
    tokio::time::sleep_until(clock.instant_at(run_start + duration_from_secs(scenario.length_s)))
        .await;
    // After the last request is sent, the run continues until all final answers can have arrived.
    let _ = traffic_task.await;
    let _ = misbehaving_task.await;
    tokio::time::sleep(longest_client_timeout(scenario) + ANSWER_SLACK + SETTLING_TIME).await;
    front_task.abort();
    cluster.sample_usage();
    cluster.kill_nodes();
    let records = cluster.records(&clients, &misbehaving);
    Ok(Report::new(&cluster.measurements(&records, run_start)))
}

fn longest_client_timeout(scenario: &Scenario) -> Duration {
    let classes = scenario.traffic.class.iter();
    let longest_ms = classes
        .map(|class| class.client_timeout_ms)
        .fold(0.0, f64::max);
    duration_from_millis(longest_ms)
}

fn duration_from_millis(ms: f64) -> Duration {
    duration_from_secs(ms / 1_000.0)
}

/// Zone of the node or backend with this number; numbers are assigned to the zones in turn.
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
            process_settings: programs.process_settings(scenario),
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
            backend_cuts: Mutex::default(),
            usage: Mutex::default(),
        })
    }

    fn kill_nodes(&self) {
        for node in &self.nodes {
            let mut node = locked(node);
            node.reap(self.clock);
            node.signal(Signal::CONT, self.clock);
            // The run is over, so nodes are not given time for a graceful shutdown.
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
            backend_cuts: locked(&self.backend_cuts).clone(),
        }
    }

    fn measurements<'a>(&'a self, records: &'a Records, run_start: Duration) -> Measurements<'a> {
        let backends = || self.backends.iter();
        Measurements {
            scenario: &self.scenario,
            rules: rules(&self.scenario),
            records,
            run_start,
            discovery_calls: self.discovery.calls(),
            discovery_bytes: self.discovery.bytes_written(),
            accepted_connections: backends()
                .map(|backend| backend.link.accepted_connections())
                .collect(),
            rejected_attempts: backends().map(|backend| backend.rejected_attempts()).sum(),
            usage: locked(&self.usage).clone(),
            log_lines: self.log_lines(),
        }
    }

    /// Log lines of all nodes, each prefixed with the number of its node.
    fn log_lines(&self) -> Vec<String> {
        let numbered_lines = |node: &Mutex<Node>| {
            let node = locked(node);
            let number = node.number;
            let lines = node.log_lines().into_iter();
            lines.map(move |line| format!("n{number}: {line}"))
        };
        self.nodes.iter().flat_map(numbered_lines).collect()
    }
}

fn new_backends(scenario: &Scenario, clock: Clock, log: &Arc<AttemptLog>) -> Vec<Arc<Backend>> {
    let parameters = &scenario.backend;
    let settings = BackendSettings {
        mean_execution_time: duration_from_millis(parameters.work_ms),
        connection_setup_time: duration_from_millis(parameters.handshake_ms),
        max_in_flight: parameters.capacity,
        max_connections: parameters.connections,
        slow_start_initial_speed: parameters.slow_start_from,
        slow_start_duration: duration_from_secs(parameters.slow_start_s),
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

/// Starts the listeners of the backends; returns the endpoints that discovery lists at the start.
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
    let parameters = &scenario.discovery;
    Capacity {
        call_time: duration_from_millis(parameters.call_ms),
        endpoint_time: duration_from_millis(parameters.endpoint_us / 1_000.0),
        max_wait: duration_from_millis(parameters.max_wait_ms),
        max_history: parameters.history,
    }
}

fn rules(scenario: &Scenario) -> Rules {
    Rules {
        answer_slack: ANSWER_SLACK + REFEREE_MARGIN,
        drain_grace: DRAIN_GRACE + REFEREE_MARGIN,
        key_window: KEY_WINDOW,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION,
        slow_start_initial_speed: scenario.backend.slow_start_from,
        slow_start_duration: duration_from_secs(scenario.backend.slow_start_s),
        mean_execution_time: duration_from_millis(scenario.backend.work_ms),
    }
}
