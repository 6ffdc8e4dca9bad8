//! Ejection of outliers.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn a_backend_that_fails_fast_is_ejected_and_comes_back() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(200, |_| 10 * MS);
    let mut bad = 0;
    for _ in 0..100 {
        let (id, first) = harness.submit(0);
        harness.wait(5 * MS);
        if sends(&first) == [BackendId(1)] {
            bad += 1;
            let second = sends(&harness.end(id, 0, Outcome::Error));
            if !second.is_empty() {
                harness.end(id, 1, Outcome::Success);
            }
        } else {
            harness.end(id, 0, Outcome::Success);
        }
    }
    assert!(bad < 20, "{bad} sends to a backend that only fails");
    harness.wait(10_000 * MS);
    assert!(harness.serve(400, |_| 10 * MS)[&BackendId(1)] > 40);
}

#[test]
fn a_backend_that_fails_now_and_then_is_kept_and_one_that_is_dead_is_not() {
    for (every, kept) in [(3, true), (1, false)] {
        let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
        harness.serve(40, |_| 10 * MS);
        let (mut logs, mut of_one) = (0, 0);
        for _ in 0..3000 {
            let (id, _) = harness.submit(0);
            harness.wait(2 * MS);
            for attempt in 0.. {
                let Some(to) = harness.sent[&id].get(attempt).map(|s| s.0) else {
                    break;
                };
                of_one += usize::from(to == BackendId(1));
                let fails = to == BackendId(1) && of_one % every == 0;
                let actions = harness.end(
                    id,
                    attempt,
                    if fails {
                        Outcome::Reset
                    } else {
                        Outcome::Success
                    },
                );
                logs += actions
                    .iter()
                    .filter(|a| matches!(a, Action::Log(_)))
                    .count();
            }
        }
        assert!(
            if kept {
                logs == 0 && of_one > 50
            } else {
                of_one < 40
            },
            "{logs} {of_one}: 1 in {every}"
        );
    }
}

#[test]
fn ejection_fails_open() {
    let mut harness = Harness::new(settings(), (1..=2).map(backend).collect());
    for _ in 0..50 {
        let (id, _) = harness.submit(0);
        for attempt in 0.. {
            if harness.sent.get(&id).is_none_or(|s| s.len() <= attempt) {
                break;
            }
            harness.end(id, attempt, Outcome::Reset);
        }
        harness.wait(10 * MS);
    }
    let (_, actions) = harness.submit(0);
    assert_eq!(sends(&actions).len(), 1);
}
