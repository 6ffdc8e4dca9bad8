//! The endpoint list, drains, and polls that fail.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn nothing_new_goes_to_a_draining_backend() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    feed.give(Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    });
    assert_eq!(
        feed.serve(100, |_| 10 * MS).keys().collect::<Vec<_>>(),
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
    let mut feed = Feed::new(settings.clone(), vec![backend(1)]);
    let (id, _) = feed.ask(0);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    let told = Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    };
    assert!(close(&feed.give(told.clone())));
    assert!(
        !close(&feed.give(told.clone())),
        "told again, with nothing new to close"
    );
    feed.wait(200 * MS);
    assert!(close(&feed.end(id, 0, Outcome::Success)));
    assert!(
        close(&feed.wait(100 * MS)),
        "once more, for a connection that was not idle yet"
    );
    settings.rules.drain_close_within = None;
    let mut feed = Feed::new(settings, vec![backend(1)]);
    assert!(!close(&feed.give(told)));
}

#[test]
fn a_failed_call_keeps_the_fleet_and_is_repeated() {
    let mut feed = Feed::new(
        Settings {
            poll_endpoints: true,
            ..settings()
        },
        vec![backend(1)],
    );
    feed.give(Event::DiscoveryFailed);
    let (_, actions) = feed.ask(0);
    assert_eq!(sends(&actions), [BackendId(1)]);
    assert!(
        feed.wait(5_000 * MS)
            .contains(&Action::WatchEndpoints(true))
    );
}

#[test]
fn however_often_calls_fail_the_next_one_is_answered_within_six_seconds_of_the_last() {
    // A change counts as told 6 s after the list service had it and could be reached; of these, 2 s
    // are for the call itself.
    for poll_interval in [2 * SECOND, 10 * SECOND, 60 * SECOND] {
        for seed in 0..40 {
            let mut asking = Settings {
                poll_endpoints: true,
                ..settings()
            };
            asking.rules.poll_interval = poll_interval;
            let mut feed = Feed::seeded(asking, vec![backend(1)], seed);
            for failure in 0..8 {
                feed.give(Event::DiscoveryFailed);
                let before = feed.now;
                while !feed.wait(50 * MS).contains(&Action::WatchEndpoints(true)) {
                    let waited = feed.now - before;
                    assert!(
                        waited <= 4 * SECOND,
                        "{poll_interval}, seed {seed}, failure {failure}: {waited}"
                    );
                }
            }
        }
    }
}
