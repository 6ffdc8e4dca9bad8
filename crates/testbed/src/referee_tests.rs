//! Unit tests of `referee`: records with a violation of a rule yield exactly that violation.

use super::*;
use kitefork_standin::backend::AttemptOutcome::{self, ConnectionLost, Failed, Overloaded, Served};
use kitefork_standin::clients::ClientOutcome;
use kitefork_standin::clients::ClientRequest;
use kitefork_standin::clients::Idempotency::{self, IdempotencyKey, Idempotent, NotIdempotent};
use kitefork_standin::discovery::{Endpoint, EndpointState};
use kitefork_standin::misbehaving::{Behaviour, MisbehavingRequest};
use kitefork_standin::request_body::RequestBody;

use crate::node::{Exit, StopSignal};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn rules() -> Rules {
    Rules {
        answer_slack: MS(70),
        drain_grace: MS(300),
        key_window: MS(3_000),
        overload_multiple: 3.0,
        overload_duration: MS(2_000),
        slow_start_initial_speed: 0.3,
        slow_start_duration: MS(4_000),
        mean_execution_time: MS(10),
    }
}

/// A request at node 3, planned for 1,000 ms, whose client waits 500 ms.
fn record(idempotency: Idempotency, outcome: ClientOutcome, ended: u64) -> RequestRecord {
    RequestRecord {
        request: ClientRequest {
            txn: "t1".into(),
            class: "c".into(),
            idempotency,
            planned: MS(1_000),
            client_timeout: MS(500),
            body: RequestBody::SHORT,
        },
        node: 3,
        ended: MS(ended),
        outcome,
    }
}

fn attempt(uid: &str, cell: u16, arrived: u64, ended: u64, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        txn: "t1".into(),
        key: None,
        uid: uid.into(),
        cell,
        remaining_time: None,
        has_changed_body: false,
        arrived: MS(arrived),
        ended: MS(ended),
        outcome,
    }
}

fn answered(status: u16, body: &str) -> ClientOutcome {
    ClientOutcome::Answered {
        status,
        body: body.into(),
    }
}

fn served() -> ClientOutcome {
    answered(200, "a:t1")
}

fn rejected() -> ClientOutcome {
    answered(503, "refused")
}

fn served_attempt() -> Vec<Attempt> {
    vec![attempt("a", 1, 1_010, 1_100, Served)]
}

/// An attempt in cell 2 with this outcome, and a second attempt in `cell`, which arrives at
/// `arrived` milliseconds and is served.
fn retried(outcome: AttemptOutcome, cell: u16, arrived: u64) -> Vec<Attempt> {
    vec![
        attempt("b", 2, 1_010, 1_300, outcome),
        attempt("a", cell, arrived, arrived + 9, Served),
    ]
}

fn broken_rules(records: &Records) -> Vec<&'static str> {
    let violations = find_violations(&rules(), records).into_iter();
    violations
        .map(|violation| violation.rule().text())
        .collect()
}

fn rules_broken_by(request: RequestRecord, attempts: Vec<Attempt>) -> Vec<&'static str> {
    broken_rules(&Records {
        requests: vec![request],
        attempts,
        ..Records::default()
    })
}

struct Case {
    idempotency: Idempotency,
    outcome: ClientOutcome,
    ended: u64,
    attempts: Vec<Attempt>,
    expected: &'static [&'static str],
}

fn case(
    idempotency: Idempotency,
    outcome: ClientOutcome,
    ended: u64,
    attempts: Vec<Attempt>,
    expected: &'static [&'static str],
) -> Case {
    Case {
        idempotency,
        outcome,
        ended,
        attempts,
        expected,
    }
}

