//! The soak: a seed draws a fleet, its settings and some troubles that overlap in time; the referee
//! judges. A seed that fails is played again with fewer troubles, to show what it takes.

use std::fmt;
use std::io;

use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::cluster::{Programs, Report, run};
use crate::scenario::{Action, Class, Fleet, Known, List, Scenario, Step, Traffic};

/// Seconds of traffic; troubles begin in the middle third.
const LENGTH_S: f64 = 10.0;
/// Requests a second for each node.
const RATE_PER_NODE: f64 = 6.0;
/// Clients that don't behave, a second for each node.
const MISBEHAVING_PER_NODE: f64 = 1.0;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes are told to end and start anew.
    Restart,
    /// Nodes are killed and start anew.
    Kill,
    /// Nodes stand still.
    Stop,
    /// Configurations in quick succession: half a file, none, a sound one.
    Reloads,
    /// The list service is gone, silent, busy or starts anew.
    ListDown,
    /// See above.
    ListSilent,
    /// See above.
    ListBusy,
    /// See above.
    ListRestart,
    /// Links of some nodes to the list service are cut.
    ListCut,
    /// Backends take requests and answer none.
    Swallow,
    /// Backends fail.
    Fail,
    /// Backends' connections are reset, twice.
    Reset,
    /// Backends are cut off.
    Cut,
    /// What backends say does not arrive.
    CutOut,
    /// Backends drain.
    Drain,
    /// Backends die and start anew, cold.
    Crash,
    /// Calls of the nodes' C library fail for a moment.
    SystemCalls,
    /// Nodes' wall clocks are stepped.
    ClockStep,
    /// Nobody reads the logs.
    LogUnread,
    /// Nodes are held up: before they read or write, or behind their wait for events.
    HeldUp,
    /// Few descriptors.
    FewDescriptors,
    /// Nodes' wall clocks are off for their whole lives.
    ClockOff,
    /// Backends say everything twice.
    AnswerTwice,
    /// Backends answer a few bytes at a time.
    AnswerInPieces,
}

const FAULT_KINDS: [FaultKind; 24] = [
    FaultKind::Restart,
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Reloads,
    FaultKind::ListDown,
    FaultKind::ListSilent,
    FaultKind::ListBusy,
    FaultKind::ListRestart,
    FaultKind::ListCut,
    FaultKind::Swallow,
    FaultKind::Fail,
    FaultKind::Reset,
    FaultKind::Cut,
    FaultKind::CutOut,
    FaultKind::Drain,
    FaultKind::Crash,
    FaultKind::SystemCalls,
    FaultKind::ClockStep,
    FaultKind::LogUnread,
    FaultKind::HeldUp,
    FaultKind::FewDescriptors,
    FaultKind::ClockOff,
    FaultKind::AnswerTwice,
    FaultKind::AnswerInPieces,
];

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// A trouble with its time and the part of its parties that it strikes.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// What.
    pub kind: FaultKind,
    /// From this second on.
    pub from_s: f64,
    /// For so long.
    pub lasts_s: f64,
    /// Parties, from 0 to 1 by their numbers.
    pub part: [f64; 2],
    /// Draw of its own, from 0 to 1.
    pub random: f64,
}

/// What a seed has drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The fleet, before any trouble.
    pub base: Scenario,
    /// The troubles.
    pub faults: Vec<PlannedFault>,
    /// Seconds before the traffic and the troubles in which nothing happens.
    pub quiet_s: f64,
}

struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    fn of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}

/// Draws what a seed stands for, with so many nodes.
pub fn draw(seed: u64, nodes: usize) -> Plan {
    let mut random = RandomSource(Xoshiro256PlusPlus::seed_from_u64(
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    ));
    let zones = 1 + random.below(4);
    let fleet = Fleet {
        nodes,
        backends: (nodes / 2 + random.below(nodes + 1)).max(8),
        zones,
        known: random.of(&[Known::Empty, Known::Current, Known::Stale]),
        proxy_count: None,
        sockets: 512,
        faults: String::new(),
        log_unread: false,
    };
    let list = List {
        call_ms: random.of(&[0.2, 1.0, 8.0]),
        history: random.of(&[0, 5, 1_000]),
        pushed: random.unit() < 0.4,
        ..List::default()
    };
    let count = 1 + random.below(3);
    let class = (0..count)
        .map(|number| draw_class(&mut random, number))
        .collect();
    let traffic = Traffic {
        rate: RATE_PER_NODE * nodes as f64,
        misbehaving_rate: MISBEHAVING_PER_NODE * nodes as f64,
        from_s: 1.5,
        to_s: Some(LENGTH_S),
        notice_s: random.of(&[0.2, 1.0]),
        class,
    };
    let start = Step {
        s: 0.0,
        action: Action::Start,
        part: [0.0, 1.0],
        zone: None,
        over_s: 0.4,
        size: 1.0,
    };
    let base = Scenario {
        about: format!("soak, seed {seed}"),
        seed,
        length_s: LENGTH_S + 2.0,
        fleet,
        list,
        backend: Default::default(),
        traffic,
        at: vec![start],
        expect: Vec::new(),
    };
    let count = 2 + random.below(2);
    let faults = (0..count).map(|_| draw_fault(&mut random)).collect();
    Plan {
        seed,
        base,
        faults,
        quiet_s: 0.0,
    }
}

