//! Updates of the endpoint list, and the backoff of polls after a failure.

use rand_xoshiro::Xoshiro256PlusPlus;

use crate::action::{Action, LogEvent};
use crate::concurrency_limiter::BackendLoad;
use crate::endpoint_list::EndpointRecord;
use crate::event::{Endpoint, UpdateKind};
use crate::ids::{BackendId, Nanos};
use crate::optimal_split::PickWeights;
use crate::pick::uniform;
use crate::slow_start::SlowStartTokens;

use super::{Balancer, Task};

/// Longest wait after a failed poll, in nanoseconds. A change counts as notified 6 s after the
/// change is in the list and discovery is reachable (protocol page). This leaves time for one poll
/// that discovery rejects after its 3 s, and for the poll after it.
const MAX_BACKOFF: Nanos = 1_400_000_000;

/// The first wait after a failure is the poll interval divided by this.
const FIRST_BACKOFF_DIVISOR: Nanos = 20;

/// Maximum number of times that the wait is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff with jitter between failed polls.
#[derive(Default)]
pub(super) struct PollBackoff {
    /// Failed polls since the last successful one.
    consecutive_failures: u32,
}

impl PollBackoff {
    /// Resets the backoff after a successful poll.
    fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Counts a failed poll and returns the wait before the next one, in nanoseconds. A jitter
    /// factor between 0.5 and 1.5 keeps many proxies from polling at the same time.
    fn next_wait(&mut self, poll_interval: Nanos, random: &mut Xoshiro256PlusPlus) -> Nanos {
        let first_wait = poll_interval / FIRST_BACKOFF_DIVISOR;
        let max_before_jitter = MAX_BACKOFF / 3 * 2;
        let wait = first_wait.saturating_mul(1 << self.consecutive_failures.min(MAX_DOUBLINGS));
        let wait = wait.min(max_before_jitter) as f64;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        (wait * (0.5 + uniform(random))) as Nanos
    }

    fn is_first_failure(&self) -> bool {
        self.consecutive_failures == 1
    }
}

impl Balancer {
    /// Applies a new endpoint list, or changes to the known one.
    pub(super) fn on_endpoint_update(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind != UpdateKind::Cached {
            self.poll_backoff.reset();
        }
        let initial_limit = self.limiter.initial_limit();
        let random = &mut self.random;
        let no_longer_ready = self.endpoints.apply(kind, endpoints, |endpoint| {
            let load = BackendLoad::new(initial_limit);
            let slow_start_tokens = SlowStartTokens::new(uniform(random));
            EndpointRecord::new(endpoint, load, slow_start_tokens, PickWeights::new(now))
        });
        for backend in no_longer_ready {
            self.close_idle_connections(now, backend, actions);
        }
        self.estimation.subset.mark_stale();
        if self.endpoints.ready().next().is_none() {
            actions.push(Action::Log(LogEvent::NoBackendReady));
        }
        self.estimation.split.mark_stale();
    }

    /// Closes the idle connections to a backend that is draining or removed, if the rules demand
    /// it: now, and again after half of the permitted time for connections that are busy now.
    /// Called when the backend leaves the ready state, and then whenever an attempt at the backend
    /// ends.
    pub(super) fn close_idle_connections(
        &mut self,
        now: Nanos,
        backend: BackendId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(close_within) = self.settings.rules.drain_close_within {
            actions.push(Action::CloseIdleConnections { backend });
            let close_again_at = now.saturating_add(close_within / 2);
            self.timers
                .schedule(close_again_at, Task::CloseIdleConnections(backend));
        }
    }

    /// If the endpoint list is polled, schedules another poll after a backoff, and logs the first
    /// failure since the last successful poll. The known list stays in use.
    pub(super) fn on_discovery_failed(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.settings.poll_endpoints {
            return;
        }
        let interval = self.settings.rules.poll_interval;
        let wait = self.poll_backoff.next_wait(interval, &mut self.random);
        let watch_at = now.saturating_add(wait.saturating_add(self.settings.tick));
        self.timers.schedule(watch_at, Task::WatchEndpoints);
        if self.poll_backoff.is_first_failure() {
            actions.push(Action::Log(LogEvent::DiscoveryUnreachable));
        }
    }
}
