//! Retries, and attempts that are cancelled as lost.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
        feed.serve(40, |_| 10 * MS);
        let (id, _) = feed.ask(3);
        let actions = feed.end(id, 0, outcome);
        assert!(
            failed(&actions) && sends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
    let (id, first) = feed.ask(3);
    let second = sends(&feed.end(id, 0, Outcome::ConnectFailed));
    assert_eq!(second.len(), 1);
    assert_ne!(sends(&first), second);
}

#[test]
fn a_keyed_request_is_repeated_within_its_cell_only() {
    let mut feed = Feed::new(settings(), (1..=6).map(backend).collect());
    feed.serve(100, |_| 10 * MS);
    for _ in 0..20 {
        let (id, first) = feed.ask(2);
        let second = sends(&feed.end(id, 0, Outcome::Error));
        for b in &second {
            assert_eq!(b.0 % 2, sends(&first)[0].0 % 2);
        }
        for attempt in 1..=second.len() {
            feed.end(id, attempt, Outcome::Success);
        }
        feed.serve(10, |_| 10 * MS);
    }
}

#[test]
fn an_attempt_that_looks_lost_is_called_off_and_goes_out_anew() {
    for (class, again) in [(0, true), (2, true), (3, false)] {
        let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
        feed.serve(40, |_| 10 * MS);
        let (id, _) = feed.ask(class);
        let early = feed.wait(90 * MS);
        let late = feed.wait(20 * MS);
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        assert!(!early.contains(&off));
        assert_eq!(late.contains(&off), again);
        assert_eq!(
            sends(&feed.end(id, 0, Outcome::Cancelled)).len(),
            usize::from(again)
        );
    }
}

#[test]
fn an_attempt_is_called_off_though_others_take_longer_meanwhile_or_the_storm_limit_is_reached() {
    for retries in [60, 0] {
        let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
        feed.serve(40, |_| 30 * MS);
        for _ in 0..retries {
            let (id, _) = feed.ask(0);
            feed.wait(10 * MS);
            for attempt in 0..3 {
                if feed.sent[&id].len() > attempt {
                    feed.end(id, attempt, Outcome::Error);
                }
            }
        }
        let (id, _) = feed.ask(0);
        // The usual latency rises, so that it is not overdue at the moment which was set for it.
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        let mut called_off = false;
        for _ in 0..8 {
            let (other, _) = feed.ask(0);
            called_off |= feed.wait(40 * MS).contains(&off);
            if feed.sent.contains_key(&other) {
                feed.end(other, 0, Outcome::Success);
            }
        }
        assert!(called_off, "with {retries} retries before");
    }
}

#[test]
fn an_attempt_that_takes_six_times_as_long_as_others_is_not_lost_yet() {
    // Where work and waits are exponential one in 150 takes five times the mean, one in 3,000 eight
    // times.
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(40, |_| 30 * MS);
    let (id, _) = feed.ask(0);
    let off = Action::CancelAttempt {
        request: id,
        attempt: 0,
    };
    assert!(!feed.wait(200 * MS).contains(&off));
    assert!(feed.wait(50 * MS).contains(&off));
}

#[test]
fn faulty_requests_neither_eject_a_backend_nor_go_out_again() {
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(40, |_| 10 * MS);
    for _ in 0..200 {
        let (id, _) = feed.ask(2);
        let actions = feed.end(id, 0, Outcome::BadRequest);
        assert!(
            actions.contains(&Action::Fail { request: id }),
            "{actions:?}"
        );
        assert!(
            !actions
                .iter()
                .any(|a| matches!(a, Action::StartAttempt { .. } | Action::Log(_))),
            "{actions:?}"
        );
        feed.wait(10 * MS);
    }
}
