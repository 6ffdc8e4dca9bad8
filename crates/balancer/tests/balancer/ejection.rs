//! Tests of outlier ejection.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn fast_failing_backend_is_ejected_and_used_again_later() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(200, |_| 10 * MS);
    let mut failed_attempts = 0;
    for _ in 0..100 {
        let (id, actions) = harness.submit(0);
        harness.wait(5 * MS);
        if attempted_backends(&actions) == [BackendId(1)] {
            failed_attempts += 1;
            let retry_backends = attempted_backends(&harness.end_attempt(id, 0, Outcome::Error));
            if !retry_backends.is_empty() {
                harness.end_attempt(id, 1, Outcome::Success);
            }
        } else {
            harness.end_attempt(id, 0, Outcome::Success);
        }
    }
    assert!(
        failed_attempts < 20,
        "{failed_attempts} attempts at a backend that always fails"
    );
    harness.wait(10_000 * MS);
    assert!(harness.serve(400, |_| 10 * MS)[&BackendId(1)] > 40);
}

#[test]
fn occasionally_failing_backend_is_kept_and_a_dead_one_is_ejected() {
    for (failure_interval, is_kept) in [(3, true), (1, false)] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 10 * MS);
        let (mut log_events, mut attempts_at_faulty) = (0, 0);
        for _ in 0..3000 {
            let (id, _) = harness.submit(0);
            harness.wait(2 * MS);
            for attempt in 0.. {
                let Some(backend_id) = harness.sent[&id].get(attempt).map(|sent| sent.0) else {
                    break;
                };
                attempts_at_faulty += usize::from(backend_id == BackendId(1));
                let fails =
                    backend_id == BackendId(1) && attempts_at_faulty % failure_interval == 0;
                let actions = harness.end_attempt(
                    id,
                    attempt,
                    if fails {
                        Outcome::Reset
                    } else {
                        Outcome::Success
                    },
                );
                log_events += actions
                    .iter()
                    .filter(|action| matches!(action, Action::Log(_)))
                    .count();
            }
        }
        assert!(
            if is_kept {
                log_events == 0 && attempts_at_faulty > 50
            } else {
                attempts_at_faulty < 40
            },
            "1 in {failure_interval} fails: {log_events} log events, {attempts_at_faulty} attempts"
        );
    }
}

#[test]
fn a_new_request_is_still_sent_to_a_backend_after_all_backends_have_failed() {
    let mut harness = Harness::new(settings(), (1..=2).map(backend).collect());
    for _ in 0..50 {
        let (id, _) = harness.submit(0);
        for attempt in 0.. {
            if harness
                .sent
                .get(&id)
                .is_none_or(|sent| sent.len() <= attempt)
            {
                break;
            }
            harness.end_attempt(id, attempt, Outcome::Reset);
        }
        harness.wait(10 * MS);
    }
    let (_, actions) = harness.submit(0);
    assert_eq!(attempted_backends(&actions).len(), 1);
}
