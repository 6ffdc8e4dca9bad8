//! The queue of requests that wait for admission, and their order.
//!
//! Requests with the highest weight in relation to their usual work come first; requests beyond the
//! quota of their tenant and retries by the client come later. Among requests of equal weight the
//! newest comes first: during an overload, first come, first served would answer every request just
//! too late, so the oldest ones are given up instead. Age is a sequence number that the queue
//! assigns, as request ids have no order in time.
//!
//! The queue does not decide how many requests are admitted; see
//! [`AdmissionRate`](crate::admission_rate) and
//! [`ConcurrencyLimiter`](crate::concurrency_limiter::ConcurrencyLimiter).

use std::collections::BTreeSet;

pub(crate) use crate::admission_rate::AdmissionCost;
use crate::class_statistics::ClassStatistics;
use crate::event::Request;
use crate::ids::{RequestId, TenantId};
use crate::settings::Settings;

/// Minimum weight of a request that may use the reserved tokens, as a fraction of the highest
/// weight of a class.
const RESERVE_WEIGHT_FRACTION: f64 = 0.5;

/// Number of low bits of a weight that the order ignores: weights within the same step, of about a
/// fifth, count as equal. Otherwise small changes of a class's unloaded latency, by which weights
/// are divided, would decide the order within the class.
const IGNORED_WEIGHT_BITS: u32 = 50;

/// Position in the queue: by weight, then by age. Both are inverted, so that the highest weight and
/// the newest request sort first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    inverted_weight: u64,
    inverted_sequence: u64,
}

/// A queued request and its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    position: QueuePosition,
    pub(crate) request: RequestId,
}

impl QueueEntry {
    /// Entry that sorts before every other one.
    pub(crate) const FIRST: QueueEntry = QueueEntry {
        position: QueuePosition {
            inverted_weight: 0,
            inverted_sequence: 0,
        },
        request: RequestId(0),
    };

    /// Returns an entry that sorts directly after this one and before all later ones.
    pub(crate) fn successor(self) -> QueueEntry {
        QueueEntry {
            request: RequestId(self.request.0.saturating_add(1)),
            ..self
        }
    }
}

/// The queued requests, and the quotas of the tenants.
pub(crate) struct AdmissionQueue {
    entries: BTreeSet<QueueEntry>,
    /// Sequence number of the last position assigned; 0 before the first.
    last_sequence: u64,
    /// For each tenant, the number of requests that its quota still allows.
    quota_tokens: Vec<f64>,
    proxy_count: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue for `tenant_count` tenants.
    pub(crate) fn new(tenant_count: usize, proxy_count: f64) -> AdmissionQueue {
        let quota_tokens = vec![0.0; tenant_count];
        AdmissionQueue {
            entries: BTreeSet::new(),
            last_sequence: 0,
            quota_tokens,
            proxy_count,
        }
    }

    /// Refills the quotas for `elapsed_seconds`, up to one second of quota or one request,
    /// whichever is more. Each proxy has an equal share of a quota.
    pub(crate) fn refill_quotas(&mut self, settings: &Settings, elapsed_seconds: f64) {
        for (tokens, tenant) in self.quota_tokens.iter_mut().zip(&settings.tenants) {
            let rate = tenant.quota_per_second / self.proxy_count;
            *tokens = (*tokens + rate * elapsed_seconds).min(rate.max(1.0));
        }
    }

    /// Returns the queue position of a request that is received now, and its admission cost; the
    /// request counts against the quota of its tenant. A request of low weight must leave the
    /// reserved tokens to others. `is_late` tells whether the latency objective of the request,
    /// counted from the client's first try, has already passed.
    pub(crate) fn position_and_cost(
        &mut self,
        request: &Request,
        is_late: bool,
        settings: &Settings,
        classes: &[ClassStatistics],
    ) -> (QueuePosition, AdmissionCost) {
        let class = usize::from(request.class.0);
        let class_weight = |class: usize| work_adjusted_weight(class, settings, classes);
        let highest_weight = (0..classes.len())
            .filter(|class| classes[*class].has_latency())
            .map(class_weight)
            .fold(0.0, f64::max);
        let mut weight = class_weight(class);
        if !self.take_quota_token(request.tenant) {
            weight *= settings.over_quota_weight;
        }
        // A retry by the client usually comes when its first try has used up most of the latency
        // objective; its lower weight keeps capacity from being spent on answers that no longer
        // count. A retry after a fast failure has the lower weight too, and waits behind others
        // during an overload.
        if request.client_retry || is_late {
            weight *= settings.classes[class].late_priority_weight.clamp(0.0, 1.0);
        }
        self.last_sequence += 1;
        let position = QueuePosition {
            inverted_weight: u64::MAX - (weight.max(0.0).to_bits() >> IGNORED_WEIGHT_BITS),
            inverted_sequence: u64::MAX - self.last_sequence,
        };
        let cost = if weight < RESERVE_WEIGHT_FRACTION * highest_weight {
            AdmissionCost::KEEPS_RESERVE
        } else {
            AdmissionCost::MAY_USE_RESERVE
        };
        (position, cost)
    }

    /// Takes one request from the quota of a tenant; returns `false` if the quota is used up. A
    /// tenant that is not in the settings has no quota and is never limited.
    fn take_quota_token(&mut self, tenant: TenantId) -> bool {
        let Some(tokens) = self.quota_tokens.get_mut(usize::from(tenant.0)) else {
            return true;
        };
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Queues a request at a position that [`position_and_cost`](Self::position_and_cost) returned.
    pub(crate) fn insert(&mut self, position: QueuePosition, request: RequestId) {
        self.entries.insert(QueueEntry { position, request });
    }

    /// Removes a request from the queue; does nothing if it is not queued.
    pub(crate) fn remove(&mut self, position: QueuePosition, request: RequestId) {
        self.entries.remove(&QueueEntry { position, request });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The first entry at or after `from`; `None` if no entry follows.
    pub(crate) fn first_from(&self, from: QueueEntry) -> Option<QueueEntry> {
        self.entries.range(from..).next().copied()
    }
}

/// Weight of a class divided by its usual work, which is its unloaded latency in seconds. Not
/// divided if [`Settings::weight_per_unit_of_work`] is set.
fn work_adjusted_weight(class: usize, settings: &Settings, classes: &[ClassStatistics]) -> f64 {
    let is_per_unit = settings.weight_per_unit_of_work;
    let usual_work = if is_per_unit {
        1.0
    } else {
        classes[class].unloaded_latency().max(1e-3)
    };
    settings.classes[class].priority_weight / usual_work
}

#[cfg(test)]
#[path = "admission_queue_tests.rs"]
mod tests;
