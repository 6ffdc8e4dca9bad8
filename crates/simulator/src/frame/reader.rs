//! Decodes batches of events.

use kitefork_balancer::{ClassId, Event, Request, TenantId, TimerId, UpdateKind};

use super::layout::{
    EVENT_SIZE, EventCode, HEADER_SIZE, attempt_ended, client_disconnected, endpoint_update,
    first_byte, gossip_received, health_check_ended, request, start, timer,
};
use super::record::Record;
use super::{EndpointLists, FrameError, FrameErrorKind, Header};

/// A message to one instance.
#[derive(Debug)]
pub struct InstanceMessage {
    /// Number that the simulator has given the instance.
    pub instance: u16,
    /// What the instance is to do or is notified of.
    pub message: Message,
}

/// The content of a record that concerns an instance.
#[derive(Debug)]
pub enum Message {
    /// Start the instance; a running instance with the same number is replaced.
    Start {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, a JSON text.
        settings: Vec<u8>,
    },
    /// Stop the instance; later events for it are ignored.
    Stop,
    /// Pass the event to the balancer of the instance.
    Event(Event),
}

/// Decodes the body of a batch into messages to instances, in the order of the records. Stores the
/// endpoint lists of the batch in `lists`.
///
/// # Errors
///
/// If a record can't be decoded; the error gives the position of the first invalid field.
pub fn decode(
    header: &Header,
    body: &[u8],
    lists: &mut EndpointLists,
) -> Result<Vec<InstanceMessage>, FrameError> {
    let (records, tail) = split_body(header, body)?;
    let mut messages = Vec::with_capacity(header.record_count as usize);
    for (index, bytes) in records.chunks_exact(EVENT_SIZE).enumerate() {
        let record = Record {
            bytes,
            tail,
            batch: header.batch,
            offset: HEADER_SIZE + index * EVENT_SIZE,
        };
        if let Some(message) = decode_record(&record, lists)? {
            let instance = record.instance();
            messages.push(InstanceMessage { instance, message });
        }
    }
    Ok(messages)
}

/// Splits a body into its records and its tail. Fails if the header gives more records than the
/// body holds.
fn split_body<'a>(header: &Header, body: &'a [u8]) -> Result<(&'a [u8], &'a [u8]), FrameError> {
    (header.record_count as usize)
        .checked_mul(EVENT_SIZE)
        .and_then(|length| body.split_at_checked(length))
        .ok_or(FrameError {
            batch: header.batch,
            offset: 0,
            kind: FrameErrorKind::RecordsOutsideFrame,
        })
}

/// Decodes one record. An endpoint list is stored in `lists` and gives `None`.
fn decode_record(
    record: &Record,
    lists: &mut EndpointLists,
) -> Result<Option<Message>, FrameError> {
    let code = EventCode::from_wire(record.code())
        .ok_or_else(|| record.error(0, FrameErrorKind::UnknownEventCode(record.code())))?;
    let event = match code {
        EventCode::Start => return Ok(Some(start_message(record)?)),
        EventCode::Stop => return Ok(Some(Message::Stop)),
        EventCode::EndpointList => {
            lists.store(record)?;
            return Ok(None);
        }
        EventCode::Timer => timer_event(record),
        EventCode::AttemptEnded => attempt_ended_event(record)?,
        EventCode::FirstByte => first_byte_event(record),
        EventCode::Request => Event::Request(decode_request(record)),
        EventCode::EndpointUpdate => endpoint_update_event(record, lists)?,
        EventCode::HealthCheckEnded => health_check_ended_event(record)?,
        EventCode::ClientDisconnected => client_disconnected_event(record),
        EventCode::GossipReceived => gossip_received_event(record)?,
    };
    Ok(Some(Message::Event(event)))
}

fn start_message(record: &Record) -> Result<Message, FrameError> {
    Ok(Message::Start {
        seed: record.u64(start::SEED),
        settings: record.copied_bytes(start::SETTINGS)?,
    })
}

fn timer_event(record: &Record) -> Event {
    Event::Timer {
        timer: TimerId(record.u32(timer::TIMER)),
    }
}

fn attempt_ended_event(record: &Record) -> Result<Event, FrameError> {
    Ok(Event::AttemptEnded {
        request: record.request(attempt_ended::REQUEST),
        attempt: record.u8(attempt_ended::ATTEMPT),
        latency: record.nanos(attempt_ended::LATENCY),
        outcome: record.outcome(attempt_ended::OUTCOME)?,
        finished: record.u8(attempt_ended::FINISHED) != 0,
        load_report: record.load_report(attempt_ended::LOAD_REPORT),
    })
}

fn first_byte_event(record: &Record) -> Event {
    Event::FirstByte {
        request: record.request(first_byte::REQUEST),
        attempt: record.u8(first_byte::ATTEMPT),
    }
}

fn decode_request(record: &Record) -> Request {
    let flags = record.u8(request::FLAGS);
    let has_flag = |flag: u8| flags & flag != 0;
    Request {
        id: record.request(request::REQUEST),
        class: ClassId(record.u16(request::CLASS)),
        tenant: TenantId(record.u16(request::TENANT)),
        key: record.u64(request::KEY),
        client_timeout: record.nanos(request::CLIENT_TIMEOUT),
        work_hint: has_flag(request::HAS_WORK_HINT).then(|| record.nanos(request::WORK_HINT)),
        client_retry: has_flag(request::CLIENT_RETRY),
        is_write: has_flag(request::IS_WRITE),
    }
}

fn endpoint_update_event(record: &Record, lists: &EndpointLists) -> Result<Event, FrameError> {
    let kind = match record.u8(endpoint_update::MODE) {
        endpoint_update::DELTA => UpdateKind::Delta,
        endpoint_update::CACHED => UpdateKind::Cached,
        endpoint_update::FULL => UpdateKind::Full,
        endpoint_update::FAILED => return Ok(Event::DiscoveryFailed),
        mode => {
            let kind = FrameErrorKind::UnknownUpdateMode(mode);
            return Err(record.error(endpoint_update::MODE, kind));
        }
    };
    let number = record.u16(endpoint_update::LIST);
    let endpoints = lists.get(number).cloned().ok_or_else(|| {
        let kind = FrameErrorKind::UnknownEndpointList(number);
        record.error(endpoint_update::LIST, kind)
    })?;
    Ok(Event::EndpointUpdate { kind, endpoints })
}

fn health_check_ended_event(record: &Record) -> Result<Event, FrameError> {
    Ok(Event::HealthCheckEnded {
        backend: record.backend(health_check_ended::BACKEND),
        latency: record.nanos(health_check_ended::LATENCY),
        outcome: record.outcome(health_check_ended::OUTCOME)?,
        load_report: record.load_report(health_check_ended::LOAD_REPORT),
    })
}

fn client_disconnected_event(record: &Record) -> Event {
    Event::ClientDisconnected {
        request: record.request(client_disconnected::REQUEST),
    }
}

fn gossip_received_event(record: &Record) -> Result<Event, FrameError> {
    Ok(Event::GossipReceived {
        from: record.u16(gossip_received::FROM),
        bytes: record.copied_bytes(gossip_received::MESSAGE)?,
    })
}
