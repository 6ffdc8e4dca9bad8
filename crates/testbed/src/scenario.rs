//! Scenario files: a fleet, the steps that happen to it, and bounds on the figures of the report.
//! Keys and words of earlier versions are accepted as aliases.

mod validation;

use std::time::Duration;

use kitefork_standin::clients::Idempotency;
use serde::Deserialize;

pub use validation::{ScenarioError, UnmetExpectation};

/// Contents of a scenario file. `docs/testbed.md` documents each key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line that describes the scenario.
    pub about: String,
    /// Seed of all random draws: those of the clients, backends, nodes and fault shims.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the run, in seconds.
    pub length_s: f64,
    /// Numbers of nodes and backends, and the settings for starting the nodes.
    pub fleet: Fleet,
    /// Parameters of the discovery service; each has a default.
    #[serde(default, alias = "list")]
    pub discovery: Discovery,
    /// Parameters that all backends have; each has a default.
    #[serde(default)]
    pub backend: BackendParameters,
    /// Traffic that the clients send; none if absent.
    #[serde(default)]
    pub traffic: Traffic,
    /// Steps of the run, in any order.
    #[serde(default)]
    pub at: Vec<Step>,
    /// Bounds on figures. A run passes if all are met and there are no violations or panics.
    #[serde(default)]
    pub expect: Vec<Expect>,
}

fn default_seed() -> u64 {
    1
}

/// Numbers of nodes and backends, and the settings for starting the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of nodes, each a process of the program.
    pub nodes: usize,
    /// Number of backends; discovery lists all of them at the start of the run.
    pub backends: usize,
    /// Number of zones, to which nodes and backends are assigned in turn.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Endpoint list that a node is given at its first start.
    #[serde(default)]
    pub known: Known,
    /// Number of proxies that the nodes' settings state; the number of nodes if absent.
    #[serde(alias = "siblings")]
    pub proxy_count: Option<usize>,
    /// Maximum number of descriptors of a node; `limits.sockets` in its configuration.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Plan of the fault shim that is preloaded into each node; no shim is loaded if it is empty.
    #[serde(default)]
    pub faults: String,
    /// Whether the nodes' logs are left unread after their first line, while the nodes write traces
    /// to them.
    #[serde(default)]
    pub log_unread: bool,
}

fn default_sockets() -> usize {
    512
}

fn default_zones() -> usize {
    1
}

/// Endpoint list that a node is given at its first start. Each later incarnation is given the list
/// that was current when the node last got SIGTERM, SIGKILL or a valid configuration to reload.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Known {
    /// A list without endpoints.
    Empty,
    /// The current list.
    #[default]
    Current,
    /// A list in which three in ten endpoints are former backends, whose addresses now belong to
    /// other backends.
    Stale,
}

/// Capacity of the discovery service, and whether the nodes' settings say that lists are pushed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Processing time of a call, in milliseconds.
    pub call_ms: f64,
    /// Processing time of each endpoint in an answer, in microseconds.
    #[serde(alias = "row_us")]
    pub endpoint_us: f64,
    /// Maximum time that a call waits in the queue, in milliseconds; a call that would wait longer
    /// gets 503.
    #[serde(alias = "most_wait_ms")]
    pub max_wait_ms: f64,
    /// Maximum number of changes that discovery keeps. A watch that missed only these changes can
    /// resume without the whole list.
    pub history: usize,
    /// Whether the nodes' settings say that lists are pushed to them.
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

/// Capacity and speed of each backend.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendParameters {
    /// Mean execution time of a request at full speed, in milliseconds.
    pub work_ms: f64,
    /// Time that a backend spends on each new connection, in milliseconds.
    pub handshake_ms: f64,
    /// Maximum number of requests in flight; further requests are rejected unexecuted.
    #[serde(alias = "room")]
    pub capacity: usize,
    /// Maximum number of connections; requests on further ones are rejected unexecuted.
    pub connections: usize,
    /// Fraction of the full speed at the start of slow start.
    #[serde(alias = "cold_from")]
    pub slow_start_from: f64,
    /// Duration of slow start, in seconds.
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

/// Rates, period and classes of the requests that clients send.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// Requests per second, over all nodes.
    pub rate: f64,
    /// Start of the traffic, in seconds after the start of the run.
    pub from_s: f64,
    /// End of the traffic, in seconds after the start of the run; the end of the run if absent.
    pub to_s: Option<f64>,
    /// Misbehaving clients per second, over all nodes.
    #[serde(alias = "odd_rate")]
    pub misbehaving_rate: f64,
    /// Seconds for which clients are still sent to a node that has died.
    pub notice_s: f64,
    /// Whether the bodies of requests vary in length, up to the longest allowed, and in framing,
    /// and some requests have `Expect: 100-continue`.
    pub body_forms: bool,
    /// Classes of the requests, with their shares.
    pub class: Vec<Class>,
}

/// A class of requests with the same idempotency, client timeout and weight.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, also in the nodes' settings.
    pub name: String,
    /// Whether, and under which condition, a request of the class may be executed twice.
    #[serde(alias = "effect", with = "IdempotencyWord")]
    pub idempotency: Idempotency,
    /// Share of all requests, relative to the shares of the other classes.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Time within which an answer has its full weight, in milliseconds.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Time that clients wait for an answer, in milliseconds.
    #[serde(alias = "deadline_ms")]
    pub client_timeout_ms: f64,
    /// Weight of an answer, relative to the other classes.
    #[serde(alias = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
}

