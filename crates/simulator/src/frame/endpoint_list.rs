//! Numbered endpoint lists: a batch sends a list once, and updates refer to it by its number.

use std::collections::BTreeMap;

use kitefork_balancer::{BackendId, CellId, Endpoint, EndpointState, KindId, ZoneId};

use super::bytes::{f32_at, u16_at, u32_at, u64_at};
use super::layout::{ENDPOINT_SIZE, endpoint, endpoint_list};
use super::record::Record;
use super::{FrameError, FrameErrorKind};

/// Endpoint lists by their numbers. They are kept from one batch to the next.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl EndpointLists {
    /// Decodes a list and stores it, replacing an earlier list with the same number.
    pub(super) fn store(&mut self, record: &Record) -> Result<(), FrameError> {
        let number = record.u16(endpoint_list::LIST);
        let data = record.data(endpoint_list::ENTRIES, ENDPOINT_SIZE)?;
        let endpoints = data
            .chunks_exact(ENDPOINT_SIZE)
            .map(|entry| decode_endpoint(record, entry))
            .collect::<Result<_, _>>()?;
        self.lists.insert(number, endpoints);
        Ok(())
    }

    /// Returns the list with the given number, or `None` if no such list was sent.
    pub(super) fn get(&self, number: u16) -> Option<&Vec<Endpoint>> {
        self.lists.get(&number)
    }
}

fn decode_endpoint(record: &Record, entry: &[u8]) -> Result<Endpoint, FrameError> {
    let state_code = entry[endpoint::STATE];
    let state = state_from_wire(state_code).ok_or_else(|| {
        let kind = FrameErrorKind::UnknownEndpointState(state_code);
        record.error(endpoint_list::ENTRIES, kind)
    })?;
    let id = u32_at(entry, endpoint::BACKEND);
    Ok(Endpoint {
        id: BackendId(id),
        hash: u64::from(id),
        zone: ZoneId(u16_at(entry, endpoint::ZONE)),
        kind: KindId(u16_at(entry, endpoint::KIND)),
        cell: CellId(u16_at(entry, endpoint::CELL)),
        state,
        weight: f32_at(entry, endpoint::WEIGHT),
        started_at: Some(u64_at(entry, endpoint::STARTED_AT)).filter(|started_at| *started_at > 0),
    })
}

fn state_from_wire(code: u8) -> Option<EndpointState> {
    match code {
        0 => Some(EndpointState::Removed),
        1 => Some(EndpointState::Ready),
        2 => Some(EndpointState::Draining),
        _ => None,
    }
}
