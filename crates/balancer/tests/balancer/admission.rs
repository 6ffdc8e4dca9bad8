//! Tests of the order in which queued requests are admitted.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;

use crate::support::*;

/// One of 300 proxies in front of twenty backends. Class 0 has a long latency objective and a low
/// weight, class 1 a short latency objective and a high weight.
fn harness_of_one_in_300_proxies() -> Harness {
    let long_objective = Class {
        latency_objective: 300 * MS,
        client_timeout: 1000 * MS,
        priority_weight: 3.0,
        ..Class::default()
    };
    let (latency_objective, client_timeout, idempotency) =
        (75 * MS, 150 * MS, Idempotency::NotIdempotent);
    let short_objective = Class {
        latency_objective,
        client_timeout,
        priority_weight: 8.0,
        idempotency,
        ..Class::default()
    };
    Harness::new(
        Settings {
            classes: vec![long_objective, short_objective],
            proxy_count: 300,
            ..settings()
        },
        (1..=20).map(backend).collect(),
    )
}

/// Runs 10 s in steps of 5 ms. `submissions` has the class of each request by its time since
/// `START`; each first attempt succeeds after `service_time`, which depends on the class, the
/// backend and the time since `START` at which the attempt was sent.
///
/// Returns, for each request, its class, its wait until the first attempt, and the backend of that
/// attempt. A request without an attempt has no wait and backend 0.
fn run_submissions(
    harness: &mut Harness,
    submissions: &BTreeMap<Nanos, u16>,
    service_time: impl Fn(u16, BackendId, Nanos) -> Nanos,
) -> Vec<(u16, Option<Nanos>, BackendId)> {
    let (mut attempt_ends, mut submitted, mut scheduled) =
        (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
    for step in 0..2_000 {
        harness.wait(5 * MS);
        for (_, class) in submissions.range(step * 5 * MS..(step + 1) * 5 * MS) {
            let (id, _) = harness.submit(*class);
            submitted.insert(id, (*class, harness.now));
        }
        loop {
            for (id, sent) in &harness.sent {
                if scheduled.insert(*id) {
                    let (backend_id, sent_at, _) = sent[0];
                    attempt_ends.insert((
                        sent_at + service_time(submitted[id].0, backend_id, sent_at - START),
                        *id,
                    ));
                }
            }
            let Some((_, id)) = attempt_ends
                .first()
                .copied()
                .filter(|(end_at, _)| *end_at <= harness.now)
            else {
                break;
            };
            attempt_ends.pop_first();
            harness.end_attempt(id, 0, Outcome::Success);
        }
    }
    let record = |(id, (class, submitted_at)): (RequestId, (u16, Nanos))| {
        let first = harness.sent.get(&id).map(|sent| sent[0]);
        (
            class,
            first.map(|first| first.1 - submitted_at),
            first.map_or(BackendId(0), |first| first.0),
        )
    };
    submitted.into_iter().map(record).collect()
}

#[test]
fn low_weight_requests_leave_the_reserved_tokens_to_high_weight_ones() {
    // Each second, 40 requests of low weight arrive, which is more than the admission rate permits,
    // and five requests of high weight.
    let low_weight = (0..400).map(|n| (n * 25 * MS, 0));
    let high_weight = (0..50).map(|n| (n * 197 * MS + MS, 1));
    let records = run_submissions(
        &mut harness_of_one_in_300_proxies(),
        &low_weight.chain(high_weight).collect(),
        |class, _, _| [220, 60][usize::from(class)] * MS,
    );
    let started = |class| {
        records
            .iter()
            .filter(move |record| record.0 == class && record.1.is_some())
            .count()
    };
    let started_at_once = records
        .iter()
        .filter(|record| record.0 == 1 && record.1 == Some(0))
        .count();
    assert!(
        started(0) < 300,
        "the admission rate must hold back low-weight requests: {} of 400 were started",
        started(0)
    );
    assert!(
        started_at_once >= 45,
        "{started_at_once} of 50 high-weight requests were started at once, {} in total",
        started(1)
    );
}

#[test]
fn high_weight_requests_go_to_idle_backends_that_were_fast_recently() {
    // Load from elsewhere slows down each backend for 1 s in every 2 s; the backends are in four
    // different phases.
    let is_slow =
        |backend_id: BackendId, at: Nanos| (at / (500 * MS) + u64::from(backend_id.0) * 3) % 4 < 2;
    let submissions = (0..200).map(|n| (n * 49 * MS, 1)).collect();
    let records = run_submissions(
        &mut harness_of_one_in_300_proxies(),
        &submissions,
        |_, backend_id, at| {
            if is_slow(backend_id, at) {
                60 * MS
            } else {
                20 * MS
            }
        },
    );
    let missed = records
        .iter()
        .zip(submissions.keys())
        .filter(|(record, at)| record.1.is_none_or(|wait| is_slow(record.2, *at + wait)))
        .count();
    assert!(
        missed < 70,
        "{missed} of 200 requests were not sent, or were sent to a slow backend"
    );
}

#[test]
fn queued_requests_of_the_highest_weight_are_admitted_first() {
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let low_weight: Vec<RequestId> = (0..5).map(|_| harness.submit(0).0).collect();
    let (high_weight, actions) = harness.submit(4);
    assert!(attempted_backends(&actions).is_empty());
    harness.wait(10 * MS);
    harness.end_attempt(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&high_weight));
    assert!(low_weight.iter().any(|id| !harness.sent.contains_key(id)));
}