fn draw_class(random: &mut RandomSource, number: usize) -> Class {
    let client_timeout_ms = random.of(&[150.0, 400.0, 1_000.0, 3_000.0, 5_000.0, 30_000.0]);
    Class {
        name: format!("class{number}"),
        idempotency: random.of(&["safe", "keyed", "unsafe"]).into(),
        share: 1.0,
        latency_objective_ms: client_timeout_ms / random.of(&[1.5, 3.0]),
        client_timeout_ms,
        priority_weight: random.of(&[1.0, 5.0]),
    }
}

fn draw_fault(random: &mut RandomSource) -> PlannedFault {
    let from = random.unit() * 0.7;
    PlannedFault {
        kind: random.of(&FAULT_KINDS),
        from_s: 2.5 + 2.5 * random.unit(),
        lasts_s: 0.5 + 2.5 * random.unit(),
        part: [from, from + 0.15 + 0.15 * random.unit()],
        random: random.unit(),
    }
}

impl Plan {
    /// The scenario of the fleet with its troubles.
    pub fn scenario(&self) -> Scenario {
        let mut scenario = self.base.clone();
        scenario.length_s += self.quiet_s;
        scenario.traffic.from_s += self.quiet_s;
        scenario.traffic.to_s = scenario.traffic.to_s.map(|end| end + self.quiet_s);
        for drawn in &self.faults {
            let later = PlannedFault {
                from_s: drawn.from_s + self.quiet_s,
                ..drawn.clone()
            };
            later.add_to(&mut scenario);
        }
        scenario
    }

    /// The same without one trouble.
    fn without(&self, place: usize) -> Plan {
        let mut plan = self.clone();
        plan.faults.remove(place);
        plan
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scenario {
            fleet,
            list,
            traffic,
            ..
        } = &self.base;
        write!(
            f,
            "seed {}: {} nodes, {} backends, {} zones, ",
            self.seed, fleet.nodes, fleet.backends, fleet.zones
        )?;
        write!(
            f,
            "{}, known {:?};",
            if list.pushed { "pushed" } else { "asked" },
            fleet.known
        )?;
        for class in &traffic.class {
            write!(f, " {} {} ms", class.idempotency, class.client_timeout_ms)?;
        }
        for drawn in &self.faults {
            let PlannedFault {
                kind,
                from_s,
                lasts_s,
                part,
                ..
            } = drawn;
            write!(
                f,
                "; {kind} at {from_s:.2} s for {lasts_s:.2} s of {:.2} to {:.2}",
                part[0], part[1]
            )?;
        }
        Ok(())
    }
}

/// Plans of the shim, each of calls that fail as Linux documents.
const SHIM_PLANS: [&str; 8] = [
    "send=ENOBUFS,chance:0.05",
    "recv=ENOMEM,chance:0.05",
    "epoll_ctl=ENOMEM,chance:0.05",
    "accept=ENFILE,chance:0.2",
    "accept=ENOBUFS,chance:0.2;socket=ENFILE,chance:0.1",
    "connect=EADDRNOTAVAIL,chance:0.2",
    "send=short,chance:0.3;recv=short,chance:0.3",
    "epoll_wait=EINTR,chance:0.2;recv=EINTR,chance:0.1;send=EINTR,chance:0.1",
];

/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [i64; 6] = [-3_600, -3, 3, 3_600, 6, -6];

/// Plans of the shim by which nodes are held up for less than the terms allow.
const HOLD_UPS: [&str; 3] = [
    "send=sleep:120,chance:0.01",
    "recv=sleep:120,chance:0.005",
    "epoll_wait=late:120,chance:0.02",
];

impl PlannedFault {
    /// One of several, by this trouble's own draw.
    fn one_of<T: Copy>(&self, choices: &[T]) -> T {
        choices[(self.random * choices.len() as f64) as usize]
    }

