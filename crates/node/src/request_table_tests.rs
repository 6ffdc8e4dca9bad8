//! Unit tests of `request_table`.

use super::*;
use crate::clock::{MS, SECOND};
use kitefork_balancer::{CellId, Class, DeduplicationScope, Endpoint, EndpointState, UpdateKind};

const NOW: Nanos = 100 * SECOND;

fn reqs(effect: Idempotency) -> RequestTable<()> {
    let class = Class {
        latency_objective: SECOND,
        client_timeout: 5 * SECOND,
        priority_weight: 1.0,
        idempotency: effect,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let mut reqs = RequestTable::new(settings, 1, 4, NOW).unwrap();
    let state = EndpointState::Ready;
    let backend = |id| Endpoint {
        id: BackendId(id),
        cell: CellId(0),
        state,
        ..Endpoint::default()
    };
    reqs.feed(
        NOW,
        Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: vec![backend(1), backend(2)],
        },
    );
    reqs
}

fn open(reqs: &mut RequestTable<()>) -> u32 {
    reqs.open(NOW, 77, ask(), ()).unwrap().0
}

fn ask() -> RequestSpec {
    RequestSpec {
        txn: "a".into(),
        class: 0,
        tenant: 0,
        client_timeout: SECOND,
        work_hint: None,
        client_retry: false,
    }
}

fn answers(reqs: &mut RequestTable<()>) -> Vec<LocalReply> {
    let answer = |command| match command {
        Command::Reply {
            connection: 77,
            reply,
        } => Some(reply),
        _ => None,
    };
    reqs.commands.drain(..).filter_map(answer).collect()
}

#[test]
fn one_answer_whatever_comes_after_it() {
    let mut reqs = reqs(Idempotency::Idempotent);
    let id = open(&mut reqs);
    assert_eq!(reqs.ended(NOW + MS, id, 0, Outcome::Success), Some(77));
    assert_eq!(reqs.ended(NOW + MS, id, 0, Outcome::Success), None);
    assert!(!reqs.expire(NOW + 2 * SECOND, id) && answers(&mut reqs).is_empty());
    assert!(reqs.unanswered().is_empty() && reqs.cargo(id).is_none());
}

#[test]
fn a_name_is_free_again_once_its_req_has_nothing_out() {
    let mut reqs = reqs(Idempotency::Idempotent);
    let id = open(&mut reqs);
    assert_eq!(reqs.open(NOW, 78, ask(), ()), Err(OpenError::DuplicateId));
    assert!(reqs.expire(NOW + SECOND, id));
    assert_eq!(
        reqs.open(NOW + SECOND, 78, ask(), ()),
        Err(OpenError::DuplicateId)
    );
    reqs.ended(NOW + SECOND, id, 0, Outcome::Cancelled);
    assert!(reqs.open(NOW + SECOND, 78, ask(), ()).is_ok());
}

#[test]
fn the_last_resort_answers_stops_the_fetch_and_keeps_the_req_until_that_has_ended() {
    let mut reqs = reqs(Idempotency::Idempotent);
    let id = open(&mut reqs);
    assert!(reqs.expire(NOW + SECOND, id));
    assert!(reqs.commands.contains(&Command::CancelAttempt {
        request: id,
        attempt: 0
    }));
    assert_eq!(answers(&mut reqs), [LocalReply::TimedOut]);
    assert!(reqs.cargo(id).is_some());
    assert_eq!(reqs.ended(NOW + SECOND, id, 0, Outcome::Cancelled), None);
    assert!(reqs.cargo(id).is_none() && answers(&mut reqs).is_empty());
}

#[test]
fn a_node_that_ends_refuses_what_never_ran_and_fails_what_may_have() {
    let keyed = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: SECOND,
    };
    for (outcome, wanted) in [
        (
            Some(Outcome::ConnectFailed),
            LocalReply::Rejected { retry_after: 0 },
        ),
        (None, LocalReply::Failed),
    ] {
        let mut reqs = reqs(keyed);
        let id = open(&mut reqs);
        reqs.table.get_mut(id).unwrap().attempts[0].outcome = outcome;
        reqs.fail_on_shutdown(NOW + MS, id);
        assert_eq!(answers(&mut reqs), [wanted]);
    }
}

#[test]
fn no_refusal_of_what_may_have_run() {
    for (effect, outcome, wanted) in [
        (
            Idempotency::NotIdempotent,
            Outcome::Reset,
            LocalReply::Failed,
        ),
        (
            Idempotency::NotIdempotent,
            Outcome::Timeout,
            LocalReply::TimedOut,
        ),
        (
            Idempotency::NotIdempotent,
            Outcome::Overloaded,
            LocalReply::Rejected { retry_after: 0 },
        ),
        (
            Idempotency::IdempotencyKey {
                scope: DeduplicationScope::Cell,
                window: 1,
            },
            Outcome::Error,
            LocalReply::Failed,
        ),
        (
            Idempotency::IdempotencyKey {
                scope: DeduplicationScope::Global,
                window: 1,
            },
            Outcome::Error,
            LocalReply::Rejected { retry_after: 0 },
        ),
    ] {
        let mut reqs = reqs(effect);
        let id = open(&mut reqs);
        // After a first answer nothing is decided any more, so the guard is met directly.
        reqs.table.get_mut(id).unwrap().attempts[0].outcome = Some(outcome);
        reqs.table.get_mut(id).unwrap().last_outcome = Some(outcome);
        reqs.answer(NOW, id, LocalReply::Rejected { retry_after: 0 });
        assert_eq!(answers(&mut reqs), [wanted], "{effect:?} {outcome:?}");
    }
}

#[test]
fn a_repeat_must_be_written_within_the_window_of_the_attempt_that_may_have_run() {
    let mut reqs = reqs(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: 300 * MS,
    });
    let id = open(&mut reqs);
    assert_eq!(reqs.table.get(id).unwrap().write_by(), NOW + 300 * MS);
    reqs.table.get_mut(id).unwrap().attempts[0].outcome = Some(Outcome::Reset);
    assert_eq!(
        reqs.send(NOW + 301 * MS, id, BackendId(2), 0),
        Some((id, 1))
    );
    let req = reqs.table.get_mut(id).unwrap();
    req.attempts[1].outcome = Some(Outcome::NotSent);
    assert_eq!(reqs.send(NOW + 299 * MS, id, BackendId(2), 0), None);
    // Never two at once.
    assert_eq!(
        reqs.send(NOW + 299 * MS, id, BackendId(2), 0),
        Some((id, 3))
    );
}
