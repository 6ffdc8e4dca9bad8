//! Retries, and attempts that are cancelled as lost.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn a_request_that_is_not_idempotent_and_may_have_executed_is_neither_retried_nor_rejected() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
        harness.serve(40, |_| 10 * MS);
        let (id, _) = harness.submit(3);
        let actions = harness.end(id, 0, outcome);
        assert!(
            failed(&actions) && sends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn a_request_that_is_not_idempotent_and_was_not_executed_goes_elsewhere() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
    let (id, first) = harness.submit(3);
    let second = sends(&harness.end(id, 0, Outcome::ConnectFailed));
    assert_eq!(second.len(), 1);
    assert_ne!(sends(&first), second);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_cell_only() {
    let mut harness = Harness::new(settings(), (1..=6).map(backend).collect());
    harness.serve(100, |_| 10 * MS);
    for _ in 0..20 {
        let (id, first) = harness.submit(2);
        let second = sends(&harness.end(id, 0, Outcome::Error));
        for b in &second {
            assert_eq!(b.0 % 2, sends(&first)[0].0 % 2);
        }
        for attempt in 1..=second.len() {
            harness.end(id, attempt, Outcome::Success);
        }
        harness.serve(10, |_| 10 * MS);
    }
}

#[test]
fn an_overdue_attempt_is_cancelled_and_retried() {
    for (class, again) in [(0, true), (2, true), (3, false)] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 10 * MS);
        let (id, _) = harness.submit(class);
        let early = harness.wait(90 * MS);
        let late = harness.wait(20 * MS);
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        assert!(!early.contains(&off));
        assert_eq!(late.contains(&off), again);
        assert_eq!(
            sends(&harness.end(id, 0, Outcome::Cancelled)).len(),
            usize::from(again)
        );
    }
}

#[test]
fn an_overdue_attempt_is_cancelled_though_others_take_longer_or_the_retry_budget_is_spent() {
    for retries in [60, 0] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 30 * MS);
        for _ in 0..retries {
            let (id, _) = harness.submit(0);
            harness.wait(10 * MS);
            for attempt in 0..3 {
                if harness.sent[&id].len() > attempt {
                    harness.end(id, attempt, Outcome::Error);
                }
            }
        }
        let (id, _) = harness.submit(0);
        // The usual latency rises, so that it is not overdue at the moment which was set for it.
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        let mut called_off = false;
        for _ in 0..8 {
            let (other, _) = harness.submit(0);
            called_off |= harness.wait(40 * MS).contains(&off);
            if harness.sent.contains_key(&other) {
                harness.end(other, 0, Outcome::Success);
            }
        }
        assert!(called_off, "with {retries} retries before");
    }
}

#[test]
fn an_attempt_that_takes_six_times_as_long_as_others_is_not_overdue_yet() {
    // Where work and waits are exponential one in 150 takes five times the mean, one in 3,000 eight
    // times.
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(40, |_| 30 * MS);
    let (id, _) = harness.submit(0);
    let off = Action::CancelAttempt {
        request: id,
        attempt: 0,
    };
    assert!(!harness.wait(200 * MS).contains(&off));
    assert!(harness.wait(50 * MS).contains(&off));
}

#[test]
fn bad_requests_neither_eject_a_backend_nor_are_retried() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(40, |_| 10 * MS);
    for _ in 0..200 {
        let (id, _) = harness.submit(2);
        let actions = harness.end(id, 0, Outcome::BadRequest);
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
        harness.wait(10 * MS);
    }
}
