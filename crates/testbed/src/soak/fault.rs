//! The faults of the soak, and the steps of a scenario that each of them is made of.

use std::fmt;

use crate::scenario::{Action, Scenario, Step};

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes shut down gracefully and start anew.
    Restart,
    /// Nodes are killed and start anew.
    Kill,
    /// Nodes are stopped, and go on after a second at most.
    Stop,
    /// Configurations in quick succession: half a file, none, a valid one.
    Reloads,
    /// The process of discovery has died.
    DiscoveryDown,
    /// Discovery takes calls and never answers.
    DiscoverySilent,
    /// Discovery answers 503.
    DiscoveryOverloaded,
    /// Discovery starts anew without its history.
    DiscoveryRestart,
    /// Links of some nodes to discovery are cut.
    DiscoveryCut,
    /// Backends take requests and answer none.
    BackendSilent,
    /// Backends answer 500.
    BackendFails,
    /// Backends' connections are reset, twice.
    BackendReset,
    /// Links to backends are cut.
    BackendCut,
    /// Bytes of backends do not arrive.
    BackendCutOut,
    /// Backends drain.
    Drain,
    /// Backends die and start anew, in slow start.
    BackendCrash,
    /// Calls of the nodes' C library fail for a moment.
    SystemCalls,
    /// Nodes' wall clocks are stepped.
    ClockStep,
    /// Nobody reads the logs.
    LogUnread,
    /// Nodes are delayed: before they read or write, or behind their wait for events.
    Delays,
    /// Nodes may hold few descriptors.
    FewDescriptors,
    /// Nodes' wall clocks are off from their start to their end.
    ClockOff,
    /// All bytes of backends come twice.
    AnswerTwice,
    /// Backends answer a few bytes at a time.
    AnswerInPieces,
}

impl FaultKind {
    /// All of them. A seed draws an index into this array, so their order decides its plan.
    pub const ALL: [FaultKind; 24] = [
        FaultKind::Restart,
        FaultKind::Kill,
        FaultKind::Stop,
        FaultKind::Reloads,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoverySilent,
        FaultKind::DiscoveryOverloaded,
        FaultKind::DiscoveryRestart,
        FaultKind::DiscoveryCut,
        FaultKind::BackendSilent,
        FaultKind::BackendFails,
        FaultKind::BackendReset,
        FaultKind::BackendCut,
        FaultKind::BackendCutOut,
        FaultKind::Drain,
        FaultKind::BackendCrash,
        FaultKind::SystemCalls,
        FaultKind::ClockStep,
        FaultKind::LogUnread,
        FaultKind::Delays,
        FaultKind::FewDescriptors,
        FaultKind::ClockOff,
        FaultKind::AnswerTwice,
        FaultKind::AnswerInPieces,
    ];
}

/// Plans of the shim, each of calls that fail as Linux documents.
const SYSTEM_CALL_FAULTS: [&str; 8] = [
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

/// Plans of the shim that delay nodes for less than the protocol's rules allow.
const DELAYS: [&str; 3] = [
    "send=sleep:120,chance:0.01",
    "recv=sleep:120,chance:0.005",
    "epoll_wait=late:120,chance:0.02",
];

/// A node that has not ended this long after SIGTERM is killed, as the platform does.
const KILL_AFTER_S: f64 = 6.5;
/// A node that was shut down starts anew this long after SIGTERM.
const START_AFTER_S: f64 = 6.8;
/// Longest stop of a node.
const MAX_STOP_S: f64 = 1.0;
/// A backend that died is off the list after a second, and starts anew this long after its fault.
const BACKEND_START_AFTER_S: f64 = 1.2;
/// Each step of a fault is spread over so many seconds.
const STEP_SPREAD_S: f64 = 0.2;
/// Descriptors that the fault leaves to a node: at least this many, and at most twice as many.
const MIN_DESCRIPTORS: usize = 64;

/// A fault with its time and the range of nodes or backends that it concerns.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// From this second on.
    pub from_s: f64,
    /// For so long.
    pub duration_s: f64,
    /// Nodes or backends, from 0 to 1 by their numbers.
    pub part: [f64; 2],
    /// A draw from [0, 1) for what the kind leaves open.
    pub draw: f64,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [from, to] = self.part;
        write!(
            f,
            "{:?} at {:.2} s for {:.2} s of {from:.2} to {to:.2}",
            self.kind, self.from_s, self.duration_s
        )
    }
}

impl PlannedFault {
    /// Adds the fault to a scenario.
    pub(super) fn add_to(&self, scenario: &mut Scenario) {
        scenario.at.extend(self.steps());
        self.add_to_fleet(scenario);
    }

