//! Unit tests of the request table: final answers, denied attempts, and when requests are removed.

use super::*;
use crate::clock::{MS, SECOND};
use kitefork_balancer::{CellId, Class, DeduplicationScope, Endpoint, EndpointState, UpdateKind};

const NOW: Nanos = 100 * SECOND;

fn table_with_backends(idempotency: Idempotency) -> RequestTable<()> {
    let class = Class {
        latency_objective: SECOND,
        client_timeout: 5 * SECOND,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let mut requests = RequestTable::new(settings, 1, 4, NOW, Trace::default()).unwrap();
    let state = EndpointState::Ready;
    let backend = |id| Endpoint {
        id: BackendId(id),
        cell: CellId(0),
        state,
        ..Endpoint::default()
    };
    requests.feed(
        NOW,
        Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: vec![backend(1), backend(2)],
        },
    );
    requests
}

fn open(requests: &mut RequestTable<()>) -> u32 {
    requests.open(NOW, 77, spec(), ()).unwrap().id
}

fn spec() -> RequestSpec {
    RequestSpec {
        txn: "a".into(),
        class: 0,
        tenant: 0,
        client_timeout: SECOND,
        work_hint: None,
        client_retry: false,
    }
}

fn replies(requests: &mut RequestTable<()>) -> Vec<LocalReply> {
    let local_reply = |command| match command {
        Command::Reply {
            connection: 77,
            reply,
        } => Some(reply),
        _ => None,
    };
    requests
        .commands
        .drain(..)
        .filter_map(local_reply)
        .collect()
}

#[test]
fn a_request_is_answered_only_once() {
    let mut requests = table_with_backends(Idempotency::Idempotent);
    let id = open(&mut requests);
    assert_eq!(
        requests.attempt_ended(NOW + MS, id, 0, Outcome::Success),
        Some(77)
    );
    assert_eq!(
        requests.attempt_ended(NOW + MS, id, 0, Outcome::Success),
        None
    );
    assert!(!requests.expire(NOW + 2 * SECOND, id) && replies(&mut requests).is_empty());
    assert!(requests.unanswered().is_empty() && requests.payload(id).is_none());
}

#[test]
fn transaction_id_is_reusable_only_if_no_attempt_is_in_flight_and_none_may_have_been_executed() {
    for (outcome, expected) in [
        (Outcome::NotSent, None),
        (Outcome::ConnectFailed, None),
        (Outcome::Cancelled, Some(OpenError::ExecutedId)),
        (Outcome::Success, Some(OpenError::ExecutedId)),
    ] {
        let mut requests = table_with_backends(Idempotency::Idempotent);
        let id = open(&mut requests);
        assert_eq!(
            requests.open(NOW, 78, spec(), ()),
            Err(OpenError::DuplicateId)
        );
        assert!(requests.expire(NOW + SECOND, id));
        assert_eq!(
            requests.open(NOW + SECOND, 78, spec(), ()),
            Err(OpenError::DuplicateId)
        );
        requests.attempt_ended(NOW + SECOND, id, 0, outcome);
        let reopened = requests.open(NOW + SECOND, 78, spec(), ());
        assert_eq!(reopened.err(), expected, "{outcome:?}");
    }
}

#[test]
fn expired_request_stays_in_the_table_until_its_cancelled_attempt_has_ended() {
    let mut requests = table_with_backends(Idempotency::Idempotent);
    let id = open(&mut requests);
    assert!(requests.expire(NOW + SECOND, id));
    assert!(requests.commands.contains(&Command::CancelAttempt {
        request: id,
        attempt: 0
    }));
    assert_eq!(replies(&mut requests), [LocalReply::TimedOut]);
    assert!(requests.payload(id).is_some());
    assert_eq!(
        requests.attempt_ended(NOW + SECOND, id, 0, Outcome::Cancelled),
        None
    );
    assert!(requests.payload(id).is_none() && replies(&mut requests).is_empty());
}

#[test]
fn a_shutdown_rejects_unexecuted_requests_and_fails_the_others() {
    let keyed = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: SECOND,
    };
    for (outcome, expected) in [
        (
            Some(Outcome::ConnectFailed),
            LocalReply::Rejected { retry_after: 0 },
        ),
        (None, LocalReply::Failed),
    ] {
        let mut requests = table_with_backends(keyed);
        let id = open(&mut requests);
        requests.table.get_mut(id).unwrap().attempts[0].outcome = outcome;
        requests.fail_for_shutdown(NOW + MS, id);
        assert_eq!(replies(&mut requests), [expected]);
    }
}

#[test]
fn a_rejection_becomes_a_failure_if_a_retry_could_do_harm() {
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 1 };
    let rejected = LocalReply::Rejected { retry_after: 0 };
    let not_idempotent = Idempotency::NotIdempotent;
    let in_cell = keyed(DeduplicationScope::Cell);
    let global = keyed(DeduplicationScope::Global);
    for (idempotency, outcome, expected) in [
        (not_idempotent, Outcome::Reset, LocalReply::Failed),
        (not_idempotent, Outcome::Timeout, LocalReply::TimedOut),
        (not_idempotent, Outcome::Overloaded, rejected),
        (in_cell, Outcome::Error, LocalReply::Failed),
        (global, Outcome::Error, rejected),
    ] {
        let mut requests = table_with_backends(idempotency);
        let id = open(&mut requests);
        // The decision module is not informed of the outcome, because it would choose an answer
        // itself; the test calls `reply` directly.
        let pending = requests.table.get_mut(id).unwrap();
        pending.attempts[0].outcome = Some(outcome);
        pending.last_outcome = Some(outcome);
        requests.reply(NOW, id, rejected);
        assert_eq!(
            replies(&mut requests),
            [expected],
            "{idempotency:?} {outcome:?}"
        );
    }
}

#[test]
fn a_retry_needs_an_open_deduplication_window_and_no_attempt_in_flight() {
    let mut requests = table_with_backends(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: 300 * MS,
    });
    let id = open(&mut requests);
    assert_eq!(
        requests.table.get(id).unwrap().history().write_by,
        NOW + 300 * MS
    );
    requests.table.get_mut(id).unwrap().attempts[0].outcome = Some(Outcome::Reset);
    assert_eq!(
        requests.start_attempt(NOW + 301 * MS, id, BackendId(2), 0),
        Some(DeniedAttempt {
            request: id,
            attempt: 1
        })
    );
    let pending = requests.table.get_mut(id).unwrap();
    pending.attempts[1].outcome = Some(Outcome::NotSent);
    assert_eq!(
        requests.start_attempt(NOW + 299 * MS, id, BackendId(2), 0),
        None
    );
    // No second attempt starts while one is in flight.
    assert_eq!(
        requests.start_attempt(NOW + 299 * MS, id, BackendId(2), 0),
        Some(DeniedAttempt {
            request: id,
            attempt: 3
        })
    );
}
