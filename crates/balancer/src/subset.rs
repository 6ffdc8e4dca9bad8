//! Subsetting: which backends this proxy uses, and which of them it prefers.
//!
//! All proxies order the backends of a zone in the same way, by the hash of their names, and each
//! proxy starts at an offset of its own. The proxies exchange no messages, and together they cover
//! the fleet evenly. In each zone, a proxy's subset consists of the first backends in its order, as
//! many as get enough completions for an estimate. In its own zone it prefers a section of backends
//! of its own: as proxies do not know each other's attempts in flight, several could otherwise send
//! to one backend while another one is idle.
//!
//! If attempts to other zones have a cost, few are sent there: all other zones together have as
//! many backends in the subset as the proxy's own zone. If all backends of the subset fail at once,
//! picks fall back to all other backends. This module does not decide whether an attempt is legal.

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::ids::{BackendId, ZoneId};
use crate::settings::Settings;

/// Minimum number of backends of a zone in the subset; set to the value of
/// [`OUTLIER_FAILURES`](crate::outlier_detector::OUTLIER_FAILURES).
const MIN_MEMBERS_PER_ZONE: f64 = crate::outlier_detector::OUTLIER_FAILURES;

/// Position of one backend in this proxy's order of the backend's zone.
#[derive(Clone, Copy, Default)]
pub(crate) struct SubsetPosition {
    /// Rank within the zone, counted from this proxy's offset, as a fraction from 0 to 1; the
    /// backends with the lowest ranks are in the subset.
    relative_rank: f64,
    /// Whether the backend is in the section of the local zone that this proxy prefers.
    is_preferred: bool,
}

impl SubsetPosition {
    /// Whether the backend is in the section of the local zone that this proxy prefers.
    pub(crate) fn is_preferred(&self) -> bool {
        self.is_preferred
    }
}

/// Calculates the subset of one proxy.
pub(crate) struct Subset {
    zone: ZoneId,
    proxy_index: u32,
    proxy_count: f64,
    has_cross_zone_cost: bool,
    /// Whether the endpoint list has changed since positions were calculated.
    is_stale: bool,
}

impl Subset {
    /// Creates a subset; [`renew`](Subset::renew) calculates the positions after a change of the
    /// endpoint list.
    pub(crate) fn new(settings: &Settings, proxy_count: f64) -> Subset {
        Subset {
            zone: settings.zone,
            proxy_index: settings.proxy_index,
            proxy_count,
            has_cross_zone_cost: settings.cross_zone_cost > 0.0,
            is_stale: false,
        }
    }

    /// Marks the positions as outdated: the endpoint list has changed.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Recalculates the position of each backend if the endpoint list has changed.
    pub(crate) fn renew(&mut self, endpoints: &mut EndpointList) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let hashes = sorted_hashes(endpoints);
        let proxies_per_zone = (self.proxy_count / hashes.len().max(1) as f64).max(1.0);
        let offset = f64::from(self.proxy_index) * offset_step(hashes.len(), proxies_per_zone);
        for record in endpoints.iter_mut() {
            let Some(zone_hashes) = hashes.get(&record.endpoint().zone) else {
                continue;
            };
            let rank = zone_hashes.partition_point(|hash| *hash < record.endpoint().hash) as f64;
            let relative_rank = ((rank + 0.5) / zone_hashes.len() as f64 - offset).rem_euclid(1.0);
            let is_local = record.endpoint().zone == self.zone;
            record.subset_position = SubsetPosition {
                relative_rank,
                is_preferred: is_local && relative_rank < 1.0 / proxies_per_zone,
            };
        }
    }

    /// The backends of the subset among the ready and usable ones: the first of each zone in this
    /// proxy's order. Each zone has `estimable_backends` of them, rounded up, or all if it has
    /// fewer; if attempts to other zones have a cost, the other zones divide that number among
    /// themselves. Each zone has at least [`MIN_MEMBERS_PER_ZONE`] if as many are usable.
    pub(crate) fn members(
        &self,
        endpoints: &EndpointList,
        estimable_backends: f64,
        is_usable: impl Fn(&EndpointRecord) -> bool,
    ) -> BTreeSet<BackendId> {
        let mut order: Vec<Candidate> = endpoints
            .ready()
            .filter(|record| is_usable(record))
            .map(Candidate::new)
            .collect();
        order.sort_by(|a, b| {
            a.zone
                .cmp(&b.zone)
                .then(a.relative_rank.total_cmp(&b.relative_rank))
        });
        let zones: Vec<_> = order.chunk_by(|a, b| a.zone == b.zone).collect();
        let max_members =
            |zone: ZoneId| self.zone_member_limit(zone, estimable_backends, zones.len());
        zones
            .iter()
            .flat_map(|zone| zone.iter().take(max_members(zone[0].zone)))
            .map(|candidate| candidate.id)
            .collect()
    }

    /// Maximum number of members of a zone, where `zone_count` zones have usable backends.
    fn zone_member_limit(&self, zone: ZoneId, estimable_backends: f64, zone_count: usize) -> usize {
        let remote_divisor = if self.has_cross_zone_cost {
            zone_count as f64 - 1.0
        } else {
            1.0
        };
        let divisor = if zone == self.zone {
            1.0
        } else {
            remote_divisor.max(1.0)
        };
        (estimable_backends / divisor)
            .max(MIN_MEMBERS_PER_ZONE)
            .ceil() as usize
    }
}

/// A backend that can be in the subset.
struct Candidate {
    zone: ZoneId,
    relative_rank: f64,
    id: BackendId,
}

impl Candidate {
    fn new(record: &EndpointRecord) -> Candidate {
        Candidate {
            zone: record.endpoint().zone,
            relative_rank: record.subset_position.relative_rank,
            id: record.id(),
        }
    }
}

/// Hashes of the ready backends of each zone, in ascending order.
fn sorted_hashes(endpoints: &EndpointList) -> BTreeMap<ZoneId, Vec<u64>> {
    let mut hashes: BTreeMap<ZoneId, Vec<u64>> = BTreeMap::new();
    for record in endpoints.ready() {
        hashes
            .entry(record.endpoint().zone)
            .or_default()
            .push(record.endpoint().hash);
    }
    for zone_hashes in hashes.values_mut() {
        zone_hashes.sort_unstable();
    }
    hashes
}

/// Distance between the offsets of two proxies with successive indices, in rounds of a zone's order
/// of backends; only the fractional part counts. With several zones, it is not known which indices
/// are in a zone; multiples of the golden ratio are spread nearly evenly for most choices of
/// indices.
fn offset_step(zone_count: usize, proxies_per_zone: f64) -> f64 {
    if zone_count > 1 {
        std::f64::consts::GOLDEN_RATIO
    } else {
        1.0 / proxies_per_zone
    }
}

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
