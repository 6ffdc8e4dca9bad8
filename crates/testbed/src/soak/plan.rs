//! Draws the plan of a seed. The order of the draws must not change, as another order gives every
//! seed another plan.

use std::fmt;

use kitefork_standin::clients::Idempotency;
use kitefork_standin::random::RandomSource;

use super::fault::{FaultKind, PlannedFault};
use crate::scenario::{
    Action, BackendParameters, Class, Discovery, Fleet, Known, Scenario, Step, Traffic,
};

/// End of the traffic, in seconds after the start of the run.
const TRAFFIC_END_S: f64 = 10.0;
/// Time from the end of the traffic to the end of the run, in seconds, for the last answers.
const SETTLING_S: f64 = 2.0;
/// Start of the traffic, in seconds after the start of the run.
const TRAFFIC_START_S: f64 = 1.5;
/// Requests per second for each node.
const REQUEST_RATE_PER_NODE: f64 = 6.0;
/// Misbehaving clients per second for each node.
const MISBEHAVING_RATE_PER_NODE: f64 = 1.0;
/// Minimum number of backends in a drawn fleet.
const MIN_BACKENDS: usize = 8;
/// Maximum number of descriptors of a node, unless a fault lowers it.
const DESCRIPTOR_LIMIT: usize = 512;
/// 2^64 divided by the golden ratio. Multiplying by this value spreads neighbouring seeds over all
/// 64-bit values.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mask that is combined (XOR) with a seed's value for the random stream of the additional fault.
const ADDITIONAL_MASK: u64 = 0xadd;

/// Fleet, settings and faults that a seed has drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which the plan was drawn.
    pub seed: u64,
    /// Scenario of the fleet without faults.
    pub base: Scenario,
    /// Faults in the order in which they were drawn.
    pub faults: Vec<PlannedFault>,
    /// Seconds of idle time before the traffic and the faults start.
    pub quiet_s: f64,
}

/// Draws the plan of a seed for the given number of nodes, without idle time before the faults.
pub fn draw_plan(seed: u64, nodes: usize) -> Plan {
    let mut random = RandomSource::from_seed(seed.wrapping_mul(SEED_MULTIPLIER));
    let fleet = draw_fleet(&mut random, nodes);
    let discovery = draw_discovery(&mut random);
    let traffic = draw_traffic(&mut random, nodes);
    let start = Step {
        at_s: 0.0,
        action: Action::Start,
        part: [0.0, 1.0],
        zone: None,
        over_s: 0.4,
        size: 1.0,
    };
    let base = Scenario {
        about: format!("soak, seed {seed}"),
        seed,
        length_s: TRAFFIC_END_S + SETTLING_S,
        fleet,
        discovery,
        backend: BackendParameters::default(),
        traffic,
        at: vec![start],
        expect: Vec::new(),
    };
    let count = 2 + random.integer_below(2);
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| draw_fault(&FaultKind::ALL, &mut random))
        .collect();
    let mut random = RandomSource::from_seed(seed.wrapping_mul(SEED_MULTIPLIER) ^ ADDITIONAL_MASK);
    faults.push(draw_fault(&FaultKind::ADDITIONAL, &mut random));
    Plan {
        seed,
        base,
        faults,
        quiet_s: 0.0,
    }
}

fn draw_fleet(random: &mut RandomSource, nodes: usize) -> Fleet {
    let zones = 1 + random.integer_below(4);
    let backends = (nodes / 2 + random.integer_below(nodes + 1)).max(MIN_BACKENDS);
    Fleet {
        nodes,
        backends,
        zones,
        known: random.choose(&[Known::Empty, Known::Current, Known::Stale]),
        proxy_count: None,
        sockets: DESCRIPTOR_LIMIT,
        faults: String::new(),
        log_unread: false,
    }
}

fn draw_discovery(random: &mut RandomSource) -> Discovery {
    let call_ms = random.choose(&[0.2, 1.0, 8.0]);
    let history = random.choose(&[0, 5, 1_000]);
    let pushed = random.unit() < 0.4;
    Discovery {
        call_ms,
        history,
        pushed,
        ..Discovery::default()
    }
}

fn draw_traffic(random: &mut RandomSource, nodes: usize) -> Traffic {
    let count = 1 + random.integer_below(3);
    let class = (0..count)
        .map(|number| draw_class(random, number))
        .collect();
    Traffic {
        rate: REQUEST_RATE_PER_NODE * nodes as f64,
        misbehaving_rate: MISBEHAVING_RATE_PER_NODE * nodes as f64,
        from_s: TRAFFIC_START_S,
        to_s: Some(TRAFFIC_END_S),
        notice_s: random.choose(&[0.2, 1.0]),
        body_forms: true,
        class,
    }
}

fn draw_class(random: &mut RandomSource, number: usize) -> Class {
    const IDEMPOTENCIES: [Idempotency; 3] = [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey,
        Idempotency::NotIdempotent,
    ];
    let client_timeout_ms = random.choose(&[150.0, 400.0, 1_000.0, 3_000.0, 5_000.0, 30_000.0]);
    let idempotency = random.choose(&IDEMPOTENCIES);
    Class {
        name: format!("class{number}"),
        idempotency,
        share: 1.0,
        latency_objective_ms: client_timeout_ms / random.choose(&[1.5, 3.0]),
        client_timeout_ms,
        priority_weight: random.choose(&[1.0, 5.0]),
    }
}

fn draw_fault(kinds: &[FaultKind], random: &mut RandomSource) -> PlannedFault {
    let part_start = random.unit() * 0.7;
    let kind = random.choose(kinds);
    let from_s = 2.5 + 2.5 * random.unit();
    let duration_s = 0.5 + 2.5 * random.unit();
    let part = [part_start, part_start + 0.15 + 0.15 * random.unit()];
    PlannedFault {
        kind,
        from_s,
        duration_s,
        part,
        draw: random.unit(),
    }
}

impl Plan {
    /// Builds the scenario with all faults. Its traffic and faults are delayed by the idle time.
    pub fn scenario(&self) -> Scenario {
        let mut scenario = self.base.clone();
        scenario.length_s += self.quiet_s;
        scenario.traffic.from_s += self.quiet_s;
        scenario.traffic.to_s = scenario.traffic.to_s.map(|end| end + self.quiet_s);
        for fault in &self.faults {
            let delayed = PlannedFault {
                from_s: fault.from_s + self.quiet_s,
                ..fault.clone()
            };
            delayed.add_to(&mut scenario);
        }
        scenario
    }

    /// Returns the plan without the fault at this index.
    pub(super) fn without_fault(&self, index: usize) -> Plan {
        let mut plan = self.clone();
        plan.faults.remove(index);
        plan
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scenario {
            fleet,
            discovery,
            traffic,
            ..
        } = &self.base;
        write!(
            f,
            "seed {}: {} nodes, {} backends, {} zones, ",
            self.seed, fleet.nodes, fleet.backends, fleet.zones
        )?;
        let delivery = if discovery.pushed { "pushed" } else { "polled" };
        write!(f, "{delivery}, known {:?};", fleet.known)?;
        for class in &traffic.class {
            write!(f, " {:?} {} ms", class.idempotency, class.client_timeout_ms)?;
        }
        for fault in &self.faults {
            write!(f, "; {fault}")?;
        }
        Ok(())
    }
}
