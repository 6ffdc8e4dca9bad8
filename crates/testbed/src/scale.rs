//! What one node needs with a short list of backends and with a long one, under the same traffic,
//! held against the allowances of the operators' acceptance.

use std::collections::BTreeMap;

use kitefork_standin::clients::Idempotency;

use crate::scenario::{
    Action, BackendParameters, Class, Discovery, Fleet, Known, Scenario, Step, Traffic,
};

/// Backends of the usual list.
pub const BASELINE_BACKENDS: usize = 200;
/// Backends of the longest list.
pub const LARGE_BACKENDS: usize = 3_200;
/// Share served at the longer list, at least, of that at the usual one.
pub const MIN_SERVED_RATIO: f64 = 0.85;
/// Requests a second of the node.
const RATE: f64 = 40.0;
/// Seconds of traffic.
const LENGTH_S: f64 = 25.0;
/// Number of nodes that the node's settings have.
const PROXY_COUNT: usize = 300;
/// Descriptors that the node may hold.
const DESCRIPTOR_LIMIT: usize = 512;

/// What a figure at the longer list may be: `factor` times that at the usual one, plus `constant`,
/// plus `per_thousand_backends` for each thousand backends.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Name of the figure in a report.
    pub figure: &'static str,
    /// What the figure at the usual list is multiplied by.
    pub factor: f64,
    /// What is added, in the unit of the figure.
    pub constant: f64,
    /// What is added for each thousand backends, in the unit of the figure.
    pub per_thousand_backends: f64,
}

impl Allowance {
    /// Most that the figure may be at the longer list.
    fn bound(&self, baseline: f64) -> f64 {
        let thousands = LARGE_BACKENDS as f64 / 1_000.0;
        self.factor * baseline + self.constant + self.per_thousand_backends * thousands
    }
}

/// The acceptance's table; seconds of a core, MB, and KB of lists.
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

/// A figure at both lists.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Name of the figure.
    pub figure: &'static str,
    /// At the usual list.
    pub baseline: f64,
    /// At the longer list.
    pub large: f64,
    /// Bound of the latter.
    pub bound: f64,
    /// Whether the bound holds.
    pub within_bound: bool,
}

/// One node, so many backends, traffic, and a change of the list each second.
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
            // Each is removed a second after its drain: two changes a backend.
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
        rate: RATE,
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

/// The figures of both lists, side by side with their bounds.
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
