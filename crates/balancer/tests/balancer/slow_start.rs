//! What a backend in slow start is sent.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn many_proxies_together_send_a_backend_in_slow_start_a_part_of_its_share() {
    let nodes = 200;
    let mut sent = 0;
    for seed in 0..nodes {
        let settings = Settings {
            proxy_count: nodes as u32,
            ..settings()
        };
        let starting = Endpoint {
            started_at: Some(START - 1),
            ..backend(1)
        };
        let backends = std::iter::once(starting)
            .chain((2..=20).map(backend))
            .collect();
        let mut harness = Harness::seeded(settings, backends, seed);
        sent += harness
            .trickle(10, |_| 20 * MS)
            .get(&BackendId(1))
            .copied()
            .unwrap_or(0);
    }
    // An even share would be 100; a fifth of the capacity is there.
    assert!(sent < 60, "{sent} sends to a starting backend");
}

#[test]
fn a_backend_in_slow_start_gets_a_part_and_a_warm_one_its_share() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2), backend(3)]);
    harness.serve(300, |_| 10 * MS);
    let restarted = Endpoint {
        started_at: Some(harness.now),
        ..backend(1)
    };
    harness.handle(Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![restarted],
    });
    let starting = harness.serve(200, |_| 10 * MS);
    assert!(
        starting.get(&BackendId(1)).is_none_or(|n| *n < 40),
        "{starting:?}"
    );
    harness.wait(10_000 * MS);
    harness.serve(400, |_| 10 * MS);
    let warm = harness.serve(600, |_| 10 * MS);
    assert!(warm[&BackendId(1)] > 100, "{warm:?}");
}
