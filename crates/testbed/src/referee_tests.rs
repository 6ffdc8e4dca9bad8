//! Unit tests of `referee`.

use super::*;
use kitefork_standin::clients::ClientRequest;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn rules() -> Rules {
    Rules {
        slack: MS(70),
        grace: MS(300),
        window: MS(3_000),
        multiple: 3.0,
        fall: MS(2_000),
        slow_start_from: 0.3,
        slow_start: MS(4_000),
        work: MS(10),
    }
}

fn asked(idempotency: Idempotency, answer: ClientOutcome, ended: u64) -> RequestRecord {
    let (txn, class, planned, client_timeout) = ("t1".into(), "c".into(), MS(1_000), MS(500));
    RequestRecord {
        request: ClientRequest {
            txn,
            class,
            idempotency,
            planned,
            client_timeout,
        },
        node: 3,
        ended: MS(ended),
        answer,
    }
}

fn attempt(uid: &str, cell: u16, arrived: u64, ended: u64, end: AttemptOutcome) -> Attempt {
    let (txn, uid, key) = ("t1".to_string(), uid.to_string(), None);
    Attempt {
        txn,
        key,
        uid,
        cell,
        told: None,
        arrived: MS(arrived),
        ended: MS(ended),
        end,
    }
}

fn served() -> ClientOutcome {
    ClientOutcome::Answered(200, "a:t1".into())
}

fn found(asked: RequestRecord, attempts: Vec<Attempt>) -> Vec<&'static str> {
    let records = Records {
        asked: vec![asked],
        attempts,
        ..Records::default()
    };
    judge(&rules(), &records)
        .into_iter()
        .map(|broken| broken.rule)
        .collect()
}

#[test]
fn every_planted_violation_is_found_and_nothing_else() {
    use AttemptOutcome::*;
    use Idempotency::*;
    let one = || vec![attempt("a", 1, 1_010, 1_100, Served)];
    let two = |end, cell, arrived| {
        vec![
            attempt("b", 2, 1_010, 1_300, end),
            attempt("a", cell, arrived, arrived + 9, Served),
        ]
    };
    let refused = || ClientOutcome::Answered(503, "refused".into());
    for (idempotency, answer, ended, attempts, wanted) in [
        (Idempotent, served(), 1_100, one(), vec![]),
        (
            Idempotent,
            served(),
            1_800,
            one(),
            vec!["answered too late"],
        ),
        (
            Idempotent,
            ClientOutcome::TimedOut,
            1_570,
            one(),
            vec!["never answered"],
        ),
        (
            Idempotent,
            ClientOutcome::ConnectionLost,
            1_200,
            vec![],
            vec!["never answered"],
        ),
        (
            Idempotent,
            ClientOutcome::Unreachable,
            1_200,
            vec![],
            vec![],
        ),
        (
            Idempotent,
            served(),
            1_100,
            vec![],
            vec!["served with something that no backend made for it"],
        ),
        (
            Idempotent,
            ClientOutcome::Answered(200, "b:t1".into()),
            1_100,
            one(),
            vec!["served with something that no backend made for it"],
        ),
        (Idempotent, refused(), 1_100, one(), vec![]),
        (
            NotIdempotent,
            refused(),
            1_100,
            one(),
            vec!["refused though it may have run"],
        ),
        (
            IdempotencyKey,
            refused(),
            1_100,
            one(),
            vec!["refused though it may have run"],
        ),
        (
            NotIdempotent,
            refused(),
            1_100,
            vec![attempt("a", 1, 1_010, 1_020, Overloaded)],
            vec![],
        ),
        (
            Idempotent,
            served(),
            1_450,
            two(ConnectionLost, 1, 1_400),
            vec![],
        ),
        (
            Idempotent,
            served(),
            1_450,
            two(ConnectionLost, 1, 1_020),
            vec!["two attempts at a time"],
        ),
        (
            NotIdempotent,
            served(),
            1_450,
            two(Overloaded, 1, 1_400),
            vec![],
        ),
        (
            NotIdempotent,
            served(),
            1_450,
            two(ConnectionLost, 1, 1_400),
            vec!["an unsafe request went out again"],
        ),
        (
            IdempotencyKey,
            served(),
            1_450,
            two(Failed, 2, 1_400),
            vec![],
        ),
        (
            IdempotencyKey,
            served(),
            1_450,
            two(Failed, 1, 1_400),
            vec!["a keyed request left its cell"],
        ),
    ] {
        assert_eq!(
            found(asked(idempotency, answer.clone(), ended), attempts.clone()),
            wanted,
            "{idempotency:?} {answer:?} {attempts:?}"
        );
    }
    let mut late = asked(IdempotencyKey, served(), 4_500);
    late.request.client_timeout = MS(5_000);
    assert_eq!(
        found(late, two(Failed, 2, 4_200)),
        ["a keyed request went out after its window"]
    );
}

