//! Unit tests of the protocol rules, as a table.

use super::*;
use crate::event::Outcome;
use crate::ids::{BackendId, CellId, ZoneId};
use crate::test_support::{MS, endpoint, pending, settings};

const SENT_AT: Nanos = 100 * MS;
const WINDOW: Nanos = 200 * MS;

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::IdempotencyKey {
        scope,
        window: WINDOW,
    }
}

/// A request with one attempt in zone 0 and cell 0.
fn attempted(outcome: Option<Outcome>) -> PendingRequest {
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
fn a_repeat_is_allowed_where_it_is_harmless_dropped_or_proved_unexecuted() {
    let (global, zone, cell) = (
        DeduplicationScope::Global,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    );
    let failed = Some(Outcome::Error);
    let unexecuted = Some(Outcome::Overloaded);
    let in_window = SENT_AT + WINDOW;
    for (idempotency, outcome, now, at, allowed) in [
        (Idempotency::Idempotent, failed, in_window + 1, (1, 1), true),
        (Idempotency::NotIdempotent, failed, in_window, (0, 0), false),
        (
            Idempotency::NotIdempotent,
            unexecuted,
            in_window,
            (0, 0),
            true,
        ),
        (keyed(global), failed, in_window, (1, 1), true),
        (keyed(global), failed, in_window + 1, (0, 0), false),
        (keyed(zone), failed, in_window, (0, 1), true),
        (keyed(zone), failed, in_window, (1, 0), false),
        (keyed(cell), failed, in_window, (1, 0), true),
        (keyed(cell), failed, in_window, (0, 1), false),
        (keyed(cell), unexecuted, in_window + 1, (0, 1), true),
        (Idempotency::Idempotent, None, in_window, (0, 0), false),
    ] {
        let settings = settings(idempotency);
        let found = may_attempt(
            now,
            &settings,
            &attempted(outcome),
            &endpoint_in(at.0, at.1),
        );
        assert_eq!(
            found, allowed,
            "{idempotency:?} {outcome:?} at {now} {at:?}"
        );
    }
}

#[test]
fn no_attempt_goes_to_a_backend_that_is_not_ready_or_for_a_request_that_is_over() {
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
        let over = PendingRequest {
            finished,
            streaming,
            ..pending(1)
        };
        assert!(!may_attempt(0, &settings, &over, &ready));
    }
    let mut tried = attempted(Some(Outcome::Error));
    while tried.attempts.len() < 3 {
        tried
            .attempts
            .extend(attempted(Some(Outcome::Error)).attempts);
    }
    assert!(
        !may_attempt(SENT_AT, &settings, &tried, &ready),
        "three attempts are the most"
    );
}

#[test]
fn a_rejection_is_allowed_where_a_retry_by_the_client_is_harmless() {
    for (idempotency, outcome, allowed) in [
        (Idempotency::Idempotent, Some(Outcome::Error), true),
        (keyed(DeduplicationScope::Global), None, true),
        (
            keyed(DeduplicationScope::Zone),
            Some(Outcome::Timeout),
            false,
        ),
        (
            keyed(DeduplicationScope::Cell),
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
        let found = may_reject(&settings(idempotency), &attempted(outcome));
        assert_eq!(found, allowed, "{idempotency:?} {outcome:?}");
    }
}

#[test]
fn an_attempt_in_flight_is_cancelled_only_where_another_may_follow() {
    let end = SENT_AT + WINDOW;
    for (idempotency, now, allowed) in [
        (Idempotency::Idempotent, end, true),
        (Idempotency::NotIdempotent, SENT_AT, false),
        (keyed(DeduplicationScope::Cell), end - 1, true),
        (keyed(DeduplicationScope::Cell), end, false),
    ] {
        let found = may_repeat_somewhere(now, &settings(idempotency), &attempted(None));
        assert_eq!(found, allowed, "{idempotency:?} at {now}");
    }
}
