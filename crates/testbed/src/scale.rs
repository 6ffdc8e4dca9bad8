//! What one node needs with a short list of backends and with a long one, under the same traffic,
//! judged by the allowances of the operators' acceptance.

use std::collections::BTreeMap;

use crate::scenario::{Action, Class, Scenario, Step};

/// Backends of the usual list and of the longest one.
pub const SIZES: [usize; 2] = [200, 3_200];
/// Requests a second of the node.
const RATE: f64 = 40.0;
/// Seconds of traffic.
const LENGTH_S: f64 = 25.0;
/// Nodes of the fleet, as the node is told.
const PROXY_COUNT: usize = 300;

/// What a figure at the longer list may be: `factor` times that at the usual one, plus `plus`, plus
/// `per_thousand` for each thousand backends.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Name of the figure in a report.
    pub figure: &'static str,
    /// See above.
    pub factor: f64,
    /// See above.
    pub plus: f64,
    /// See above.
    pub per_thousand: f64,
}

/// The acceptance's table; list bytes in KB.
pub const ALLOWANCES: [Allowance; 5] = [
    Allowance {
        figure: "cpu_s_mean",
        factor: 1.4,
        plus: 0.02,
        per_thousand: 0.03,
    },
    Allowance {
        figure: "memory_mb_most",
        factor: 1.5,
        plus: 8.0,
        per_thousand: 4.0,
    },
    Allowance {
        figure: "descriptors_most",
        factor: 2.0,
        plus: 40.0,
        per_thousand: 0.0,
    },
    Allowance {
        figure: "connections",
        factor: 2.5,
        plus: 40.0,
        per_thousand: 0.0,
    },
    Allowance {
        figure: "list_kb",
        factor: 2.0,
        plus: 64.0,
        per_thousand: 500.0,
    },
];

/// Share served at the longer list, at least, of that at the usual one.
pub const LEAST_SERVED: f64 = 0.85;

/// One line of the comparison.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the figure.
    pub figure: &'static str,
    /// At the usual list.
    pub usual: f64,
    /// At the longer list.
    pub longer: f64,
    /// Bound of the latter.
    pub bound: f64,
    /// It holds.
    pub holds: bool,
}

/// One node, so many backends, traffic, and a change of the list each second.
pub fn scenario(backends: usize, seed: u64) -> Scenario {
    let text = format!(
        "about = \"One node, {backends} backends, a change of the list each second\"\nlength_s = {LENGTH_S}\n\
         seed = {seed}\n[fleet]\nnodes = 1\nbackends = {backends}\nproxy_count = {PROXY_COUNT}\n"
    );
    let mut scenario = Scenario::parse(&text).expect("a sound scenario");
    scenario.traffic.rate = RATE;
    scenario.traffic.from_s = 1.0;
    scenario.traffic.class = vec![Class {
        name: "check".into(),
        idempotency: "safe".into(),
        share: 1.0,
        latency_objective_ms: 1_200.0,
        client_timeout_ms: 5_000.0,
        priority_weight: 1.0,
    }];
    let step = |s, action, part: [f64; 2], over_s| Step {
        s,
        action,
        part,
        over_s,
        zone: None,
        size: 1.0,
    };
    let changes = LENGTH_S / backends as f64;
    scenario.at = vec![
        step(0.0, Action::Start, [0.0, 1.0], 0.0),
        // Each is gone a second after its drain: two changes a backend.
        step(0.5, Action::Drain, [0.0, changes / 2.0], LENGTH_S),
    ];
    scenario
}

/// The figures of both lists, side by side with their bounds.
pub fn compare(usual: &BTreeMap<String, f64>, longer: &BTreeMap<String, f64>) -> Vec<Row> {
    let thousands = SIZES[1] as f64 / 1_000.0;
    let figure =
        |figures: &BTreeMap<String, f64>, name| figures.get(name).copied().unwrap_or(f64::NAN);
    let bounded = ALLOWANCES.iter().map(|allowance| {
        let (usual, longer) = (
            figure(usual, allowance.figure),
            figure(longer, allowance.figure),
        );
        let bound = allowance.factor * usual + allowance.plus + allowance.per_thousand * thousands;
        Row {
            figure: allowance.figure,
            usual,
            longer,
            bound,
            holds: longer <= bound,
        }
    });
    let (usual, longer) = (figure(usual, "served"), figure(longer, "served"));
    let bound = LEAST_SERVED * usual;
    bounded
        .chain([Row {
            figure: "served",
            usual,
            longer,
            bound,
            holds: longer >= bound,
        }])
        .collect()
}
