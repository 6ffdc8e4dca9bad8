//! Tests of long endpoint lists: the CPU time of a decision must not grow in proportion to the
//! list, and picks must be distributed as by a scan of the whole list.

mod simulation;

use std::time::Duration;

use kitefork_balancer::*;
use simulation::*;

/// Number of proxies, one of which is simulated.
const PROXY_COUNT: u32 = 300;
/// Requests a second at the simulated proxy.
const RATE: f64 = 40.0;

fn one_proxy_of_many(backends: &[Endpoint], seed: u64) -> Simulation {
    let settings = Settings {
        proxy_count: PROXY_COUNT,
        ..settings(1)
    };
    Simulation::with_settings(settings, vec![WORK], 1, backends, seed)
}

/// CPU time of this thread as accounted by the kernel's scheduler, which excludes the time of other
/// processes.
fn thread_cpu_time() -> Duration {
    let stat =
        std::fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat needs Linux");
    let nanoseconds = stat
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("schedstat starts with a number"))
}

/// CPU time of 10 s of traffic in which one backend starts to drain each second. The first 2 s
/// after the proxy gets its list are not counted.
fn cpu_time(backend_count: u32) -> Duration {
    let backends: Vec<Endpoint> = (0..backend_count).map(backend).collect();
    let mut simulation = one_proxy_of_many(&backends, 1);
    simulation.run(2 * SECOND, RATE);
    let cpu_time_before = thread_cpu_time();
    for second in 0..10 {
        simulation.run(SECOND, RATE);
        let state = EndpointState::Draining;
        let draining = Endpoint {
            state,
            ..backends[second * 7].clone()
        };
        simulation.update_endpoints(UpdateKind::Delta, &[draining]);
    }
    assert!(simulation.fraction_in_time(START) > 0.9);
    thread_cpu_time().checked_sub(cpu_time_before).unwrap()
}

#[test]
fn cpu_time_less_than_triples_with_sixteen_times_the_backends() {
    let min_cpu_time = |backend_count| {
        (0..4)
            .map(|_| cpu_time(backend_count))
            .min()
            .expect("there are four runs")
    };
    let (short_list, long_list) = (min_cpu_time(200), min_cpu_time(3_200));
    // With sixteen times the backends, `make scale` allows 1.4 times the cost of the whole node.
    // Decisions are a small part of that cost, so their own limit is higher. Scanning the whole
    // list for each pick would take eleven times the CPU time.
    assert!(
        long_list < 3 * short_list,
        "{short_list:?} with 200 backends, {long_list:?} with 3,200"
    );
}

/// Capacities of four groups of backends, as fractions; the group of a backend is its id modulo 4.
const GROUP_CAPACITIES: [f64; 4] = [1.0, 0.8, 0.5, 0.3];

fn group_health(id: BackendId, _: Nanos) -> Health {
    Health::Works(GROUP_CAPACITIES[id.0 as usize % 4])
}

/// Fraction of the first attempts that each group of backends gets from one of `proxy_count`
/// proxies, over 48 seeds.
fn first_attempt_shares(proxy_count: u32, backend_count: u32, rate: f64) -> [f64; 4] {
    let mut sent = [0usize; 4];
    for seed in 0..48 {
        let backends: Vec<Endpoint> = (0..backend_count).map(backend).collect();
        let settings = Settings {
            proxy_count,
            ..settings(1)
        };
        let mut simulation =
            Simulation::with_settings(settings, vec![WORK], 1, &backends, seed * 1_000 + 1);
        simulation.health = group_health;
        simulation.run(20 * SECOND, rate);
        for record in simulation.records.values() {
            if let Some((_, id, _)) = record.attempts.first() {
                sent[id.0 as usize % 4] += 1;
            }
        }
    }
    let total: usize = sent.iter().sum();
    sent.map(|count| count as f64 / total as f64)
}

#[test]
fn picks_are_distributed_as_if_the_whole_list_was_scanned() {
    // The expected fractions are those of a scan of the whole list for each pick: means of 48 runs,
    // with standard errors up to 0.013.
    for (proxy_count, backend_count, rate, expected) in [
        (2, 10, 60.0, [0.773, 0.101, 0.109, 0.017]),
        (10, 60, 60.0, [0.815, 0.040, 0.135, 0.009]),
        (300, 200, 40.0, [0.598, 0.225, 0.140, 0.037]),
        (300, 400, 40.0, [0.649, 0.199, 0.121, 0.031]),
        (300, 3_200, 40.0, [0.842, 0.010, 0.143, 0.005]),
    ] {
        let actual = first_attempt_shares(proxy_count, backend_count, rate);
        for (share, expected_share) in actual.iter().zip(expected) {
            let deviation = (share - expected_share).abs();
            assert!(
                deviation < 0.05,
                "{proxy_count} proxies, {backend_count} backends: {actual:?}, expected {expected:?}"
            );
        }
    }
}