#[rustfmt::skip]
fn answer_cases() -> Vec<Case> {
    const WRONG_SOURCE: &[&str] = &["answered 200, but no backend served this request with that body"];
    const EXECUTED: &[&str] = &["rejected although it may have been executed"];
    let rejected_attempt = vec![attempt("a", 1, 1_010, 1_020, Overloaded)];
    vec![
        case(Idempotent, served(), 1_100, served_attempt(), &[]),
        case(Idempotent, served(), 1_800, served_attempt(), &["answered too late"]),
        case(Idempotent, ClientOutcome::TimedOut, 1_570, served_attempt(), &["never answered"]),
        case(Idempotent, ClientOutcome::ConnectionLost, 1_200, vec![], &["never answered"]),
        case(Idempotent, ClientOutcome::Unreachable, 1_200, vec![], &[]),
        case(Idempotent, served(), 1_100, vec![], WRONG_SOURCE),
        case(Idempotent, answered(200, "b:t1"), 1_100, served_attempt(), WRONG_SOURCE),
        case(Idempotent, rejected(), 1_100, served_attempt(), &[]),
        case(NotIdempotent, rejected(), 1_100, served_attempt(), EXECUTED),
        case(IdempotencyKey, rejected(), 1_100, served_attempt(), EXECUTED),
        case(NotIdempotent, rejected(), 1_100, rejected_attempt, &[]),
    ]
}

#[rustfmt::skip]
fn repeat_cases() -> Vec<Case> {
    const CONCURRENT: &[&str] = &["two attempts overlapped"];
    const REPEATED: &[&str] = &["a request that is not idempotent was sent again"];
    const LEFT_CELL: &[&str] = &["a request with an idempotency key was sent to another cell"];
    vec![
        case(Idempotent, served(), 1_450, retried(ConnectionLost, 1, 1_400), &[]),
        case(Idempotent, served(), 1_450, retried(ConnectionLost, 1, 1_020), CONCURRENT),
        case(NotIdempotent, served(), 1_450, retried(Overloaded, 1, 1_400), &[]),
        case(NotIdempotent, served(), 1_450, retried(ConnectionLost, 1, 1_400), REPEATED),
        case(IdempotencyKey, served(), 1_450, retried(Failed, 2, 1_400), &[]),
        case(IdempotencyKey, served(), 1_450, retried(Failed, 1, 1_400), LEFT_CELL),
    ]
}

#[test]
fn answers_and_retries_that_break_a_rule_are_reported_and_no_others() {
    for case in answer_cases().into_iter().chain(repeat_cases()) {
        let Case {
            idempotency,
            outcome,
            ended,
            attempts,
            expected,
        } = case;
        assert_eq!(
            rules_broken_by(
                record(idempotency, outcome.clone(), ended),
                attempts.clone()
            ),
            expected,
            "{idempotency:?} {outcome:?} {attempts:?}"
        );
    }
    let mut late = record(IdempotencyKey, served(), 4_500);
    late.request.client_timeout = MS(5_000);
    assert_eq!(
        rules_broken_by(late, retried(Failed, 2, 4_200)),
        ["a request with an idempotency key was sent again after its window"]
    );
}

#[test]
fn longer_remaining_time_than_the_client_has_is_reported_beyond_the_slack() {
    for (remaining, expected) in [
        (790, &[][..]),
        (
            791,
            &["a backend was sent a longer remaining time than the client has"],
        ),
    ] {
        let mut attempts = served_attempt();
        attempts[0].remaining_time = Some(MS(remaining));
        let request = record(Idempotent, served(), 1_100);
        assert_eq!(rules_broken_by(request, attempts), expected, "{remaining}");
    }
}

#[test]
fn body_that_differs_from_the_one_of_the_client_is_reported() {
    let mut attempts = served_attempt();
    attempts[0].has_changed_body = true;
    let request = record(Idempotent, served(), 1_100);
    assert_eq!(
        rules_broken_by(request, attempts),
        ["a backend got another body than the client has sent"]
    );
}

#[test]
fn remaining_time_counts_from_the_start_of_a_cut_that_held_the_attempt_back() {
    const TOO_LONG: &[&str] = &["a backend was sent a longer remaining time than the client has"];
    // The client's timeout is 500 ms from 1,000 ms on, and the slack 300 ms.
    for (uid, from, until, remaining, expected) in [
        ("a", 900, 1_400, 800, &[][..]),
        ("a", 900, 1_400, 801, TOO_LONG),
        ("a", 1_100, 1_400, 700, &[]),
        ("a", 1_100, 1_400, 701, TOO_LONG),
        ("a", 900, 1_249, 401, TOO_LONG),
        ("b", 900, 1_400, 401, TOO_LONG),
    ] {
        let mut attempt = attempt("a", 1, 1_400, 1_450, Served);
        attempt.remaining_time = Some(MS(remaining));
        let cut = BackendCut {
            uid: uid.into(),
            from: MS(from),
            until: MS(until),
        };
        let records = Records {
            requests: vec![record(Idempotent, served(), 1_450)],
            attempts: vec![attempt],
            backend_cuts: vec![cut],
            ..Records::default()
        };
        assert_eq!(broken_rules(&records), expected, "{uid} {from} {remaining}");
    }
}

