//! One run of a scenario: parties, processes, the timeline, and what was counted.

mod load;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kitefork_standin::backend::{self, Backend, Ledger};
use kitefork_standin::clients::{Answer, Ask, Clients, Effect};
use kitefork_standin::link::{self, Link};
use kitefork_standin::list::{CallEnd, Capacity, Entry, ListService, Mode};
use kitefork_standin::odd::{self, Manner, OddAsk, OddClients};
use kitefork_standin::{Clock, locked};
use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::node::{Life, Node, Setup};
use crate::referee::{self, Broken, Ledgers, Rules};
use crate::scenario::{Class, Known, Scenario, Step, What, span};

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

struct Parties {
    scenario: Scenario,
    clock: Clock,
    list: Arc<ListService>,
    list_links: Vec<Arc<Link>>,
    discovery: Vec<SocketAddr>,
    backends: Vec<Arc<Backend>>,
    entries: Vec<Entry>,
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
    let ledger = Arc::new(Ledger::default());
    let (mut backends, mut entries) = (Vec::new(), Vec::new());
    for number in 0..scenario.fleet.backends {
        let build = backend::Build {
            work: ms(build.work_ms),
            handshake: ms(build.handshake_ms),
            room: build.room,
            connections: build.connections,
            cold_from: build.cold_from,
            cold: span(build.cold_s),
        };
        let (uid, cell) = (format!("s-{number:04}"), (number / 4) as u16);
        let seed = scenario.seed.wrapping_mul(1_000_003) + number as u64;
        let backend = Backend::new(&uid, cell, build, clock, ledger.clone(), seed);
        let zone = format!("z{}", zone(scenario, number));
        entries.push(Entry {
            uid,
            endpoint: backend.serve().await?,
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
    let list = ListService::new(clock, capacity, entries.clone());
    let (mut list_links, mut discovery) = (Vec::new(), Vec::new());
    for number in 0..scenario.fleet.nodes {
        let link = Arc::new(Link::default());
        discovery.push(list.serve(number, link.clone()).await?);
        list_links.push(link);
    }
    let numbers = 0..scenario.fleet.nodes;
    let parties = Arc::new(Parties {
        scenario: scenario.clone(),
        clock,
        list,
        list_links,
        discovery,
        backends,
        entries,
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
        let known = parties.first_known();
        locked(&parties.nodes[number]).configure(parties.config(number, &known))?;
    }
    let clients = Clients::new(clock);
    let odd = OddClients::new(clock);
    let setup = programs.setup(scenario);
    let begin = clock.now();
    let watch = tokio::spawn(load::front(parties.clone()));
    let asking = tokio::spawn(load::traffic(parties.clone(), clients.clone(), begin));
    let disturbing = tokio::spawn(load::odd_traffic(parties.clone(), odd.clone(), begin));
    for (at, step, number) in parties.timeline() {
        tokio::time::sleep_until(clock.at(begin + at)).await;
        parties.carry_out(&step, number, &programs.node, &setup)?;
    }
    tokio::time::sleep_until(clock.at(begin + span(scenario.length_s))).await;
    // Those that are out come to their end; asks stop well before it.
    let longest = scenario
        .traffic
        .class
        .iter()
        .map(|c| c.deadline_ms)
        .fold(0.0, f64::max);
    let _ = asking.await;
    let _ = disturbing.await;
    tokio::time::sleep(ms(longest) + SLACK + Duration::from_millis(300)).await;
    watch.abort();
    parties.sample();
    for node in &parties.nodes {
        let mut node = locked(node);
        node.reap(clock);
        node.signal(Signal::CONT, clock);
        // The run is over, whatever its state: its child ends with it.
        node.signal(Signal::KILL, clock);
    }
    Ok(parties.report(&clients, &odd, &ledger, begin))
}

impl Parties {
    /// The list that nodes are given at their first start.
    fn first_known(&self) -> Vec<Entry> {
        match self.scenario.fleet.known {
            Known::Empty => Vec::new(),
            Known::Current => self.entries.clone(),
            Known::Stale => {
                let aged = |(number, entry): (usize, &Entry)| {
                    let uid = if number % 10 < 3 {
                        format!("old-{number:04}")
                    } else {
                        entry.uid.clone()
                    };
                    Entry {
                        uid,
                        ..entry.clone()
                    }
                };
                self.entries.iter().enumerate().map(aged).collect()
            }
        }
    }

    fn config(&self, number: usize, known: &[Entry]) -> Value {
        let scenario = &self.scenario;
        let (backend, traffic) = (&scenario.backend, &scenario.traffic);
        let ns = |ms: f64| (ms * 1e6) as u64;
        let effect = |class: &Class| match class.effect() {
            Some(Effect::Unsafe) => "once",
            Some(Effect::Keyed) => "by_key",
            _ => "repeatable",
        };
        let default = [Class {
            name: "check".into(),
            effect: "safe".into(),
            share: 1.0,
            aim_ms: 300.0,
            deadline_ms: 1_000.0,
            worth: 1.0,
        }];
        let classes = if traffic.class.is_empty() {
            &default[..]
        } else {
            &traffic.class
        };
        let grades: Vec<Value> = classes
            .iter()
            .map(|class| {
                json!({"name": class.name, "effect": effect(class), "keyScope": "cell",
                    "windowNs": WINDOW.as_nanos() as u64, "goalTimeNs": ns(class.aim_ms),
                    "giveUpNs": ns(class.deadline_ms), "importance": class.worth})
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
            "known": {"rev": 0, "all": true, "targets": known.iter().map(Entry::json).collect::<Vec<_>>()},
            "settings": {"azs": zones, "kinds": ["m"], "membershipMode": mode, "tickNs": 1_000_000,
                "me": number, "zone": zone(scenario, number),
                "siblings": scenario.fleet.siblings.unwrap_or(scenario.fleet.nodes),
                "grades": grades, "tenants": [{"name": "acme", "quotaPerS": 1e9}],
                "limits": {"cancel": true, "maxAttempts": 5, "maxRetryAfterNs": 500_000_000,
                    "connectTimeoutNs": 100_000_000, "connIdleNs": 10_000_000_000u64},
                "rules": {"coldFrom": backend.cold_from, "coldNs": ns(backend.cold_s * 1e3).max(1),
                    "drainGraceNs": GRACE.as_nanos() as u64, "fallNs": FALL.as_nanos() as u64,
                    "tipMultiple": MULTIPLE, "answerSlackNs": SLACK.as_nanos() as u64,
                    "askWithinNs": 10_000_000_000u64}}})
    }

    /// Each event of the scenario for each party it strikes, by time.
    fn timeline(&self) -> Vec<(Duration, Step, usize)> {
        let mut all = Vec::new();
        for step in &self.scenario.at {
            let count = match step.what {
                What::Start
                | What::Kill
                | What::Term
                | What::Stop
                | What::Cont
                | What::Reload
                | What::ReloadHalf
                | What::ReloadMissing
                | What::ListCut => self.nodes.len(),
                What::ListUp
                | What::ListBusy
                | What::ListSilent
                | What::ListHalf
                | What::ListDown
                | What::ListRestart => 1,
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

    fn carry_out(
        self: &Arc<Self>,
        step: &Step,
        number: usize,
        program: &Path,
        setup: &Setup,
    ) -> io::Result<()> {
        let clock = self.clock;
        let signal = |signal| locked(&self.nodes[number]).signal(signal, clock);
        match step.what {
            What::Start => {
                let mut node = locked(&self.nodes[number]);
                node.reap(clock);
                node.start(program, clock, setup)?;
            }
            What::Kill | What::Term => {
                // What it knew then is all that its next life is given.
                let known = self.list.list();
                locked(&self.nodes[number]).configure(self.config(number, &known))?;
                signal(if step.what == What::Kill {
                    Signal::KILL
                } else {
                    Signal::TERM
                });
            }
            What::Stop => {
                signal(Signal::STOP);
                let now = clock.now();
                locked(&self.stopped).push((number, now, Duration::MAX));
            }
            What::Cont => {
                signal(Signal::CONT);
                // It works off what has come meanwhile.
                let end = clock.now() + Duration::from_millis(500);
                let mut stopped = locked(&self.stopped);
                stopped
                    .iter_mut()
                    .filter(|s| s.0 == number && s.2 == Duration::MAX)
                    .for_each(|s| s.2 = end);
            }
            What::Reload => {
                // Sound again, whatever was there before.
                let known = self.list.list();
                locked(&self.nodes[number]).configure(self.config(number, &known))?;
                signal(Signal::HUP);
            }
            What::ReloadHalf => {
                let config = self.config(number, &[]);
                locked(&self.nodes[number]).configure_half(&config)?;
                signal(Signal::HUP);
            }
            What::ReloadMissing => {
                // It may be missing already.
                let _ = locked(&self.nodes[number]).remove_configuration();
                signal(Signal::HUP);
            }
            What::ListUp => {
                self.list.set(Mode::Up);
                self.list_links
                    .iter()
                    .for_each(|link| link.set(link::Health::Sound));
            }
            What::ListBusy => self.list.set(Mode::Busy),
            What::ListSilent => self.list.set(Mode::Silent),
            What::ListHalf => self.list.set(Mode::Half),
            What::ListDown => self.list_links.iter().for_each(|link| {
                link.set(link::Health::Refused);
                link.reset();
            }),
            What::ListRestart => {
                self.list.restart();
                self.list_links.iter().for_each(|link| link.reset());
            }
            What::ListCut => self.list_links[number].set(link::Health::Cut),
            What::Drain | What::BackendKill => {
                let state = if step.what == What::Drain {
                    "Terminating"
                } else {
                    "Gone"
                };
                if step.what == What::BackendKill {
                    self.backends[number].link.set(link::Health::Refused);
                    self.backends[number].link.reset();
                } else {
                    self.list.change(Entry {
                        state,
                        ..self.entries[number].clone()
                    });
                }
                let parties = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    parties.list.change(Entry {
                        state: "Gone",
                        ..parties.entries[number].clone()
                    });
                });
            }
            What::BackendStart => {
                let backend = &self.backends[number];
                backend.restart();
                backend.link.set(link::Health::Sound);
                locked(&self.starts).push((backend.uid.clone(), clock.now()));
                let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let boot_ms = since.unwrap_or_default().as_millis() as u64;
                self.list.change(Entry {
                    boot_ms,
                    ..self.entries[number].clone()
                });
            }
            What::Swallow => self.backends[number].set(backend::Health::Swallows),
            What::Fail => self.backends[number].set(backend::Health::Fails),
            What::Work => {
                self.backends[number].set(backend::Health::Works(step.size));
                self.backends[number].link.set(link::Health::Sound);
                self.backends[number].link.set_manner(link::Manner::Whole);
            }
            What::AnswerTwice => self.backends[number].link.set_manner(link::Manner::Twice),
            What::AnswerInPieces => self.backends[number]
                .link
                .set_manner(link::Manner::InPieces),
            What::BackendCut => self.backends[number].link.set(link::Health::Cut),
            What::BackendCutOut => self.backends[number].link.set(link::Health::CutOut),
            What::BackendReset => self.backends[number].link.reset(),
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
        odd: &OddClients,
        ledger: &Ledger,
        begin: Duration,
    ) -> Report {
        let scenario = &self.scenario;
        let lives: Vec<Life> = self
            .nodes
            .iter()
            .flat_map(|node| locked(node).lives())
            .collect();
        let ledgers = Ledgers {
            asked: clients.asked(),
            odd: odd.asked(),
            attempts: ledger.attempts(),
            told: self.list.told(),
            changes: self.list.changes(),
            lives,
            stopped: locked(&self.stopped).clone(),
            starts: locked(&self.starts).clone(),
        };
        let rules = Rules {
            slack: SLACK + Duration::from_millis(50),
            grace: GRACE + Duration::from_millis(50),
            window: WINDOW,
            multiple: MULTIPLE,
            fall: FALL,
            cold_from: scenario.backend.cold_from,
            cold: span(scenario.backend.cold_s),
            work: span(scenario.backend.work_ms / 1_000.0),
        };
        let broken = referee::judge(&rules, &ledgers);
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
        let mut figures = self.figures(&ledgers, &broken, begin);
        figures.insert("panics".into(), panics.len() as f64);
        let unmet = scenario.unmet(&figures);
        let seconds = self.seconds(&ledgers, begin);
        let mut broken: Vec<String> = broken
            .into_iter()
            .map(|b| format!("{}: {}", b.rule, b.story))
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

    fn in_time(&self, asked: &kitefork_standin::clients::Asked) -> bool {
        let aim = self
            .scenario
            .traffic
            .class
            .iter()
            .find(|class| class.name == asked.ask.class);
        let aim = span(aim.map_or(0.0, |class| class.aim_ms) / 1_000.0);
        matches!(asked.answer, Answer::Whole(200, _)) && asked.ended <= asked.ask.planned + aim
    }

    fn figures(
        &self,
        ledgers: &Ledgers,
        broken: &[Broken],
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
            .filter(|call| call.end != CallEnd::Answered)
            .count() as f64;
        put("calls", calls.len() as f64);
        put("calls_per_node", calls.len() as f64 / nodes);
        put(
            "calls_per_start",
            calls.len() as f64 / ledgers.lives.len().max(1) as f64,
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
        let first = |life: &Life| {
            let told = ledgers
                .told
                .iter()
                .filter(|t| t.node == life.node && t.at >= life.started)
                .map(|t| t.at);
            let end = life.ended.map_or(Duration::MAX, |end| end.0);
            told.min()
                .filter(|at| *at <= end)
                .map(|at| (at - life.started).as_secs_f64())
        };
        let lasting: Vec<&Life> = ledgers
            .lives
            .iter()
            .filter(|life| life.ended.is_none())
            .collect();
        let mut waits: Vec<f64> = lasting.iter().filter_map(|life| first(life)).collect();
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
            self.backends.iter().map(|b| b.turned_away() as f64).sum(),
        );

        let share = |kept: &dyn Fn(&kitefork_standin::clients::Asked) -> bool, from: Duration| {
            let all = || {
                ledgers
                    .asked
                    .iter()
                    .filter(|asked| asked.ask.planned >= from)
            };
            all().filter(|asked| kept(asked)).count() as f64 / all().count().max(1) as f64
        };
        let start = Duration::ZERO;
        put("asked", ledgers.asked.len() as f64);
        put("in_time", share(&|asked| self.in_time(asked), start));
        put(
            "served",
            share(
                &|asked| matches!(asked.answer, Answer::Whole(200, _)),
                start,
            ),
        );
        put(
            "refused",
            share(
                &|asked| matches!(asked.answer, Answer::Whole(429 | 503, _)),
                start,
            ),
        );
        put(
            "unreachable",
            share(&|asked| asked.answer == Answer::Unreachable, start),
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
            ledgers.attempts.len() as f64 / ledgers.asked.len().max(1) as f64,
        );
        put("lives", ledgers.lives.len() as f64);
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

    fn seconds(&self, ledgers: &Ledgers, begin: Duration) -> Vec<Second> {
        let mut seconds = vec![Second::default(); self.scenario.length_s.ceil() as usize];
        let place = |at: Duration| at.saturating_sub(begin).as_secs() as usize;
        for call in self.list.calls() {
            if let Some(second) = seconds.get_mut(place(call.arrived)) {
                second.calls += 1;
                second.failed += usize::from(call.end != CallEnd::Answered);
            }
        }
        for asked in &ledgers.asked {
            if let Some(second) = seconds.get_mut(place(asked.ask.planned)) {
                second.asked += 1;
                second.in_time += usize::from(self.in_time(asked));
                second.refused += usize::from(matches!(asked.answer, Answer::Whole(429 | 503, _)));
            }
        }
        for attempt in &ledgers.attempts {
            if let Some(second) = seconds.get_mut(place(attempt.arrived)) {
                second.attempts += 1;
            }
        }
        for (number, second) in seconds.iter_mut().enumerate() {
            let end = begin + Duration::from_secs(number as u64 + 1);
            let fresh = |life: &&Life| {
                life.started < end
                    && life.ended.is_none_or(|at| at.0 >= end)
                    && ledgers
                        .told
                        .iter()
                        .any(|t| t.node == life.node && t.at >= life.started && t.at < end)
            };
            second.fresh = ledgers.lives.iter().filter(fresh).count();
        }
        seconds
    }
}
