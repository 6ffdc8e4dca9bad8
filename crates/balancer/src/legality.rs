//! Whether an attempt or a rejection keeps the protocol rules. Pure: every attempt passes
//! [`may_attempt`], every rejection [`may_reject`].

use crate::event::Endpoint;
use crate::event::EndpointState;
use crate::ids::Nanos;
use crate::request_table::{Attempt, PendingRequest};
use crate::settings::{DeduplicationScope, Idempotency, Settings};

/// Whether an attempt of a request may go to this endpoint now. The budget of a backend in slow
/// start is not part of it; see [`SlowStart`](crate::slow_start::SlowStart).
pub(crate) fn may_attempt(
    now: Nanos,
    settings: &Settings,
    pending: &PendingRequest,
    endpoint: &Endpoint,
) -> bool {
    let is_open = !pending.finished && !pending.streaming && now < pending.deadline;
    let has_attempts_left = has_attempts_left(settings, pending) && pending.in_flight() == 0;
    is_open
        && has_attempts_left
        && may_repeat(now, settings, pending, endpoint)
        && endpoint.state == EndpointState::Ready
}

/// Whether the request has had fewer attempts than the site permits.
pub(crate) fn has_attempts_left(settings: &Settings, pending: &PendingRequest) -> bool {
    pending.attempts.len() < settings.limits.max_attempts as usize
}

/// Whether one more execution, at this endpoint, would be harmless or be dropped as a repeat.
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

/// Whether an endpoint knows the idempotency keys of the backend that an attempt went to.
fn shares_keys(scope: DeduplicationScope, attempt: &Attempt, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::Global => true,
        DeduplicationScope::Zone => attempt.zone == endpoint.zone,
        DeduplicationScope::Cell => attempt.cell == endpoint.cell,
    }
}

/// Whether another attempt would be allowed by the class at some backend, once the one in flight is
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

/// Whether a request may be rejected, which tells the client that a retry is harmless.
pub(crate) fn may_reject(settings: &Settings, pending: &PendingRequest) -> bool {
    let idempotency = settings.classes[pending.class()].idempotency;
    idempotency.allows_rejection(pending.may_have_executed())
}

#[cfg(test)]
#[path = "legality_tests.rs"]
mod tests;
