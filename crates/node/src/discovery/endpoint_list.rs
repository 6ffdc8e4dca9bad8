//! The endpoint list: the backends as discovery last reported them, and their IDs.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use kitefork_balancer::{
    BackendId, CellId, Endpoint, EndpointState, Event, KindId, Nanos, UpdateKind, ZoneId,
};

use super::address_owners::{AddressOwners, Claim, ClaimOutcome};
use super::update::{EndpointUpdate, ListedEndpoint};
use crate::clock::{MS, SECOND};
use crate::start_time::{StartObservation, StartTimes};

/// How long a removed backend is remembered, in nanoseconds: an older list may contain the backend
/// again, and what is known about the backend must still apply then. No attempt at a removed
/// backend is in flight for that long.
const REMOVED_ENDPOINT_RETENTION: Nanos = 60 * SECOND;
/// How long a backend is remembered whose address another one owns and whose end no list has told,
/// in nanoseconds: a whole list may contain it again and must not make it ready.
const SUPERSEDED_ENDPOINT_RETENTION: Nanos = 3_600 * SECOND;
/// Maximum number of names of zones, and of kinds; any further name counts as the last of them.
const MAX_NAMES: usize = 1_000;

/// How recent an update is compared with the known list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The cached list, from before the start of the node.
    Cached,
    /// The revision is not lower than the known one.
    Current,
    /// The revision is lower than the known one: the update comes from another replica or, after a
    /// reload, from another discovery service.
    Older,
}

/// What the node must do after an update.
#[derive(Debug)]
pub struct AppliedUpdate {
    /// The event to pass to the decision module.
    pub event: Event,
    /// Backends whose connections must be closed: those that are draining, removed or superseded at
    /// their address, and those that have another address or a new process.
    pub disconnect: Vec<BackendId>,
}

/// The backends as discovery last reported them.
pub struct EndpointList {
    /// The IDs of backends in the decision module. A uid keeps its ID until it is forgotten; no ID
    /// is assigned twice.
    ids: HashMap<String, BackendId>,
    next_id: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    endpoints: HashMap<BackendId, StoredEndpoint>,
    address_owners: AddressOwners,
    start_times: StartTimes,
}

struct StoredEndpoint {
    address: Option<SocketAddr>,
    /// The entry as the decision module has it.
    endpoint: Endpoint,
    /// When the backend last started, as listed, in Unix milliseconds by its own clock; 0 if
    /// unknown.
    boot_ms: u64,
    /// When an update last listed the backend, or a full list first omitted it.
    last_update_at: Nanos,
    /// Whether the backend counts as removed although the last update that listed it says
    /// otherwise.
    is_superseded: bool,
}

impl StoredEndpoint {
    /// Whether the backend is removed and need not be remembered any longer.
    fn is_forgotten(&self, now: Nanos) -> bool {
        let retention = if self.is_superseded {
            SUPERSEDED_ENDPOINT_RETENTION
        } else {
            REMOVED_ENDPOINT_RETENTION
        };
        self.endpoint.state == EndpointState::Removed
            && now >= self.last_update_at.saturating_add(retention)
    }
}