/// An incarnation of node 3. `stop` has the time of the first signal and whether SIGKILL was sent,
/// `exit` the time of the end and the exit code; times are in milliseconds.
fn incarnation(stop: Option<(u64, bool)>, exit: Option<(u64, Option<i32>)>) -> Incarnation {
    Incarnation {
        node: 3,
        started: MS(0),
        listens: Some(MS(1)),
        stop_signal: stop.map(|(at, is_kill)| StopSignal {
            at: MS(at),
            is_kill,
        }),
        exit: exit.map(|(at, code)| Exit { at: MS(at), code }),
    }
}

/// The rules broken if a client of node 3 loses its connection at 1,200 ms without an answer.
fn rules_broken_by_lost_connection(
    incarnation: Incarnation,
    pauses: Vec<Pause>,
) -> Vec<&'static str> {
    broken_rules(&Records {
        requests: vec![record(Idempotent, ClientOutcome::ConnectionLost, 1_200)],
        incarnations: vec![incarnation],
        pauses,
        ..Records::default()
    })
}

#[test]
fn lost_connection_is_excused_only_by_a_kill_early_sigterm_or_pause_of_its_node() {
    const NEVER_ANSWERED: &[&str] = &["never answered"];
    const BAD_EXIT: &[&str] = &[
        "never answered",
        "a node ended without a signal or with a wrong exit code",
    ];
    for (stop, exit, expected) in [
        (Some((1_200, true)), Some((1_201, None)), &[][..]),
        (Some((2_200, true)), Some((2_201, None)), NEVER_ANSWERED),
        // SIGTERM excuses only requests that were sent long after the signal.
        (Some((900, false)), Some((1_201, Some(0))), NEVER_ANSWERED),
        (Some((200, false)), Some((1_201, Some(0))), &[]),
        (None, Some((5_000, Some(101))), BAD_EXIT),
        (Some((5_000, false)), Some((5_100, Some(1))), BAD_EXIT),
    ] {
        let broken = rules_broken_by_lost_connection(incarnation(stop, exit), vec![]);
        assert_eq!(broken, expected, "{stop:?} {exit:?}");
    }
    for (node, expected) in [(3, &[][..]), (4, NEVER_ANSWERED)] {
        let pause = Pause {
            node,
            from: MS(800),
            until: MS(1_100),
        };
        let broken = rules_broken_by_lost_connection(incarnation(None, None), vec![pause]);
        assert_eq!(broken, expected, "pause of {node}");
    }
}

/// A client that connects to node 3 at 1,000 ms, sends at 1,010 ms, and receives this number of
/// answers.
fn misbehaving(behaviour: Behaviour, answers: usize, ended: Option<u64>) -> MisbehavingRecord {
    MisbehavingRecord {
        request: MisbehavingRequest {
            txn: "t1".into(),
            class: "c".into(),
            has_key: false,
            client_timeout: MS(500),
            behaviour,
        },
        node: 3,
        connected: Some(MS(1_000)),
        sent: MS(1_010),
        disconnected: None,
        ended: ended.map(MS),
        answers,
    }
}

#[test]
fn missing_answers_to_misbehaving_clients_are_reported() {
    const UNANSWERED: &[&str] = &["a request that was read was never answered"];
    const IGNORED: &[&str] = &["an incomplete request got neither an error nor a close in time"];
    for (record, expected) in [
        (misbehaving(Behaviour::HalfCloses, 1, Some(1_100)), &[][..]),
        (misbehaving(Behaviour::HalfCloses, 0, None), UNANSWERED),
        (misbehaving(Behaviour::Trickles, 0, None), UNANSWERED),
        (misbehaving(Behaviour::Pipelines, 0, None), UNANSWERED),
        (misbehaving(Behaviour::Silent, 0, None), &[]),
        (misbehaving(Behaviour::StopsMidway, 0, Some(4_160)), &[]),
        (misbehaving(Behaviour::StopsMidway, 0, Some(4_161)), IGNORED),
        (misbehaving(Behaviour::StopsMidway, 0, None), IGNORED),
    ] {
        let records = Records {
            misbehaving: vec![record.clone()],
            ..Records::default()
        };
        assert_eq!(broken_rules(&records), expected, "{record:?}");
    }
}

