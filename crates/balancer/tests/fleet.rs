//! Tests of many proxies that share backends: decisions that are right for each proxy alone may
//! overload a backend together, or leave one unused.

mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;
use simulation::*;

#[test]
fn half_loaded_fleet_admits_nearly_all_requests_at_once() {
    for proxy_count in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(proxy_count, &backends);
        // 60 backends can serve 1,500 requests a second.
        simulation.run(12 * SECOND, 750.0);
        let settled_at = START + 4 * SECOND;
        let queued_fraction = simulation
            .received_since(settled_at)
            .filter(|record| record.was_queued())
            .count() as f64
            / simulation.received_since(settled_at).count() as f64;
        let fraction_in_time = simulation.fraction_in_time(settled_at);
        assert!(
            queued_fraction < 0.05,
            "{proxy_count} proxies queue {queued_fraction:.3} of the requests"
        );
        assert!(
            fraction_in_time > 0.95,
            "{proxy_count} proxies serve {fraction_in_time:.3} of the requests in time"
        );
        assert!(
            simulation
                .records
                .values()
                .all(|record| record.proxy_index < proxy_count)
        );
    }
}

/// Backends 30 to 59 start 5 s after `START`, and their capacity rises linearly in slow start.
fn second_half_in_slow_start(id: BackendId, now: Nanos) -> Health {
    let elapsed_fraction = now.saturating_sub(START + 5 * SECOND) as f64 / (8_800 * MS) as f64;
    Health::Works(if id.0 < 30 {
        1.0
    } else {
        (0.31 + 0.69 * elapsed_fraction).min(1.0)
    })
}

#[test]
fn backends_in_slow_start_are_used_and_none_is_overloaded() {
    for proxy_count in PROXY_COUNTS {
        // The number of attempts varies by chance, so three runs are added up.
        let attempts: usize = [1, 11, 21]
            .into_iter()
            .map(|seed| attempts_in_slow_start(proxy_count, seed))
            .sum();
        // The minimum, 250 attempts a run, is about a third of what thirty backends in slow start
        // could serve in the last two seconds.
        assert!(
            attempts > 3 * 250,
            "{proxy_count} proxies: {attempts} attempts at thirty backends in slow start in three runs"
        );
    }
}

/// Number of attempts at thirty backends in slow start in the last two seconds of a run. Asserts
/// that none of these backends is sent more than rule 4 allows.
fn attempts_in_slow_start(proxy_count: usize, seed: u64) -> usize {
    let mut backends: Vec<Endpoint> = (0..30).map(backend).collect();
    let mut simulation = Simulation::with_seed(proxy_count, &backends, seed);
    simulation.run(5 * SECOND, 500.0);
    backends = (30..60)
        .map(|id| Endpoint {
            started_at: Some(START + 5 * SECOND),
            ..backend(id)
        })
        .collect();
    simulation
        .free_at
        .extend(backends.iter().map(|backend| (backend.id, START)));
    simulation.health = second_half_in_slow_start;
    simulation.update_endpoints(UpdateKind::Delta, &backends);
    // This rate is higher than the thirty backends of full capacity can serve.
    simulation.run(4 * SECOND, 850.0);
    let send_times: BTreeMap<BackendId, Vec<Nanos>> = simulation
        .records
        .values()
        .flat_map(|record| &record.attempts)
        .filter(|attempt| attempt.1.0 >= 30)
        .fold(
            BTreeMap::new(),
            |mut send_times, (sent_at, backend_id, _)| {
                send_times
                    .entry(*backend_id)
                    .or_insert_with(Vec::new)
                    .push(*sent_at);
                send_times
            },
        );
    for (id, mut times) in send_times.clone() {
        times.sort_unstable();
        for (index, window_start) in times.iter().enumerate() {
            let Health::Works(capacity) = second_half_in_slow_start(id, *window_start) else {
                unreachable!()
            };
            // Rule 4: in any two seconds, a backend is sent fewer than three times the attempts
            // that it can serve at its capacity at the start of the window.
            let max_attempts = 3.0 * capacity * (2 * SECOND / WORK) as f64;
            let sent = times[index..]
                .iter()
                .take_while(|sent_at| **sent_at <= window_start + 2 * SECOND)
                .count();
            assert!(
                (sent as f64) < max_attempts,
                "{proxy_count} proxies send {sent} attempts to backend {}, the limit is {max_attempts}",
                id.0
            );
        }
    }
    let is_in_last_two_seconds = |sent_at: &&Nanos| **sent_at >= START + 7 * SECOND;
    send_times
        .values()
        .flatten()
        .filter(is_in_last_two_seconds)
        .count()
}

