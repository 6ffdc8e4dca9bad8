//! Scenario files: a fleet, what happens to it and when, and bounds on the figures of the report.
//! Spellings of earlier versions are accepted as aliases.

mod validation;

use std::time::Duration;

use kitefork_standin::clients::Idempotency;
use serde::Deserialize;

pub use validation::{ScenarioError, UnmetExpectation};

/// A scenario. `docs/testbed.md` documents each key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line that says what it shows.
    pub about: String,
    /// Seed of all random draws.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds from the first event to the end.
    pub length_s: f64,
    /// How many processes and stand-ins there are.
    pub fleet: Fleet,
    /// The discovery service.
    #[serde(default, alias = "list")]
    pub discovery: Discovery,
    /// The backends.
    #[serde(default)]
    pub backend: BackendParameters,
    /// The clients.
    #[serde(default)]
    pub traffic: Traffic,
    /// What happens, in any order.
    #[serde(default)]
    pub at: Vec<Step>,
    /// Bounds that decide the verdict, beside violations.
    #[serde(default)]
    pub expect: Vec<Expect>,
}

fn default_seed() -> u64 {
    1
}

/// How many nodes and backends there are, and what nodes get at their start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Processes of the program.
    pub nodes: usize,
    /// Backends.
    pub backends: usize,
    /// Zones, over which nodes and backends are dealt in turn.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// The endpoint list that a node is given at its first start.
    #[serde(default)]
    pub known: Known,
    /// Number of nodes as the settings have it; the true one if absent.
    #[serde(alias = "siblings")]
    pub proxy_count: Option<usize>,
    /// Descriptors that a node may hold.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// A plan of the fault shim that is preloaded into each node; none if empty.
    #[serde(default)]
    pub faults: String,
    /// Nobody reads the nodes' logs, and they trace.
    #[serde(default)]
    pub log_unread: bool,
}

fn default_sockets() -> usize {
    512
}

fn default_zones() -> usize {
    1
}

/// What a node knows at its first start. After that it is given the list of the moment it ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Known {
    /// Nothing.
    Empty,
    /// The list as it is.
    #[default]
    Current,
    /// A list in which three in ten have been removed since, and their addresses belong to others.
    Stale,
}

/// Figures of the discovery service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Work of a call, milliseconds.
    pub call_ms: f64,
    /// Work of an endpoint in an answer, microseconds.
    #[serde(alias = "row_us")]
    pub endpoint_us: f64,
    /// Longest wait in its queue, milliseconds.
    #[serde(alias = "most_wait_ms")]
    pub max_wait_ms: f64,
    /// Changes kept for watches that resume.
    pub history: usize,
    /// The settings say that lists are pushed to nodes.
    pub pushed: bool,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            call_ms: 1.0,
            endpoint_us: 0.0,
            max_wait_ms: 1_000.0,
            history: 1_000,
            pushed: false,
        }
    }
}

/// Figures of a backend.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendParameters {
    /// Mean work of a request, milliseconds.
    pub work_ms: f64,
    /// Work of a new connection, milliseconds.
    pub handshake_ms: f64,
    /// Most requests in flight.
    #[serde(alias = "room")]
    pub capacity: usize,
    /// Most connections.
    pub connections: usize,
    /// Fraction of its speed that it starts with.
    #[serde(alias = "cold_from")]
    pub slow_start_from: f64,
    /// Seconds until it is at full speed.
    #[serde(alias = "cold_s")]
    pub slow_start_s: f64,
}

impl Default for BackendParameters {
    fn default() -> BackendParameters {
        BackendParameters {
            work_ms: 10.0,
            handshake_ms: 0.5,
            capacity: 40,
            connections: 600,
            slow_start_from: 0.31,
            slow_start_s: 4.0,
        }
    }
}

/// What clients send.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// Requests a second, over all nodes.
    pub rate: f64,
    /// From this second on.
    pub from_s: f64,
    /// Up to this one; to the end of the scenario if absent.
    pub to_s: Option<f64>,
    /// Misbehaving clients a second, over all nodes.
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
    /// What executing one of its requests twice means.
    #[serde(alias = "effect", with = "IdempotencyWord")]
    pub idempotency: Idempotency,
    /// Its share of all requests, relative to the others'.
    #[serde(default = "default_share")]
    pub share: f64,
    /// An answer within this time has its full weight, milliseconds.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long clients wait, milliseconds.
    #[serde(alias = "deadline_ms")]
    pub client_timeout_ms: f64,
    /// What an answer counts.
    #[serde(alias = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
}

/// How scenario files write [`Idempotency`].
#[derive(Deserialize)]
#[serde(remote = "Idempotency", rename_all = "snake_case")]
enum IdempotencyWord {
    #[serde(alias = "safe")]
    Idempotent,
    #[serde(alias = "keyed")]
    IdempotencyKey,
    #[serde(alias = "unsafe")]
    NotIdempotent,
}

