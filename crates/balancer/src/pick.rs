//! Picks a backend for one attempt: an independent draw by the shares of the optimal split and the
//! weights of exploration, among the backends that may be sent to now.
//!
//! Random numbers come in as arguments, so that equal draws give equal picks. Within the draw,
//! backends that are known to be idle go first, as there is no wait at them. It never decides
//! whether there is capacity for another attempt as a whole.

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

/// A draw from [0, 1).
pub(crate) fn uniform(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The draws of a pick among the candidates.
pub(crate) struct CandidateDraws {
    explore: f64,
    explored_fraction: f64,
    share_fraction: f64,
}

impl CandidateDraws {
    /// Draws in the order that recordings rely on.
    pub(crate) fn new(random: &mut Xoshiro256PlusPlus) -> CandidateDraws {
        let (explore, explored_fraction) = (uniform(random), uniform(random));
        CandidateDraws {
            explore,
            explored_fraction,
            share_fraction: uniform(random),
        }
    }
}

/// The draws of a pick among the whole list.
pub(crate) struct FullScanDraws {
    explore: f64,
    fraction: f64,
}

impl FullScanDraws {
    /// Draws in the order that recordings rely on.
    pub(crate) fn new(random: &mut Xoshiro256PlusPlus) -> FullScanDraws {
        FullScanDraws {
            explore: uniform(random),
            fraction: uniform(random),
        }
    }
}

/// All that a pick for one request looks at.
pub(crate) struct Picker<'a> {
    pub(crate) now: Nanos,
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointList,
    pub(crate) outliers: &'a OutlierDetector,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) pending: &'a PendingRequest,
    /// Whether this proxy's share of a backend is less than one attempt.
    pub(crate) limit_is_below_one: bool,
    /// Longest latency objective.
    pub(crate) longest_objective: Nanos,
}

impl Picker<'_> {
    /// Picks among the support set, or explores. `None` where neither finds a backend that is legal
    /// now and that the request was not attempted at.
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

    /// Picks among the whole list.
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

    /// Whether an attempt may go to this backend now, and the backend is sound and has capacity.
    /// An ejected one has no share, so it would get all that finds no capacity elsewhere.
    fn is_usable(&self, record: &EndpointRecord) -> bool {
        !self.outliers.is_ejected(self.now, &record.failure_history)
            && record.load.has_capacity()
            && legality::may_attempt(self.now, self.settings, self.pending, record.endpoint())
            && self.slow_start.allows(self.now, record)
    }

    /// Whether this request should not be the one that finds out if a backend that failed is sound
    /// again, as it must not be executed twice. Not where many proxies share a backend: a timeout
    /// there tells of load.
    fn avoids_failing(&self) -> bool {
        let is_not_idempotent = |class: &Class| class.idempotency == Idempotency::NotIdempotent;
        let classes = &self.settings.classes;
        is_not_idempotent(&classes[self.pending.class()])
            && !classes.iter().all(is_not_idempotent)
            && !self.limit_is_below_one
    }

    /// Leaves out backends with a failure since their last answer, where others are left.
    fn prefer_not_failing(&self, pool: &mut Vec<&EndpointRecord>) {
        let is_not_failing = |record: &&EndpointRecord| record.failure_history.is_not_failing();
        if self.avoids_failing() && pool.iter().any(is_not_failing) {
            pool.retain(is_not_failing);
        }
    }

    /// Leaves out backends that the request was attempted at, where others are left.
    fn prefer_unattempted(&self, pool: &mut Vec<&EndpointRecord>) {
        let was_attempted = |record: &&EndpointRecord| self.pending.was_attempted_at(record.id());
        if !self.pending.attempts.is_empty() && !pool.iter().all(was_attempted) {
            pool.retain(|record| !was_attempted(record));
        }
    }

    /// Picks by the shares, idle backends first.
    fn by_share(&self, pool: &[&EndpointRecord], fraction: f64) -> Option<BackendId> {
        self.fast_and_idle(pool, fraction)
            // What this proxy knows to be idle goes first: there is no wait at it.
            .or_else(|| {
                pick_weighted(pool, fraction, |record| {
                    weight_if(is_preferred_and_idle(record), record.weights.share())
                })
            })
            // One that (9) leaves out is slow, but there at once; not where it is overloaded.
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

    /// Picks a backend that is idle as far as this proxy knows, and just now was faster than usual:
    /// it is likely idle still. For the most weighty requests of a proxy among many.
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

/// Whether a backend is of this proxy's own stretch and has nothing of it in flight.
fn is_preferred_and_idle(record: &EndpointRecord) -> bool {
    record.subset_position.is_preferred() && record.load.is_idle()
}

fn weight_if(condition: bool, weight: f64) -> f64 {
    if condition { weight } else { 0.0 }
}

/// The one of `pool` at `place`, from 0 to 1, of the summed weights; none where the sum is not
/// positive.
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
