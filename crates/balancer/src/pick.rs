//! Picks the backend of one attempt: an independent random draw, weighted by the shares of the
//! optimal split and by the exploration weights, among the backends that may receive an attempt
//! now.
//!
//! Random draws are passed in as arguments, so that equal draws give equal picks. Backends that are
//! known to be idle are preferred, as an attempt does not wait there. The caller decides whether
//! this proxy may start another attempt at all.

use rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::candidates::Candidates;
use crate::concurrency_limiter::OVERLOAD_RATIO;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::ids::{BackendId, Nanos};
use crate::legality;
use crate::outlier_detector::OutlierDetector;
use crate::request_table::PendingRequest;
use crate::settings::{Class, Idempotency, Settings};
use crate::slow_start::SlowStart;

/// A random number from [0, 1).
pub(crate) fn uniform(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Random draws for a pick among the candidates, from [0, 1) each.
pub(crate) struct CandidateDraws {
    /// Decides between exploration and the shares: a draw below the summed exploration weights
    /// explores.
    explore: f64,
    /// Selects the backend to explore, as a fraction of the summed exploration weights.
    explored_fraction: f64,
    /// Selects the backend by share, as a fraction of the summed weights.
    share_fraction: f64,
}

impl CandidateDraws {
    /// Draws the numbers in a fixed order, on which recorded decisions depend.
    pub(crate) fn new(random: &mut Xoshiro256PlusPlus) -> CandidateDraws {
        let (explore, explored_fraction) = (uniform(random), uniform(random));
        CandidateDraws {
            explore,
            explored_fraction,
            share_fraction: uniform(random),
        }
    }
}

/// Random draws for a pick among the whole list, from [0, 1) each.
pub(crate) struct FullScanDraws {
    /// Decides between exploration and the shares: a draw below the summed exploration weights
    /// explores.
    explore: f64,
    /// Selects the backend, as a fraction of the summed weights.
    fraction: f64,
}

impl FullScanDraws {
    /// Draws the numbers in a fixed order, on which recorded decisions depend.
    pub(crate) fn new(random: &mut Xoshiro256PlusPlus) -> FullScanDraws {
        FullScanDraws {
            explore: uniform(random),
            fraction: uniform(random),
        }
    }
}

/// Inputs of the pick for one request, besides the random draws.
pub(crate) struct Picker<'a> {
    pub(crate) now: Nanos,
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointList,
    pub(crate) outliers: &'a OutlierDetector,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) pending: &'a PendingRequest,
    /// Whether this proxy's share of a backend's concurrency limit is less than one attempt.
    pub(crate) limit_is_below_one: bool,
    /// Longest latency objective of a class.
    pub(crate) longest_objective: Nanos,
}

