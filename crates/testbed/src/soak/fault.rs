//! Faults of the soak test, and the scenario steps and node settings that implement them.

use std::fmt;

use crate::scenario::{Action, Scenario, Step};

/// Kind of fault that a seed can draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes are shut down gracefully and restarted.
    Restart,
    /// Nodes are killed and restarted.
    Kill,
    /// Nodes are paused, and resumed after a second at most.
    Stop,
    /// Nodes reload four times within a second: a truncated file, a missing file, and a valid file
    /// twice.
    Reloads,
    /// The discovery process is dead: connections are reset, and new ones are refused.
    DiscoveryDown,
    /// Discovery accepts calls and never answers them.
    DiscoverySilent,
    /// Discovery answers 503.
    DiscoveryOverloaded,
    /// Discovery restarts without its history of changes.
    DiscoveryRestart,
    /// Links of some nodes to discovery carry no bytes.
    DiscoveryCut,
    /// Backends accept requests and never answer them.
    BackendSilent,
    /// Backends answer 500.
    BackendFails,
    /// Connections to backends are reset at the start and at the end of the fault.
    BackendReset,
    /// Links to backends carry no bytes in either direction.
    BackendCut,
    /// Bytes from backends do not arrive, bytes to backends do.
    BackendCutOut,
    /// Backends are listed as draining, and then removed from the list.
    Drain,
    /// Backends die and are restarted, in slow start.
    BackendCrash,
    /// During the fault, calls of the nodes to the C library fail, or transfer fewer bytes than
    /// requested, with some probability.
    SystemCalls,
    /// Nodes' wall clocks are off during the fault: they step when the fault starts, and step back
    /// when it ends.
    ClockStep,
    /// Nodes' logs are not read after their first line.
    LogUnread,
    /// Nodes are delayed before they receive or send, or after they wait for events.
    Delays,
    /// Nodes have a low limit of descriptors.
    FewDescriptors,
    /// Nodes' wall clocks are off from the start to the end of each process.
    ClockOff,
    /// All bytes from backends arrive twice.
    AnswerTwice,
    /// Bytes from backends arrive a few at a time.
    AnswerInPieces,
    /// All bytes from backends arrive again some milliseconds later.
    AnswerTwiceLate,
    /// Nodes get SIGHUP and SIGTERM several times within a third of a second, and are restarted.
    SignalSeries,
    /// Idle clients use up the descriptors of nodes.
    Crowd,
}

impl FaultKind {
    /// All kinds. A seed draws an index into this array, so another order would change the plans of
    /// all seeds.
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

    /// Kinds of which each seed draws one in addition. A seed draws an index into this array as
    /// well.
    pub const ADDITIONAL: [FaultKind; 3] = [
        FaultKind::AnswerTwiceLate,
        FaultKind::SignalSeries,
        FaultKind::Crowd,
    ];
}

/// Plans of the fault shim in which calls fail, or transfer fewer bytes than requested, in ways
/// that Linux documents.
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

/// Steps of the wall clock that a fault can select, in seconds; a negative step sets it back.
const CLOCK_STEPS: [i64; 6] = [-3_600, -3, 3, 3_600, 6, -6];

/// Plans of the fault shim with delays, in milliseconds, that stay below the time limits of the
/// protocol's rules.
const DELAYS: [&str; 3] = [
    "send=sleep:120,chance:0.01",
    "recv=sleep:120,chance:0.005",
    "epoll_wait=late:120,chance:0.02",
];

/// Maximum client timeout, in seconds, that delays the end of a shutdown.
const MAX_COUNTED_TIMEOUT_S: f64 = 3.0;
/// Seconds from the longest counted client timeout after SIGTERM to SIGKILL, as on the platform.
const KILL_MARGIN_S: f64 = 0.7;
/// Seconds after SIGKILL at which a node is started again.
const START_AFTER_KILL_S: f64 = 0.3;
/// Seconds from the start of a series of signals to its first SIGTERM.
const SERIES_TERM_S: f64 = 0.2;
/// Maximum time for which a node is paused, in seconds.
const MAX_STOP_S: f64 = 1.0;
/// Seconds after the end of the fault at which a dead backend is restarted. A dead backend is
/// removed from the list one second after its death; a removal after the restart would take the
/// restarted backend off the list.
const BACKEND_START_AFTER_S: f64 = 1.2;
/// Seconds over which a step of a fault is spread over the affected nodes or backends.
const STEP_SPREAD_S: f64 = 0.2;
/// Minimum of the descriptor limit that [`FaultKind::FewDescriptors`] sets; the limit stays below
/// twice this value.
const MIN_DESCRIPTORS: usize = 64;

