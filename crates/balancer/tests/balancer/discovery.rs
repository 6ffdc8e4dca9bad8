//! Tests of endpoint list updates, draining backends and failed polls.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn draining_backend_gets_no_new_attempts() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    harness.handle(Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    });
    assert_eq!(
        harness.serve(100, |_| 10 * MS).keys().collect::<Vec<_>>(),
        [&BackendId(2)]
    );
}

#[test]
fn idle_connections_close_when_draining_starts_and_after_an_attempt_ends() {
    let closes_idle = |actions: &[Action]| {
        actions.contains(&Action::CloseIdleConnections {
            backend: BackendId(1),
        })
    };
    let mut settings = settings();
    settings.rules.drain_close_within = Some(100 * MS);
    let mut harness = Harness::new(settings.clone(), vec![backend(1)]);
    let (id, _) = harness.submit(0);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    let update = Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    };
    assert!(closes_idle(&harness.handle(update.clone())));
    assert!(
        !closes_idle(&harness.handle(update.clone())),
        "a repeated update must not close the idle connections again"
    );
    harness.wait(200 * MS);
    assert!(closes_idle(&harness.end_attempt(id, 0, Outcome::Success)));
    assert!(
        closes_idle(&harness.wait(100 * MS)),
        "a second close must follow, for connections that were busy at the first one"
    );
    settings.rules.drain_close_within = None;
    let mut harness = Harness::new(settings, vec![backend(1)]);
    assert!(!closes_idle(&harness.handle(update)));
}

#[test]
fn a_failed_poll_keeps_the_endpoint_list_and_is_repeated() {
    let mut harness = Harness::new(
        Settings {
            poll_endpoints: true,
            ..settings()
        },
        vec![backend(1)],
    );
    harness.handle(Event::DiscoveryFailed);
    let (_, actions) = harness.submit(0);
    assert_eq!(attempted_backends(&actions), [BackendId(1)]);
    assert!(
        harness
            .wait(5_000 * MS)
            .contains(&Action::WatchEndpoints(true))
    );
}

#[test]
fn each_poll_follows_within_one_and_a_half_seconds_of_a_failed_one() {
    // A proxy counts as notified of a change 6 s after discovery has the change and is reachable.
    // Two waits of at most 1.5 s leave 3 s for a poll that is rejected only after it has waited.
    for poll_interval in [2 * SECOND, 10 * SECOND, 60 * SECOND] {
        for seed in 0..40 {
            let mut settings = Settings {
                poll_endpoints: true,
                ..settings()
            };
            settings.rules.poll_interval = poll_interval;
            let mut harness = Harness::with_seed(settings, vec![backend(1)], seed);
            for failure_index in 0..8 {
                harness.handle(Event::DiscoveryFailed);
                let failed_at = harness.now;
                while !harness
                    .wait(50 * MS)
                    .contains(&Action::WatchEndpoints(true))
                {
                    let waited = harness.now - failed_at;
                    assert!(
                        waited <= 3 * SECOND / 2,
                        "interval {poll_interval}, seed {seed}, failure {failure_index}: waited {waited} ns"
                    );
                }
            }
        }
    }
}
