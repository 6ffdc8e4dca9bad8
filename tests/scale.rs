//! Long lists: what a decision costs does not follow their length, and the draws stay what they are.

mod world;

use std::time::Duration;

use kitefork::*;
use world::*;

/// Nodes of the fleet of which one is played.
const SIBLINGS: u32 = 300;
/// Requests a second of the node.
const RATE: f64 = 40.0;

fn one_of_many(backends: &[Backend], seed: u64) -> World {
    let settings = Settings { siblings: SIBLINGS, ..settings(1) };
    World::of(settings, vec![WORK], 1, backends, seed)
}

/// Time that the decisions of one node take for 8 s of traffic with a change of the list each second.
fn cost(count: u32) -> Duration {
    let backends: Vec<Backend> = (0..count).map(backend).collect();
    let mut world = one_of_many(&backends, 1);
    for second in 0..8 {
        world.run(SECOND, RATE);
        let state = BackendState::Draining;
        let leaving = Backend { state, ..backends[second * 7].clone() };
        world.tell(ListKind::Delta, &[leaving]);
    }
    assert!(world.in_time(START) > 0.9);
    world.spent
}

#[test]
fn the_cost_of_decisions_does_not_follow_the_length_of_the_list() {
    let least = |count| (0..2).map(|_| cost(count)).min().expect("some plays");
    let (usual, longest) = (least(200), least(3_200));
    // Sixteen times the backends; the acceptance allows 1.4 times for the node as a whole.
    assert!(longest < 3 * usual, "{usual:?} with 200 backends, {longest:?} with 3,200");
}

/// Strengths of four groups of backends, by number.
const STRENGTHS: [f64; 4] = [1.0, 0.8, 0.5, 0.3];

fn by_group(id: BackendId, _: Nanos) -> Health {
    Health::Works(STRENGTHS[id.0 as usize % 4])
}

/// Share of the first attempts that each group of strength gets from one node of so many, over some seeds.
fn shares_of_groups(siblings: u32, backends: u32, rate: f64) -> [f64; 4] {
    let mut sent = [0usize; 4];
    for seed in 0..6 {
        let list: Vec<Backend> = (0..backends).map(backend).collect();
        let settings = Settings { siblings, ..settings(1) };
        let mut world = World::of(settings, vec![WORK], 1, &list, seed * 1_000 + 1);
        world.health = by_group;
        world.run(20 * SECOND, rate);
        for fate in world.fates.values() {
            if let Some((_, id, _)) = fate.attempts.first() {
                sent[id.0 as usize % 4] += 1;
            }
        }
    }
    let all: usize = sent.iter().sum();
    sent.map(|count| count as f64 / all as f64)
}

#[test]
fn draws_are_spread_as_by_the_full_walk() {
    // Measured on the code that walked the whole list for each draw.
    for (siblings, backends, rate, wanted) in [
        (2, 10, 60.0, [0.779, 0.110, 0.095, 0.015]),
        (10, 60, 60.0, [0.799, 0.030, 0.164, 0.007]),
        (300, 200, 40.0, [0.578, 0.252, 0.136, 0.034]),
        (300, 400, 40.0, [0.646, 0.209, 0.115, 0.030]),
        (300, 3_200, 40.0, [0.825, 0.011, 0.157, 0.008]),
    ] {
        let found = shares_of_groups(siblings, backends, rate);
        for (share, wanted_share) in found.iter().zip(wanted) {
            let distance = (share - wanted_share).abs();
            assert!(distance < 0.04, "{siblings} nodes, {backends}: {found:?}, wanted {wanted:?}");
        }
    }
}
