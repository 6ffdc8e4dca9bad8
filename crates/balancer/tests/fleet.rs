//! What many nodes do together: each instance is sound alone, and what they sum to is checked.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;
use world::*;

#[test]
fn a_fleet_that_is_half_idle_holds_nothing_back() {
    for nodes in NODES {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut world = World::new(nodes, &backends);
        // 60 backends do 1,500 a second.
        world.run(12 * SECOND, 750.0);
        let settled = START + 4 * SECOND;
        let held = world.asked(settled).filter(|fate| fate.held()).count() as f64
            / world.asked(settled).count() as f64;
        let in_time = world.in_time(settled);
        assert!(held < 0.05, "{nodes} nodes hold back {held:.3}");
        assert!(in_time > 0.95, "{nodes} nodes serve {in_time:.3} in time");
        assert!(world.fates.values().all(|fate| fate.node < nodes));
    }
}

/// Backends 30 to 59 start cold five seconds in, and their strength grows evenly.
fn second_half_starts(id: BackendId, now: Nanos) -> Health {
    let age = now.saturating_sub(START + 5 * SECOND) as f64 / (8_800 * MS) as f64;
    Health::Works(if id.0 < 30 {
        1.0
    } else {
        (0.31 + 0.69 * age).min(1.0)
    })
}

#[test]
fn cold_backends_are_used_and_none_is_pushed_over() {
    for nodes in NODES {
        // With two nodes one play has 225 to 391 by the draws, 319 in the mean of five.
        let used: usize = [1, 11, 21]
            .into_iter()
            .map(|seed| used_while_cold(nodes, seed))
            .sum();
        // A third of what thirty of this strength could do in the last two seconds.
        assert!(
            used > 3 * 250,
            "{nodes} nodes send {used} to thirty cold backends in three plays"
        );
    }
}

/// Sends to thirty cold backends in the last two seconds, none of which is sent more than rule 4
/// allows.
fn used_while_cold(nodes: usize, seed: u64) -> usize {
    let mut backends: Vec<Endpoint> = (0..30).map(backend).collect();
    let mut world = World::seeded(nodes, &backends, seed);
    world.run(5 * SECOND, 500.0);
    backends = (30..60)
        .map(|id| Endpoint {
            started_at: Some(START + 5 * SECOND),
            ..backend(id)
        })
        .collect();
    world.free_at.extend(backends.iter().map(|b| (b.id, START)));
    world.health = second_half_starts;
    world.tell(UpdateKind::Delta, &backends);
    // More than the warm ones bear.
    world.run(4 * SECOND, 850.0);
    let cold: BTreeMap<BackendId, Vec<Nanos>> = world
        .fates
        .values()
        .flat_map(|fate| &fate.attempts)
        .filter(|attempt| attempt.1.0 >= 30)
        .fold(BTreeMap::new(), |mut all, (at, to, _)| {
            all.entry(*to).or_insert_with(Vec::new).push(*at);
            all
        });
    for (id, mut sends) in cold.clone() {
        sends.sort_unstable();
        for (place, from) in sends.iter().enumerate() {
            let Health::Works(strength) = second_half_starts(id, *from) else {
                unreachable!()
            };
            // Rule 4: three times what it can do at that moment, for two seconds.
            let budget = 3.0 * strength * (2 * SECOND / WORK) as f64;
            let within = sends[place..]
                .iter()
                .take_while(|at| **at <= from + 2 * SECOND)
                .count();
            assert!(
                (within as f64) < budget,
                "{nodes} nodes send {within} of {budget} to {}",
                id.0
            );
        }
    }
    let late = |at: &&Nanos| **at >= START + 7 * SECOND;
    cold.values().flatten().filter(late).count()
}