#[test]
fn overloaded_fleet_serves_a_part_of_the_requests_in_time() {
    for proxy_count in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(proxy_count, &backends);
        simulation.run(3 * SECOND, 750.0);
        // Six in ten backends are removed at once, and the others get nearly twice as many requests
        // as they can serve.
        let removed = (24..60)
            .map(|id| Endpoint {
                state: EndpointState::Removed,
                ..backend(id)
            })
            .collect::<Vec<_>>();
        simulation.update_endpoints(UpdateKind::Delta, &removed);
        simulation.run(8 * SECOND, 1_100.0);
        let fraction_in_time = simulation.fraction_in_time(START + 4 * SECOND);
        // With 300 proxies, each proxy gets only about two answers a second for its estimates, so
        // fewer requests are served in time.
        let minimum = if proxy_count > 100 { 0.08 } else { 0.15 };
        assert!(
            fraction_in_time > minimum,
            "{proxy_count} proxies serve {fraction_in_time:.3} in time, the capacity is 0.55"
        );
        // A request without an attempt is rejected when half of its client timeout has passed.
        let time_to_first_attempt = |record: &RequestRecord| {
            record
                .attempts
                .first()
                .map_or(0, |first| first.0 - record.received_at)
        };
        assert!(
            simulation
                .records
                .values()
                .all(|record| time_to_first_attempt(record) <= 800 * MS)
        );
    }
}

/// Backends 0 to 9 are draining, while the endpoint list still has them as ready.
fn first_ten_drain(id: BackendId, _: Nanos) -> Health {
    if id.0 < 10 {
        Health::Draining
    } else {
        Health::Works(1.0)
    }
}

#[test]
fn backends_that_drain_before_the_list_update_get_few_attempts() {
    for proxy_count in PROXY_COUNTS {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let mut simulation = Simulation::new(proxy_count, &backends);
        simulation.run(3 * SECOND, 600.0);
        simulation.health = first_ten_drain;
        simulation.run(4 * SECOND, 600.0);
        let since = START + 4 * SECOND;
        let is_recent = |attempt: &&(Nanos, BackendId, bool)| attempt.0 >= since;
        let recent_attempts = || {
            simulation
                .records
                .values()
                .flat_map(|record| &record.attempts)
                .filter(is_recent)
        };
        let draining_fraction = recent_attempts().filter(|attempt| attempt.1.0 < 10).count() as f64
            / recent_attempts().count() as f64;
        // A sixth of the backends are draining, so they would get 0.167 of the attempts if they
        // were treated like the others.
        let maximum = if proxy_count > 100 { 0.13 } else { 0.11 };
        assert!(
            draining_fraction < maximum,
            "{proxy_count} proxies send {draining_fraction:.3} of the attempts to draining backends"
        );
        assert!(simulation.fraction_in_time(since) > if proxy_count > 100 { 0.88 } else { 0.9 });
    }
}

#[test]
fn busiest_proxy_queues_few_requests_and_all_backends_are_reached() {
    for proxy_count in [10, 100, 300] {
        let backends: Vec<Endpoint> = (0..60).map(backend).collect();
        let (mut received, mut queued) = (0, 0);
        // A run may fall behind for a second by chance, so four runs are counted together.
        for seed in 1..=4 {
            let mut simulation = Simulation::with_seed(proxy_count, &backends, seed);
            simulation.extra_load = 4;
            simulation.run(12 * SECOND, 900.0);
            let settled_at = START + 4 * SECOND;
            let mut reached = BTreeSet::new();
            for record in simulation.received_since(settled_at) {
                reached.extend(record.attempts.iter().map(|attempt| attempt.1));
                if record.proxy_index == 0 {
                    received += 1;
                    queued += u32::from(record.was_queued());
                }
            }
            assert_eq!(
                reached.len(),
                60,
                "{proxy_count} proxies leave some backends without an attempt"
            );
        }
        assert!(
            received > 360 && 20 * queued < received,
            "the busiest of {proxy_count} proxies queues {queued} of {received} requests"
        );
    }
}

/// Settings for one-core backends, with two classes: an idempotent one with a long latency
/// objective, and one of higher weight that is not idempotent and has a short latency objective.
/// `scale` multiplies the times of the classes and the tick, which is at least 1 us.
fn two_class_settings(proxy_count: usize, scale: f64) -> Settings {
    let scaled = |ms: u64| (scale * (ms * MS) as f64) as Nanos;
    let idempotent = Class {
        latency_objective: scaled(300),
        client_timeout: scaled(1_000),
        priority_weight: 3.0,
        ..Class::default()
    };
    let idempotency = Idempotency::NotIdempotent;
    let not_idempotent = Class {
        latency_objective: scaled(75),
        client_timeout: scaled(150),
        priority_weight: 8.0,
        idempotency,
        ..Class::default()
    };
    let mut settings = Settings {
        classes: vec![idempotent, not_idempotent],
        ..settings(proxy_count)
    };
    settings.limits.max_attempts = 6;
    settings.rules.slow_start_duration = 8_700 * MS;
    settings.rules.overload_duration = 3_000 * MS;
    settings.tick = scaled(1).max(1_000);
    settings
}

