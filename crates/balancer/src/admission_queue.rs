//! The queue of requests that wait to be admitted, and their order.
//!
//! First come those of the highest weight for their work; tenants over their quota and retries that
//! are late come behind. Among equals the newest goes first: in an overload, first come, first
//! served would answer each request just too late. The oldest are given up then. The order is a
//! count of the queue's own, as request ids tell no order.
//!
//! It never decides how many requests are admitted; see [`AdmissionRate`](crate::admission_rate)
//! and [`ConcurrencyLimiter`](crate::concurrency_limiter::ConcurrencyLimiter).

use std::collections::BTreeSet;

pub(crate) use crate::admission_rate::AdmissionCost;
use crate::class_statistics::ClassStatistics;
use crate::event::Request;
use crate::ids::{RequestId, TenantId};
use crate::settings::Settings;

/// Fraction of the highest weight for its work that a request needs to draw on the reserve.
const RESERVE_WEIGHT_FRACTION: f64 = 0.5;

/// Low bits of a weight that don't count in the order: weights within a fifth are equal. Against
/// an order by age where the usual work, which weights are divided by, drifts.
const IGNORED_WEIGHT_BITS: u32 = 50;

/// Place in the queue: weight, then age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    inverted_weight: u64,
    inverted_sequence: u64,
}

/// A queued request and its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    position: QueuePosition,
    pub(crate) request: RequestId,
}

impl QueueEntry {
    /// Sorts before every entry.
    pub(crate) const FIRST: QueueEntry = QueueEntry {
        position: QueuePosition {
            inverted_weight: 0,
            inverted_sequence: 0,
        },
        request: RequestId(0),
    };

    /// Sorts behind this entry and before every other behind it.
    pub(crate) fn successor(self) -> QueueEntry {
        QueueEntry {
            request: RequestId(self.request.0.saturating_add(1)),
            ..self
        }
    }
}

/// Requests that wait, and the quotas of tenants.
pub(crate) struct AdmissionQueue {
    entries: BTreeSet<QueueEntry>,
    /// Requests that were given a place since the start.
    sequence: u64,
    /// For each tenant: requests within its quota that are left.
    quota_tokens: Vec<f64>,
    proxy_count: f64,
}

impl AdmissionQueue {
    /// Empty, for `tenants` tenants.
    pub(crate) fn new(tenant_count: usize, proxy_count: f64) -> AdmissionQueue {
        let quota_tokens = vec![0.0; tenant_count];
        AdmissionQueue {
            entries: BTreeSet::new(),
            sequence: 0,
            quota_tokens,
            proxy_count,
        }
    }

    /// Fills up the quotas over `step` seconds. Each proxy has its part of them.
    pub(crate) fn refill_quotas(&mut self, settings: &Settings, elapsed_seconds: f64) {
        for (tokens, tenant) in self.quota_tokens.iter_mut().zip(&settings.tenants) {
            let rate = tenant.quota_per_second / self.proxy_count;
            *tokens = (*tokens + rate * elapsed_seconds).min(rate.max(1.0));
        }
    }

    /// The place of a request that is received now, and what its admission costs: what can wait
    /// leaves the reserve to what others need at once. `is_late`: its latency objective has passed
    /// before this attempt of its client.
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
        // A retry of the client comes when its first attempt has used up the objective or nearly
        // so: capacity is not spent on answers that count no more. This could harm retries after a
        // fast failure, in an overload only.
        if request.client_retry || is_late {
            weight *= settings.classes[class].late_priority_weight.clamp(0.0, 1.0);
        }
        self.sequence += 1;
        let position = QueuePosition {
            inverted_weight: u64::MAX - (weight.max(0.0).to_bits() >> IGNORED_WEIGHT_BITS),
            inverted_sequence: u64::MAX - self.sequence,
        };
        let cost = if weight < RESERVE_WEIGHT_FRACTION * highest_weight {
            AdmissionCost::KEEPS_RESERVE
        } else {
            AdmissionCost::MAY_USE_RESERVE
        };
        (position, cost)
    }

    /// Whether a request of this tenant is within its quota, which it then uses.
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

    /// Queues a request.
    pub(crate) fn insert(&mut self, position: QueuePosition, request: RequestId) {
        self.entries.insert(QueueEntry { position, request });
    }

    /// Takes a request off the queue.
    pub(crate) fn remove(&mut self, position: QueuePosition, request: RequestId) {
        self.entries.remove(&QueueEntry { position, request });
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The first request at or behind an entry.
    pub(crate) fn first_from(&self, from: QueueEntry) -> Option<QueueEntry> {
        self.entries.range(from..).next().copied()
    }
}

/// Weight of a class for its usual work.
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
