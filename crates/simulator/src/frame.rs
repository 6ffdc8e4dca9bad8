//! The frame codec: batches of events in, replies of actions out. Little-endian, no padding.

use std::collections::BTreeMap;

use kitefork_balancer::{
    Action, BackendId, CellId, ClassId, Endpoint, EndpointState, Event, KindId, Outcome, Request,
    RequestId, TenantId, TimerId, UpdateKind, ZoneId,
};
use thiserror::Error;

/// Bytes of a batch header.
pub const HEADER: usize = 20;
const EVENT: usize = 40;
const ACTION: usize = 24;
const ENTRY: usize = 23;

/// A frame that can't be read.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("batch {batch}, offset {offset}: {what}")]
pub struct FrameError {
    /// Sequence number of the batch.
    pub batch: u32,
    /// Offset in bytes from the start of the frame.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

/// Header of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    /// Number of event records.
    pub records: u32,
    /// Bytes after the header.
    pub length: u32,
    /// Clock time of the batch.
    pub now: u64,
    /// Sequence number.
    pub batch: u32,
}

impl Header {
    /// Reads a header.
    pub fn read(bytes: &[u8; HEADER]) -> Header {
        Header {
            records: u32_at(bytes, 0),
            length: u32_at(bytes, 4),
            now: u64_at(bytes, 8),
            batch: u32_at(bytes, 16),
        }
    }

    fn error(&self, offset: usize, what: impl Into<String>) -> FrameError {
        FrameError {
            batch: self.batch,
            offset,
            what: what.into(),
        }
    }
}

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

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, node: u16, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                backend,
                abandon_at,
            } => {
                let record = self.record(80, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &backend.0.to_le_bytes());
                put(record, 11, &abandon_at.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let record = self.record(81, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &retry_after.to_le_bytes());
            }
            Action::Fail { request } => put(self.record(82, node), 3, &request.0.to_le_bytes()),
            Action::CancelAttempt { request, attempt } => {
                let record = self.record(83, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &[*attempt]);
            }
            Action::SetTimer { at, timer } => {
                let record = self.record(84, node);
                put(record, 3, &at.to_le_bytes());
                put(record, 11, &timer.0.to_le_bytes());
            }
            Action::CheckHealth { backend } => {
                put(self.record(85, node), 3, &backend.0.to_le_bytes())
            }
            Action::CloseIdleConnections { backend } => {
                put(self.record(86, node), 3, &backend.0.to_le_bytes())
            }
            Action::Gossip { to, bytes } => {
                put(
                    self.record(87, node),
                    3,
                    &to.unwrap_or(u16::MAX).to_le_bytes(),
                );
                self.data(5, bytes);
            }
            Action::Log(event) => self.text(88, node, &event.to_string()),
            Action::WatchEndpoints(active) => put(self.record(90, node), 3, &[u8::from(*active)]),
            Action::PollEndpoints => {
                self.record(91, node);
            }
        }
    }

    /// Reports that an instance can't decide.
    pub fn fault(&mut self, node: u16, what: &str) {
        self.text(89, node, what);
    }

    /// The finished frame.
    pub fn finish(self, batch: u32) -> Vec<u8> {
        let count = self.records.len() / ACTION;
        let mut frame = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend((count as u32).to_le_bytes());
        frame.extend(batch.to_le_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }

    fn record(&mut self, code: u8, node: u16) -> &mut [u8] {
        let start = self.records.len();
        self.records.resize(start + ACTION, 0);
        let record = &mut self.records[start..];
        record[0] = code;
        put(record, 1, &node.to_le_bytes());
        record
    }

    fn text(&mut self, code: u8, node: u16, text: &str) {
        self.record(code, node);
        self.data(3, text.as_bytes());
    }

    /// Puts data into the tail and its place into the last record.
    fn data(&mut self, at: usize, bytes: &[u8]) {
        let record = self.records.len() - ACTION;
        put(
            &mut self.records[record..],
            at,
            &(self.tail.len() as u32).to_le_bytes(),
        );
        put(
            &mut self.records[record..],
            at + 4,
            &(bytes.len() as u32).to_le_bytes(),
        );
        self.tail.extend(bytes);
    }
}

fn put(record: &mut [u8], at: usize, bytes: &[u8]) {
    record[at..at + bytes.len()].copy_from_slice(bytes);
}

fn array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(array(bytes, at))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(array(bytes, at))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(array(bytes, at))
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
