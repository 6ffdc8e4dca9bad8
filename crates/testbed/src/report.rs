//! Report of a run: figures, figures of each second, violations and panics.

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

/// Part of the log lines in which a node reports a violation that it detected itself.
const VIOLATION_MARKER: &str = "kitefork: violation ";
/// Part of the log lines that report a panic.
const PANIC_MARKER: &str = "panicked";

/// Everything from which the report of a run is computed.
pub struct Measurements<'a> {
    /// Scenario that was run.
    pub scenario: &'a Scenario,
    /// Parameters of the referee's rules.
    pub rules: Rules,
    /// Records of the stand-ins and the processes.
    pub records: &'a Records,
    /// Start of the run, on the clock of the records.
    pub run_start: Duration,
    /// Calls that discovery received.
    pub discovery_calls: Vec<DiscoveryCall>,
    /// Number of bytes of lists, watch events and keep-alive lines that discovery wrote to nodes.
    pub discovery_bytes: u64,
    /// Number of connections that each backend accepted, by backend number.
    pub accepted_connections: Vec<usize>,
    /// Number of attempts that backends rejected unexecuted.
    pub rejected_attempts: u64,
    /// Resource usage of the node processes.
    pub usage: ResourceUsage,
    /// Log lines of all nodes, in the order of the nodes.
    pub log_lines: Vec<String>,
}

impl Measurements<'_> {
    /// Whether the request was served within the latency objective of its class.
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

/// Result of a run. Its JSON keeps the keys of earlier versions.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Values of all figures, by name.
    pub figures: BTreeMap<String, f64>,
    /// Counts for each second since the start of the run.
    pub seconds: Vec<Second>,
    /// Violations of rules, each with all records of the request, node or backend.
    #[serde(rename = "broken", serialize_with = "as_texts")]
    pub violations: Vec<Violation>,
    /// Expectations that are not met.
    #[serde(serialize_with = "as_texts")]
    pub unmet: Vec<UnmetExpectation>,
    /// Log lines that report a panic.
    pub panics: Vec<String>,
    /// Log lines of all nodes, in the order of the nodes; not part of the JSON.
    #[serde(skip)]
    pub logs: Vec<String>,
}

fn as_texts<T: Display, S: Serializer>(values: &[T], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(values.iter().map(T::to_string))
}

impl Report {
    /// Checks the records of a run against the rules, and computes its figures.
    pub fn new(measurements: &Measurements) -> Report {
        let mut violations = referee::find_violations(&measurements.rules, measurements.records);
        let panics = measurements.log_lines_containing(PANIC_MARKER);
        let mut figures = figures::compute(measurements);
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

    /// Whether there are no violations, no unmet expectations and no panics.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unmet.is_empty() && self.panics.is_empty()
    }
}