#[test]
fn missing_answers_to_misbehaving_clients_are_excused_if_the_node_stays_paused() {
    for (node, expected) in [
        (3, &[][..]),
        (4, &["a request that was read was never answered"]),
    ] {
        let pause = Pause {
            node,
            from: MS(800),
            until: Duration::MAX,
        };
        let records = Records {
            misbehaving: vec![misbehaving(Behaviour::Trickles, 0, None)],
            pauses: vec![pause],
            ..Records::default()
        };
        assert_eq!(broken_rules(&records), expected, "pause of {node}");
    }
}

#[test]
fn attempt_after_client_disconnect_is_reported() {
    let behaviour = Behaviour::Disconnects(MS(50));
    let mut record = misbehaving(behaviour, 0, None);
    record.disconnected = Some(MS(1_060));
    for (arrived, expected) in [
        (1_310, &[][..]),
        (
            1_311,
            &["an attempt began after its client had disconnected"],
        ),
    ] {
        let records = Records {
            misbehaving: vec![record.clone()],
            attempts: vec![attempt("a", 1, arrived, 1_400, ConnectionLost)],
            ..Records::default()
        };
        assert_eq!(broken_rules(&records), expected, "{arrived}");
    }
}

fn change(revision: u64, at: u64, state: EndpointState) -> EndpointChange {
    EndpointChange {
        revision,
        published_at: MS(at),
        endpoint: Endpoint {
            uid: "a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            cell: 1,
            state,
            boot_ms: 0,
        },
    }
}

/// The rules broken by an attempt at time `at` if the node was notified of revision 2 at time
/// `notified`, in milliseconds.
fn rules_broken_by_send(at: u64, notified: u64, changes: &[EndpointChange]) -> Vec<&'static str> {
    broken_rules(&Records {
        requests: vec![record(Idempotent, served(), at + 10)],
        attempts: vec![attempt("a", 1, at, at + 9, Served)],
        notifications: vec![Notification {
            node: 3,
            written_at: MS(notified),
            revision: 2,
        }],
        endpoint_changes: changes.to_vec(),
        ..Records::default()
    })
}

/// Number of violations if a backend receives this number of attempts in the two seconds after its
/// restart.
fn slow_start_violations(attempts: u64) -> usize {
    let arrivals = (0..attempts).map(|number| 1_000 + number * 2_000 / attempts);
    let attempts = arrivals.map(|arrived| attempt("a", 1, arrived, 4_000, Served));
    let records = Records {
        attempts: attempts.collect(),
        backend_starts: vec![BackendStart {
            uid: "a".into(),
            at: MS(1_000),
        }],
        ..Records::default()
    };
    find_violations(&rules(), &records).len()
}

#[test]
fn slow_start_overloads_and_sends_after_a_drain_are_reported() {
    const AFTER_DRAIN: [&str; 1] = ["sent to a backend after the grace of its drain or removal"];
    let mut changes = vec![change(2, 500, EndpointState::Draining)];
    assert_eq!(rules_broken_by_send(1_100, 900, &changes), [""; 0]);
    assert_eq!(rules_broken_by_send(1_100, 600, &changes), AFTER_DRAIN);
    changes.push(change(3, 1_000, EndpointState::Ready));
    assert_eq!(rules_broken_by_send(1_100, 600, &changes), [""; 0]);
    // A change after the attempt, to ready or to draining, does not matter.
    for state in [EndpointState::Ready, EndpointState::Draining] {
        let with_later_change = [&changes[..], &[change(4, 5_000, state)]].concat();
        assert_eq!(
            rules_broken_by_send(1_100, 600, &with_later_change),
            [""; 0]
        );
        assert_eq!(
            rules_broken_by_send(950, 450, &with_later_change),
            AFTER_DRAIN
        );
    }
    // The capacity of 100 attempts per second, times 0.3 at the start, times the overload multiple
    // of 3, is 180 in two seconds; some more are tolerated.
    assert_eq!(
        (slow_start_violations(180), slow_start_violations(300)),
        (0, 1)
    );
}
