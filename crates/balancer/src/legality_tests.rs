//! Unit tests of the protocol rules, with tables of cases.

use super::*;
use crate::event::Outcome;
use crate::ids::{BackendId, CellId, ZoneId};
use crate::test_support::{MS, endpoint, pending, settings};

const SENT_AT: Nanos = 100 * MS;
const WINDOW: Nanos = 200 * MS;

fn idempotency_key(scope: DeduplicationScope) -> Idempotency {
    Idempotency::IdempotencyKey {
        scope,
        window: WINDOW,
    }
}

/// A request with one attempt, which went to zone 0 and cell 0.
fn request_with_attempt(outcome: Option<Outcome>) -> PendingRequest {
    let mut request = pending(1);
    let (zone, cell) = (ZoneId(0), CellId(0));
    request.attempts.push(Attempt {
        backend: BackendId(0),
        sent_at: SENT_AT,
        zone,
        cell,
        outcome,
    });
    request
}

fn endpoint_in(zone: u16, cell: u16) -> Endpoint {
    Endpoint {
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..endpoint(1)
    }
}

#[test]
fn repeat_is_allowed_if_harmless_deduplicated_or_not_executed() {
    let (global, zone, cell) = (
        DeduplicationScope::Global,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    );
    let failed = Some(Outcome::Error);
    let not_executed = Some(Outcome::Overloaded);
    let window_end = SENT_AT + WINDOW;
    for (idempotency, outcome, now, zone_and_cell, allowed) in [
        (
            Idempotency::Idempotent,
            failed,
            window_end + 1,
            (1, 1),
            true,
        ),
        (
            Idempotency::NotIdempotent,
            failed,
            window_end,
            (0, 0),
            false,
        ),
        (
            Idempotency::NotIdempotent,
            not_executed,
            window_end,
            (0, 0),
            true,
        ),
        (idempotency_key(global), failed, window_end, (1, 1), true),
        (
            idempotency_key(global),
            failed,
            window_end + 1,
            (0, 0),
            false,
        ),
        (idempotency_key(zone), failed, window_end, (0, 1), true),
        (idempotency_key(zone), failed, window_end, (1, 0), false),
        (idempotency_key(cell), failed, window_end, (1, 0), true),
        (idempotency_key(cell), failed, window_end, (0, 1), false),
        (
            idempotency_key(cell),
            not_executed,
            window_end + 1,
            (0, 1),
            true,
        ),
        (Idempotency::Idempotent, None, window_end, (0, 0), false),
    ] {
        let settings = settings(idempotency);
        let actual = may_attempt(
            now,
            &settings,
            &request_with_attempt(outcome),
            &endpoint_in(zone_and_cell.0, zone_and_cell.1),
        );
        assert_eq!(
            actual, allowed,
            "{idempotency:?} {outcome:?} at {now} {zone_and_cell:?}"
        );
    }
}

#[test]
fn attempt_needs_a_ready_backend_and_an_open_request() {
    let settings = settings(Idempotency::Idempotent);
    let ready = endpoint(1);
    assert!(may_attempt(0, &settings, &pending(1), &ready));
    assert!(!may_attempt(1_000 * MS, &settings, &pending(1), &ready));
    for state in [EndpointState::Draining, EndpointState::Removed] {
        assert!(!may_attempt(
            0,
            &settings,
            &pending(1),
            &Endpoint {
                state,
                ..endpoint(1)
            }
        ));
    }
    for (finished, streaming) in [(true, false), (false, true)] {
        let closed = PendingRequest {
            finished,
            streaming,
            ..pending(1)
        };
        assert!(!may_attempt(0, &settings, &closed, &ready));
    }
    let mut out_of_attempts = request_with_attempt(Some(Outcome::Error));
    while out_of_attempts.attempts.len() < 3 {
        out_of_attempts
            .attempts
            .extend(request_with_attempt(Some(Outcome::Error)).attempts);
    }
    assert!(
        !may_attempt(SENT_AT, &settings, &out_of_attempts, &ready),
        "at most three attempts"
    );
}

#[test]
fn rejection_is_allowed_if_a_retry_by_the_client_is_harmless() {
    for (idempotency, outcome, allowed) in [
        (Idempotency::Idempotent, Some(Outcome::Error), true),
        (idempotency_key(DeduplicationScope::Global), None, true),
        (
            idempotency_key(DeduplicationScope::Zone),
            Some(Outcome::Timeout),
            false,
        ),
        (
            idempotency_key(DeduplicationScope::Cell),
            Some(Outcome::NotSent),
            true,
        ),
        (Idempotency::NotIdempotent, Some(Outcome::Reset), false),
        (
            Idempotency::NotIdempotent,
            Some(Outcome::ConnectFailed),
            true,
        ),
    ] {
        let actual = may_reject(&settings(idempotency), &request_with_attempt(outcome));
        assert_eq!(actual, allowed, "{idempotency:?} {outcome:?}");
    }
}

#[test]
fn repeat_after_cancel_is_allowed_if_idempotent_or_within_the_key_window() {
    let window_end = SENT_AT + WINDOW;
    for (idempotency, now, allowed) in [
        (Idempotency::Idempotent, window_end, true),
        (Idempotency::NotIdempotent, SENT_AT, false),
        (
            idempotency_key(DeduplicationScope::Cell),
            window_end - 1,
            true,
        ),
        (idempotency_key(DeduplicationScope::Cell), window_end, false),
    ] {
        let actual =
            may_repeat_after_cancel(now, &settings(idempotency), &request_with_attempt(None));
        assert_eq!(actual, allowed, "{idempotency:?} at {now}");
    }
}
