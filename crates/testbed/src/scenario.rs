//! Scenario files: a fleet, what happens to it and when, and bounds on what is counted.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::clients::Idempotency;
use serde::Deserialize;
use thiserror::Error;

/// A scenario. `docs/testbed.md` documents each key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line that says what it shows.
    pub about: String,
    /// Of all draws.
    #[serde(default = "one")]
    pub seed: u64,
    /// Seconds from the first event to the end.
    pub length_s: f64,
    /// The parties.
    pub fleet: Fleet,
    /// The list service.
    #[serde(default)]
    pub list: List,
    /// The backends.
    #[serde(default)]
    pub backend: BackendSettings,
    /// The clients.
    #[serde(default)]
    pub traffic: Traffic,
    /// What happens, in any order.
    #[serde(default)]
    pub at: Vec<Step>,
    /// What decides the verdict, beside broken rules.
    #[serde(default)]
    pub expect: Vec<Expect>,
}

fn one() -> u64 {
    1
}

/// How many of each, and what nodes know at their start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Processes of the program.
    pub nodes: usize,
    /// Backends.
    pub backends: usize,
    /// Zones, over which both are dealt in turn.
    #[serde(default = "one_zone")]
    pub zones: usize,
    /// The list that a node is given at its first start.
    #[serde(default)]
    pub known: Known,
    /// Number of nodes as the settings tell it; the true one if absent.
    #[serde(alias = "siblings")]
    pub proxy_count: Option<usize>,
    /// Descriptors that a node may hold.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
    /// A plan of the fault shim that is preloaded into each node; none if empty.
    #[serde(default)]
    pub faults: String,
    /// Nobody reads the nodes' logs, and they trace.
    #[serde(default)]
    pub log_unread: bool,
}

fn usual_sockets() -> usize {
    512
}

fn one_zone() -> usize {
    1
}

/// What a node knows at its first start. After that it is given what the list was when it ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Known {
    /// Nothing.
    Empty,
    /// The list as it is.
    #[default]
    Current,
    /// A list in which three in ten have gone since, and their addresses belong to others.
    Stale,
}

/// The list service's figures.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Work of a call, milliseconds.
    pub call_ms: f64,
    /// Work of an entry, microseconds.
    pub row_us: f64,
    /// Longest wait in its queue, milliseconds.
    pub most_wait_ms: f64,
    /// Changes kept for those that resume.
    pub history: usize,
    /// Nodes are told that lists are pushed to them.
    pub pushed: bool,
}

impl Default for List {
    fn default() -> List {
        List {
            call_ms: 1.0,
            row_us: 0.0,
            most_wait_ms: 1_000.0,
            history: 1_000,
            pushed: false,
        }
    }
}

/// A backend's figures.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Mean work of a request, milliseconds.
    pub work_ms: f64,
    /// Work of a new connection, milliseconds.
    pub handshake_ms: f64,
    /// Requests held at most.
    #[serde(alias = "room")]
    pub capacity: usize,
    /// Connections held at most.
    pub connections: usize,
    /// Part of its speed that it starts with.
    #[serde(alias = "cold_from")]
    pub slow_start_from: f64,
    /// Seconds until it is at full speed.
    #[serde(alias = "cold_s")]
    pub slow_start_s: f64,
}

impl Default for BackendSettings {
    fn default() -> BackendSettings {
        BackendSettings {
            work_ms: 10.0,
            handshake_ms: 0.5,
            capacity: 40,
            connections: 600,
            slow_start_from: 0.31,
            slow_start_s: 4.0,
        }
    }
}

/// What clients ask.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// Requests a second, over all nodes.
    pub rate: f64,
    /// From this second on.
    pub from_s: f64,
    /// Up to this one; to the end of the scenario if absent.
    pub to_s: Option<f64>,
    /// Clients that don't behave, a second, over all nodes.
    #[serde(alias = "odd_rate")]
    pub misbehaving_rate: f64,
    /// Seconds for which clients go on to a node that has died.
    pub notice_s: f64,
    /// Classes, with their shares.
    pub class: Vec<Class>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// `safe`, `keyed` (within a cell) or `unsafe`.
    #[serde(alias = "effect")]
    pub idempotency: String,
    /// Its part of all requests, relative to the others'.
    #[serde(default = "whole")]
    pub share: f64,
    /// Wanted within, milliseconds.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Given up after, milliseconds.
    #[serde(alias = "deadline_ms")]
    pub client_timeout_ms: f64,
    /// Worth of a request.
    #[serde(default = "whole")]
    #[serde(alias = "worth")]
    pub priority_weight: f64,
}

fn whole() -> f64 {
    1.0
}

impl Class {
    /// What repeating does, if the word is known.
    pub fn idempotency(&self) -> Option<Idempotency> {
        match self.idempotency.as_str() {
            "safe" => Some(Idempotency::Idempotent),
            "keyed" => Some(Idempotency::IdempotencyKey),
            "unsafe" => Some(Idempotency::NotIdempotent),
            _ => None,
        }
    }
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds.
    pub s: f64,
    /// What.
    #[serde(rename = "do")]
    pub action: Action,
    /// To the parties of this part, from 0 to 1 by their numbers; to all if absent.
    #[serde(default = "all")]
    pub part: [f64; 2],
    /// Only to those of this zone.
    pub zone: Option<usize>,
    /// Seconds over which it is spread evenly.
    #[serde(default)]
    pub over_s: f64,
    /// A figure that some of them take: a part of the speed.
    #[serde(default = "whole")]
    pub size: f64,
}