#[test]
fn a_killed_or_stopped_node_excuses_what_it_held_and_no_other() {
    let incarnation = |told, ended| Incarnation {
        node: 3,
        started: MS(0),
        listens: Some(MS(1)),
        told,
        ended,
    };
    let judged = |incarnations: Vec<Incarnation>, stopped| {
        let lost = vec![asked(
            Idempotency::Idempotent,
            ClientOutcome::ConnectionLost,
            1_200,
        )];
        let records = Records {
            asked: lost,
            incarnations,
            stopped,
            ..Records::default()
        };
        judge(&rules(), &records)
            .into_iter()
            .map(|b| b.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        judged(
            vec![incarnation(
                Some((MS(1_200), true)),
                Some((MS(1_201), None))
            )],
            vec![]
        ),
        [""; 0]
    );
    assert_eq!(
        judged(
            vec![incarnation(
                Some((MS(2_200), true)),
                Some((MS(2_201), None))
            )],
            vec![]
        ),
        ["never answered"]
    );
    // SIGTERM excuses what came long after it, and only that.
    assert_eq!(
        judged(
            vec![incarnation(
                Some((MS(900), false)),
                Some((MS(1_201), Some(0)))
            )],
            vec![]
        ),
        ["never answered"]
    );
    assert_eq!(
        judged(
            vec![incarnation(
                Some((MS(200), false)),
                Some((MS(1_201), Some(0)))
            )],
            vec![]
        ),
        [""; 0]
    );
    assert_eq!(
        judged(vec![incarnation(None, None)], vec![(3, MS(800), MS(1_100))]),
        [""; 0]
    );
    assert_eq!(
        judged(vec![incarnation(None, None)], vec![(4, MS(800), MS(1_100))]),
        ["never answered"]
    );
    let crashed = judged(
        vec![incarnation(None, Some((MS(5_000), Some(101))))],
        vec![],
    );
    assert_eq!(
        crashed,
        ["never answered", "a node ended by itself or badly"]
    );
    let badly = judged(
        vec![incarnation(
            Some((MS(5_000), false)),
            Some((MS(5_100), Some(1))),
        )],
        vec![],
    );
    assert_eq!(badly, ["never answered", "a node ended by itself or badly"]);
}

#[test]
fn a_send_after_a_told_drain_and_a_crowd_at_a_cold_backend_are_found() {
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = |state| Endpoint {
        uid: "a".into(),
        address,
        zone: "z".into(),
        cell: 1,
        state,
        boot_ms: 0,
    };
    let judged = |at: u64, told: u64, changes: Vec<(u64, Duration, Endpoint)>| {
        let told = vec![Notification {
            node: 3,
            at: MS(told),
            revision: 2,
        }];
        let attempts = vec![attempt("a", 1, at, at + 9, AttemptOutcome::Served)];
        let asked = vec![asked(Idempotency::Idempotent, served(), at + 10)];
        let records = Records {
            asked,
            attempts,
            told,
            changes,
            ..Records::default()
        };
        judge(&rules(), &records)
            .into_iter()
            .map(|b| b.rule)
            .collect::<Vec<_>>()
    };
    let drain = vec![(2, MS(500), entry("Terminating"))];
    assert_eq!(judged(1_100, 900, drain.clone()), [""; 0]);
    assert_eq!(
        judged(1_100, 600, drain.clone()),
        ["sent after a drain was told"]
    );
    let back = [drain, vec![(3, MS(1_000), entry("Ready"))]].concat();
    assert_eq!(judged(1_100, 600, back.clone()), [""; 0]);
    // A second start, or another drain, after the attempt.
    for state in ["Ready", "Terminating"] {
        let again = [back.clone(), vec![(4, MS(5_000), entry(state))]].concat();
        assert_eq!(judged(1_100, 600, again.clone()), [""; 0]);
        assert_eq!(judged(950, 450, again), ["sent after a drain was told"]);
    }
    // Thirty in a hundred of a hundred a second, three times, for two seconds: 180, and some for
    // chance.
    let crowd = |count: u64| {
        let attempts = (0..count).map(|n| {
            attempt(
                "a",
                1,
                1_000 + n * 2_000 / count,
                4_000,
                AttemptOutcome::Served,
            )
        });
        let starts = vec![("a".to_string(), MS(1_000))];
        judge(
            &rules(),
            &Records {
                attempts: attempts.collect(),
                starts,
                ..Records::default()
            },
        )
        .len()
    };
    assert_eq!((crowd(180), crowd(300)), (0, 1));
}