impl Picker<'_> {
    /// Picks a backend to explore, with a probability that is the sum of the exploration weights,
    /// or otherwise a backend of the split by its share. If the backend to explore can't be used
    /// and the sum is below 1, a backend of the split is picked instead. `None` if no backend is
    /// found that is usable now and to which the request was not sent before.
    pub(crate) fn among_candidates(
        &self,
        candidates: &Candidates,
        draws: &CandidateDraws,
    ) -> Option<BackendId> {
        let is_eligible = |record: &&EndpointRecord| {
            !self.pending.was_attempted_at(record.id()) && self.is_usable(record)
        };
        let exploration_sum = candidates.exploration_sum();
        if draws.explore < exploration_sum {
            let drawn = candidates.explored_at(draws.explored_fraction);
            let drawn = drawn
                .and_then(|id| self.endpoints.get(id))
                .filter(is_eligible);
            let is_not_failing = |record: &&EndpointRecord| {
                record.failure_history.is_not_failing() || !self.avoids_failing()
            };
            if let Some(record) = drawn.filter(is_not_failing) {
                return Some(record.id());
            }
            if exploration_sum >= 1.0 {
                return None;
            }
        }
        let support = candidates
            .support()
            .iter()
            .filter_map(|id| self.endpoints.get(*id));
        let mut pool: Vec<&EndpointRecord> = support.filter(is_eligible).collect();
        self.prefer_not_failing(&mut pool);
        self.by_share(&pool, draws.share_fraction)
    }

    /// Picks from the whole endpoint list; backends to which the request was not sent before are
    /// preferred. `None` if no backend is usable now.
    pub(crate) fn among_all(&self, draws: &FullScanDraws) -> Option<BackendId> {
        let mut pool: Vec<&EndpointRecord> = self
            .endpoints
            .iter()
            .filter(|record| self.is_usable(record))
            .collect();
        self.prefer_unattempted(&mut pool);
        self.prefer_not_failing(&mut pool);
        let exploration_sum: f64 = pool.iter().map(|record| record.weights.exploration()).sum();
        let uses_shares = draws.explore >= exploration_sum.min(1.0);
        let drawn = if uses_shares {
            self.by_share(&pool, draws.fraction)
        } else {
            None
        };
        drawn
            .or_else(|| pick_weighted(&pool, draws.fraction, |record| record.weights.exploration()))
            .or_else(|| pick_weighted(&pool, draws.fraction, |_| 1.0))
    }

    /// Whether an attempt of this request may go to the backend now, and the backend is not ejected
    /// and has capacity. An ejected backend has no share, but if ejection was not checked here, the
    /// backend would receive every attempt that finds no capacity elsewhere.
    fn is_usable(&self, record: &EndpointRecord) -> bool {
        !self.outliers.is_ejected(self.now, &record.failure_history)
            && record.load.has_capacity()
            && legality::may_attempt(self.now, self.settings, self.pending, record.endpoint())
            && self.slow_start.allows(self.now, record)
    }

    /// Whether this request avoids failing backends, those with a failure since their last
    /// completion. A request that must not be executed twice should not be the one that tests
    /// whether such a backend has recovered. Always `false` if no class may be executed twice, or
    /// if many proxies share each backend, as a timeout then indicates load.
    fn avoids_failing(&self) -> bool {
        let is_not_idempotent = |class: &Class| class.idempotency == Idempotency::NotIdempotent;
        let classes = &self.settings.classes;
        is_not_idempotent(&classes[self.pending.class()])
            && !classes.iter().all(is_not_idempotent)
            && !self.limit_is_below_one
    }

    /// Removes failing backends from the pool if others remain and the request avoids them.
    fn prefer_not_failing(&self, pool: &mut Vec<&EndpointRecord>) {
        let is_not_failing = |record: &&EndpointRecord| record.failure_history.is_not_failing();
        if self.avoids_failing() && pool.iter().any(is_not_failing) {
            pool.retain(is_not_failing);
        }
    }

    /// Removes backends to which the request was sent before, if others remain.
    fn prefer_unattempted(&self, pool: &mut Vec<&EndpointRecord>) {
        let was_attempted = |record: &&EndpointRecord| self.pending.was_attempted_at(record.id());
        if !self.pending.attempts.is_empty() && !pool.iter().all(was_attempted) {
            pool.retain(|record| !was_attempted(record));
        }
    }

    /// Picks by share; backends with no attempt of this proxy in flight come first.
    fn by_share(&self, pool: &[&EndpointRecord], fraction: f64) -> Option<BackendId> {
        self.fast_and_idle(pool, fraction)
            // Next come the preferred backends that this proxy knows to be idle: an attempt does
            // not wait there.
            .or_else(|| {
                pick_weighted(pool, fraction, |record| {
                    weight_if(is_preferred_and_idle(record), record.weights.share())
                })
            })
            // A backend without a share by formula (9) is slow, but an idle one starts an attempt
            // at once. Overloaded backends are left out.
            .or_else(|| {
                pick_weighted(pool, fraction, |record| {
                    let is_not_overloaded = record.load.latency_ratio() < OVERLOAD_RATIO;
                    weight_if(
                        is_preferred_and_idle(record) && is_not_overloaded,
                        record.weights.service_rate(),
                    )
                })
            })
            .or_else(|| pick_weighted(pool, fraction, |record| record.weights.share()))
    }

    /// Picks a backend with no attempt of this proxy in flight whose last answer was recent and
    /// faster than the mean of its class: it is probably still idle. Applies only where many
    /// proxies share a backend, and only to requests of high weight, which may use the reserve of
    /// admission tokens.
    fn fast_and_idle(&self, pool: &[&EndpointRecord], fraction: f64) -> Option<BackendId> {
        if !self.limit_is_below_one || self.pending.admission_cost.keeps_reserve() {
            return None;
        }
        let since = self.now.saturating_sub(self.longest_objective);
        pick_weighted(pool, fraction, |record| {
            let is_fast_and_idle = record.load.is_idle() && record.load.was_fast_since(since);
            weight_if(is_fast_and_idle, record.weights.service_rate())
        })
    }
}

/// Whether this proxy prefers the backend and has no attempt in flight there.
fn is_preferred_and_idle(record: &EndpointRecord) -> bool {
    record.subset_position.is_preferred() && record.load.is_idle()
}

fn weight_if(condition: bool, weight: f64) -> f64 {
    if condition { weight } else { 0.0 }
}

/// Picks the backend of `pool` at which the running sum of the weights exceeds `fraction` (0 to 1)
/// of the total, or the last one with a weight. `None` if the total is not positive.
fn pick_weighted(
    pool: &[&EndpointRecord],
    fraction: f64,
    weight: impl Fn(&EndpointRecord) -> f64,
) -> Option<BackendId> {
    let sum: f64 = pool.iter().map(|record| weight(record)).sum();
    let mut remaining = fraction * sum;
    let mut last = None;
    for record in pool.iter().filter(|record| weight(record) > 0.0) {
        last = Some(record.id());
        remaining -= weight(record);
        if remaining < 0.0 {
            break;
        }
    }
    last
}