    fn step(&self, at_s: f64, action: Action) -> Step {
        Step {
            at_s,
            action,
            part: self.part,
            zone: None,
            over_s: STEP_SPREAD_S,
            size: 1.0,
        }
    }

    /// The faults that are actions of a scenario: their steps.
    fn steps(&self) -> Vec<Step> {
        let (from, to) = (self.from_s, self.from_s + self.duration_s);
        match self.kind {
            FaultKind::Restart => vec![
                self.step(from, Action::Term),
                self.step(from + KILL_AFTER_S, Action::Kill),
                self.step(from + START_AFTER_S, Action::Start),
            ],
            FaultKind::Kill => vec![self.step(from, Action::Kill), self.step(to, Action::Start)],
            FaultKind::Stop => vec![
                self.step(from, Action::Stop),
                self.step(from + self.duration_s.min(MAX_STOP_S), Action::Cont),
            ],
            FaultKind::Reloads => vec![
                self.step(from, Action::ReloadHalf),
                self.step(from + 0.3, Action::ReloadMissing),
                self.step(from + 0.6, Action::Reload),
                self.step(from + 0.7, Action::Reload),
            ],
            FaultKind::DiscoveryRestart => vec![self.step(from, Action::DiscoveryRestart)],
            FaultKind::BackendReset => {
                vec![
                    self.step(from, Action::BackendReset),
                    self.step(to, Action::BackendReset),
                ]
            }
            FaultKind::Drain => vec![self.step(from, Action::Drain)],
            FaultKind::BackendCrash => vec![
                self.step(from, Action::BackendKill),
                self.step(to + BACKEND_START_AFTER_S, Action::BackendStart),
            ],
            _ => self.start_and_end_steps(from, to),
        }
    }

    /// The faults that one action begins, and that last until another one puts things right.
    fn start_and_end_steps(&self, from: f64, to: f64) -> Vec<Step> {
        let start_action = match self.kind {
            FaultKind::DiscoveryDown => Action::DiscoveryDown,
            FaultKind::DiscoverySilent => Action::DiscoverySilent,
            FaultKind::DiscoveryOverloaded => Action::DiscoveryOverloaded,
            FaultKind::DiscoveryCut => Action::DiscoveryCut,
            FaultKind::BackendSilent => Action::BackendSilent,
            FaultKind::BackendFails => Action::BackendFails,
            FaultKind::BackendCut => Action::BackendCut,
            FaultKind::BackendCutOut => Action::BackendCutOut,
            FaultKind::AnswerTwice => Action::AnswerTwice,
            FaultKind::AnswerInPieces => Action::AnswerInPieces,
            _ => return Vec::new(),
        };
        let end_action = match self.kind {
            FaultKind::DiscoveryDown
            | FaultKind::DiscoverySilent
            | FaultKind::DiscoveryOverloaded
            | FaultKind::DiscoveryCut => Action::DiscoveryUp,
            _ => Action::BackendWorks,
        };
        vec![self.step(from, start_action), self.step(to, end_action)]
    }

    /// The faults that are settings of the nodes' processes.
    fn add_to_fleet(&self, scenario: &mut Scenario) {
        let fleet = &mut scenario.fleet;
        match self.kind {
            FaultKind::SystemCalls => {
                fleet.faults += &self.during_fault(self.choose(&SYSTEM_CALL_FAULTS));
            }
            FaultKind::Delays => fleet.faults += &self.during_fault(self.choose(&DELAYS)),
            FaultKind::ClockStep => fleet.faults += &self.during_fault(&self.clock_step()),
            FaultKind::ClockOff => fleet.faults += &format!("{};", self.clock_step()),
            FaultKind::LogUnread => fleet.log_unread = true,
            FaultKind::FewDescriptors => {
                let extra = (self.draw * MIN_DESCRIPTORS as f64) as usize;
                fleet.sockets = MIN_DESCRIPTORS + extra;
            }
            _ => {}
        }
    }

    fn clock_step(&self) -> String {
        format!("clock=step:{}", self.choose(&CLOCK_STEPS))
    }

    /// One of several values, by this fault's own draw.
    fn choose<T: Copy>(&self, values: &[T]) -> T {
        values[(self.draw * values.len() as f64) as usize]
    }

    /// A plan of the shim, in force for this fault's time counted from the start of each process.
    fn during_fault(&self, plan: &str) -> String {
        let from = (self.from_s * 1e3) as u64;
        let to = ((self.from_s + self.duration_s) * 1e3) as u64;
        let rules = plan.split(';');
        rules
            .map(|rule| format!("{rule},from:{from},to:{to};"))
            .collect()
    }
}