/// Words for [`Idempotency`] in scenario files.
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
    /// Time that clients wait for an answer.
    pub fn client_timeout(&self) -> Duration {
        duration_from_secs(self.client_timeout_ms / 1_000.0)
    }

    /// Time within which an answer has its full weight.
    pub fn latency_objective(&self) -> Duration {
        duration_from_secs(self.latency_objective_ms / 1_000.0)
    }
}

/// An action at a given time, on discovery or on a part of the nodes or backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the step, in seconds after the start of the run.
    #[serde(rename = "s")]
    pub at_s: f64,
    /// Action that is applied to discovery or to each affected node or backend.
    #[serde(rename = "do")]
    pub action: Action,
    /// Range of the affected nodes or backends, as fractions of their numbers from 0 to 1; all if
    /// absent.
    #[serde(default = "default_part")]
    pub part: [f64; 2],
    /// Zone to which the step is limited; all zones if absent.
    pub zone: Option<usize>,
    /// Seconds over which the action is spread evenly over the affected nodes or backends; 0 means
    /// that the action is applied to all of them at once.
    #[serde(default)]
    pub over_s: f64,
    /// Fraction of the full speed at which backends serve, for [`Action::BackendWorks`].
    #[serde(default = "default_size")]
    pub size: f64,
}

fn default_part() -> [f64; 2] {
    [0.0, 1.0]
}

fn default_size() -> f64 {
    1.0
}

/// What a step does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Starts nodes with the endpoint lists in their configurations; running nodes are left alone.
    Start,
    /// Kills nodes (SIGKILL).
    Kill,
    /// Shuts nodes down gracefully (SIGTERM).
    Term,
    /// Pauses nodes (SIGSTOP).
    Stop,
    /// Resumes nodes (SIGCONT).
    Cont,
    /// Makes nodes reload a valid configuration file (SIGHUP).
    Reload,
    /// Makes nodes reload a truncated configuration file (SIGHUP).
    ReloadHalf,
    /// Makes nodes reload a missing configuration file (SIGHUP).
    ReloadMissing,
    /// Opens as many idle client connections to nodes as they may have descriptors.
    Crowd,
    /// Makes discovery answer, over healthy links.
    #[serde(alias = "list-up")]
    DiscoveryUp,
    /// Makes discovery answer 503.
    #[serde(alias = "list-busy")]
    DiscoveryOverloaded,
    /// Makes discovery accept calls and never answer them.
    #[serde(alias = "list-silent")]
    DiscoverySilent,
    /// Makes discovery close connections in the middle of answers.
    #[serde(alias = "list-half")]
    DiscoveryTruncates,
    /// Resets the connections to discovery and refuses new ones, as if its process had died.
    #[serde(alias = "list-down")]
    DiscoveryDown,
    /// Restarts discovery without its history of changes; its connections are reset.
    #[serde(alias = "list-restart")]
    DiscoveryRestart,
    /// Cuts the links from nodes to discovery in both directions.
    #[serde(alias = "list-cut")]
    DiscoveryCut,
    /// Lists backends as draining, and removes them from the list a second later.
    Drain,
    /// Kills backends, and removes them from the list a second later.
    BackendKill,
    /// Restarts backends, in slow start, and lists them as ready.
    BackendStart,
    /// Makes backends accept requests and never answer them.
    #[serde(alias = "swallow")]
    BackendSilent,
    /// Makes backends answer 500.
    #[serde(alias = "fail")]
    BackendFails,
    /// Makes backends serve at the fraction `size` of their full speed, over healthy links.
    #[serde(alias = "work")]
    BackendWorks,
    /// Delivers all bytes from backends twice.
    AnswerTwice,
    /// Delivers all bytes from backends again some milliseconds later.
    AnswerTwiceLate,
    /// Delivers the bytes from backends a few at a time.
    AnswerInPieces,
    /// Delivers some answers of backends with a `Content-Length` that is too short for the body.
    AnswerShortLengths,
    /// Cuts the links to backends in both directions.
    BackendCut,
    /// Cuts the links to backends in the direction to the nodes only.
    BackendCutOut,
    /// Resets the connections to backends, also those with requests in flight.
    BackendReset,
}

/// What an action is applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Nodes or their links to discovery, by node number.
    Nodes,
    /// The discovery service, of which there is one.
    Discovery,
    /// Backends or the links to them, by backend number.
    Backends,
}

impl Action {
    /// Returns the target of the action.
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
            | Action::Crowd
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
            | Action::AnswerTwiceLate
            | Action::AnswerInPieces
            | Action::AnswerShortLengths
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
    /// Name of the figure, as `kitefork-testbed run` prints it.
    pub figure: String,
    /// Minimum value; unbounded below if absent.
    pub least: Option<f64>,
    /// Maximum value; unbounded above if absent.
    pub most: Option<f64>,
}

/// Converts seconds to a duration; negative and unrepresentable values become zero.
pub fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[cfg(test)]
#[path = "scenario_tests.rs"]
mod tests;