/// A fault with its time and the range of the nodes or backends that it affects.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Kind of the fault; determines its steps and its node settings.
    pub kind: FaultKind,
    /// Start of the fault, in seconds after the start of the run.
    pub from_s: f64,
    /// Duration of the fault, in seconds.
    pub duration_s: f64,
    /// Range of the affected nodes or backends, as fractions of their numbers from 0 to 1.
    pub part: [f64; 2],
    /// Uniform draw from [0, 1) that selects the variant of a kind that has several.
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

/// Earliest time from SIGTERM to SIGKILL on the platform, in seconds.
fn earliest_kill_s(scenario: &Scenario) -> f64 {
    let longest_timeout_s = scenario
        .traffic
        .class
        .iter()
        .map(|class| class.client_timeout().as_secs_f64())
        .fold(0.0, f64::max);
    longest_timeout_s.min(MAX_COUNTED_TIMEOUT_S) + KILL_MARGIN_S
}

impl PlannedFault {
    /// Adds the steps and the settings of the fault to a scenario.
    pub(super) fn add_to(&self, scenario: &mut Scenario) {
        let steps = self.steps(earliest_kill_s(scenario));
        scenario.at.extend(steps);
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

    /// Steps of the fault; empty if the fault consists of node settings. `kill_after_s` is the time
    /// from SIGTERM to SIGKILL, in seconds.
    fn steps(&self, kill_after_s: f64) -> Vec<Step> {
        let (from, to) = (self.from_s, self.from_s + self.duration_s);
        match self.kind {
            FaultKind::Restart => self.shutdown_steps(from, kill_after_s),
            FaultKind::SignalSeries => self.signal_series_steps(from, kill_after_s),
            FaultKind::Crowd => vec![self.step(from, Action::Crowd)],
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

    /// Steps of a graceful shutdown that begins at `term_s`, and of the restart after it.
    fn shutdown_steps(&self, term_s: f64, kill_after_s: f64) -> Vec<Step> {
        let kill_s = term_s + kill_after_s;
        vec![
            self.step(term_s, Action::Term),
            self.step(kill_s, Action::Kill),
            self.step(kill_s + START_AFTER_KILL_S, Action::Start),
        ]
    }

    /// Steps of a graceful shutdown with further signals before and after its SIGTERM.
    fn signal_series_steps(&self, from: f64, kill_after_s: f64) -> Vec<Step> {
        let term_s = from + SERIES_TERM_S;
        let mut steps = vec![
            self.step(from, Action::Reload),
            self.step(from + 0.05, Action::ReloadHalf),
            self.step(from + 0.1, Action::Reload),
            self.step(term_s + 0.02, Action::Reload),
            self.step(term_s + 0.05, Action::Term),
            self.step(term_s + 0.1, Action::Reload),
        ];
        steps.extend(self.shutdown_steps(term_s, kill_after_s));
        steps
    }

    /// Steps of a fault that one action starts and another action ends.
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
            FaultKind::AnswerTwiceLate => Action::AnswerTwiceLate,
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

    /// Sets the node settings that implement the fault; does nothing if only steps implement it.
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

    /// Selects one of several values by the fault's own draw.
    fn choose<T: Copy>(&self, values: &[T]) -> T {
        values[(self.draw * values.len() as f64) as usize]
    }

    /// Limits all rules of a shim plan to the time of the fault. The shim counts the time from the
    /// start of each process.
    fn during_fault(&self, plan: &str) -> String {
        let from = (self.from_s * 1e3) as u64;
        let to = ((self.from_s + self.duration_s) * 1e3) as u64;
        let rules = plan.split(';');
        rules
            .map(|rule| format!("{rule},from:{from},to:{to};"))
            .collect()
    }
}