#[test]
fn a_crowd_is_served_in_time_as_far_as_it_can_be() {
    for nodes in NODES {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut world = World::new(nodes, &backends);
        world.run(3 * SECOND, 750.0);
        // Six in ten vanish at once, and the rest meet nearly twice what they can do.
        let gone = (24..60)
            .map(|id| Endpoint {
                state: EndpointState::Removed,
                ..backend(id)
            })
            .collect::<Vec<_>>();
        world.tell(UpdateKind::Delta, &gone);
        world.run(8 * SECOND, 1_100.0);
        let in_time = world.in_time(START + 4 * SECOND);
        // With 300 nodes each has about two answers a window to go by.
        let least = if nodes > 100 { 0.08 } else { 0.15 };
        assert!(
            in_time > least,
            "{nodes} nodes serve {in_time:.3} in time of 0.55"
        );
        // What nobody has tried by half of its time is turned away then.
        let first = |fate: &Fate| {
            fate.attempts
                .first()
                .map_or(0, |first| first.0 - fate.asked)
        };
        assert!(world.fates.values().all(|fate| first(fate) <= 800 * MS));
    }
}

fn ten_are_leaving(id: BackendId, _: Nanos) -> Health {
    if id.0 < 10 {
        Health::Leaving
    } else {
        Health::Works(1.0)
    }
}

#[test]
fn backends_that_leave_before_the_list_says_so_draw_little() {
    for nodes in NODES {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut world = World::new(nodes, &backends);
        world.run(3 * SECOND, 600.0);
        world.health = ten_are_leaving;
        world.run(4 * SECOND, 600.0);
        let since = START + 4 * SECOND;
        let late = |attempt: &&(Nanos, BackendId, bool)| attempt.0 >= since;
        let sends = || {
            world
                .fates
                .values()
                .flat_map(|fate| &fate.attempts)
                .filter(late)
        };
        let lost =
            sends().filter(|attempt| attempt.1.0 < 10).count() as f64 / sends().count() as f64;
        // Their share by number is a sixth.
        let most = if nodes > 100 { 0.13 } else { 0.11 };
        assert!(
            lost < most,
            "{nodes} nodes send {lost:.3} to backends that are leaving"
        );
        assert!(world.in_time(since) > if nodes > 100 { 0.88 } else { 0.9 });
    }
}

#[test]
fn a_node_at_five_times_the_mean_holds_nothing_back_and_every_backend_is_reached() {
    for nodes in [10, 100, 300] {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let (mut all, mut held) = (0, 0);
        // One play in 25 falls behind for a second by chance, so a few count together.
        for seed in 1..=4 {
            let mut world = World::seeded(nodes, &backends, seed);
            world.busier = 4;
            world.run(12 * SECOND, 900.0);
            let settled = START + 4 * SECOND;
            let mut reached = BTreeSet::new();
            for fate in world.asked(settled) {
                reached.extend(fate.attempts.iter().map(|attempt| attempt.1));
                if fate.node == 0 {
                    all += 1;
                    held += u32::from(fate.held());
                }
            }
            assert_eq!(
                reached.len(),
                60,
                "{nodes} nodes leave some backends without a req"
            );
        }
        assert!(
            all > 360 && 20 * held < all,
            "of {nodes} nodes the busiest holds back {held} of {all}"
        );
    }
}

/// Two classes on one-core backends: one that may be repeated and can wait, and one worth more that
/// must never run twice and can't wait.
fn refunds(nodes: usize, scale: f64) -> Settings {
    let span = |ms: u64| (scale * (ms * MS) as f64) as Nanos;
    let check = Class {
        latency_objective: span(300),
        client_timeout: span(1_000),
        priority_weight: 3.0,
        ..Class::default()
    };
    let effect = Idempotency::NotIdempotent;
    let payout = Class {
        latency_objective: span(75),
        client_timeout: span(150),
        priority_weight: 8.0,
        idempotency: effect,
        ..Class::default()
    };
    let mut settings = Settings {
        classes: vec![check, payout],
        ..settings(nodes)
    };
    settings.limits.max_attempts = 6;
    settings.rules.slow_start_duration = 8_700 * MS;
    settings.rules.overload_duration = 3_000 * MS;
    settings.tick = span(1).max(1_000);
    settings
}

