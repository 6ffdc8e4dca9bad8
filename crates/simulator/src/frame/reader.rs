//! Reads batches of events.

use std::collections::BTreeMap;

use kitefork_balancer::{
    BackendId, CellId, ClassId, Endpoint, EndpointState, Event, KindId, Outcome, Request,
    RequestId, TenantId, TimerId, UpdateKind, ZoneId,
};

use super::bytes::{u16_at, u32_at, u64_at};
use super::{ENTRY, EVENT, FrameError, HEADER, Header};

/// What one record of a batch says to one instance.
#[derive(Debug)]
pub enum Message {
    /// The instance starts.
    Start {
        /// Its seed.
        seed: u64,
        /// Its settings, as text.
        settings: Vec<u8>,
    },
    /// The instance is dead.
    Stop,
    /// Something happened.
    Event(Event),
}

/// Numbered lists of backends, kept over batches.
#[derive(Default)]
pub struct Lists(BTreeMap<u16, Vec<Endpoint>>);

/// Decodes the body of a batch into messages to instances, in order.
pub fn decode(
    header: &Header,
    body: &[u8],
    lists: &mut Lists,
) -> Result<Vec<(u16, Message)>, FrameError> {
    let records = (header.records as usize)
        .checked_mul(EVENT)
        .filter(|n| *n <= body.len())
        .ok_or_else(|| header.error(0, "records run past the end of the frame"))?;
    let (records, tail) = body.split_at(records);
    let mut messages = Vec::with_capacity(header.records as usize);
    for (place, record) in records.chunks_exact(EVENT).enumerate() {
        let offset = HEADER + place * EVENT;
        let slice = |at: usize, size: usize| {
            let start = u32_at(record, at) as usize;
            (u32_at(record, at + 4) as usize)
                .checked_mul(size)
                .and_then(|length| start.checked_add(length))
                .and_then(|end| tail.get(start..end))
                .ok_or_else(|| header.error(offset + at, "data outside the tail"))
        };
        let outcome = |at: usize| {
            outcome(record[at])
                .ok_or_else(|| header.error(offset + at, format!("unknown outcome {}", record[at])))
        };
        let node = u16_at(record, 1);
        let event = match record[0] {
            16 => Event::Timer {
                timer: TimerId(u32_at(record, 3)),
            },
            17 => Event::AttemptEnded {
                request: RequestId(u32_at(record, 3)),
                attempt: record[7],
                latency: u64_at(record, 12),
                outcome: outcome(20)?,
                finished: record[21] != 0,
                load_report: load(record, 22),
            },
            18 => Event::FirstByte {
                request: RequestId(u32_at(record, 3)),
                attempt: record[19],
            },
            19 => Event::Request(Request {
                id: RequestId(u32_at(record, 3)),
                class: ClassId(u16_at(record, 7)),
                tenant: TenantId(u16_at(record, 9)),
                key: u64_at(record, 11),
                client_timeout: u64_at(record, 19),
                work_hint: (record[35] & 1 != 0).then(|| u64_at(record, 27)),
                client_retry: record[35] & 2 != 0,
                is_write: record[35] & 4 != 0,
            }),
            20 => match record[9] {
                2 => Event::DiscoveryFailed,
                mode => {
                    let kind = match mode {
                        0 => UpdateKind::Delta,
                        1 => UpdateKind::Cached,
                        4 => UpdateKind::Full,
                        _ => {
                            return Err(
                                header.error(offset + 9, format!("unknown list mode {mode}"))
                            );
                        }
                    };
                    let set = u16_at(record, 7);
                    let backends = lists.0.get(&set).cloned();
                    let backends = backends
                        .ok_or_else(|| header.error(offset + 7, format!("no list number {set}")))?;
                    Event::EndpointUpdate {
                        kind,
                        endpoints: backends,
                    }
                }
            },
            21 => Event::HealthCheckEnded {
                backend: BackendId(u32_at(record, 3)),
                latency: u64_at(record, 7),
                outcome: outcome(15)?,
                load_report: load(record, 16),
            },
            22 => {
                let settings = slice(11, 1)?.to_vec();
                messages.push((
                    node,
                    Message::Start {
                        seed: u64_at(record, 3),
                        settings,
                    },
                ));
                continue;
            }
            23 => {
                let mut entries = Vec::new();
                for bytes in slice(3, ENTRY)?.chunks_exact(ENTRY) {
                    let state = state(bytes[10]).ok_or_else(|| {
                        header.error(offset + 3, format!("unknown backend state {}", bytes[10]))
                    })?;
                    entries.push(entry(bytes, state));
                }
                // This record names no instance: its first field is the number of the list.
                lists.0.insert(node, entries);
                continue;
            }
            24 => Event::ClientDisconnected {
                request: RequestId(u32_at(record, 3)),
            },
            25 => {
                messages.push((node, Message::Stop));
                continue;
            }
            26 => Event::GossipReceived {
                from: u16_at(record, 3),
                bytes: slice(5, 1)?.to_vec(),
            },
            code => return Err(header.error(offset, format!("unknown event code {code}"))),
        };
        messages.push((node, Message::Event(event)));
    }
    Ok(messages)
}

fn entry(bytes: &[u8], state: EndpointState) -> Endpoint {
    Endpoint {
        id: BackendId(u32_at(bytes, 0)),
        hash: u64::from(u32_at(bytes, 0)),
        zone: ZoneId(u16_at(bytes, 4)),
        kind: KindId(u16_at(bytes, 6)),
        cell: CellId(u16_at(bytes, 8)),
        state,
        weight: f32::from_bits(u32_at(bytes, 11)),
        started_at: Some(u64_at(bytes, 15)).filter(|at| *at > 0),
    }
}

fn state(code: u8) -> Option<EndpointState> {
    match code {
        0 => Some(EndpointState::Removed),
        1 => Some(EndpointState::Ready),
        2 => Some(EndpointState::Draining),
        _ => None,
    }
}

fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Success,
        5 => Outcome::Error,
        11 => Outcome::Overloaded,
        104 => Outcome::Reset,
        110 => Outcome::Timeout,
        111 => Outcome::ConnectFailed,
        114 => Outcome::NotSent,
        125 => Outcome::Cancelled,
        _ => return None,
    })
}

fn load(record: &[u8], at: usize) -> Vec<f32> {
    let count = usize::from(record[at]).min(4);
    (0..count)
        .map(|i| f32::from_bits(u32_at(record, at + 1 + 4 * i)))
        .collect()
}
