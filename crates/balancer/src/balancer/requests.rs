//! Requests: how they are queued, time out, are retried and get their final answers.

use crate::action::Action;
use crate::event::{Outcome, Request};
use crate::ids::{Nanos, RequestId};
use crate::legality;
use crate::request_table::PendingRequest;
use crate::settings::{Class, Idempotency};
use crate::timescale::nanos;

use super::attempts::EndedAttempt;
use super::{Balancer, Task};

impl Balancer {
    /// Queues a request. A request of an unknown class fails; one whose id is already pending is
    /// ignored.
    pub(super) fn on_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)) else {
            actions.push(Action::Fail { request: id });
            return;
        };
        if self.requests.contains(id) {
            return;
        }
        let objective = request_objective(class, &request);
        let class_timeout = class.client_timeout;
        let statistics = &mut self.classes[usize::from(request.class.0)];
        let elapsed = statistics.estimated_elapsed(request.client_timeout, class_timeout);
        let is_late = elapsed >= objective;
        let time_to_objective = if is_late {
            objective
        } else {
            objective - elapsed
        };
        let deadline = now.saturating_add(request.client_timeout);
        let queue = &mut self.admission.queue;
        let (position, admission_cost) =
            queue.position_and_cost(&request, is_late, &self.settings, &self.classes);
        queue.insert(position, id);
        self.admission.rate.on_received();
        self.requests.insert(PendingRequest {
            request,
            deadline,
            objective_at: now.saturating_add(time_to_objective).min(deadline),
            attempts: Vec::new(),
            finished: false,
            streaming: false,
            position,
            admission_cost,
        });
        self.timers
            .schedule(self.latest_start(id), Task::CheckTimeouts(id));
    }

    /// Records that the answer to a request has begun to be streamed: the request is not retried
    /// from then on.
    pub(super) fn on_first_byte(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(id) {
            pending.streaming = true;
        }
    }

    /// The pending request with this id.
    ///
    /// # Panics
    ///
    /// If no request with this id is pending, which is a bug in the balancer.
    pub(super) fn pending(&self, id: RequestId) -> &PendingRequest {
        self.requests.get(id).expect("the request is pending")
    }

    /// Latest time at which an attempt of a request can start and still be answered in time.
    pub(super) fn latest_start(&self, id: RequestId) -> Nanos {
        let pending = self.pending(id);
        let class = &self.settings.classes[pending.class()];
        // With a tail weight, a late answer is a miss and a rejection within the objective is not.
        let late_answer_counts =
            class.late_priority_weight > 0.0 && self.settings.tail_weight == 0.0;
        let mut answer_by = if late_answer_counts {
            pending.deadline
        } else {
            pending.objective_at
        };
        if pending.never_written() {
            // A request that was never written to a backend can be rejected at no cost until a
            // fraction of its client timeout has passed.
            let remaining_fraction = 1.0 - self.settings.limits.never_attempted_timeout_fraction;
            let remaining_time =
                (pending.request.client_timeout as f64 * remaining_fraction) as Nanos;
            answer_by = answer_by.min(pending.deadline - remaining_time);
        }
        let unloaded_latency = nanos(self.classes[pending.class()].unloaded_latency());
        answer_by
            .saturating_sub(unloaded_latency.min(class.latency_objective / 2) + self.settings.tick)
    }

    /// Cancels the attempt of a request if the attempt is overdue. A request without an attempt in
    /// flight is rejected or failed if it is too late to start another attempt.
    pub(super) fn check_timeouts(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let is_open = |pending: &&PendingRequest| !pending.finished && !pending.streaming;
        let Some(pending) = self.requests.get(id).filter(is_open) else {
            return;
        };
        if pending.in_flight() > 0 {
            self.cancel_overdue(now, id, actions);
            return;
        }
        // The unloaded latency may have changed since this check was scheduled.
        match self.latest_start(id) {
            latest if latest > now => self.timers.schedule(latest, Task::CheckTimeouts(id)),
            _ => self.finish(id, actions),
        }
    }

    /// Retries a request after one of its attempts has ended, or gives its final answer.
    /// `cancelled_as_overdue`: the balancer cancelled the attempt, and its retry was already taken
    /// from the retry budget.
    pub(super) fn retry_or_finish(
        &mut self,
        now: Nanos,
        ended: &EndedAttempt,
        cancelled_as_overdue: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = ended.request;
        let pending = self.pending(id);
        if ended.finished || pending.finished {
            self.close(id, actions);
        } else if pending.streaming {
            // The stream broke off: a retry is no longer possible.
            self.finish(id, actions);
        } else if pending.in_flight() == 0 {
            // A failed connection uses no capacity, so the retry needs no token of the budget.
            let is_budget_exempt = cancelled_as_overdue || ended.outcome == Outcome::ConnectFailed;
            let is_within_budget = is_budget_exempt || self.retries.has_token();
            let latest_start = self.latest_start(id);
            if now < latest_start && self.may_retry(pending, ended.outcome) && is_within_budget {
                let position = pending.position;
                if !is_budget_exempt {
                    self.retries.spend();
                }
                self.admission.queue.insert(position, id);
                self.timers.schedule(latest_start, Task::CheckTimeouts(id));
            } else {
                self.finish(id, actions);
            }
        }
    }

    /// Whether another attempt may follow one with this outcome: not if the request may have been
    /// executed and must not be executed twice, if the request itself is invalid, or if no attempts
    /// are left.
    fn may_retry(&self, pending: &PendingRequest, outcome: Outcome) -> bool {
        let idempotency = self.settings.classes[pending.class()].idempotency;
        let must_not_repeat =
            idempotency == Idempotency::NotIdempotent && pending.may_have_executed();
        !must_not_repeat
            && outcome != Outcome::BadRequest
            && legality::has_attempts_left(&self.settings, pending)
    }

    /// Gives the final answer: a rejection if a retry by the client is harmless, otherwise a
    /// failure.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_open = |pending: &&PendingRequest| !pending.finished;
        let Some(pending) = self.requests.get(id).filter(is_open) else {
            return;
        };
        if legality::may_reject(&self.settings, pending) {
            let retry_after = self.settings.limits.max_retry_after;
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// Closes a request: removes it from the queue and, if
    /// [`Limits::can_cancel`](crate::Limits::can_cancel) is set, cancels its attempts in flight.
    /// The request stays in the table until no attempt is in flight.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let was_open = !std::mem::replace(&mut pending.finished, true);
        self.admission.queue.remove(pending.position, id);
        if pending.in_flight() == 0 {
            self.requests.remove(id);
        } else if was_open && self.settings.limits.can_cancel {
            for (index, attempt) in pending.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    actions.push(Action::CancelAttempt {
                        request: id,
                        attempt: index as u8,
                    });
                }
            }
        }
    }
}

/// Time within which an answer to a request has its full weight: the latency objective of its class
/// plus the time added for the expected work of the request.
fn request_objective(class: &Class, request: &Request) -> Nanos {
    let per_unit = class.latency_objective_per_unit_of_work.max(0.0);
    let added_for_work = per_unit * request.work_hint.unwrap_or(0) as f64;
    class
        .latency_objective
        .saturating_add(added_for_work as Nanos)
}
