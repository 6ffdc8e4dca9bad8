//! What many nodes do together: each instance is sound alone, and what they sum to is checked.

mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;
use simulation::*;

#[test]
fn a_fleet_that_is_half_idle_admits_all_requests_at_once() {
    for nodes in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(nodes, &backends);
        // 60 backends do 1,500 a second.
        simulation.run(12 * SECOND, 750.0);
        let settled = START + 4 * SECOND;
        let waiting = simulation
            .received_since(settled)
            .filter(|record| record.waited())
            .count() as f64
            / simulation.received_since(settled).count() as f64;
        let in_time = simulation.in_time(settled);
        assert!(waiting < 0.05, "{nodes} nodes hold back {waiting:.3}");
        assert!(in_time > 0.95, "{nodes} nodes serve {in_time:.3} in time");
        assert!(
            simulation
                .records
                .values()
                .all(|record| record.node < nodes)
        );
    }
}

/// Backends 30 to 59 start five seconds in, and their capacity grows evenly in slow start.
fn second_half_starts(id: BackendId, now: Nanos) -> Health {
    let age = now.saturating_sub(START + 5 * SECOND) as f64 / (8_800 * MS) as f64;
    Health::Works(if id.0 < 30 {
        1.0
    } else {
        (0.31 + 0.69 * age).min(1.0)
    })
}

#[test]
fn backends_in_slow_start_are_used_and_none_is_overloaded() {
    for nodes in PROXY_COUNTS {
        // With two proxies one run has 225 to 391 by chance, 319 in the mean of five.
        let used: usize = [1, 11, 21]
            .into_iter()
            .map(|seed| used_in_slow_start(nodes, seed))
            .sum();
        // A third of what thirty of this strength could do in the last two seconds.
        assert!(
            used > 3 * 250,
            "{nodes} nodes send {used} to thirty backends in slow start in three runs"
        );
    }
}

