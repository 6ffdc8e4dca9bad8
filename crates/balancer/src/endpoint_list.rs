//! The endpoint list as this proxy knows it, with what is known of each backend on it.
//!
//! Each record is made of parts whose fields are private to the module that decides on them. A
//! backend that is removed stays until its last attempt has ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::concurrency_limiter::BackendLoad;
use crate::estimator::ServiceTimes;
use crate::event::{Endpoint, EndpointState, UpdateKind};
use crate::ids::BackendId;
use crate::optimal_split::PickWeights;
use crate::outlier_detector::FailureHistory;
use crate::slow_start::SlowStartTokens;
use crate::subset::SubsetPosition;

/// A backend: its entry in the list and what each decision knows of it.
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
    /// A backend of which nothing is known but its entry.
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

    /// Its entry in the list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Which backend it is.
    pub(crate) fn id(&self) -> BackendId {
        self.endpoint.id
    }

    /// Whether the list says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    fn is_removed(&self) -> bool {
        self.endpoint.state == EndpointState::Removed
    }

    /// Takes what the list says of it now. Of a new process nothing is known.
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

/// All backends that this proxy knows.
#[derive(Default)]
pub(crate) struct EndpointList {
    records: BTreeMap<BackendId, EndpointRecord>,
    /// Removed backends that have attempts in flight.
    removed_in_flight: BTreeSet<BackendId>,
}

impl EndpointList {
    /// What is known of a backend.
    pub(crate) fn get(&self, id: BackendId) -> Option<&EndpointRecord> {
        self.records.get(&id)
    }

    /// What is known of a backend, to be changed.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut EndpointRecord> {
        self.records.get_mut(&id)
    }

    /// All backends, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// All backends, by id, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointRecord> {
        self.records.values_mut()
    }

    /// The backends that the list calls ready, by id.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.iter().filter(|record| record.is_ready())
    }

    /// Whether a backend is known and ready.
    pub(crate) fn is_ready(&self, id: BackendId) -> bool {
        self.get(id).is_some_and(EndpointRecord::is_ready)
    }

    /// How many backends are known.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Applies an update. `fresh` makes the record of a backend of which nothing is known but its
    /// entry; it is called once for each entry, in their order.
    ///
    /// Returns the backends that have left the ready state by it. A full list that names such a
    /// backend, draining, returns it twice.
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

    /// Those of `named` whose state has changed from `before` to another one than ready.
    fn no_longer_ready(
        &self,
        affected: &[BackendId],
        before: &[Option<EndpointState>],
    ) -> Vec<BackendId> {
        let mut ids = Vec::new();
        for (id, before) in affected.iter().zip(before) {
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

    /// Forgets removed backends that have nothing in flight: of these and of those that had when
    /// they were removed.
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
