//! One run of a scenario: parties, processes, the timeline, and what was counted.

mod load;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kitefork_standin::backend::{self, AttemptLog, Backend};
use kitefork_standin::clients::{ClientOutcome, ClientRequest, Clients, Idempotency};
use kitefork_standin::discovery::{CallOutcome, Capacity, DiscoveryService, Endpoint, Mode};
use kitefork_standin::link::{self, Link};
use kitefork_standin::misbehaving::{self, Behaviour, MisbehavingClients, MisbehavingRequest};
use kitefork_standin::{Clock, locked};
use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::node::{Incarnation, Node, Setup};
use crate::referee::{self, Records, Rules, Violation};
use crate::scenario::{Action, Class, Known, Scenario, Step, span};

/// Grace after a drain was told, and slack of a final answer, as the nodes are told.
const GRACE: Duration = Duration::from_millis(250);
const SLACK: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_millis(3_000);
const FALL: Duration = Duration::from_millis(2_000);
const MULTIPLE: f64 = 3.0;

/// What a run has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Everything counted, by name.
    pub figures: BTreeMap<String, f64>,
    /// The same by second: calls, failed calls, nodes with a fresh list, asked, served in time,
    /// refused.
    pub seconds: Vec<Second>,
    /// Rules broken, with the whole story of the request, node or backend.
    pub broken: Vec<String>,
    /// Expectations that do not hold.
    pub unmet: Vec<String>,
    /// Lines of logs that tell of a panic.
    pub panics: Vec<String>,
    /// All that the nodes wrote to their logs, in the order of the nodes.
    #[serde(skip)]
    pub logs: Vec<String>,
}

/// What happened in a second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Calls to the list service, and those that failed.
    pub calls: usize,
    /// See above.
    pub failed: usize,
    /// Nodes that have been told anything in their present life.
    pub fresh: usize,
    /// Requests, by when they were meant to be sent.
    pub asked: usize,
    /// Of these, served within their aims.
    pub in_time: usize,
    /// Refused.
    pub refused: usize,
    /// Attempts at backends.
    pub attempts: usize,
}

impl Report {
    /// Nothing was broken, and all that was expected holds.
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.unmet.is_empty() && self.panics.is_empty()
    }
}

struct Cluster {
    scenario: Scenario,
    clock: Clock,
    list: Arc<DiscoveryService>,
    list_links: Vec<Arc<Link>>,
    discovery: Vec<SocketAddr>,
    backends: Vec<Arc<Backend>>,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Mutex<Node>>,
    admitted: Vec<AtomicBool>,
    stopped: Mutex<Vec<(usize, Duration, Duration)>>,
    starts: Mutex<Vec<(String, Duration)>>,
    most_memory: Mutex<BTreeMap<usize, f64>>,
    cpu: Mutex<BTreeMap<usize, f64>>,
    most_descriptors: Mutex<usize>,
}

fn zone(scenario: &Scenario, number: usize) -> usize {
    number % scenario.fleet.zones
}

/// What is played with.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The node.
    pub node: PathBuf,
    /// The fault shim, for scenarios that have faults.
    pub shim: PathBuf,
    /// The nodes trace each event and decision.
    pub trace: bool,
}

impl Programs {
    /// A program, and the shim where cargo puts it beside that.
    pub fn beside(node: &Path) -> Programs {
        let shim = node.with_file_name("libkitefork_fault_shim.so");
        Programs {
            node: node.to_path_buf(),
            shim,
            trace: false,
        }
    }

    fn setup(&self, scenario: &Scenario) -> Setup {
        let mut variables = Vec::new();
        let mut set = |name: &str, value: String| variables.push((name.to_string(), value));
        if !scenario.fleet.faults.is_empty() {
            set("LD_PRELOAD", self.shim.display().to_string());
            set("KITEFORK_FAULTS", scenario.fleet.faults.clone());
            set("KITEFORK_FAULT_SEED", scenario.seed.to_string());
        }
        if scenario.fleet.log_unread || self.trace {
            set("BALANCER_TRACE", "1".into());
        }
        Setup {
            variables,
            log_unread: scenario.fleet.log_unread,
        }
    }
}