#[test]
fn newest_of_equal_queued_requests_is_admitted_first_whatever_its_id() {
    for ids in [[901, 902, 903], [903, 901, 902]] {
        let mut harness = Harness::new(settings(), vec![backend(1)]);
        let (first, _) = harness.submit(0);
        for id in ids {
            harness.handle(request(id, 0));
        }
        harness.wait(10 * MS);
        harness.end_attempt(first, 0, Outcome::Success);
        let started: Vec<u32> = ids
            .into_iter()
            .filter(|id| harness.sent.contains_key(&RequestId(*id)))
            .collect();
        assert_eq!(started, [ids[2]]);
    }
}

#[test]
fn marked_client_retry_is_admitted_after_a_first_try() {
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let Event::Request(retry) = request(900, 0) else {
        unreachable!()
    };
    harness.handle(Event::Request(Request {
        client_retry: true,
        ..retry
    }));
    let (first_try, _) = harness.submit(0);
    harness.wait(10 * MS);
    harness.end_attempt(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&first_try));
    assert!(!harness.sent.contains_key(&RequestId(900)));
}

#[test]
fn client_retry_is_recognised_by_its_remaining_client_timeout() {
    let retry = |id, remaining_ms| {
        let Event::Request(request) = request(id, 0) else {
            unreachable!()
        };
        Event::Request(Request {
            client_timeout: remaining_ms * MS,
            ..request
        })
    };
    // 350 of the 400 ms of the latency objective have passed, so the attempt is abandoned after the
    // remaining 50 ms.
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    harness.serve(20, |_| 10 * MS);
    let actions = harness.handle(retry(900, 650));
    let expected_abandon_at = harness.now + 50 * MS;
    assert!(
        actions.iter().any(|action| matches!(
            action,
            Action::StartAttempt { abandon_at, .. } if *abandon_at == expected_abandon_at
        )),
        "{actions:?}"
    );
    // The latency objective of the retry has passed, so the first try is admitted before it,
    // although the newest of equal requests is otherwise admitted first.
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let (first_try, _) = harness.submit(0);
    harness.handle(retry(901, 300));
    harness.wait(10 * MS);
    harness.end_attempt(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&first_try) && !harness.sent.contains_key(&RequestId(901)));
    // The retry is still admitted once no other request is queued.
    harness.end_attempt(first_try, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&RequestId(901)));
}
