//! The balancer: receives events, passes them to the components that decide, and returns actions.
//!
//! Each decision is made by a type with its own state, stored in a field of [`Balancer`]; the
//! balancer only connects them. Requests are normally split by the estimated service rates of the
//! backends; see `docs/design.md`.

mod attempts;
mod discovery;
mod requests;
mod weights;

use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::action::Action;
use crate::admission_queue::{AdmissionCost, AdmissionQueue, QueueEntry};
use crate::admission_rate::AdmissionRate;
use crate::class_statistics::ClassStatistics;
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::estimator::Estimator;
use crate::event::Event;
use crate::ids::{BackendId, Nanos, RequestId};
use crate::optimal_split::OptimalSplit;
use crate::outlier_detector::OutlierDetector;
use crate::request_table::RequestTable;
use crate::retry_policy::RetryPolicy;
use crate::settings::{Settings, SettingsError};
use crate::slow_start::SlowStart;
use crate::subset::Subset;
use crate::timer_queue::TimerQueue;
use crate::timescale::{Timescale, seconds};
use attempts::EndedAttempt;
use discovery::PollBackoff;

/// Number of queued requests that may find no backend before the remaining ones wait for the next
/// event.
const MAX_FAILED_PICKS: usize = 3;

/// A task scheduled for later. Tasks due at the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// Watch the endpoint list: at the start, and again after a failed poll. Scheduled only if
    /// [`Settings::poll_endpoints`] is set.
    WatchEndpoints,
    /// Check whether a queued request can no longer be answered in time, or whether the attempt of
    /// a request is overdue.
    CheckTimeouts(RequestId),
    /// Close the idle connections to a backend that is draining or removed.
    CloseIdleConnections(BackendId),
    /// Wake up to admit queued requests.
    AdmitQueued,
}

/// Decides for one proxy which backend gets each request, when to retry and when to reject.
///
/// A balancer receives [`Event`]s with their times and returns [`Action`]s. It does no I/O and
/// reads no clock; equal settings, seeds and events give equal actions. Times must not decrease: an
/// event with an earlier time decays no counts and refills no tokens.
pub struct Balancer {
    settings: Settings,
    timescale: Timescale,
    random: Xoshiro256PlusPlus,
    timers: TimerQueue<Task>,
    /// Time of the latest event, at which the counts were last decayed.
    decayed_at: Nanos,
    requests: RequestTable,
    endpoints: EndpointList,
    poll_backoff: PollBackoff,
    classes: Vec<ClassStatistics>,
    estimation: Estimation,
    limiter: ConcurrencyLimiter,
    outliers: OutlierDetector,
    slow_start: SlowStart,
    admission: Admission,
    retries: RetryPolicy,
}

/// The components that determine the weight with which each backend is picked.
struct Estimation {
    estimator: Estimator,
    subset: Subset,
    split: OptimalSplit,
}

/// The components that decide which request is admitted, and when.
struct Admission {
    queue: AdmissionQueue,
    rate: AdmissionRate,
}