/// Attempts at thirty backends in slow start in the last two seconds, none of which is sent more
/// than rule 4 allows.
fn used_in_slow_start(nodes: usize, seed: u64) -> usize {
    let mut backends: Vec<Endpoint> = (0..30).map(backend).collect();
    let mut simulation = Simulation::seeded(nodes, &backends, seed);
    simulation.run(5 * SECOND, 500.0);
    backends = (30..60)
        .map(|id| Endpoint {
            started_at: Some(START + 5 * SECOND),
            ..backend(id)
        })
        .collect();
    simulation
        .free_at
        .extend(backends.iter().map(|b| (b.id, START)));
    simulation.health = second_half_starts;
    simulation.update_endpoints(UpdateKind::Delta, &backends);
    // More than the warm ones bear.
    simulation.run(4 * SECOND, 850.0);
    let attempts: BTreeMap<BackendId, Vec<Nanos>> = simulation
        .records
        .values()
        .flat_map(|record| &record.attempts)
        .filter(|attempt| attempt.1.0 >= 30)
        .fold(BTreeMap::new(), |mut all, (at, to, _)| {
            all.entry(*to).or_insert_with(Vec::new).push(*at);
            all
        });
    for (id, mut sends) in attempts.clone() {
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
    attempts.values().flatten().filter(late).count()
}

#[test]
fn an_overload_is_served_in_time_as_far_as_it_can_be() {
    for nodes in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(nodes, &backends);
        simulation.run(3 * SECOND, 750.0);
        // Six in ten vanish at once, and the rest meet nearly twice what they can do.
        let removed = (24..60)
            .map(|id| Endpoint {
                state: EndpointState::Removed,
                ..backend(id)
            })
            .collect::<Vec<_>>();
        simulation.update_endpoints(UpdateKind::Delta, &removed);
        simulation.run(8 * SECOND, 1_100.0);
        let in_time = simulation.in_time(START + 4 * SECOND);
        // With 300 nodes each has about two answers a window to go by.
        let least = if nodes > 100 { 0.08 } else { 0.15 };
        assert!(
            in_time > least,
            "{nodes} nodes serve {in_time:.3} in time of 0.55"
        );
        // What nobody has tried by half of its time is turned away then.
        let first = |record: &RequestRecord| {
            record
                .attempts
                .first()
                .map_or(0, |first| first.0 - record.received_at)
        };
        assert!(
            simulation
                .records
                .values()
                .all(|record| first(record) <= 800 * MS)
        );
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
fn backends_that_drain_before_the_list_says_so_are_picked_seldom() {
    for nodes in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(nodes, &backends);
        simulation.run(3 * SECOND, 600.0);
        simulation.health = ten_are_leaving;
        simulation.run(4 * SECOND, 600.0);
        let since = START + 4 * SECOND;
        let late = |attempt: &&(Nanos, BackendId, bool)| attempt.0 >= since;
        let sends = || {
            simulation
                .records
                .values()
                .flat_map(|record| &record.attempts)
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
        assert!(simulation.in_time(since) > if nodes > 100 { 0.88 } else { 0.9 });
    }
}

#[test]
fn a_proxy_at_five_times_the_mean_admits_all_requests_and_every_backend_is_reached() {
    for nodes in [10, 100, 300] {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let (mut all, mut waiting) = (0, 0);
        // One play in 25 falls behind for a second by chance, so a few count together.
        for seed in 1..=4 {
            let mut simulation = Simulation::seeded(nodes, &backends, seed);
            simulation.extra_load = 4;
            simulation.run(12 * SECOND, 900.0);
            let settled = START + 4 * SECOND;
            let mut reached = BTreeSet::new();
            for record in simulation.received_since(settled) {
                reached.extend(record.attempts.iter().map(|attempt| attempt.1));
                if record.node == 0 {
                    all += 1;
                    waiting += u32::from(record.waited());
                }
            }
            assert_eq!(
                reached.len(),
                60,
                "{nodes} nodes leave some backends without a request"
            );
        }
        assert!(
            all > 360 && 20 * waiting < all,
            "of {nodes} nodes the busiest holds back {waiting} of {all}"
        );
    }
}

/// Two classes on one-core backends: one that is idempotent and can wait, and one of more weight
/// that must never run twice and can't wait.
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
fn two_nodes(backends: u32, seed: u64, scale: f64) -> (Simulation, Vec<Endpoint>) {
    let backends: Vec<Endpoint> = (0..backends)
        .map(|id| Endpoint {
            zone: ZoneId(0),
            ..backend(id)
        })
        .collect();
    let work = [24, 15]
        .map(|ms| (scale * (ms * MS) as f64) as Nanos)
        .to_vec();
    let mut simulation = Simulation::of(refunds(2, scale), work, 2, &backends, seed);
    simulation.last_share = 0.41;
    (simulation, backends)
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
fn a_backend_that_never_answers_costs_few_payouts() {
    for count in [10, 12, 20] {
        for seed in 1..4 {
            let (mut simulation, _) = two_nodes(count, seed, 1.0);
            simulation.health = first_swallows;
            simulation.run(13 * SECOND, 0.6 * capacity(1.0) * f64::from(count));
            let at_it = |record: &&RequestRecord| {
                record
                    .attempts
                    .iter()
                    .any(|a| a.1.0 == 0 && a.0 > START + 3 * SECOND)
            };
            let lost = simulation
                .records
                .values()
                .filter(|record| record.class == 1)
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
fn an_overload_at_two_proxies_keeps_no_backend_choked() {
    for seed in 1..4 {
        let (mut simulation, backends) = two_nodes(12, seed, 1.0);
        // The tightest kind turns slow when more than four wait for 1.5 s.
        simulation.backlog_mark = 5 * 24 * MS;
        simulation.run(5 * SECOND, 1.4 * capacity(1.0) * 12.0);
        assert!(
            simulation.longest_above_mark < 1_500 * MS,
            "over the mark for {} ms",
            simulation.longest_above_mark / MS
        );
        // One stops, its clients go over to the other, and it comes back with its last list.
        simulation.stopped = Some(1);
        simulation.run(2 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let alone = simulation.in_time(START + 6 * SECOND);
        simulation.restart(1, &backends);
        simulation.stopped = None;
        simulation.run(4 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let again = simulation.in_time(START + 8 * SECOND);
        assert!(
            simulation.longest_above_mark < 1_500 * MS,
            "over the mark for {} ms",
            simulation.longest_above_mark / MS
        );
        assert!(
            alone > 0.85 && again > 0.85,
            "seed {seed}: {alone:.3} by one, {again:.3} by both again"
        );
    }
}

#[test]
fn no_request_waits_beside_an_idle_backend_whatever_its_work_takes() {
    // Work of 50 us, 5 ms and 1 s in the mean, with objectives and timeouts to match.
    for mean in [50e-6, 5e-3, 1.0] {
        let scale = mean / 0.0203;
        for count in [2, 12, 50] {
            let (mut simulation, _) = two_nodes(count, 1, scale);
            let rate = 0.6 * capacity(scale) * f64::from(count);
            simulation.run((3_000.0 / rate * 1e9) as Nanos, rate);
            let waiting = simulation.beside_idle as f64 / simulation.records.len() as f64;
            assert!(
                waiting < 0.01,
                "{waiting:.3} of {} wait, {count} backends, {mean} s",
                simulation.records.len()
            );
        }
    }
}