    fn add_to(&self, scenario: &mut Scenario) {
        let (from, to) = (self.from_s, self.from_s + self.lasts_s);
        let mut add = |s: f64, action: Action| {
            let (part, size) = (self.part, 1.0);
            scenario.at.push(Step {
                s,
                action,
                part,
                zone: None,
                over_s: 0.2,
                size,
            });
        };
        match self.kind {
            FaultKind::Restart => {
                add(from, Action::Term);
                // After it, a node that has not ended by itself is killed as the platform does.
                add(from + 6.5, Action::Kill);
                add(from + 6.8, Action::Start);
            }
            FaultKind::Kill => {
                add(from, Action::Kill);
                add(to, Action::Start);
            }
            FaultKind::Stop => {
                add(from, Action::Stop);
                add(from + self.lasts_s.min(1.0), Action::Cont);
            }
            FaultKind::Reloads => {
                add(from, Action::ReloadHalf);
                add(from + 0.3, Action::ReloadMissing);
                add(from + 0.6, Action::Reload);
                add(from + 0.7, Action::Reload);
            }
            FaultKind::ListDown => {
                add(from, Action::ListDown);
                add(to, Action::ListUp);
            }
            FaultKind::ListSilent => {
                add(from, Action::ListSilent);
                add(to, Action::ListUp);
            }
            FaultKind::ListBusy => {
                add(from, Action::ListBusy);
                add(to, Action::ListUp);
            }
            FaultKind::ListRestart => add(from, Action::ListRestart),
            FaultKind::ListCut => {
                add(from, Action::ListCut);
                add(to, Action::ListUp);
            }
            FaultKind::Swallow => {
                add(from, Action::Swallow);
                add(to, Action::Work);
            }
            FaultKind::Fail => {
                add(from, Action::Fail);
                add(to, Action::Work);
            }
            FaultKind::Reset => {
                add(from, Action::BackendReset);
                add(to, Action::BackendReset);
            }
            FaultKind::Cut => {
                add(from, Action::BackendCut);
                add(to, Action::Work);
            }
            FaultKind::CutOut => {
                add(from, Action::BackendCutOut);
                add(to, Action::Work);
            }
            FaultKind::Drain => add(from, Action::Drain),
            FaultKind::Crash => {
                add(from, Action::BackendKill);
                add(to + 1.2, Action::BackendStart);
            }
            FaultKind::SystemCalls => {
                self.add_faults(scenario, self.one_of(&SHIM_PLANS));
            }
            FaultKind::ClockStep => {
                self.add_faults(
                    scenario,
                    &format!("clock=step:{}", self.one_of(&CLOCK_STEPS)),
                );
            }
            FaultKind::ClockOff => {
                scenario.fleet.faults += &format!("clock=step:{};", self.one_of(&CLOCK_STEPS));
            }
            FaultKind::HeldUp => self.add_faults(scenario, self.one_of(&HOLD_UPS)),
            FaultKind::AnswerTwice => {
                add(from, Action::AnswerTwice);
                add(to, Action::Work);
            }
            FaultKind::AnswerInPieces => {
                add(from, Action::AnswerInPieces);
                add(to, Action::Work);
            }
            FaultKind::LogUnread => scenario.fleet.log_unread = true,
            FaultKind::FewDescriptors => {
                scenario.fleet.sockets = 64 + (self.random * 64.0) as usize
            }
        }
    }

    /// Faults of the shim, in force for this trouble's time of each process.
    fn add_faults(&self, scenario: &mut Scenario, plan: &str) {
        let from = (self.from_s * 1e3) as u64;
        let to = ((self.from_s + self.lasts_s) * 1e3) as u64;
        for rule in plan.split(';') {
            scenario.fleet.faults += &format!("{rule},from:{from},to:{to};");
        }
    }
}

/// What a seed has come to.
#[derive(Debug)]
pub struct Verdict {
    /// The smallest plan that still fails, or the whole one where none does.
    pub plan: Plan,
    /// Its report.
    pub report: Report,
}

/// How seeds are played.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes of the node.
    pub nodes: usize,
    /// Seconds before the traffic and the troubles in which nothing happens.
    pub quiet_s: f64,
    /// A seed that fails is played again with fewer troubles.
    pub shrink: bool,
}

/// Plays a seed; one that fails is played again with one trouble less, as long as it still fails.
///
/// # Errors
///
/// What the machine says where a party or a process can't be started.
pub async fn play(seed: u64, options: Options, programs: &Programs) -> io::Result<Verdict> {
    let mut plan = Plan {
        quiet_s: options.quiet_s,
        ..draw(seed, options.nodes)
    };
    let mut report = run(&plan.scenario(), programs).await?;
    if report.passed() || !options.shrink {
        return Ok(Verdict { plan, report });
    }
    'fewer: loop {
        for place in 0..plan.faults.len() {
            let fewer = plan.without(place);
            let again = run(&fewer.scenario(), programs).await?;
            if !again.passed() {
                (plan, report) = (fewer, again);
                continue 'fewer;
            }
        }
        return Ok(Verdict { plan, report });
    }
}