/// Plays a scenario with a program.
pub async fn run(scenario: &Scenario, programs: &Programs) -> io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let clock = Clock::start();
    let build = &scenario.backend;
    let ms = |ms: f64| span(ms / 1_000.0);
    let attempt_log = Arc::new(AttemptLog::default());
    let (mut backends, mut endpoints) = (Vec::new(), Vec::new());
    for number in 0..scenario.fleet.backends {
        let build = backend::BackendSettings {
            work: ms(build.work_ms),
            handshake: ms(build.handshake_ms),
            capacity: build.capacity,
            connections: build.connections,
            slow_start_from: build.slow_start_from,
            slow_start: span(build.slow_start_s),
        };
        let (uid, cell) = (format!("s-{number:04}"), (number / 4) as u16);
        let seed = scenario.seed.wrapping_mul(1_000_003) + number as u64;
        let backend = Backend::new(&uid, cell, build, clock, attempt_log.clone(), seed);
        let zone = format!("z{}", zone(scenario, number));
        endpoints.push(Endpoint {
            uid,
            address: backend.serve().await?,
            zone,
            cell,
            state: "Ready",
            boot_ms: 0,
        });
        backends.push(backend);
    }
    let list = &scenario.list;
    let capacity = Capacity {
        call: ms(list.call_ms),
        row: ms(list.row_us / 1_000.0),
        most_wait: ms(list.most_wait_ms),
        history: list.history,
    };
    let list = DiscoveryService::new(clock, capacity, endpoints.clone());
    let (mut list_links, mut discovery) = (Vec::new(), Vec::new());
    for number in 0..scenario.fleet.nodes {
        let link = Arc::new(Link::default());
        discovery.push(list.serve(number, link.clone()).await?);
        list_links.push(link);
    }
    let numbers = 0..scenario.fleet.nodes;
    let cluster = Arc::new(Cluster {
        scenario: scenario.clone(),
        clock,
        list,
        list_links,
        discovery,
        backends,
        endpoints,
        nodes: numbers
            .clone()
            .map(|number| Mutex::new(Node::new(number, folder.path())))
            .collect(),
        admitted: numbers.map(|_| AtomicBool::new(false)).collect(),
        stopped: Mutex::default(),
        starts: Mutex::default(),
        most_memory: Mutex::default(),
        cpu: Mutex::default(),
        most_descriptors: Mutex::default(),
    });
    for number in 0..scenario.fleet.nodes {
        let known = cluster.first_known();
        locked(&cluster.nodes[number]).configure(cluster.config(number, &known))?;
    }
    let clients = Clients::new(clock);
    let misbehaving = MisbehavingClients::new(clock);
    let setup = programs.setup(scenario);
    let begin = clock.now();
    let watch = tokio::spawn(load::front(cluster.clone()));
    let asking = tokio::spawn(load::traffic(cluster.clone(), clients.clone(), begin));
    let disturbing = tokio::spawn(load::misbehaving_traffic(
        cluster.clone(),
        misbehaving.clone(),
        begin,
    ));
    for (at, step, number) in cluster.timeline() {
        tokio::time::sleep_until(clock.at(begin + at)).await;
        cluster.apply(&step, number, &programs.node, &setup)?;
    }
    tokio::time::sleep_until(clock.at(begin + span(scenario.length_s))).await;
    // Those that are out come to their end; asks stop well before it.
    let longest = scenario
        .traffic
        .class
        .iter()
        .map(|c| c.client_timeout_ms)
        .fold(0.0, f64::max);
    let _ = asking.await;
    let _ = disturbing.await;
    tokio::time::sleep(ms(longest) + SLACK + Duration::from_millis(300)).await;
    watch.abort();
    cluster.sample();
    for node in &cluster.nodes {
        let mut node = locked(node);
        node.reap(clock);
        node.signal(Signal::CONT, clock);
        // The run is over, whatever its state: its child ends with it.
        node.signal(Signal::KILL, clock);
    }
    Ok(cluster.report(&clients, &misbehaving, &attempt_log, begin))
}

impl Cluster {
    /// The list that nodes are given at their first start.
    fn first_known(&self) -> Vec<Endpoint> {
        match self.scenario.fleet.known {
            Known::Empty => Vec::new(),
            Known::Current => self.endpoints.clone(),
            Known::Stale => {
                let aged = |(number, entry): (usize, &Endpoint)| {
                    let uid = if number % 10 < 3 {
                        format!("old-{number:04}")
                    } else {
                        entry.uid.clone()
                    };
                    Endpoint {
                        uid,
                        ..entry.clone()
                    }
                };
                self.endpoints.iter().enumerate().map(aged).collect()
            }
        }
    }

