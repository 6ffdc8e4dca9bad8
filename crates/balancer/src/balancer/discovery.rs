//! Changes of the endpoint list, and when to poll it again after a failure.

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

/// Longest wait after a failed poll. A change counts as notified 6 s after discovery had it and
/// could be reached (protocol page); of these, 2 s are left for the poll.
const MAX_BACKOFF: Nanos = 3_990_000_000;

/// Part of the poll interval that the first wait after a failure is.
const FIRST_BACKOFF_DIVISOR: Nanos = 20;

/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 3;

/// Waits between polls that fail: exponential backoff with jitter.
#[derive(Default)]
pub(super) struct PollBackoff {
    /// Failures in a row.
    consecutive_failures: u32,
}

impl PollBackoff {
    /// A poll has succeeded.
    fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// A poll has failed; returns how long to wait. The jitter, from 0.5 to 1.5, keeps many proxies
    /// from polling in step.
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
    /// Takes in the endpoint list or changes to it.
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
            let slow_start = SlowStartTokens::new(uniform(random));
            EndpointRecord::new(endpoint, load, slow_start, PickWeights::new(now))
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

    /// Where connections to a draining backend must close: at once, and again within the stated
    /// time for a connection that is not idle yet. Called at the notice and at the end of each
    /// attempt there.
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

    /// Polls again after a backoff; the list that is known stays in force.
    pub(super) fn on_discovery_failed(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.settings.poll_endpoints {
            return;
        }
        let interval = self.settings.rules.poll_interval;
        let wait = self.poll_backoff.next_wait(interval, &mut self.random);
        let poll_at = now.saturating_add(wait.saturating_add(self.settings.tick));
        self.timers.schedule(poll_at, Task::PollEndpoints);
        if self.poll_backoff.is_first_failure() {
            actions.push(Action::Log(LogEvent::DiscoveryUnreachable));
        }
    }
}
