//! The endpoint list that this proxy knows, with the state that it keeps for each backend.
//!
//! A record consists of parts whose fields are private to the module that uses them for its
//! decision. A removed backend stays in the list until the first update after its last attempt has
//! ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::concurrency_limiter::BackendLoad;
use crate::estimator::ServiceTimes;
use crate::event::{Endpoint, EndpointState, UpdateKind};
use crate::ids::BackendId;
use crate::optimal_split::PickWeights;
use crate::outlier_detector::FailureHistory;
use crate::slow_start::SlowStartTokens;
use crate::subset::SubsetPosition;

/// A backend: its entry in the endpoint list, and the state that each decision keeps for it.
#[derive(Clone, Default)]
pub(crate) struct EndpointRecord {
    endpoint: Endpoint,
    pub(crate) service_times: ServiceTimes,
    pub(crate) load: BackendLoad,
    pub(crate) failure_history: FailureHistory,
    pub(crate) slow_start_tokens: SlowStartTokens,
    pub(crate) subset_position: SubsetPosition,
    pub(crate) weights: PickWeights,
}

impl EndpointRecord {
    /// Creates the record of a new backend, of which only its entry is known.
    pub(crate) fn new(
        endpoint: Endpoint,
        load: BackendLoad,
        slow_start_tokens: SlowStartTokens,
        weights: PickWeights,
    ) -> EndpointRecord {
        EndpointRecord {
            endpoint,
            load,
            slow_start_tokens,
            weights,
            ..EndpointRecord::default()
        }
    }

    /// Entry of the backend in the endpoint list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    pub(crate) fn id(&self) -> BackendId {
        self.endpoint.id
    }

    /// Whether the backend is ready according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    fn is_removed(&self) -> bool {
        self.endpoint.state == EndpointState::Removed
    }

    /// Replaces the entry. If the process was restarted, the state of the old process is dropped
    /// as well, except for its attempts in flight.
    fn update(&mut self, new_record: EndpointRecord) {
        let is_new_process = new_record.endpoint.started_at > self.endpoint.started_at;
        if is_new_process {
            let load = self.load.restarted(new_record.load.concurrency_limit());
            *self = EndpointRecord { load, ..new_record };
        } else {
            self.endpoint = new_record.endpoint;
        }
    }
}

/// All backends that this proxy knows, including removed ones that had attempts in flight at the
/// last update.
#[derive(Default)]
pub(crate) struct EndpointList {
    records: BTreeMap<BackendId, EndpointRecord>,
    /// Removed backends that had attempts in flight at the last update.
    removed_in_flight: BTreeSet<BackendId>,
}

impl EndpointList {
    pub(crate) fn get(&self, id: BackendId) -> Option<&EndpointRecord> {
        self.records.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut EndpointRecord> {
        self.records.get_mut(&id)
    }

    /// All records in the order of the ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// All records in the order of the ids, to be changed in place.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointRecord> {
        self.records.values_mut()
    }

    /// The records of ready backends in the order of the ids.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.iter().filter(|record| record.is_ready())
    }

    /// Whether a backend is known and ready.
    pub(crate) fn is_ready(&self, id: BackendId) -> bool {
        self.get(id).is_some_and(EndpointRecord::is_ready)
    }

    /// Number of backends that this proxy knows, in any state.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Applies an update. `make_record` creates a new record from an entry; it is called once for
    /// each entry in their order, also for known backends.
    ///
    /// Returns the backends whose state the update changed to draining or removed. A known backend
    /// whose state a full or cached list changes to draining is returned twice.
    pub(crate) fn apply(
        &mut self,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        mut make_record: impl FnMut(Endpoint) -> EndpointRecord,
    ) -> Vec<BackendId> {
        let listed = endpoints.iter().map(|endpoint| endpoint.id);
        let affected: Vec<BackendId> = match kind {
            UpdateKind::Delta => listed.collect(),
            UpdateKind::Full | UpdateKind::Cached => {
                self.records.keys().copied().chain(listed).collect()
            }
        };
        let states_before: Vec<Option<EndpointState>> =
            affected.iter().map(|id| self.state(*id)).collect();
        if kind != UpdateKind::Delta {
            self.mark_unlisted_removed(&endpoints);
        }
        for endpoint in endpoints {
            self.insert_or_update(make_record(endpoint));
        }
        let no_longer_ready_ids = self.no_longer_ready(&affected, &states_before);
        self.drop_removed(&affected);
        no_longer_ready_ids
    }

    /// Those of `affected` whose state differs from `states_before` and is not ready.
    fn no_longer_ready(
        &self,
        affected: &[BackendId],
        states_before: &[Option<EndpointState>],
    ) -> Vec<BackendId> {
        let mut ids = Vec::new();
        for (id, before) in affected.iter().zip(states_before) {
            let after = self.state(*id);
            if after != *before && after.is_some_and(|state| state != EndpointState::Ready) {
                ids.push(*id);
            }
        }
        ids
    }

    fn state(&self, id: BackendId) -> Option<EndpointState> {
        self.get(id).map(|record| record.endpoint.state)
    }

    fn mark_unlisted_removed(&mut self, listed: &[Endpoint]) {
        let listed: BTreeSet<BackendId> = listed.iter().map(|endpoint| endpoint.id).collect();
        for record in self
            .records
            .values_mut()
            .filter(|record| !listed.contains(&record.id()))
        {
            record.endpoint.state = EndpointState::Removed;
        }
    }

    fn insert_or_update(&mut self, new_record: EndpointRecord) {
        match self.records.get_mut(&new_record.id()) {
            Some(record) => record.update(new_record),
            None => {
                self.records.insert(new_record.id(), new_record);
            }
        }
    }

    /// Drops the records of removed backends without attempts in flight: those of `affected`, and
    /// those that had attempts in flight when they were removed.
    fn drop_removed(&mut self, affected: &[BackendId]) {
        self.removed_in_flight.extend(affected);
        let records = &mut self.records;
        self.removed_in_flight.retain(|id| {
            let Some(record) = records.get(id).filter(|record| record.is_removed()) else {
                return false;
            };
            let can_drop = record.load.in_flight() <= 0.0;
            if can_drop {
                records.remove(id);
            }
            !can_drop
        });
    }
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
