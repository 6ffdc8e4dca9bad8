//! Resource usage of one node with a baseline list of backends and with a large one, under the same
//! traffic, compared with the allowances that the operators require.

use std::collections::BTreeMap;

use kitefork_standin::clients::Idempotency;

use crate::scenario::{
    Action, BackendParameters, Class, Discovery, Fleet, Known, Scenario, Step, Traffic,
};

/// Number of backends in the baseline list, with which the large list is compared.
pub const BASELINE_BACKENDS: usize = 200;
/// Number of backends in the large list.
pub const LARGE_BACKENDS: usize = 3_200;
/// Minimum of the served fraction with the large list, relative to that with the baseline list.
pub const MIN_SERVED_RATIO: f64 = 0.85;
/// Requests per second in each run.
const REQUEST_RATE: f64 = 40.0;
/// Length of each run, in seconds.
const LENGTH_S: f64 = 25.0;
/// Number of proxies that the node's settings state.
const PROXY_COUNT: usize = 300;
/// Maximum number of descriptors of the node.
const DESCRIPTOR_LIMIT: usize = 512;

/// Upper bound on a figure with the large list: `factor` times the value with the baseline list,
/// plus `constant`, plus `per_thousand_backends` for each thousand backends.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Name of the figure in a report.
    pub figure: &'static str,
    /// Factor for the value with the baseline list.
    pub factor: f64,
    /// Constant term, in the unit of the figure.
    pub constant: f64,
    /// Term for each thousand backends, in the unit of the figure.
    pub per_thousand_backends: f64,
}

impl Allowance {
    /// Maximum value of the figure with the large list.
    fn bound(&self, baseline: f64) -> f64 {
        let thousands = LARGE_BACKENDS as f64 / 1_000.0;
        self.factor * baseline + self.constant + self.per_thousand_backends * thousands
    }
}

/// Allowances that the operators require. CPU time is in seconds, memory in MiB, lists in kB.
pub const ALLOWANCES: [Allowance; 5] = [
    Allowance {
        figure: "cpu_s_mean",
        factor: 1.4,
        constant: 0.02,
        per_thousand_backends: 0.03,
    },
    Allowance {
        figure: "memory_mb_most",
        factor: 1.5,
        constant: 8.0,
        per_thousand_backends: 4.0,
    },
    Allowance {
        figure: "descriptors_most",
        factor: 2.0,
        constant: 40.0,
        per_thousand_backends: 0.0,
    },
    Allowance {
        figure: "connections",
        factor: 2.5,
        constant: 40.0,
        per_thousand_backends: 0.0,
    },
    Allowance {
        figure: "list_kb",
        factor: 2.0,
        constant: 64.0,
        per_thousand_backends: 500.0,
    },
];

/// A figure with the baseline list and with the large list, and its bound.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Name of the figure in the reports.
    pub figure: &'static str,
    /// Value with the baseline list.
    pub baseline: f64,
    /// Value with the large list.
    pub large: f64,
    /// Bound on the value with the large list: a minimum for `served`, otherwise a maximum.
    pub bound: f64,
    /// Whether the value with the large list is within the bound.
    pub within_bound: bool,
}

/// Scenario with one node, this number of backends, traffic, and a change of the list each second.
pub fn scenario(backends: usize, seed: u64) -> Scenario {
    let step = |at_s, action, part: [f64; 2], over_s| Step {
        at_s,
        action,
        part,
        over_s,
        zone: None,
        size: 1.0,
    };
    let drained_fraction = LENGTH_S / backends as f64 / 2.0;
    Scenario {
        about: format!("One node, {backends} backends, a change of the list each second"),
        seed,
        length_s: LENGTH_S,
        fleet: fleet(backends),
        discovery: Discovery::default(),
        backend: BackendParameters::default(),
        traffic: traffic(),
        at: vec![
            step(0.0, Action::Start, [0.0, 1.0], 0.0),
            // A drained backend changes the list twice, as it is removed a second after its drain.
            step(0.5, Action::Drain, [0.0, drained_fraction], LENGTH_S),
        ],
        expect: Vec::new(),
    }
}

fn fleet(backends: usize) -> Fleet {
    Fleet {
        nodes: 1,
        backends,
        zones: 1,
        known: Known::Current,
        proxy_count: Some(PROXY_COUNT),
        sockets: DESCRIPTOR_LIMIT,
        faults: String::new(),
        log_unread: false,
    }
}

fn traffic() -> Traffic {
    Traffic {
        rate: REQUEST_RATE,
        from_s: 1.0,
        class: vec![Class {
            name: "check".into(),
            idempotency: Idempotency::Idempotent,
            share: 1.0,
            latency_objective_ms: 1_200.0,
            client_timeout_ms: 5_000.0,
            priority_weight: 1.0,
        }],
        ..Traffic::default()
    }
}

/// Compares the figures of the runs with both lists, and checks their bounds.
pub fn compare(baseline: &BTreeMap<String, f64>, large: &BTreeMap<String, f64>) -> Vec<Comparison> {
    let value_of =
        |figures: &BTreeMap<String, f64>, name| figures.get(name).copied().unwrap_or(f64::NAN);
    let allowed = ALLOWANCES.iter().map(|allowance| {
        let baseline = value_of(baseline, allowance.figure);
        let large = value_of(large, allowance.figure);
        let bound = allowance.bound(baseline);
        Comparison {
            figure: allowance.figure,
            baseline,
            large,
            bound,
            within_bound: large <= bound,
        }
    });
    let (baseline, large) = (value_of(baseline, "served"), value_of(large, "served"));
    let bound = MIN_SERVED_RATIO * baseline;
    let served = Comparison {
        figure: "served",
        baseline,
        large,
        bound,
        within_bound: large >= bound,
    };
    allowed.chain([served]).collect()
}
