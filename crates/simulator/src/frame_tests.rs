//! Unit tests of `frame`.

use kitefork_balancer::{Action, BackendId, Event, LogEvent, RequestId};

use super::bytes::put;
use super::*;

fn header(records: u32) -> Header {
    Header {
        records,
        length: 0,
        now: 5,
        batch: 9,
    }
}

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; EVENT];
    record[0] = code;
    for (at, bytes) in fields {
        put(&mut record, *at, bytes);
    }
    record
}

#[test]
fn list_numbers_are_resolved_in_order() {
    let mut tail = vec![0; 2 * ENTRY];
    tail[0] = 1;
    tail[ENTRY] = 2;
    tail[10] = 1;
    tail[ENTRY + 10] = 2;
    let rows = |start: u32| record(23, &[(3, &start.to_le_bytes()), (7, &1u32.to_le_bytes())]);
    let mut body = rows(0);
    body.extend(record(20, &[(9, &[4])]));
    body.extend(rows(ENTRY as u32));
    body.extend(record(20, &[(9, &[0])]));
    body.extend(tail);
    let messages = decode(&header(4), &body, &mut Lists::default()).unwrap();
    let ids: Vec<u32> = messages
        .iter()
        .map(|(_, message)| match message {
            Message::Event(Event::EndpointUpdate { endpoints, .. }) => endpoints[0].id.0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(ids, [1, 2]);
}

#[test]
fn faulty_frames_are_named() {
    let cases = [
        (header(2), record(16, &[]), 0, "records"),
        (header(1), record(99, &[]), HEADER, "event code 99"),
        (
            header(1),
            record(22, &[(15, &1u32.to_le_bytes())]),
            HEADER + 11,
            "tail",
        ),
        (
            header(1),
            record(23, &[(7, &u32::MAX.to_le_bytes())]),
            HEADER + 3,
            "tail",
        ),
        (header(1), record(20, &[]), HEADER + 7, "no list"),
        (
            header(1),
            record(17, &[(20, &[77])]),
            HEADER + 20,
            "outcome 77",
        ),
    ];
    for (header, body, offset, what) in cases {
        let error = decode(&header, &body, &mut Lists::default()).unwrap_err();
        assert_eq!((error.batch, error.offset), (9, offset));
        assert!(error.what.contains(what), "{error}");
    }
}

#[test]
fn a_reply_carries_records_and_text() {
    let mut reply = Reply::default();
    reply.push(
        3,
        &Action::StartAttempt {
            request: RequestId(8),
            backend: BackendId(4),
            abandon_at: 77,
        },
    );
    reply.push(5, &Action::Log(LogEvent::NoBackendReady));
    let frame = reply.finish(12);
    assert_eq!(frame.len(), 12 + 2 * ACTION + 19);
    assert_eq!(
        (u32_at(&frame, 0), u32_at(&frame, 4), u32_at(&frame, 8)),
        (67, 2, 12)
    );
    assert_eq!(
        (frame[12], u32_at(&frame, 19), u64_at(&frame, 23)),
        (80, 4, 77)
    );
    assert_eq!(
        (frame[36], u32_at(&frame, 43), &frame[60..]),
        (88, 19, &b"no backend is ready"[..])
    );
}
