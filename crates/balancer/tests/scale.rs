//! Long lists: what a decision costs does not follow their length, and the picks stay what they
//! are.

mod simulation;

use std::time::Duration;

use kitefork_balancer::*;
use simulation::*;

/// Nodes of the fleet of which one is played.
const PROXIES: u32 = 300;
/// Requests a second of the node.
const RATE: f64 = 40.0;

fn one_of_many(backends: &[Endpoint], seed: u64) -> Simulation {
    let settings = Settings {
        proxy_count: PROXIES,
        ..settings(1)
    };
    Simulation::of(settings, vec![WORK], 1, backends, seed)
}

/// Processor time of this thread, by the kernel's scheduler: what else runs on the machine does not
/// count.
fn thread_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let nanoseconds = stat
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a figure"))
}

/// What 10 s of traffic with a change of the list each second cost, once the node has its list.
fn cost(count: u32) -> Duration {
    let backends: Vec<Endpoint> = (0..count).map(backend).collect();
    let mut simulation = one_of_many(&backends, 1);
    simulation.run(2 * SECOND, RATE);
    let before = thread_time();
    for second in 0..10 {
        simulation.run(SECOND, RATE);
        let state = EndpointState::Draining;
        let leaving = Endpoint {
            state,
            ..backends[second * 7].clone()
        };
        simulation.update_endpoints(UpdateKind::Delta, &[leaving]);
    }
    assert!(simulation.in_time(START) > 0.9);
    thread_time().checked_sub(before).unwrap()
}

#[test]
fn the_cost_of_decisions_does_not_follow_the_length_of_the_list() {
    let least = |count| (0..4).map(|_| cost(count)).min().expect("some plays");
    let (usual, longest) = (least(200), least(3_200));
    // Sixteen times the backends. The acceptance allows 1.4 times for the node as a whole (make
    // scale), of which the decisions are a small part; the walk of the whole list took eleven
    // times.
    assert!(
        longest < 3 * usual,
        "{usual:?} with 200 backends, {longest:?} with 3,200"
    );
}

/// Strengths of four groups of backends, by number.
const STRENGTHS: [f64; 4] = [1.0, 0.8, 0.5, 0.3];

fn by_group(id: BackendId, _: Nanos) -> Health {
    Health::Works(STRENGTHS[id.0 as usize % 4])
}

/// Share of the first attempts that each group of strength gets from one node of so many, over some
/// seeds.
fn shares_of_groups(proxy_count: u32, backends: u32, rate: f64) -> [f64; 4] {
    let mut sent = [0usize; 4];
    for seed in 0..48 {
        let list: Vec<Endpoint> = (0..backends).map(backend).collect();
        let settings = Settings {
            proxy_count,
            ..settings(1)
        };
        let mut simulation = Simulation::of(settings, vec![WORK], 1, &list, seed * 1_000 + 1);
        simulation.health = by_group;
        simulation.run(20 * SECOND, rate);
        for record in simulation.records.values() {
            if let Some((_, id, _)) = record.attempts.first() {
                sent[id.0 as usize % 4] += 1;
            }
        }
    }
    let all: usize = sent.iter().sum();
    sent.map(|count| count as f64 / all as f64)
}

#[test]
fn picks_are_spread_as_by_the_full_scan() {
    // Measured on the code that walked the whole list for each pick: means of 48 plays, standard
    // errors up to 0.013.
    for (proxy_count, backends, rate, wanted) in [
        (2, 10, 60.0, [0.773, 0.101, 0.109, 0.017]),
        (10, 60, 60.0, [0.815, 0.040, 0.135, 0.009]),
        (300, 200, 40.0, [0.598, 0.225, 0.140, 0.037]),
        (300, 400, 40.0, [0.649, 0.199, 0.121, 0.031]),
        (300, 3_200, 40.0, [0.842, 0.010, 0.143, 0.005]),
    ] {
        let found = shares_of_groups(proxy_count, backends, rate);
        for (share, wanted_share) in found.iter().zip(wanted) {
            let distance = (share - wanted_share).abs();
            assert!(
                distance < 0.05,
                "{proxy_count} nodes, {backends}: {found:?}, wanted {wanted:?}"
            );
        }
    }
}
