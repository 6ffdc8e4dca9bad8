//! Tests of retries, and of attempts that are cancelled as overdue.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn possibly_executed_non_idempotent_request_fails_without_a_retry() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
        harness.serve(40, |_| 10 * MS);
        let (id, _) = harness.submit(3);
        let actions = harness.end_attempt(id, 0, outcome);
        assert!(
            has_failure(&actions) && attempted_backends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn unexecuted_non_idempotent_request_is_retried_at_another_backend() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
    let (id, first_actions) = harness.submit(3);
    let retry_backends = attempted_backends(&harness.end_attempt(id, 0, Outcome::ConnectFailed));
    assert_eq!(retry_backends.len(), 1);
    assert_ne!(attempted_backends(&first_actions), retry_backends);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_cell_only() {
    let mut harness = Harness::new(settings(), (1..=6).map(backend).collect());
    harness.serve(100, |_| 10 * MS);
    for _ in 0..20 {
        let (id, first_actions) = harness.submit(2);
        let retry_backends = attempted_backends(&harness.end_attempt(id, 0, Outcome::Error));
        for backend_id in &retry_backends {
            assert_eq!(
                backend_id.0 % 2,
                attempted_backends(&first_actions)[0].0 % 2
            );
        }
        for attempt in 1..=retry_backends.len() {
            harness.end_attempt(id, attempt, Outcome::Success);
        }
        harness.serve(10, |_| 10 * MS);
    }
}

#[test]
fn overdue_attempt_is_cancelled_only_if_its_request_may_be_retried() {
    for (class, may_retry) in [(0, true), (2, true), (3, false)] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 10 * MS);
        let (id, _) = harness.submit(class);
        let actions_until_90_ms = harness.wait(90 * MS);
        let actions_until_110_ms = harness.wait(20 * MS);
        let cancellation = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        assert!(!actions_until_90_ms.contains(&cancellation));
        assert_eq!(actions_until_110_ms.contains(&cancellation), may_retry);
        assert_eq!(
            attempted_backends(&harness.end_attempt(id, 0, Outcome::Cancelled)).len(),
            usize::from(may_retry)
        );
    }
}

#[test]
fn overdue_check_is_repeated_if_latency_rose_or_the_retry_budget_is_spent() {
    for failing_requests in [60, 0] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 30 * MS);
        for _ in 0..failing_requests {
            let (id, _) = harness.submit(0);
            harness.wait(10 * MS);
            for attempt in 0..3 {
                if harness.sent[&id].len() > attempt {
                    harness.end_attempt(id, attempt, Outcome::Error);
                }
            }
        }
        let (id, _) = harness.submit(0);
        // The mean latency rises, so the attempt is not overdue yet when the check that was
        // scheduled for it runs.
        let cancellation = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        let mut is_cancelled = false;
        for _ in 0..8 {
            let (other, _) = harness.submit(0);
            is_cancelled |= harness.wait(40 * MS).contains(&cancellation);
            if harness.sent.contains_key(&other) {
                harness.end_attempt(other, 0, Outcome::Success);
            }
        }
        assert!(
            is_cancelled,
            "not cancelled after {failing_requests} failing requests"
        );
    }
}

#[test]
fn attempt_becomes_overdue_between_six_and_nine_times_the_mean_latency() {
    // If work and waits are exponentially distributed, one attempt in 150 takes five times the mean
    // and one in 3,000 eight times. A cancellation between the two affects few attempts that are
    // merely slow.
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(40, |_| 30 * MS);
    let (id, _) = harness.submit(0);
    let cancellation = Action::CancelAttempt {
        request: id,
        attempt: 0,
    };
    assert!(!harness.wait(200 * MS).contains(&cancellation));
    assert!(harness.wait(50 * MS).contains(&cancellation));
}

#[test]
fn bad_requests_neither_eject_a_backend_nor_are_retried() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(40, |_| 10 * MS);
    for _ in 0..200 {
        let (id, _) = harness.submit(2);
        let actions = harness.end_attempt(id, 0, Outcome::BadRequest);
        assert!(
            actions.contains(&Action::Fail { request: id }),
            "{actions:?}"
        );
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::StartAttempt { .. } | Action::Log(_))),
            "{actions:?}"
        );
        harness.wait(10 * MS);
    }
}