    fn config(&self, number: usize, known: &[Endpoint]) -> Value {
        let scenario = &self.scenario;
        let (backend, traffic) = (&scenario.backend, &scenario.traffic);
        let ns = |ms: f64| (ms * 1e6) as u64;
        let idempotency = |class: &Class| match class.idempotency() {
            Some(Idempotency::NotIdempotent) => "once",
            Some(Idempotency::IdempotencyKey) => "by_key",
            _ => "repeatable",
        };
        let default = [Class {
            name: "check".into(),
            idempotency: "safe".into(),
            share: 1.0,
            latency_objective_ms: 300.0,
            client_timeout_ms: 1_000.0,
            priority_weight: 1.0,
        }];
        let classes = if traffic.class.is_empty() {
            &default[..]
        } else {
            &traffic.class
        };
        let grades: Vec<Value> = classes
            .iter()
            .map(|class| {
                json!({"name": class.name, "effect": idempotency(class), "keyScope": "cell",
                    "windowNs": WINDOW.as_nanos() as u64, "goalTimeNs": ns(class.latency_objective_ms),
                    "giveUpNs": ns(class.client_timeout_ms), "importance": class.priority_weight})
            })
            .collect();
        let mode = if scenario.list.pushed {
            "automatic"
        } else {
            "subscribe"
        };
        let zones: Vec<String> = (0..scenario.fleet.zones)
            .map(|zone| format!("z{zone}"))
            .collect();
        let seed = scenario
            .seed
            .wrapping_mul(7_919)
            .wrapping_add(number as u64);
        json!({"name": format!("n{number}"), "discovery": self.discovery[number].to_string(),
            "seed": format!("{seed:016x}"), "limits": {"sockets": scenario.fleet.sockets, "memory_mb": 64},
            "known": {"rev": 0, "all": true, "targets": known.iter().map(Endpoint::json).collect::<Vec<_>>()},
            "settings": {"azs": zones, "kinds": ["m"], "membershipMode": mode, "tickNs": 1_000_000,
                "me": number, "zone": zone(scenario, number),
                "siblings": scenario.fleet.proxy_count.unwrap_or(scenario.fleet.nodes),
                "grades": grades, "tenants": [{"name": "acme", "quotaPerS": 1e9}],
                "limits": {"cancel": true, "maxAttempts": 5, "maxRetryAfterNs": 500_000_000,
                    "connectTimeoutNs": 100_000_000, "connIdleNs": 10_000_000_000u64},
                "rules": {"coldFrom": backend.slow_start_from, "coldNs": ns(backend.slow_start_s * 1e3).max(1),
                    "drainGraceNs": GRACE.as_nanos() as u64, "fallNs": FALL.as_nanos() as u64,
                    "tipMultiple": MULTIPLE, "answerSlackNs": SLACK.as_nanos() as u64,
                    "askWithinNs": 10_000_000_000u64}}})
    }

    /// Each event of the scenario for each party it strikes, by time.
    fn timeline(&self) -> Vec<(Duration, Step, usize)> {
        let mut all = Vec::new();
        for step in &self.scenario.at {
            let count = match step.action {
                Action::Start
                | Action::Kill
                | Action::Term
                | Action::Stop
                | Action::Cont
                | Action::Reload
                | Action::ReloadHalf
                | Action::ReloadMissing
                | Action::ListCut => self.nodes.len(),
                Action::ListUp
                | Action::ListBusy
                | Action::ListSilent
                | Action::ListHalf
                | Action::ListDown
                | Action::ListRestart => 1,
                _ => self.backends.len(),
            };
            let [from, to] = step.part.map(|part| (part * count as f64).round() as usize);
            let chosen: Vec<usize> = (from..to)
                .filter(|number| {
                    step.zone
                        .is_none_or(|wanted| zone(&self.scenario, *number) == wanted)
                })
                .collect();
            for (place, number) in chosen.iter().enumerate() {
                let later = step.over_s * place as f64 / chosen.len() as f64;
                all.push((span(step.s + later), step.clone(), *number));
            }
        }
        all.sort_by_key(|event| event.0);
        all
    }

