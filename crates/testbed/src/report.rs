//! What a run has shown: figures, the same by second, violations and panics.

mod figures;
mod timeline;

use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

use kitefork_standin::clients::RequestRecord;
use kitefork_standin::discovery::DiscoveryCall;
use serde::{Serialize, Serializer};

pub use timeline::Second;

use crate::cluster::ResourceUsage;
use crate::referee::{self, Records, Rules, Violation};
use crate::scenario::{Scenario, UnmetExpectation};

/// In a node's log, what it found broken itself.
const VIOLATION_MARKER: &str = "kitefork: violation ";
/// In a node's log, a panic.
const PANIC_MARKER: &str = "panicked";

/// Everything that a run has recorded.
pub struct Measurements<'a> {
    /// What was played.
    pub scenario: &'a Scenario,
    /// The figures of the rules.
    pub rules: Rules,
    /// What the stand-ins and processes recorded.
    pub records: &'a Records,
    /// When the run began, on the clock of the records.
    pub run_start: Duration,
    /// Calls that came to discovery.
    pub discovery_calls: Vec<DiscoveryCall>,
    /// Bytes of lists and watch events written to nodes.
    pub discovery_bytes: u64,
    /// Connections that each backend accepted.
    pub accepted_connections: Vec<usize>,
    /// Attempts that backends rejected.
    pub rejected_attempts: u64,
    /// What the processes of the nodes used.
    pub usage: ResourceUsage,
    /// The logs of all nodes.
    pub log_lines: Vec<String>,
}

impl Measurements<'_> {
    /// The request was served within its class's latency objective.
    fn meets_latency_objective(&self, record: &RequestRecord) -> bool {
        let request = &record.request;
        let mut classes = self.scenario.traffic.class.iter();
        let class = classes.find(|class| class.name == request.class);
        let objective = class.map_or(Duration::ZERO, super::scenario::Class::latency_objective);
        record.outcome.is_served() && record.ended <= request.planned + objective
    }

    fn log_lines_containing(&self, part: &str) -> Vec<String> {
        let lines = self.log_lines.iter();
        lines.filter(|line| line.contains(part)).cloned().collect()
    }
}

/// What a run has shown. Its JSON keeps the keys that it had under earlier names.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Everything counted, by name.
    pub figures: BTreeMap<String, f64>,
    /// The most telling figures of each second.
    pub seconds: Vec<Second>,
    /// Rules broken, each with all that the records have of the request, node or backend.
    #[serde(rename = "broken", serialize_with = "as_texts")]
    pub violations: Vec<Violation>,
    /// Expectations that do not hold.
    #[serde(serialize_with = "as_texts")]
    pub unmet: Vec<UnmetExpectation>,
    /// Lines of logs that report a panic.
    pub panics: Vec<String>,
    /// All that the nodes wrote to their logs, in the order of the nodes.
    #[serde(skip)]
    pub logs: Vec<String>,
}

fn as_texts<T: Display, S: Serializer>(values: &[T], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(values.iter().map(T::to_string))
}

impl Report {
    /// Judges and counts what a run has recorded.
    pub fn new(measurements: &Measurements) -> Report {
        let mut violations = referee::find_violations(&measurements.rules, measurements.records);
        let panics = measurements.log_lines_containing(PANIC_MARKER);
        let mut figures = figures::count(measurements);
        figures.insert("broken_rules".into(), violations.len() as f64);
        figures.insert("panics".into(), panics.len() as f64);
        let node_violations = measurements
            .log_lines_containing(VIOLATION_MARKER)
            .into_iter();
        violations.extend(node_violations.map(|line| Violation::FoundByNode { line }));
        Report {
            unmet: measurements.scenario.unmet(&figures),
            figures,
            seconds: timeline::seconds(measurements),
            violations,
            panics,
            logs: measurements.log_lines.clone(),
        }
    }

    /// Nothing was broken, and all that was expected holds.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unmet.is_empty() && self.panics.is_empty()
    }
}
