//! Attempts: picks backends, starts attempts, cancels overdue ones, and evaluates how each attempt
//! ended.

use crate::action::{Action, LogEvent};
use crate::concurrency_limiter::LoadSample;
use crate::event::Outcome;
use crate::ids::{BackendId, Nanos, RequestId};
use crate::legality;
use crate::pick::{CandidateDraws, FullScanDraws, Picker, uniform};
use crate::request_table::Attempt;
use crate::retry_policy::{OVERDUE_MULTIPLE, overdue_after};
use crate::timescale::{SECOND, nanos, seconds};

use super::{Balancer, Task};

/// An attempt that has ended, as reported by the caller.
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: u8,
    pub(super) latency: Nanos,
    pub(super) outcome: Outcome,
    /// Whether the caller has given the request its final answer, so that no other attempt follows.
    pub(super) finished: bool,
}

impl Balancer {
    /// Starts an attempt for a queued request if a legal backend with capacity is found; otherwise
    /// the request stays queued. Returns whether an attempt was started.
    pub(super) fn start_attempt(
        &mut self,
        now: Nanos,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(backend) = self.pick_backend(now, id) else {
            return false;
        };
        let attempt = self.count_sent(now, backend);
        let pending = self
            .requests
            .get_mut(id)
            .expect("queued requests are pending");
        pending.attempts.push(attempt);
        self.admission.queue.remove(pending.position, id);
        if pending.attempts.len() == 1 {
            self.estimation.estimator.on_first_attempt();
            self.retries.on_first_attempt();
        }
        // If an answer after the latency objective has no weight, the attempt is abandoned at the
        // objective.
        let class = &self.settings.classes[pending.class()];
        let late_answer_has_weight = class.late_priority_weight > 0.0;
        let abandon_at = if late_answer_has_weight {
            pending.deadline
        } else {
            pending.objective_at
        };
        actions.push(Action::StartAttempt {
            request: id,
            backend,
            abandon_at,
        });
        let overdue_at = now.saturating_add(self.overdue_after(id));
        self.timers.schedule(overdue_at, Task::CheckTimeouts(id));
        true
    }

    /// Picks a backend for a request. Backends at which the request was not attempted before are
    /// preferred.
    fn pick_backend(&mut self, now: Nanos, id: RequestId) -> Option<BackendId> {
        let pending = self.requests.get(id).expect("queued requests are pending");
        if self.is_full(pending.admission_cost) {
            return None;
        }
        let picker = Picker {
            now,
            settings: &self.settings,
            endpoints: &self.endpoints,
            outliers: &self.outliers,
            slow_start: &self.slow_start,
            pending,
            limit_is_below_one: self.limiter.is_below_one(),
            longest_objective: nanos(self.timescale.longest_objective),
        };
        let draws = CandidateDraws::new(&mut self.random);
        let picked = picker.among_candidates(self.estimation.split.candidates(), &draws);
        if picked.is_some() {
            return picked;
        }
        let draws = FullScanDraws::new(&mut self.random);
        let picked = picker.among_all(&draws);
        self.estimation.split.count_full_scan();
        picked
    }

    /// Counts an attempt sent to `backend` as in flight, spends the tokens for it, and returns it
    /// to be stored with its request.
    fn count_sent(&mut self, now: Nanos, backend: BackendId) -> Attempt {
        let record = self
            .endpoints
            .get_mut(backend)
            .expect("a picked backend is in the endpoint list");
        record.load.on_sent(now);
        record.slow_start_tokens.spend();
        let (zone, cell) = (record.endpoint().zone, record.endpoint().cell);
        self.limiter.on_sent();
        self.admission.rate.on_sent();
        Attempt {
            backend,
            sent_at: now,
            zone,
            cell,
            outcome: None,
        }
    }

    /// Time from sending an attempt of this request until the attempt is overdue.
    fn overdue_after(&self, id: RequestId) -> Nanos {
        let pending = self.pending(id);
        let class = pending.class();
        overdue_after(
            self.classes[class].mean_latency(),
            pending.request.work_hint,
            self.settings.classes[class].latency_objective,
        )
    }

    /// Cancels an overdue attempt if another one may still be started in time; checks again later
    /// if the attempt is not overdue yet or the retry budget is spent. Without the cancellation, a
    /// connection that stops responding would use up the whole time of a request and occupy
    /// capacity for as long. If the backend is only slow, the work is done twice; the retry budget
    /// bounds how often this happens.
    pub(super) fn cancel_overdue(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let pending = self.pending(id);
        let Some((index, last_attempt)) = pending.attempts.iter().enumerate().next_back() else {
            return;
        };
        let may_retry = self.settings.limits.can_cancel
            && legality::may_repeat_after_cancel(now, &self.settings, pending)
            && legality::has_attempts_left(&self.settings, pending);
        if !may_retry || now >= self.latest_start(id) {
            return;
        }
        let time_until_overdue = self.overdue_after(id);
        let overdue_at = last_attempt.sent_at.saturating_add(time_until_overdue);
        if now < overdue_at {
            self.timers.schedule(overdue_at, Task::CheckTimeouts(id));
        } else if !self.retries.has_token() {
            let next_check_at = now.saturating_add(time_until_overdue / OVERDUE_MULTIPLE as u64);
            self.timers.schedule(next_check_at, Task::CheckTimeouts(id));
        } else {
            self.retries.spend();
            actions.push(Action::CancelAttempt {
                request: id,
                attempt: index as u8,
            });
        }
    }

