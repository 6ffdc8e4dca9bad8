//! Tests of the attempts that a backend in slow start gets.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn many_proxies_together_send_less_than_an_equal_share_to_a_backend_in_slow_start() {
    let proxy_count = 200;
    let mut sent = 0;
    for seed in 0..proxy_count {
        let settings = Settings {
            proxy_count: proxy_count as u32,
            ..settings()
        };
        let in_slow_start = Endpoint {
            started_at: Some(START - 1),
            ..backend(1)
        };
        let backends = std::iter::once(in_slow_start)
            .chain((2..=20).map(backend))
            .collect();
        let mut harness = Harness::with_seed(settings, backends, seed);
        sent += harness
            .serve_at_low_rate(10, |_| 20 * MS)
            .get(&BackendId(1))
            .copied()
            .unwrap_or(0);
    }
    // An equal share would be 100 attempts; the backend starts with a fifth of its capacity.
    assert!(sent < 60, "{sent} attempts at a backend in slow start");
}

#[test]
fn backend_gets_fewer_requests_until_its_slow_start_is_over() {
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
    let counts_in_slow_start = harness.serve(200, |_| 10 * MS);
    assert!(
        counts_in_slow_start
            .get(&BackendId(1))
            .is_none_or(|count| *count < 40),
        "{counts_in_slow_start:?}"
    );
    harness.wait(10_000 * MS);
    harness.serve(400, |_| 10 * MS);
    let counts_afterwards = harness.serve(600, |_| 10 * MS);
    assert!(
        counts_afterwards[&BackendId(1)] > 100,
        "{counts_afterwards:?}"
    );
}
