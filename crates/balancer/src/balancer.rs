//! The balancer: takes events, keeps the parts of the decision informed, and gives actions.
//!
//! It wires the decisions and makes none: each is a type with its own state, named in the fields
//! of [`Balancer`]. The ordinary path is the rate-learning splitter of `docs/design.md`.

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

/// Queued requests in a row that find no backend before the others wait for the next event.
const MAX_FAILED_PICKS: usize = 3;

/// What is to be done later. Tasks of one time come in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// Watch or poll the endpoint list.
    PollEndpoints,
    /// Look again at a request that waits, or whose attempt takes long.
    CheckTimeouts(RequestId),
    /// Close the idle connections to a backend that drains.
    CloseIdleConnections(BackendId),
    /// See whether queued requests can be admitted.
    AdmitQueued,
}

/// The decisions of one proxy.
///
/// Fed with [`Event`]s and their times, it answers with [`Action`]s. It does no I/O and reads no
/// clock; equal events give equal actions. Times must not run backwards; an earlier one counts as
/// the latest that was given.
pub struct Balancer {
    settings: Settings,
    timescale: Timescale,
    random: Xoshiro256PlusPlus,
    timers: TimerQueue<Task>,
    /// When counts were last decayed.
    refreshed_at: Nanos,
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

/// The parts that decide with what weight each backend is picked.
struct Estimation {
    estimator: Estimator,
    subset: Subset,
    split: OptimalSplit,
}

/// The parts that decide which request is admitted, and when.
struct Admission {
    queue: AdmissionQueue,
    rate: AdmissionRate,
}

impl Balancer {
    /// Starts a balancer at `now`; `seed` seeds its random draws.
    ///
    /// # Errors
    ///
    /// If [`Settings::check`] finds a setting that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let timescale = Timescale::new(&settings, now);
        let proxy_count = f64::from(settings.proxy_count.max(1));
        let mut timers = TimerQueue::default();
        if settings.poll_endpoints {
            timers.schedule(now, Task::PollEndpoints);
        }
        let has_cross_zone_cost = settings.cross_zone_cost > 0.0;
        Ok(Balancer {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            timers,
            refreshed_at: now,
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

    /// Takes one event that happened at `now` and appends what is to be done to `actions`.
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
            Event::Timer { timer } => self.timers.fired(timer),
            Event::HealthCheckEnded { .. } | Event::GossipReceived { .. } => {}
        }
    }

    fn run_due_tasks(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(task) = self.timers.pop_due(now) {
            match task {
                Task::PollEndpoints => actions.push(Action::WatchEndpoints(true)),
                Task::CheckTimeouts(id) => self.check_timeouts(now, id, actions),
                // The timer alone was wanted: each event admits queued requests.
                Task::AdmitQueued => {}
                Task::CloseIdleConnections(backend) => {
                    actions.push(Action::CloseIdleConnections { backend });
                }
            }
        }
    }

    /// Picks that had to look at the whole endpoint list so far: their cost grows with it.
    pub fn full_scans(&self) -> u64 {
        self.estimation.split.full_scans()
    }

    /// Once for each time: decays what was counted and fills up what is granted with time.
    fn decay(&mut self, now: Nanos) {
        let elapsed_seconds = seconds(now.saturating_sub(self.refreshed_at));
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
        self.refreshed_at = now;
    }

    /// Whether no further attempt may be in flight. Where this proxy's share of a backend is less
    /// than one attempt, the admission rate decides in place of the limits.
    fn is_full(&self, cost: AdmissionCost) -> bool {
        if self.limiter.is_below_one() {
            !self.admission.rate.covers(cost)
        } else {
            self.limiter.is_full()
        }
    }

    /// Sends attempts for queued requests, until there is no capacity left.
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

    /// Sets a timer for when the first queued request can be admitted, where the admission rate
    /// decides.
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
