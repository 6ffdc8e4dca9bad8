//! The endpoint list, drains, and polls that fail.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn nothing_new_goes_to_a_draining_backend() {
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
fn idle_connections_close_at_the_notice_of_a_drain_and_after_each_outcome() {
    let close = |actions: &[Action]| {
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
    let notified = Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    };
    assert!(close(&harness.handle(notified.clone())));
    assert!(
        !close(&harness.handle(notified.clone())),
        "notified again, with nothing new to close"
    );
    harness.wait(200 * MS);
    assert!(close(&harness.end(id, 0, Outcome::Success)));
    assert!(
        close(&harness.wait(100 * MS)),
        "once more, for a connection that was not idle yet"
    );
    settings.rules.drain_close_within = None;
    let mut harness = Harness::new(settings, vec![backend(1)]);
    assert!(!close(&harness.handle(notified)));
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
    assert_eq!(sends(&actions), [BackendId(1)]);
    assert!(
        harness
            .wait(5_000 * MS)
            .contains(&Action::WatchEndpoints(true))
    );
}

#[test]
fn however_often_polls_fail_the_next_one_is_answered_within_six_seconds_of_the_last() {
    // A change counts as notified 6 s after discovery had it and could be reached; of these, 2 s
    // are for the call itself.
    for poll_interval in [2 * SECOND, 10 * SECOND, 60 * SECOND] {
        for seed in 0..40 {
            let mut asking = Settings {
                poll_endpoints: true,
                ..settings()
            };
            asking.rules.poll_interval = poll_interval;
            let mut harness = Harness::seeded(asking, vec![backend(1)], seed);
            for failure in 0..8 {
                harness.handle(Event::DiscoveryFailed);
                let before = harness.now;
                while !harness
                    .wait(50 * MS)
                    .contains(&Action::WatchEndpoints(true))
                {
                    let waited = harness.now - before;
                    assert!(
                        waited <= 4 * SECOND,
                        "{poll_interval}, seed {seed}, failure {failure}: {waited}"
                    );
                }
            }
        }
    }
}