    fn apply(
        self: &Arc<Self>,
        step: &Step,
        number: usize,
        program: &Path,
        setup: &Setup,
    ) -> io::Result<()> {
        let clock = self.clock;
        let signal = |signal| locked(&self.nodes[number]).signal(signal, clock);
        match step.action {
            Action::Start => {
                let mut node = locked(&self.nodes[number]);
                node.reap(clock);
                node.start(program, clock, setup)?;
            }
            Action::Kill | Action::Term => {
                // What it knew then is all that its next life is given.
                let known = self.list.list();
                locked(&self.nodes[number]).configure(self.config(number, &known))?;
                signal(if step.action == Action::Kill {
                    Signal::KILL
                } else {
                    Signal::TERM
                });
            }
            Action::Stop => {
                signal(Signal::STOP);
                let now = clock.now();
                locked(&self.stopped).push((number, now, Duration::MAX));
            }
            Action::Cont => {
                signal(Signal::CONT);
                // It works off what has come meanwhile.
                let end = clock.now() + Duration::from_millis(500);
                let mut stopped = locked(&self.stopped);
                stopped
                    .iter_mut()
                    .filter(|s| s.0 == number && s.2 == Duration::MAX)
                    .for_each(|s| s.2 = end);
            }
            Action::Reload => {
                // Sound again, whatever was there before.
                let known = self.list.list();
                locked(&self.nodes[number]).configure(self.config(number, &known))?;
                signal(Signal::HUP);
            }
            Action::ReloadHalf => {
                let config = self.config(number, &[]);
                locked(&self.nodes[number]).configure_half(&config)?;
                signal(Signal::HUP);
            }
            Action::ReloadMissing => {
                // It may be missing already.
                let _ = locked(&self.nodes[number]).remove_configuration();
                signal(Signal::HUP);
            }
            Action::ListUp => {
                self.list.set(Mode::Up);
                self.list_links
                    .iter()
                    .for_each(|link| link.set(link::Health::Sound));
            }
            Action::ListBusy => self.list.set(Mode::Busy),
            Action::ListSilent => self.list.set(Mode::Silent),
            Action::ListHalf => self.list.set(Mode::Half),
            Action::ListDown => self.list_links.iter().for_each(|link| {
                link.set(link::Health::Refused);
                link.reset();
            }),
            Action::ListRestart => {
                self.list.restart();
                self.list_links.iter().for_each(|link| link.reset());
            }
            Action::ListCut => self.list_links[number].set(link::Health::Cut),
            Action::Drain | Action::BackendKill => {
                let state = if step.action == Action::Drain {
                    "Terminating"
                } else {
                    "Gone"
                };
                if step.action == Action::BackendKill {
                    self.backends[number].link.set(link::Health::Refused);
                    self.backends[number].link.reset();
                } else {
                    self.list.change(Endpoint {
                        state,
                        ..self.endpoints[number].clone()
                    });
                }
                let cluster = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    cluster.list.change(Endpoint {
                        state: "Gone",
                        ..cluster.endpoints[number].clone()
                    });
                });
            }
            Action::BackendStart => {
                let backend = &self.backends[number];
                backend.restart();
                backend.link.set(link::Health::Sound);
                locked(&self.starts).push((backend.uid.clone(), clock.now()));
                let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let boot_ms = since.unwrap_or_default().as_millis() as u64;
                self.list.change(Endpoint {
                    boot_ms,
                    ..self.endpoints[number].clone()
                });
            }
            Action::Swallow => self.backends[number].set(backend::Health::Swallows),
            Action::Fail => self.backends[number].set(backend::Health::Fails),
            Action::Work => {
                self.backends[number].set(backend::Health::Works(step.size));
                self.backends[number].link.set(link::Health::Sound);
                self.backends[number]
                    .link
                    .set_write_behaviour(link::WriteBehaviour::Unchanged);
            }
            Action::AnswerTwice => self.backends[number]
                .link
                .set_write_behaviour(link::WriteBehaviour::Duplicated),
            Action::AnswerInPieces => self.backends[number]
                .link
                .set_write_behaviour(link::WriteBehaviour::InPieces),
            Action::BackendCut => self.backends[number].link.set(link::Health::Cut),
            Action::BackendCutOut => self.backends[number].link.set(link::Health::CutOut),
            Action::BackendReset => self.backends[number].link.reset(),
        }
        Ok(())
    }

    /// Notes what processes use, and those that have ended.
    fn sample(&self) {
        for node in &self.nodes {
            let mut node = locked(node);
            node.reap(self.clock);
            if let Some(memory) = node.memory_mb() {
                let mut most = locked(&self.most_memory);
                let most = most.entry(node.number).or_default();
                *most = memory.max(*most);
            }
            if let Some(count) = node.descriptors() {
                let mut most = locked(&self.most_descriptors);
                *most = count.max(*most);
            }
            if let Some(cpu) = node.cpu_s() {
                locked(&self.cpu).insert(node.number, cpu);
            }
        }
    }

    fn report(
        &self,
        clients: &Clients,
        misbehaving: &MisbehavingClients,
        attempt_log: &AttemptLog,
        begin: Duration,
    ) -> Report {
        let scenario = &self.scenario;
        let incarnations: Vec<Incarnation> = self
            .nodes
            .iter()
            .flat_map(|node| locked(node).incarnations())
            .collect();
        let records = Records {
            asked: clients.asked(),
            misbehaving: misbehaving.asked(),
            attempts: attempt_log.attempts(),
            told: self.list.told(),
            changes: self.list.changes(),
            incarnations,
            stopped: locked(&self.stopped).clone(),
            starts: locked(&self.starts).clone(),
        };
        let rules = Rules {
            slack: SLACK + Duration::from_millis(50),
            grace: GRACE + Duration::from_millis(50),
            window: WINDOW,
            multiple: MULTIPLE,
            fall: FALL,
            slow_start_from: scenario.backend.slow_start_from,
            slow_start: span(scenario.backend.slow_start_s),
            work: span(scenario.backend.work_ms / 1_000.0),
        };
        let broken = referee::judge(&rules, &records);
        let lines = self.nodes.iter().flat_map(|node| {
            let node = locked(node);
            let number = node.number;
            node.lines()
                .into_iter()
                .map(move |line| format!("n{number}: {line}"))
        });
        let lines: Vec<String> = lines.collect();
        // What the node itself found broken.
        let violations: Vec<String> = lines
            .iter()
            .filter(|line| line.contains("kitefork: violation "))
            .cloned()
            .collect();
        let panics: Vec<String> = lines
            .iter()
            .filter(|line| line.contains("panicked"))
            .cloned()
            .collect();
        let mut figures = self.figures(&records, &broken, begin);
        figures.insert("panics".into(), panics.len() as f64);
        let unmet = scenario.unmet(&figures);
        let seconds = self.seconds(&records, begin);
        let mut broken: Vec<String> = broken
            .into_iter()
            .map(|b| format!("{}: {}", b.rule, b.details))
            .collect();
        broken.extend(violations);
        Report {
            figures,
            seconds,
            broken,
            unmet,
            panics,
            logs: lines,
        }
    }

    fn in_time(&self, asked: &kitefork_standin::clients::RequestRecord) -> bool {
        let latency_objective = self
            .scenario
            .traffic
            .class
            .iter()
            .find(|class| class.name == asked.request.class);
        let latency_objective =
            span(latency_objective.map_or(0.0, |class| class.latency_objective_ms) / 1_000.0);
        matches!(asked.answer, ClientOutcome::Answered(200, _))
            && asked.ended <= asked.request.planned + latency_objective
    }

    fn figures(
        &self,
        records: &Records,
        broken: &[Violation],
        begin: Duration,
    ) -> BTreeMap<String, f64> {
        let nodes = self.nodes.len() as f64;
        let mut figures = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        put("broken_rules", broken.len() as f64);

        let calls = self.list.calls();
        let failed = calls
            .iter()
            .filter(|call| call.end != CallOutcome::Answered)
            .count() as f64;
        put("calls", calls.len() as f64);
        put("calls_per_node", calls.len() as f64 / nodes);
        put(
            "calls_per_start",
            calls.len() as f64 / records.incarnations.len().max(1) as f64,
        );
        put("calls_failed", failed / calls.len().max(1) as f64);
        let mut times: Vec<Duration> = calls.iter().map(|call| call.arrived).collect();
        times.sort_unstable();
        let crowd = |(place, from): (usize, &Duration)| {
            times[place..]
                .iter()
                .take_while(|at| **at < *from + Duration::from_millis(100))
                .count()
        };
        put(
            "calls_worst_100ms",
            times.iter().enumerate().map(crowd).max().unwrap_or(0) as f64,
        );

        // From when a life began until it was told anything; those told of an end before don't
        // count.
        let first = |incarnation: &Incarnation| {
            let told = records
                .told
                .iter()
                .filter(|t| t.node == incarnation.node && t.at >= incarnation.started)
                .map(|t| t.at);
            let end = incarnation.ended.map_or(Duration::MAX, |end| end.0);
            told.min()
                .filter(|at| *at <= end)
                .map(|at| (at - incarnation.started).as_secs_f64())
        };
        let lasting: Vec<&Incarnation> = records
            .incarnations
            .iter()
            .filter(|incarnation| incarnation.ended.is_none())
            .collect();
        let mut waits: Vec<f64> = lasting
            .iter()
            .filter_map(|incarnation| first(incarnation))
            .collect();
        waits.sort_by(f64::total_cmp);
        put("nodes_without_list", (lasting.len() - waits.len()) as f64);
        put(
            "list_median_s",
            waits.get(waits.len() / 2).copied().unwrap_or(f64::NAN),
        );
        put("list_last_s", waits.last().copied().unwrap_or(f64::NAN));
        put("list_floor_s", self.scenario.list.call_ms / 1e3 * nodes);

        let accepted: Vec<f64> = self
            .backends
            .iter()
            .map(|b| b.link.accepted() as f64)
            .collect();
        let mean = accepted.iter().sum::<f64>() / accepted.len().max(1) as f64;
        put("connections", accepted.iter().sum());
        put(
            "connections_worst",
            accepted.iter().copied().fold(0.0, f64::max) / mean.max(1e-9),
        );
        put(
            "turned_away",
            self.backends.iter().map(|b| b.rejected() as f64).sum(),
        );

        let share = |kept: &dyn Fn(&kitefork_standin::clients::RequestRecord) -> bool,
                     from: Duration| {
            let all = || {
                records
                    .asked
                    .iter()
                    .filter(|asked| asked.request.planned >= from)
            };
            all().filter(|asked| kept(asked)).count() as f64 / all().count().max(1) as f64
        };
        let start = Duration::ZERO;
        put("asked", records.asked.len() as f64);
        put("in_time", share(&|asked| self.in_time(asked), start));
        put(
            "served",
            share(
                &|asked| matches!(asked.answer, ClientOutcome::Answered(200, _)),
                start,
            ),
        );
        put(
            "refused",
            share(
                &|asked| matches!(asked.answer, ClientOutcome::Answered(429 | 503, _)),
                start,
            ),
        );
        put(
            "unreachable",
            share(&|asked| asked.answer == ClientOutcome::Unreachable, start),
        );
        let last = self
            .scenario
            .at
            .iter()
            .map(|step| step.s + step.over_s)
            .fold(0.0, f64::max);
        put(
            "in_time_after",
            share(&|asked| self.in_time(asked), begin + span(last)),
        );
        put(
            "attempts_per_ask",
            records.attempts.len() as f64 / records.asked.len().max(1) as f64,
        );
        put("lives", records.incarnations.len() as f64);
        let most = locked(&self.most_memory);
        put("memory_mb_most", most.values().copied().fold(0.0, f64::max));
        put("descriptors_most", *locked(&self.most_descriptors) as f64);
        put("list_kb", self.list.bytes_written() as f64 / 1e3);
        let cpu = locked(&self.cpu);
        put(
            "cpu_s_mean",
            cpu.values().sum::<f64>() / cpu.len().max(1) as f64,
        );
        figures
    }

    fn seconds(&self, records: &Records, begin: Duration) -> Vec<Second> {
        let mut seconds = vec![Second::default(); self.scenario.length_s.ceil() as usize];
        let place = |at: Duration| at.saturating_sub(begin).as_secs() as usize;
        for call in self.list.calls() {
            if let Some(second) = seconds.get_mut(place(call.arrived)) {
                second.calls += 1;
                second.failed += usize::from(call.end != CallOutcome::Answered);
            }
        }
        for asked in &records.asked {
            if let Some(second) = seconds.get_mut(place(asked.request.planned)) {
                second.asked += 1;
                second.in_time += usize::from(self.in_time(asked));
                second.refused += usize::from(matches!(
                    asked.answer,
                    ClientOutcome::Answered(429 | 503, _)
                ));
            }
        }
        for attempt in &records.attempts {
            if let Some(second) = seconds.get_mut(place(attempt.arrived)) {
                second.attempts += 1;
            }
        }
        for (number, second) in seconds.iter_mut().enumerate() {
            let end = begin + Duration::from_secs(number as u64 + 1);
            let fresh = |incarnation: &&Incarnation| {
                incarnation.started < end
                    && incarnation.ended.is_none_or(|at| at.0 >= end)
                    && records.told.iter().any(|t| {
                        t.node == incarnation.node && t.at >= incarnation.started && t.at < end
                    })
            };
            second.fresh = records.incarnations.iter().filter(fresh).count();
        }
        seconds
    }
}
