//! The backends that a pick considers, selected in advance so that the cost of a pick does not grow
//! with the endpoint list.
//!
//! The support set consists of the backends that are part of the split by formula (9); exploration
//! gives a small weight to every ready backend that is not ejected. Both are renewed together. A
//! pick then iterates over the support set alone, and finds the backend to explore by a binary
//! search in the cumulative exploration weights. If this yields no backend that is usable now, the
//! caller scans the whole list; the probability of picking each backend stays the same.

use crate::endpoint_list::EndpointRecord;
use crate::ids::BackendId;

/// The support set and the exploration weights, as of the last renewal.
#[derive(Default)]
pub(crate) struct Candidates {
    support: Vec<BackendId>,
    explorations: Vec<ExplorationEntry>,
}

/// A backend and the sum of the exploration weights up to and including its own.
struct ExplorationEntry {
    cumulative_weight: f64,
    backend: BackendId,
}

impl Candidates {
    /// Selects the candidates from `records` and keeps their order. Backends without a weight are
    /// left out.
    pub(crate) fn from_records<'a>(
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let mut cumulative_weight = 0.0;
        for record in records {
            let weights = &record.weights;
            if weights.service_rate() > 0.0 || weights.share() > 0.0 {
                candidates.support.push(record.id());
            }
            if weights.exploration() > 0.0 {
                cumulative_weight += weights.exploration();
                candidates.explorations.push(ExplorationEntry {
                    cumulative_weight,
                    backend: record.id(),
                });
            }
        }
        candidates
    }

    /// Whether no backend has a share, a service rate or an exploration weight.
    pub(crate) fn is_empty(&self) -> bool {
        self.support.is_empty() && self.explorations.is_empty()
    }

    /// The backends that have a share or a service rate.
    pub(crate) fn support(&self) -> &[BackendId] {
        &self.support
    }

    /// Sum of the exploration weights; a sum below 1 is the probability that a pick explores.
    pub(crate) fn exploration_sum(&self) -> f64 {
        self.explorations
            .last()
            .map_or(0.0, |last| last.cumulative_weight)
    }

    /// Selects the backend at which the running sum of the exploration weights exceeds `fraction`
    /// (0 to 1) of the total, or the last one. `None` if no backend has an exploration weight.
    pub(crate) fn explored_at(&self, fraction: f64) -> Option<BackendId> {
        let target_weight = fraction * self.exploration_sum();
        let index = self
            .explorations
            .partition_point(|entry| entry.cumulative_weight <= target_weight);
        self.explorations
            .get(index)
            .or(self.explorations.last())
            .map(|entry| entry.backend)
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
