//! Whether the protocol rules allow an attempt or a rejection. The functions are pure; every
//! attempt is checked by [`may_attempt`], every rejection by [`may_reject`].

use crate::event::Endpoint;
use crate::event::EndpointState;
use crate::ids::Nanos;
use crate::request_table::{Attempt, PendingRequest};
use crate::settings::{DeduplicationScope, Idempotency, Settings};

/// Whether the rules allow an attempt of a request at this endpoint now. The rule on slow start is
/// checked by [`SlowStart`](crate::slow_start::SlowStart).
pub(crate) fn may_attempt(
    now: Nanos,
    settings: &Settings,
    pending: &PendingRequest,
    endpoint: &Endpoint,
) -> bool {
    let is_open = !pending.finished && !pending.streaming && now < pending.deadline;
    let may_start_another = has_attempts_left(settings, pending) && pending.in_flight() == 0;
    is_open
        && may_start_another
        && may_repeat(now, settings, pending, endpoint)
        && endpoint.state == EndpointState::Ready
}

/// Whether the request has had fewer attempts than
/// [`Limits::max_attempts`](crate::Limits::max_attempts).
pub(crate) fn has_attempts_left(settings: &Settings, pending: &PendingRequest) -> bool {
    pending.attempts.len() < settings.limits.max_attempts as usize
}

/// Whether another attempt at this endpoint can do no harm: the request was not executed yet, a
/// second execution is harmless, or the endpoint recognises the repeat and drops it.
fn may_repeat(
    now: Nanos,
    settings: &Settings,
    pending: &PendingRequest,
    endpoint: &Endpoint,
) -> bool {
    match settings.classes[pending.class()].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => !pending.may_have_executed(),
        Idempotency::IdempotencyKey { scope, window } => {
            pending.possibly_executed().all(|attempt| {
                now <= attempt.sent_at.saturating_add(window)
                    && shares_keys(scope, attempt, endpoint)
            })
        }
    }
}

/// Whether an endpoint knows the idempotency keys seen by the backend of an earlier attempt.
fn shares_keys(scope: DeduplicationScope, attempt: &Attempt, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::Global => true,
        DeduplicationScope::Zone => attempt.zone == endpoint.zone,
        DeduplicationScope::Cell => attempt.cell == endpoint.cell,
    }
}

/// Whether the class of a request allows another attempt at some backend after the one in flight is
/// cancelled.
pub(crate) fn may_repeat_after_cancel(
    now: Nanos,
    settings: &Settings,
    pending: &PendingRequest,
) -> bool {
    match settings.classes[pending.class()].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::IdempotencyKey { window, .. } => pending
            .possibly_executed()
            .all(|attempt| now < attempt.sent_at.saturating_add(window)),
    }
}

/// Whether a request may be rejected. A rejection tells the client that a retry is harmless.
pub(crate) fn may_reject(settings: &Settings, pending: &PendingRequest) -> bool {
    let idempotency = settings.classes[pending.class()].idempotency;
    idempotency.allows_rejection(pending.may_have_executed())
}

#[cfg(test)]
#[path = "legality_tests.rs"]
mod tests;