fn default_share() -> f64 {
    1.0
}

fn default_priority_weight() -> f64 {
    1.0
}

impl Class {
    /// How long clients wait.
    pub fn client_timeout(&self) -> Duration {
        duration_from_secs(self.client_timeout_ms / 1_000.0)
    }

    /// An answer within this time has its full weight.
    pub fn latency_objective(&self) -> Duration {
        duration_from_secs(self.latency_objective_ms / 1_000.0)
    }
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds.
    #[serde(rename = "s")]
    pub at_s: f64,
    /// What.
    #[serde(rename = "do")]
    pub action: Action,
    /// Range of the nodes or backends that it concerns, from 0 to 1 by their numbers; all if
    /// absent.
    #[serde(default = "default_part")]
    pub part: [f64; 2],
    /// Only those of this zone.
    pub zone: Option<usize>,
    /// Seconds over which it is spread evenly.
    #[serde(default)]
    pub over_s: f64,
    /// A figure that some actions take: a fraction of the speed.
    #[serde(default = "default_size")]
    pub size: f64,
}

fn default_part() -> [f64; 2] {
    [0.0, 1.0]
}

fn default_size() -> f64 {
    1.0
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Nodes start, with what they know; those that run go on.
    Start,
    /// Nodes die at once (SIGKILL).
    Kill,
    /// Nodes shut down gracefully (SIGTERM).
    Term,
    /// Nodes are stopped (SIGSTOP).
    Stop,
    /// Nodes go on (SIGCONT).
    Cont,
    /// Nodes read their configuration anew (SIGHUP).
    Reload,
    /// The same, with a file that is half written.
    ReloadHalf,
    /// The same, with no file.
    ReloadMissing,
    /// Discovery answers, over healthy links.
    #[serde(alias = "list-up")]
    DiscoveryUp,
    /// Discovery answers 503.
    #[serde(alias = "list-busy")]
    DiscoveryOverloaded,
    /// Discovery takes calls and never answers.
    #[serde(alias = "list-silent")]
    DiscoverySilent,
    /// Discovery ends connections in the middle of answers.
    #[serde(alias = "list-half")]
    DiscoveryTruncates,
    /// The process of discovery has died: connections are reset, new ones refused.
    #[serde(alias = "list-down")]
    DiscoveryDown,
    /// Discovery starts anew without its history: watches are reset.
    #[serde(alias = "list-restart")]
    DiscoveryRestart,
    /// The links of nodes to discovery are cut.
    #[serde(alias = "list-cut")]
    DiscoveryCut,
    /// Backends drain, and are removed from the list a second later.
    Drain,
    /// Backends die, and are removed from the list a second later.
    BackendKill,
    /// Backends start anew, in slow start, and are listed as ready.
    BackendStart,
    /// Backends take requests and answer none.
    #[serde(alias = "swallow")]
    BackendSilent,
    /// Backends answer 500.
    #[serde(alias = "fail")]
    BackendFails,
    /// Backends work at `size` of their speed, over healthy links.
    #[serde(alias = "work")]
    BackendWorks,
    /// All bytes of backends come twice.
    AnswerTwice,
    /// Bytes of backends come a few at a time.
    AnswerInPieces,
    /// The links to backends are cut.
    BackendCut,
    /// Bytes of backends don't arrive, bytes of nodes do.
    BackendCutOut,
    /// The connections of backends are reset under their requests.
    BackendReset,
}

/// What an action is done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Nodes, or their links to discovery, by number.
    Nodes,
    /// The one discovery service.
    Discovery,
    /// Backends, or the links to them, by number.
    Backends,
}

impl Action {
    /// What the action is done to.
    pub fn target(self) -> Target {
        match self {
            Action::Start
            | Action::Kill
            | Action::Term
            | Action::Stop
            | Action::Cont
            | Action::Reload
            | Action::ReloadHalf
            | Action::ReloadMissing
            | Action::DiscoveryCut => Target::Nodes,
            Action::DiscoveryUp
            | Action::DiscoveryOverloaded
            | Action::DiscoverySilent
            | Action::DiscoveryTruncates
            | Action::DiscoveryDown
            | Action::DiscoveryRestart => Target::Discovery,
            Action::Drain
            | Action::BackendKill
            | Action::BackendStart
            | Action::BackendSilent
            | Action::BackendFails
            | Action::BackendWorks
            | Action::AnswerTwice
            | Action::AnswerInPieces
            | Action::BackendCut
            | Action::BackendCutOut
            | Action::BackendReset => Target::Backends,
        }
    }
}

/// A bound on a figure of the report.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Name of the figure; `kitefork-testbed run` prints all.
    pub figure: String,
    /// It is at least this.
    pub least: Option<f64>,
    /// It is at most this.
    pub most: Option<f64>,
}

/// Seconds as a duration; zero for what is none, as a negative number.
pub fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[cfg(test)]
#[path = "scenario_tests.rs"]
mod tests;
