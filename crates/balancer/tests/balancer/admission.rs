//! Which request is admitted first.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;

use crate::support::*;

/// One proxy of three hundred, with a class that can wait and one of more weight that can't, on
/// twenty backends.
fn paced() -> Harness {
    let loose = Class {
        latency_objective: 300 * MS,
        client_timeout: 1000 * MS,
        priority_weight: 3.0,
        ..Class::default()
    };
    let (objective, deadline, effect) = (75 * MS, 150 * MS, Idempotency::NotIdempotent);
    let tight = Class {
        latency_objective: objective,
        client_timeout: deadline,
        priority_weight: 8.0,
        idempotency: effect,
        ..Class::default()
    };
    Harness::new(
        Settings {
            classes: vec![loose, tight],
            proxy_count: 300,
            ..settings()
        },
        (1..=20).map(backend).collect(),
    )
}

/// Asks at the times given, by class, and answers each attempt after what `takes` says of class,
/// backend and time since the start; gives the wait of each request before its first attempt, if it
/// had one.
fn day(
    harness: &mut Harness,
    submissions: &BTreeMap<Nanos, u16>,
    takes: impl Fn(u16, BackendId, Nanos) -> Nanos,
) -> Vec<(u16, Option<Nanos>, BackendId)> {
    let (mut due, mut submitted, mut notified) =
        (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
    for now in 0..2_000 {
        harness.wait(5 * MS);
        for (_, class) in submissions.range(now * 5 * MS..(now + 1) * 5 * MS) {
            let (id, _) = harness.submit(*class);
            submitted.insert(id, (*class, harness.now));
        }
        loop {
            for (id, sent) in &harness.sent {
                if notified.insert(*id) {
                    let (to, at, _) = sent[0];
                    due.insert((at + takes(submitted[id].0, to, at - START), *id));
                }
            }
            let Some((_, id)) = due.first().copied().filter(|(at, _)| *at <= harness.now) else {
                break;
            };
            due.pop_first();
            harness.end(id, 0, Outcome::Success);
        }
    }
    let record = |(id, (class, at)): (RequestId, (u16, Nanos))| {
        let first = harness.sent.get(&id).map(|sent| sent[0]);
        (
            class,
            first.map(|first| first.1 - at),
            first.map_or(BackendId(0), |first| first.0),
        )
    };
    submitted.into_iter().map(record).collect()
}

#[test]
fn a_request_that_can_wait_leaves_an_admission_token_for_one_of_higher_weight_that_cannot() {
    // Forty a second that can wait, more than the answers let through, and five that can't.
    let loose = (0..400).map(|n| (n * 25 * MS, 0));
    let tight = (0..50).map(|n| (n * 197 * MS + MS, 1));
    let records = day(
        &mut paced(),
        &loose.chain(tight).collect(),
        |class, _, _| [220, 60][usize::from(class)] * MS,
    );
    let started = |class| {
        records
            .iter()
            .filter(move |f| f.0 == class && f.1.is_some())
            .count()
    };
    let at_once = records
        .iter()
        .filter(|f| f.0 == 1 && f.1 == Some(0))
        .count();
    assert!(
        started(0) < 300,
        "the admission rate binds: {} of 400 that can wait",
        started(0)
    );
    assert!(
        at_once >= 45,
        "{at_once} of 50 that can't wait start at once, {} at all",
        started(1)
    );
}

#[test]
fn a_request_that_cannot_wait_goes_where_an_answer_has_just_been_fast() {
    // Each backend is held up for a second in two, by others, each at a time of its own.
    let waited = |to: BackendId, at: Nanos| (at / (500 * MS) + u64::from(to.0) * 3) % 4 < 2;
    let submissions = (0..200).map(|n| (n * 49 * MS, 1)).collect();
    let records = day(&mut paced(), &submissions, |_, to, at| {
        if waited(to, at) { 60 * MS } else { 20 * MS }
    });
    let lost = records
        .iter()
        .zip(submissions.keys())
        .filter(|(f, at)| f.1.is_none_or(|w| waited(f.2, *at + w)))
        .count();
    assert!(
        lost < 70,
        "{lost} of 200 went to backends that were held up"
    );
}

#[test]
fn in_an_overload_requests_wait_at_the_proxy_and_the_weightiest_go_first() {
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let cheap: Vec<RequestId> = (0..5).map(|_| harness.submit(0).0).collect();
    let (dear, actions) = harness.submit(4);
    assert!(sends(&actions).is_empty());
    harness.wait(10 * MS);
    harness.end(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&dear));
    assert!(cheap.iter().any(|id| !harness.sent.contains_key(id)));
}

#[test]
fn in_an_overload_the_newest_of_equals_goes_first_whatever_its_id() {
    for ids in [[901, 902, 903], [903, 901, 902]] {
        let mut harness = Harness::new(settings(), vec![backend(1)]);
        let (first, _) = harness.submit(0);
        for id in ids {
            harness.handle(request(id, 0));
        }
        harness.wait(10 * MS);
        harness.end(first, 0, Outcome::Success);
        let served: Vec<u32> = ids
            .into_iter()
            .filter(|id| harness.sent.contains_key(&RequestId(*id)))
            .collect();
        assert_eq!(served, [ids[2]]);
    }
}

#[test]
fn a_marked_client_retry_waits_behind_first_attempts() {
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let Event::Request(marked) = request(900, 0) else {
        unreachable!()
    };
    harness.handle(Event::Request(Request {
        client_retry: true,
        ..marked
    }));
    let (fresh, _) = harness.submit(0);
    harness.wait(10 * MS);
    harness.end(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&fresh));
    assert!(!harness.sent.contains_key(&RequestId(900)));
}

#[test]
fn a_client_retry_is_recognised_by_the_client_timeout_that_is_left() {
    let repeat = |id, left| {
        let Event::Request(request) = request(id, 0) else {
            unreachable!()
        };
        Event::Request(Request {
            client_timeout: left * MS,
            ..request
        })
    };
    // 350 of the 400 ms of its objective have passed: its attempt is not waited for any longer than
    // the rest.
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    harness.serve(20, |_| 10 * MS);
    let actions = harness.handle(repeat(900, 650));
    let by = harness.now + 50 * MS;
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::StartAttempt { abandon_at, .. } if *abandon_at == by)),
        "{actions:?}"
    );
    // Past its objective: the first attempt goes before it, though it came earlier.
    let mut harness = Harness::new(settings(), vec![backend(1)]);
    let (first, _) = harness.submit(0);
    let (fresh, _) = harness.submit(0);
    harness.handle(repeat(901, 300));
    harness.wait(10 * MS);
    harness.end(first, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&fresh) && !harness.sent.contains_key(&RequestId(901)));
    // It is served all the same once nothing better waits.
    harness.end(fresh, 0, Outcome::Success);
    assert!(harness.sent.contains_key(&RequestId(901)));
}