impl Balancer {
    /// Creates a balancer at the time `now`; `seed` seeds its random draws.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Settings::check`] if a setting is invalid.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let timescale = Timescale::new(&settings, now);
        let proxy_count = f64::from(settings.proxy_count.max(1));
        let mut timers = TimerQueue::default();
        if settings.poll_endpoints {
            timers.schedule(now, Task::WatchEndpoints);
        }
        let has_cross_zone_cost = settings.cross_zone_cost > 0.0;
        Ok(Balancer {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            timers,
            decayed_at: now,
            requests: RequestTable::default(),
            endpoints: EndpointList::default(),
            poll_backoff: PollBackoff::default(),
            classes: vec![ClassStatistics::default(); settings.classes.len()],
            estimation: Estimation {
                estimator: Estimator::new(timescale),
                subset: Subset::new(&settings, proxy_count),
                split: OptimalSplit::new(
                    settings.zone,
                    has_cross_zone_cost,
                    settings.tick,
                    &timescale,
                ),
            },
            limiter: ConcurrencyLimiter::new(proxy_count, timescale.shortest_objective),
            outliers: OutlierDetector::new(&timescale),
            slow_start: SlowStart::new(&settings.rules, &timescale, proxy_count),
            admission: Admission {
                queue: AdmissionQueue::new(settings.tenants.len(), proxy_count),
                rate: AdmissionRate::new(timescale, settings.tick),
            },
            retries: RetryPolicy::default(),
            timescale,
            settings,
        })
    }

    /// Processes an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.decay(now);
        self.dispatch(now, event, actions);
        self.admit_queued(now, actions);
        self.run_due_tasks(now, actions);
        if let Some(armed) = self.timers.arm() {
            actions.push(Action::SetTimer {
                at: armed.at,
                timer: armed.timer,
            });
        }
    }

    fn dispatch(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_endpoint_update(now, kind, endpoints, actions);
            }
            Event::DiscoveryFailed => self.on_discovery_failed(now, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::FirstByte { request, .. } => self.on_first_byte(request),
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                ..
            } => {
                let ended = EndedAttempt {
                    request,
                    attempt,
                    latency,
                    outcome,
                    finished,
                };
                self.on_attempt_ended(now, &ended, actions);
            }
            Event::ClientDisconnected { request } => self.close(request, actions),
            Event::Timer { timer } => self.timers.on_fired(timer),
            Event::HealthCheckEnded { .. } | Event::GossipReceived { .. } => {}
        }
    }

    fn run_due_tasks(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(task) = self.timers.pop_due(now) {
            match task {
                Task::WatchEndpoints => actions.push(Action::WatchEndpoints(true)),
                Task::CheckTimeouts(id) => self.check_timeouts(now, id, actions),
                // The task only causes a timer event: queued requests are admitted at every event.
                Task::AdmitQueued => {}
                Task::CloseIdleConnections(backend) => {
                    actions.push(Action::CloseIdleConnections { backend });
                }
            }
        }
    }

    /// Number of picks so far that scanned the whole endpoint list. The cost of such a pick grows
    /// with the length of the list.
    pub fn full_scans(&self) -> u64 {
        self.estimation.split.full_scans()
    }

    /// Decays the counts, raises the minimum latencies, and refills the admission tokens and the
    /// quotas for the time that has passed since the last call. Does nothing if no time has passed.
    fn decay(&mut self, now: Nanos) {
        let elapsed_seconds = seconds(now.saturating_sub(self.decayed_at));
        if elapsed_seconds <= 0.0 {
            return;
        }
        let decay_factor = (-elapsed_seconds / self.timescale.arrival_window()).exp();
        self.estimation.estimator.decay(decay_factor);
        self.admission.rate.decay(decay_factor);
        self.admission.rate.refill(now, elapsed_seconds);
        self.admission
            .queue
            .refill_quotas(&self.settings, elapsed_seconds);
        for class in &mut self.classes {
            class.raise_minimums(elapsed_seconds, self.timescale.longest_objective);
        }
        self.decayed_at = now;
    }

    /// Whether no further attempt may be started at this admission cost. If this proxy's share of a
    /// backend's limit is less than one attempt, the admission rate decides, otherwise the
    /// concurrency limits.
    fn is_full(&self, cost: AdmissionCost) -> bool {
        if self.limiter.is_below_one() {
            !self.admission.rate.covers(cost)
        } else {
            self.limiter.is_full()
        }
    }

    /// Starts attempts for queued requests until no capacity is left, or until no backend is found
    /// for [`MAX_FAILED_PICKS`] of them.
    fn admit_queued(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.estimation.split.is_due(now, self.endpoints.len()) {
            self.renew_weights(now);
        }
        let has_capacity = |record: &EndpointRecord| record.load.has_capacity();
        if self.admission.queue.is_empty() || !self.endpoints.iter().any(has_capacity) {
            return;
        }
        let mut failed_picks = 0;
        let mut from = QueueEntry::FIRST;
        while failed_picks < MAX_FAILED_PICKS
            && let Some(next) = self.admission.queue.first_from(from)
            && !self.is_full(self.admission_cost(next.request))
        {
            let started = self.start_attempt(now, next.request, actions);
            failed_picks += usize::from(!started);
            from = next.successor();
        }
        self.schedule_admission(now);
    }

    /// Schedules a wake-up for when the first queued request can be admitted, if the admission rate
    /// decides about it rather than the concurrency limits.
    fn schedule_admission(&mut self, now: Nanos) {
        if !self.limiter.is_below_one() {
            return;
        }
        let Some(first) = self.admission.queue.first_from(QueueEntry::FIRST) else {
            return;
        };
        let cost = self.admission_cost(first.request);
        if let Some(wake_at) = self.admission.rate.next_wake(now, cost) {
            self.timers.schedule(wake_at, Task::AdmitQueued);
        }
    }

    fn admission_cost(&self, id: RequestId) -> AdmissionCost {
        self.requests
            .get(id)
            .expect("queued requests are pending")
            .admission_cost
    }
}

#[cfg(test)]
#[path = "balancer_tests.rs"]
mod tests;