fn all() -> [f64; 2] {
    [0.0, 1.0]
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Nodes start, with what they know; those that run go on.
    Start,
    /// Nodes die at once (SIGKILL).
    Kill,
    /// Nodes are told to end (SIGTERM).
    Term,
    /// Nodes stand still (SIGSTOP).
    Stop,
    /// Nodes go on (SIGCONT).
    Cont,
    /// Nodes read their configuration anew (SIGHUP).
    Reload,
    /// The same, with a file that is written half.
    ReloadHalf,
    /// The same, with no file.
    ReloadMissing,
    /// The list service answers, over sound links.
    ListUp,
    /// It answers 503.
    ListBusy,
    /// It takes calls and never answers.
    ListSilent,
    /// It breaks off in its answers.
    ListHalf,
    /// Its process is gone: connections reset, new ones refused.
    ListDown,
    /// It starts anew, its history gone: watches are reset.
    ListRestart,
    /// The links of nodes to it say nothing.
    ListCut,
    /// Backends leave: told draining, and gone a second later.
    Drain,
    /// Backends die and are told gone a second later.
    BackendKill,
    /// Backends start anew, cold, and are told ready.
    BackendStart,
    /// Backends take requests and answer none.
    Swallow,
    /// Backends answer 500.
    Fail,
    /// Backends work at `size` of their speed, over sound links.
    Work,
    /// All that backends say comes twice.
    AnswerTwice,
    /// What backends say comes a few bytes at a time.
    AnswerInPieces,
    /// The links to backends say nothing.
    BackendCut,
    /// What backends say does not arrive, what nodes say does.
    BackendCutOut,
    /// The connections of backends are reset under their requests.
    BackendReset,
}

/// A bound on a counted figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Which; `kitefork-testbed run` prints all.
    pub figure: String,
    /// At least this.
    pub least: Option<f64>,
    /// At most this.
    pub most: Option<f64>,
}

/// A file that is no scenario.
#[derive(Debug, Error)]
pub enum Fault {
    /// It can't be read as one; the text names line and column.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// It can be read and has no sense.
    #[error("{0}")]
    Sense(String),
}

impl Scenario {
    /// Reads a scenario and names what has no sense in it.
    pub fn parse(text: &str) -> Result<Scenario, Fault> {
        let scenario: Scenario = toml::from_str(text)?;
        let wrong = |action: &str| Err(Fault::Sense(action.to_string()));
        let (fleet, traffic) = (&scenario.fleet, &scenario.traffic);
        if fleet.nodes == 0 || fleet.zones == 0 || fleet.nodes > 2_000 || fleet.backends > 20_000 {
            return wrong("fleet: 1 to 2,000 nodes, at least one zone, at most 20,000 backends");
        }
        if !(scenario.length_s > 0.0 && scenario.length_s <= 3_600.0) {
            return wrong("length_s: above 0, at most 3,600");
        }
        if let Some(class) = traffic
            .class
            .iter()
            .find(|class| class.idempotency().is_none())
        {
            return wrong(&format!(
                "traffic.class `{}`: effect is safe, keyed or unsafe",
                class.name
            ));
        }
        if traffic.rate > 0.0 && traffic.class.is_empty() {
            return wrong("traffic: a rate and no class");
        }
        for step in &scenario.at {
            if !(0.0..=1.0).contains(&step.part[0])
                || !(0.0..=1.0).contains(&step.part[1])
                || step.s < 0.0
            {
                return wrong(&format!(
                    "at {} s: parts lie between 0 and 1, times are 0 or more",
                    step.s
                ));
            }
            if !(step.size > 0.0 && step.size.is_finite()) {
                return wrong(&format!("at {} s: size must be above 0", step.s));
            }
        }
        if let Some(expect) = scenario
            .expect
            .iter()
            .find(|e| e.least.is_none() && e.most.is_none())
        {
            return wrong(&format!(
                "expect `{}`: neither least nor most",
                expect.figure
            ));
        }
        Ok(scenario)
    }

    /// What of the expectations does not hold; a figure that was not counted is one of them.
    pub fn unmet(&self, figures: &BTreeMap<String, f64>) -> Vec<String> {
        let check = |expect: &Expect| {
            let Some(found) = figures.get(&expect.figure).copied() else {
                return Some(format!("{} was not counted", expect.figure));
            };
            let low = expect.least.is_some_and(|least| found < least);
            let high = expect.most.is_some_and(|most| found > most);
            (low || high || found.is_nan()).then(|| {
                let bound = |word: &str, bound: Option<f64>| {
                    bound.map_or(String::new(), |b| format!(" {word} {b}"))
                };
                let (least, most) = (
                    bound("at least", expect.least),
                    bound("at most", expect.most),
                );
                format!("{} is {found:.3}, wanted{least}{most}", expect.figure)
            })
        };
        self.expect.iter().filter_map(check).collect()
    }
}

/// Seconds as a span; 0 for what is none.
pub fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[cfg(test)]
#[path = "scenario_tests.rs"]
mod tests;