/// Two nodes on so many backends of one zone, asked for `load` of what these can do, four in ten
/// for payouts.
fn two_nodes(backends: u32, seed: u64, scale: f64) -> (World, Vec<Endpoint>) {
    let backends: Vec<Endpoint> = (0..backends)
        .map(|id| Endpoint {
            zone: ZoneId(0),
            ..backend(id)
        })
        .collect();
    let work = [24, 15]
        .map(|ms| (scale * (ms * MS) as f64) as Nanos)
        .to_vec();
    let mut world = World::of(refunds(2, scale), work, 2, &backends, seed);
    world.last_share = 0.41;
    (world, backends)
}

/// Requests a second that one backend can do, of the mix of `two_nodes`.
fn capacity(scale: f64) -> f64 {
    1.0 / (scale * (0.59 * 0.024 + 0.41 * 0.015))
}

fn first_swallows(id: BackendId, now: Nanos) -> Health {
    if id.0 == 0 && now > START + 3 * SECOND {
        Health::Swallows
    } else {
        Health::Works(1.0)
    }
}

#[test]
fn a_backend_that_swallows_costs_few_payouts() {
    for count in [10, 12, 20] {
        for seed in 1..4 {
            let (mut world, _) = two_nodes(count, seed, 1.0);
            world.health = first_swallows;
            world.run(13 * SECOND, 0.6 * capacity(1.0) * f64::from(count));
            let at_it = |fate: &&Fate| {
                fate.attempts
                    .iter()
                    .any(|a| a.1.0 == 0 && a.0 > START + 3 * SECOND)
            };
            let lost = world
                .fates
                .values()
                .filter(|fate| fate.class == 1)
                .filter(at_it)
                .count();
            // Three for each node, in ten seconds; an even share would be a hundred.
            assert!(
                lost <= 6,
                "{lost} payouts went to the swallowing one of {count}, seed {seed}"
            );
        }
    }
}

#[test]
fn an_overload_at_two_nodes_keeps_no_backend_choked() {
    for seed in 1..4 {
        let (mut world, backends) = two_nodes(12, seed, 1.0);
        // The tightest kind turns slow when more than four wait for 1.5 s.
        world.deep = 5 * 24 * MS;
        world.run(5 * SECOND, 1.4 * capacity(1.0) * 12.0);
        assert!(
            world.longest < 1_500 * MS,
            "over the mark for {} ms",
            world.longest / MS
        );
        // One dies, its clients crowd over to the other, and it comes back with its last list.
        world.down = Some(1);
        world.run(2 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let alone = world.in_time(START + 6 * SECOND);
        world.restart(1, &backends);
        world.down = None;
        world.run(4 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let again = world.in_time(START + 8 * SECOND);
        assert!(
            world.longest < 1_500 * MS,
            "over the mark for {} ms",
            world.longest / MS
        );
        assert!(
            alone > 0.85 && again > 0.85,
            "seed {seed}: {alone:.3} by one, {again:.3} by both again"
        );
    }
}

#[test]
fn no_req_waits_beside_an_idle_backend_whatever_its_work_takes() {
    // Work of 50 us, 5 ms and 1 s in the mean, with aims and deadlines to match.
    for mean in [50e-6, 5e-3, 1.0] {
        let scale = mean / 0.0203;
        for count in [2, 12, 50] {
            let (mut world, _) = two_nodes(count, 1, scale);
            let rate = 0.6 * capacity(scale) * f64::from(count);
            world.run((3_000.0 / rate * 1e9) as Nanos, rate);
            let held = world.beside_idle as f64 / world.fates.len() as f64;
            assert!(
                held < 0.01,
                "{held:.3} of {} wait, {count} backends, {mean} s",
                world.fates.len()
            );
        }
    }
}