impl EndpointList {
    /// Creates an empty list. The IDs of zones and kinds are the positions of their names in
    /// `zones` and `kinds`; names that the settings don't have are appended.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> EndpointList {
        EndpointList {
            ids: HashMap::new(),
            next_id: 0,
            zones,
            kinds,
            endpoints: HashMap::new(),
            address_owners: AddressOwners::default(),
            start_times: StartTimes::default(),
        }
    }

    /// The address on which a backend listens; `None` if it is not ready.
    pub fn ready_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.endpoints
            .get(&id)
            .filter(|stored| stored.endpoint.state == EndpointState::Ready)?
            .address
    }

    /// Whether any backend is ready.
    pub fn has_ready(&self) -> bool {
        self.endpoints
            .values()
            .any(|stored| stored.endpoint.state == EndpointState::Ready)
    }

    /// Applies an update. An older update is applied too, as its sender may have begun to count its
    /// revisions anew; but an older update makes a draining or removed backend ready only if it
    /// lists a newer start of that backend.
    pub fn apply(
        &mut self,
        observation: &StartObservation,
        update: &EndpointUpdate,
        freshness: Freshness,
    ) -> AppliedUpdate {
        let now = observation.now;
        let mut disconnect = Vec::new();
        let mut endpoints = self.resolve_entries(observation, update, freshness);
        if freshness == Freshness::Older {
            self.keep_unready_states(update, &mut endpoints);
        }
        if update.all {
            self.remove_unlisted(now, &endpoints, &mut disconnect);
        }
        let superseded = self.claim_addresses(now, update, freshness, &mut endpoints);
        self.store(now, update, freshness, &endpoints, &mut disconnect);
        disconnect.extend(superseded.iter().map(|endpoint| endpoint.id));
        endpoints.extend(superseded);
        self.forget_removed(now);
        let kind = match (freshness, update.all) {
            (Freshness::Cached, _) => UpdateKind::Cached,
            (_, true) => UpdateKind::Full,
            (_, false) => UpdateKind::Delta,
        };
        AppliedUpdate {
            event: Event::EndpointUpdate { kind, endpoints },
            disconnect,
        }
    }

    /// Converts the entries of an update to endpoints of the decision module, and assigns IDs to
    /// new uids.
    fn resolve_entries(
        &mut self,
        observation: &StartObservation,
        update: &EndpointUpdate,
        freshness: Freshness,
    ) -> Vec<Endpoint> {
        // All starts are recorded before any is converted: the latest one gives the tightest bound
        // on the error of the wall clock.
        for entry in &update.entries {
            self.start_times.record(entry.boot_ms, observation.now);
        }
        update
            .entries
            .iter()
            .map(|entry| self.resolve_entry(observation, entry, freshness))
            .collect()
    }

    fn resolve_entry(
        &mut self,
        observation: &StartObservation,
        entry: &ListedEndpoint,
        freshness: Freshness,
    ) -> Endpoint {
        let id = *self
            .ids
            .entry(entry.uid.clone())
            .or_insert(BackendId(self.next_id));
        self.next_id += u32::from(id.0 == self.next_id);
        // A start is converted once, so that a later step of a clock does not change its time.
        let stored = self
            .endpoints
            .get(&id)
            .filter(|stored| !is_new_start(stored, entry, freshness));
        let started_at = match stored {
            Some(stored) => stored.endpoint.started_at,
            None => self.start_times.started_at(entry.boot_ms, observation),
        };
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(entry.uid.as_bytes());
        Endpoint {
            id,
            hash: hasher.finish(),
            zone: ZoneId(position_of(&mut self.zones, &entry.zone)),
            cell: CellId(entry.cell),
            kind: KindId(position_of(&mut self.kinds, &entry.kind)),
            state: entry.state,
            weight: entry.weight,
            started_at,
        }
    }

    /// Keeps the state of backends that are known to be draining or removed, unless the older
    /// update lists a newer start of the backend.
    fn keep_unready_states(&self, update: &EndpointUpdate, endpoints: &mut [Endpoint]) {
        for (entry, endpoint) in update.entries.iter().zip(endpoints) {
            let unready = self
                .endpoints
                .get(&endpoint.id)
                .filter(|stored| entry.boot_ms <= stored.boot_ms)
                .filter(|stored| stored.endpoint.state != EndpointState::Ready);
            if let Some(unready) = unready {
                endpoint.state = unready.endpoint.state;
            }
        }
    }

    /// Marks the backends that a full list omits as removed.
    fn remove_unlisted(
        &mut self,
        now: Nanos,
        endpoints: &[Endpoint],
        disconnect: &mut Vec<BackendId>,
    ) {
        let listed: HashSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        for (id, stored) in &mut self.endpoints {
            if !listed.contains(id) && stored.endpoint.state != EndpointState::Removed {
                disconnect.push(*id);
                stored.endpoint.state = EndpointState::Removed;
                stored.last_update_at = now;
            }
        }
    }

    /// Finds out which backend owns the address of each entry. Marks entries that are superseded as
    /// removed, and returns the backends that the update supersedes and does not list itself.
    fn claim_addresses(
        &mut self,
        now: Nanos,
        update: &EndpointUpdate,
        freshness: Freshness,
        endpoints: &mut [Endpoint],
    ) -> Vec<Endpoint> {
        let mut superseded = Vec::new();
        for (index, entry) in update.entries.iter().enumerate() {
            let id = endpoints[index].id;
            self.release_old_address(id, entry);
            let Some(address) = entry
                .address
                .filter(|_| entry.state != EndpointState::Removed)
            else {
                continue;
            };
            let stored = self.endpoints.get(&id);
            let claim = Claim {
                backend: id,
                boot_ms: entry.boot_ms,
                is_new: stored.is_none_or(|stored| is_other_process(stored, entry, freshness)),
                freshness,
            };
            match self.address_owners.claim(address, claim) {
                ClaimOutcome::Owner => {}
                ClaimOutcome::Superseded => endpoints[index].state = EndpointState::Removed,
                ClaimOutcome::Supersedes(old) => {
                    for endpoint in endpoints.iter_mut().filter(|endpoint| endpoint.id == old) {
                        endpoint.state = EndpointState::Removed;
                    }
                    let stored = self.remove_superseded(now, old);
                    superseded.extend(stored.filter(|stored| !is_listed(endpoints, stored.id)));
                }
            }
        }
        superseded
    }

    fn release_old_address(&mut self, id: BackendId, entry: &ListedEndpoint) {
        let old_address = self.endpoints.get(&id).and_then(|stored| stored.address);
        if let Some(address) = old_address.filter(|address| Some(*address) != entry.address) {
            self.address_owners.release(address, id);
        }
    }

    /// Marks a backend as removed whose address another one owns now; returns its entry, unless it
    /// was removed before.
    fn remove_superseded(&mut self, now: Nanos, id: BackendId) -> Option<Endpoint> {
        let stored = self.endpoints.get_mut(&id)?;
        if stored.endpoint.state == EndpointState::Removed {
            return None;
        }
        stored.endpoint.state = EndpointState::Removed;
        stored.last_update_at = now;
        stored.is_superseded = true;
        Some(stored.endpoint.clone())
    }

    fn store(
        &mut self,
        now: Nanos,
        update: &EndpointUpdate,
        freshness: Freshness,
        endpoints: &[Endpoint],
        disconnect: &mut Vec<BackendId>,
    ) {
        for (entry, endpoint) in update.entries.iter().zip(endpoints) {
            let stored = self.endpoints.get(&endpoint.id);
            let has_other_process =
                stored.is_some_and(|stored| is_other_process(stored, entry, freshness));
            let boot_ms = match stored {
                Some(stored) if !is_new_start(stored, entry, freshness) => stored.boot_ms,
                _ => entry.boot_ms,
            };
            self.endpoints.insert(
                endpoint.id,
                StoredEndpoint {
                    address: entry.address,
                    endpoint: endpoint.clone(),
                    boot_ms,
                    last_update_at: now,
                    is_superseded: endpoint.state == EndpointState::Removed
                        && entry.state != EndpointState::Removed,
                },
            );
            if has_other_process || endpoint.state != EndpointState::Ready {
                disconnect.push(endpoint.id);
            }
        }
    }

    /// Forgets backends that were removed [`REMOVED_ENDPOINT_RETENTION`] ago or earlier. Uids are
    /// never reused, so a day of releases would fill the list otherwise.
    fn forget_removed(&mut self, now: Nanos) {
        let address_owners = &mut self.address_owners;
        self.endpoints.retain(|id, stored| {
            let is_forgotten = stored.is_forgotten(now);
            if let Some(address) = stored.address.filter(|_| is_forgotten) {
                address_owners.release(address, *id);
            }
            !is_forgotten
        });
        self.ids.retain(|_, id| self.endpoints.contains_key(id));
    }

    /// The trace lines for an update that was applied at `now`, one for each entry.
    pub fn trace_lines<'a>(
        &'a self,
        update: &'a EndpointUpdate,
        now: Nanos,
    ) -> impl Iterator<Item = String> + 'a {
        update
            .entries
            .iter()
            .filter_map(move |entry| self.trace_line(entry, now))
    }

    fn trace_line(&self, entry: &ListedEndpoint, now: Nanos) -> Option<String> {
        let id = self.ids.get(&entry.uid)?;
        let address = entry.address.map_or("-".into(), |a| a.to_string());
        let started_at = self
            .endpoints
            .get(id)
            .and_then(|stored| stored.endpoint.started_at);
        let age_ms = started_at.map_or(-1, |at| (now as i64 - at as i64) / MS as i64);
        Some(format!(
            "b={} uid={} at={address} az={} model={} cell={} state={:?} boot_ms={} age_ms={age_ms}",
            id.0, entry.uid, entry.zone, entry.kind, entry.cell, entry.state, entry.boot_ms
        ))
    }
}

fn is_listed(endpoints: &[Endpoint], id: BackendId) -> bool {
    endpoints.iter().any(|endpoint| endpoint.id == id)
}

/// Whether an entry lists another process of the backend: at another address, or started anew.
fn is_other_process(stored: &StoredEndpoint, entry: &ListedEndpoint, freshness: Freshness) -> bool {
    stored.address != entry.address || is_new_start(stored, entry, freshness)
}

/// Whether an entry lists a new start of the backend. If the backend's clock was set back, a new
/// start may be earlier than the stored one, so any other start counts as new. An older list may
/// still have the start before the stored one, so there only a later start counts.
fn is_new_start(stored: &StoredEndpoint, entry: &ListedEndpoint, freshness: Freshness) -> bool {
    match freshness {
        Freshness::Older => entry.boot_ms > stored.boot_ms,
        Freshness::Cached | Freshness::Current => {
            entry.boot_ms != 0 && entry.boot_ms != stored.boot_ms
        }
    }
}

/// The position of a name in `names`. An unknown name is appended: a new kind of machine must not
/// make the whole list invalid.
fn position_of(names: &mut Vec<String>, name: &str) -> u16 {
    let position = names.iter().position(|other| other == name);
    position.unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    }) as u16
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