/// A simulation of two proxies and of `backend_count` backends in one zone. Four in ten requests
/// are of the class that is not idempotent; `scale` multiplies the work, the times of the classes
/// and the tick.
fn two_proxies(backend_count: u32, seed: u64, scale: f64) -> (Simulation, Vec<Endpoint>) {
    let backends: Vec<Endpoint> = (0..backend_count)
        .map(|id| Endpoint {
            zone: ZoneId(0),
            ..backend(id)
        })
        .collect();
    let mean_work = [24, 15]
        .map(|ms| (scale * (ms * MS) as f64) as Nanos)
        .to_vec();
    let mut simulation =
        Simulation::with_settings(two_class_settings(2, scale), mean_work, 2, &backends, seed);
    simulation.last_class_share = 0.41;
    (simulation, backends)
}

/// Number of requests a second that one backend can serve, with the classes and the `scale` of
/// `two_proxies`.
fn capacity(scale: f64) -> f64 {
    1.0 / (scale * (0.59 * 0.024 + 0.41 * 0.015))
}

/// From 3 s after `START`, backend 0 accepts attempts but answers none.
fn first_never_answers(id: BackendId, now: Nanos) -> Health {
    if id.0 == 0 && now > START + 3 * SECOND {
        Health::NeverAnswers
    } else {
        Health::Works(1.0)
    }
}

#[test]
fn backend_that_never_answers_gets_few_non_idempotent_requests() {
    for backend_count in [10, 12, 20] {
        for seed in 1..4 {
            let (mut simulation, _) = two_proxies(backend_count, seed, 1.0);
            simulation.health = first_never_answers;
            simulation.run(13 * SECOND, 0.6 * capacity(1.0) * f64::from(backend_count));
            let was_sent_there = |record: &&RequestRecord| {
                record
                    .attempts
                    .iter()
                    .any(|attempt| attempt.1.0 == 0 && attempt.0 > START + 3 * SECOND)
            };
            let sent_there = simulation
                .records
                .values()
                .filter(|record| record.class == 1)
                .filter(was_sent_there)
                .count();
            // Each of the two proxies may send three requests to this backend in ten seconds. An
            // equal share would be about a hundred requests.
            assert!(
                sent_there <= 6,
                "{sent_there} requests went to the one of {backend_count} that never answers, seed {seed}"
            );
        }
    }
}

#[test]
fn overload_at_two_proxies_leaves_no_backend_with_a_lasting_backlog() {
    for seed in 1..4 {
        let (mut simulation, backends) = two_proxies(12, seed, 1.0);
        // The threshold is the work of five requests of 24 ms, one executing and four waiting. The
        // least tolerant backends become slow after 1.5 s above it.
        simulation.backlog_threshold = 5 * 24 * MS;
        simulation.run(5 * SECOND, 1.4 * capacity(1.0) * 12.0);
        assert!(
            simulation.longest_above_threshold < 1_500 * MS,
            "a backlog was above the threshold for {} ms",
            simulation.longest_above_threshold / MS
        );
        // One proxy stops, and the other one gets the requests of its clients. Later the stopped
        // proxy restarts with its cached list.
        simulation.stopped_proxy = Some(1);
        simulation.run(2 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let in_time_with_one = simulation.fraction_in_time(START + 6 * SECOND);
        simulation.restart(1, &backends);
        simulation.stopped_proxy = None;
        simulation.run(4 * SECOND, 0.8 * capacity(1.0) * 12.0);
        let in_time_after_restart = simulation.fraction_in_time(START + 8 * SECOND);
        assert!(
            simulation.longest_above_threshold < 1_500 * MS,
            "a backlog was above the threshold for {} ms",
            simulation.longest_above_threshold / MS
        );
        assert!(
            in_time_with_one > 0.85 && in_time_after_restart > 0.85,
            "seed {seed}: in time {in_time_with_one:.3} with one proxy, {in_time_after_restart:.3} with both"
        );
    }
}

#[test]
fn under_one_percent_of_requests_wait_while_a_backend_is_idle() {
    // The mean work is 50 us, 5 ms or 1 s, and latency objectives and timeouts are in proportion to
    // it. At a scale of 1, the mean work is 20.3 ms.
    for mean_work_seconds in [50e-6, 5e-3, 1.0] {
        let scale = mean_work_seconds / 0.0203;
        for backend_count in [2, 12, 50] {
            let (mut simulation, _) = two_proxies(backend_count, 1, scale);
            let rate = 0.6 * capacity(scale) * f64::from(backend_count);
            simulation.run((3_000.0 / rate * 1e9) as Nanos, rate);
            let queued_fraction =
                simulation.queued_despite_idle_backend as f64 / simulation.records.len() as f64;
            assert!(
                queued_fraction < 0.01,
                "{queued_fraction:.3} of {} requests wait: {backend_count} backends, {mean_work_seconds} s",
                simulation.records.len()
            );
        }
    }
}