    /// Handles the end of an attempt: updates the statistics of its backend, then retries the
    /// request or gives its final answer. Ends of unknown attempts, or of attempts that have
    /// already ended, are ignored.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(ended.request) else {
            return;
        };
        let attempt = pending.attempts.get_mut(usize::from(ended.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(ended.outcome);
        let (backend, sent_at) = (attempt.backend, attempt.sent_at);
        let class = pending.class();
        // An attempt that this balancer cancelled as overdue is a failure of the backend, like a
        // timeout.
        let cancelled_as_overdue =
            ended.outcome == Outcome::Cancelled && !ended.finished && !pending.finished;
        self.limiter.on_ended();
        self.count_ended(now, backend, sent_at, class, ended);
        if !self.endpoints.is_ready(backend) {
            self.close_idle_connections(now, backend, actions);
        }
        if matches!(ended.outcome, Outcome::Success | Outcome::Timeout) {
            self.classes[class].add_latency(seconds(ended.latency));
        }
        self.adjust_limit(backend, class, seconds(ended.latency), ended.outcome);
        if is_failure(ended.outcome) || cancelled_as_overdue {
            self.on_failure(now, backend, actions);
        }
        self.retry_or_finish(now, ended, cancelled_as_overdue, actions);
    }

    /// Updates the statistics of a backend with the end of an attempt.
    fn count_ended(
        &mut self,
        now: Nanos,
        backend: BackendId,
        sent_at: Nanos,
        class: usize,
        ended: &EndedAttempt,
    ) {
        let Some(record) = self.endpoints.get_mut(backend) else {
            return;
        };
        let latency = seconds(ended.latency);
        let had_completions = record.service_times.has_completions();
        record.load.on_ended(sent_at);
        record
            .service_times
            .on_ended(ended.outcome, latency, self.timescale.shortest_objective);
        if ended.outcome != Outcome::Success {
            return;
        }
        if !had_completions {
            record.weights.restart_exploration(now);
        }
        record.failure_history.on_completion();
        if record.service_times.has_enough_completions() {
            record.failure_history.reset_backoff();
        }
        let mean_latency = self.classes[class].mean_latency();
        let kind = record.endpoint().kind;
        self.estimation
            .estimator
            .on_completion(kind, latency, mean_latency);
    }

    /// Adjusts the concurrency limit of a backend, and the admission rate, to the outcome of an
    /// attempt there. `latency` is in seconds.
    pub(super) fn adjust_limit(
        &mut self,
        backend: BackendId,
        class: usize,
        latency: f64,
        outcome: Outcome,
    ) {
        let Some(record) = self.endpoints.get_mut(backend) else {
            return;
        };
        let statistics = &mut self.classes[class];
        let latency_ratio = statistics.latency_ratio(record.endpoint().zone, latency, outcome);
        let objective = self.settings.classes[class].latency_objective as f64;
        let latency_scale = self.timescale.shortest_objective * SECOND / objective;
        self.admission
            .rate
            .on_ended(outcome, latency * latency_scale);
        let sample = LoadSample {
            outcome,
            latency_ratio,
            ratio_to_mean: latency / self.classes[class].mean_latency().max(1e-9),
            at: self.decayed_at,
        };
        let unloaded_latencies = self
            .classes
            .iter()
            .map(super::super::class_statistics::ClassStatistics::unloaded_latency);
        let longest_unloaded_latency = unloaded_latencies.fold(1e-9, f64::max);
        self.limiter
            .adjust(&mut record.load, &sample, longest_unloaded_latency);
    }

    /// Counts a failure of a backend, and ejects the backend if the failure makes it an outlier.
    fn on_failure(&mut self, now: Nanos, backend: BackendId, actions: &mut Vec<Action>) {
        let jitter_draw = uniform(&mut self.random);
        let ejection = self
            .outliers
            .on_failure(now, backend, &mut self.endpoints, jitter_draw);
        let Some(ejection) = ejection else { return };
        if let Some(record) = self.endpoints.get_mut(backend) {
            record.service_times.reset();
            record.load.reset_limit(self.limiter.initial_limit());
            record.weights.restart_exploration(ejection.until);
        }
        let seconds = ejection.seconds;
        actions.push(Action::Log(LogEvent::BackendEjected { backend, seconds }));
        self.estimation.split.mark_stale();
    }
}

/// Whether an outcome counts as a failure, for which the backend can be ejected.
fn is_failure(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Timeout
    )
}
