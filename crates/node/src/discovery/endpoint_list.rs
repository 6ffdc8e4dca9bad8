//! The endpoint list: the backends as discovery last had them, and their numbers.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use kitefork_balancer::{
    BackendId, CellId, Endpoint, EndpointState, Event, KindId, Nanos, UpdateKind, ZoneId,
};

use super::update::{EndpointUpdate, ListedEndpoint};
use crate::clock::{MS, SECOND};
use crate::start_time::{StartObservation, StartTimes};

/// A removed backend is remembered for this long, in nanoseconds: lists that are behind may name it
/// once more, and what is known of it should then still count. No attempt at it is in flight for as
/// long.
const REMOVED_ENDPOINT_RETENTION: Nanos = 60 * SECOND;
/// Most names of zones, and of kinds; further ones are not distinguished.
const MAX_NAMES: usize = 1_000;

/// How an update relates to what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// From before the start of the node.
    Cached,
    /// At least as new as what is known.
    Current,
    /// Its revision is behind: of another replica, or, after a reload, of another service.
    Older,
}

/// What follows from an update.
#[derive(Debug)]
pub struct AppliedUpdate {
    /// What goes to the decision module.
    pub event: Event,
    /// The backends to which connections must end: those that are draining or removed, and those
    /// that have another address.
    pub disconnect: Vec<BackendId>,
}

/// The backends as discovery last had them.
pub struct EndpointList {
    /// The numbers by which the decision module knows backends. A uid keeps its number until it is
    /// forgotten; no number is given twice.
    ids: HashMap<String, BackendId>,
    next_id: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    endpoints: HashMap<BackendId, KnownEndpoint>,
    start_times: StartTimes,
}

struct KnownEndpoint {
    address: Option<SocketAddr>,
    state: EndpointState,
    /// Its last start as listed, in Unix milliseconds; 0: not known.
    boot_ms: u64,
    /// The same on the node's clock; `None`: long ago.
    started_at: Option<Nanos>,
    /// When a list last said something new of it.
    last_update_at: Nanos,
}

impl EndpointList {
    /// An empty list. Zones and kinds have their positions among these names; names that the
    /// settings do not know are added behind them.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> EndpointList {
        EndpointList {
            ids: HashMap::new(),
            next_id: 0,
            zones,
            kinds,
            endpoints: HashMap::new(),
            start_times: StartTimes::default(),
        }
    }

    /// Where a backend listens, if it is ready.
    pub fn ready_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.endpoints
            .get(&id)
            .filter(|known| known.state == EndpointState::Ready)?
            .address
    }

    /// Whether any backend is ready.
    pub fn has_ready(&self) -> bool {
        self.endpoints
            .values()
            .any(|known| known.state == EndpointState::Ready)
    }

    /// Applies an update. An older one is applied too, as its sender may count from the start
    /// again; but a backend that is draining or removed is ready again only by a newer update, or
    /// by a newer start.
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
        self.store(now, update, freshness, &endpoints, &mut disconnect);
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

    /// The entries of an update as the decision module knows them.
    fn resolve_entries(
        &mut self,
        observation: &StartObservation,
        update: &EndpointUpdate,
        freshness: Freshness,
    ) -> Vec<Endpoint> {
        // All of them before any is dated: the youngest one says most about the clocks.
        for entry in &update.entries {
            self.start_times.note(entry.boot_ms, observation.now);
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
        // A start is dated once: clocks that are stepped later don't make it another.
        let known = self
            .endpoints
            .get(&id)
            .filter(|known| !is_new_start(known, entry, freshness));
        let started_at = match known {
            Some(known) => known.started_at,
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

    /// An older update makes no backend ready that is known to be draining or removed, unless it
    /// has started again since.
    fn keep_unready_states(&self, update: &EndpointUpdate, endpoints: &mut [Endpoint]) {
        for (entry, endpoint) in update.entries.iter().zip(endpoints) {
            let unready = self
                .endpoints
                .get(&endpoint.id)
                .filter(|known| entry.boot_ms <= known.boot_ms)
                .filter(|known| known.state != EndpointState::Ready);
            if let Some(unready) = unready {
                endpoint.state = unready.state;
            }
        }
    }

    /// What is missing on the whole list has been removed.
    fn remove_unlisted(
        &mut self,
        now: Nanos,
        endpoints: &[Endpoint],
        disconnect: &mut Vec<BackendId>,
    ) {
        let listed: HashSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        for (id, known) in &mut self.endpoints {
            if !listed.contains(id) && known.state != EndpointState::Removed {
                disconnect.push(*id);
                known.state = EndpointState::Removed;
                known.last_update_at = now;
            }
        }
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
            let known = self.endpoints.get(&endpoint.id);
            let has_address_changed = known.is_some_and(|known| known.address != entry.address);
            let boot_ms = match known {
                Some(known) if !is_new_start(known, entry, freshness) => known.boot_ms,
                _ => entry.boot_ms,
            };
            self.endpoints.insert(
                endpoint.id,
                KnownEndpoint {
                    address: entry.address,
                    state: endpoint.state,
                    boot_ms,
                    started_at: endpoint.started_at,
                    last_update_at: now,
                },
            );
            if has_address_changed || endpoint.state != EndpointState::Ready {
                disconnect.push(endpoint.id);
            }
        }
    }

    /// Uids are never reused, so a day of releases would fill the list.
    fn forget_removed(&mut self, now: Nanos) {
        self.endpoints.retain(|_, known| {
            known.state != EndpointState::Removed
                || now
                    < known
                        .last_update_at
                        .saturating_add(REMOVED_ENDPOINT_RETENTION)
        });
        self.ids.retain(|_, id| self.endpoints.contains_key(id));
    }

    /// One line of the trace for each entry of an update that was applied at `now`.
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
        let started_at = self.endpoints.get(id).and_then(|known| known.started_at);
        let age_ms = started_at.map_or(-1, |at| (now as i64 - at as i64) / MS as i64);
        Some(format!(
            "b={} uid={} at={address} az={} model={} cell={} state={:?} boot_ms={} age_ms={age_ms}",
            id.0, entry.uid, entry.zone, entry.kind, entry.cell, entry.state, entry.boot_ms
        ))
    }
}

/// Whether a list speaks of another start than the known one. Where the wall clock was set back, a
/// new start looks earlier than the old one; a list that is behind may still speak of an old one.
fn is_new_start(known: &KnownEndpoint, entry: &ListedEndpoint, freshness: Freshness) -> bool {
    match freshness {
        Freshness::Older => entry.boot_ms > known.boot_ms,
        Freshness::Cached | Freshness::Current => {
            entry.boot_ms != 0 && entry.boot_ms != known.boot_ms
        }
    }
}

/// The position of a name in the settings' list. A name that they do not know yet gets a position
/// of its own: a new kind of machine must not cost the whole list.
fn position_of(names: &mut Vec<String>, name: &str) -> u16 {
    let found = names.iter().position(|known| known == name);
    found.unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    }) as u16
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
