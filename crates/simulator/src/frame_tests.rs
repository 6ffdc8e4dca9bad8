//! Unit tests of decoding batches and encoding replies.

use kitefork_balancer::{Action, BackendId, Event, LogEvent, RequestId, TimerId};

use super::bytes::{put, u32_at, u64_at};
use super::layout::{ACTION_SIZE, ENDPOINT_SIZE, EVENT_SIZE};
use super::*;

fn header(record_count: u32) -> Header {
    Header {
        record_count,
        body_length: 0,
        now: 5,
        batch: 9,
    }
}

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; EVENT_SIZE];
    record[0] = code;
    for (offset, bytes) in fields {
        put(&mut record, *offset, bytes);
    }
    record
}

#[test]
fn an_update_uses_the_list_that_was_last_sent_before_it() {
    let mut tail = vec![0; 2 * ENDPOINT_SIZE];
    tail[0] = 1;
    tail[ENDPOINT_SIZE] = 2;
    tail[10] = 1;
    tail[ENDPOINT_SIZE + 10] = 2;
    let list = |start: u32| record(23, &[(3, &start.to_le_bytes()), (7, &1u32.to_le_bytes())]);
    let mut body = list(0);
    body.extend(record(20, &[(9, &[4])]));
    body.extend(list(ENDPOINT_SIZE as u32));
    body.extend(record(20, &[(9, &[0])]));
    body.extend(tail);
    let messages = decode(&header(4), &body, &mut EndpointLists::default()).unwrap();
    let ids: Vec<u32> = messages
        .iter()
        .map(|message| match &message.message {
            Message::Event(Event::EndpointUpdate { endpoints, .. }) => endpoints[0].id.0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(ids, [1, 2]);
}

fn assert_frame_error(record_count: u32, body: &[u8], expected_text: &str) {
    let error = decode(&header(record_count), body, &mut EndpointLists::default()).unwrap_err();
    assert_eq!(error.to_string(), expected_text);
}

#[test]
fn a_malformed_frame_is_an_error_with_batch_and_offset() {
    let records_text = "batch 9, offset 0: records run past the end of the frame";
    assert_frame_error(2, &record(16, &[]), records_text);
    let code_text = "batch 9, offset 20: unknown event code 99";
    assert_frame_error(1, &record(99, &[]), code_text);
    let settings = record(22, &[(15, &1u32.to_le_bytes())]);
    let settings_text = "batch 9, offset 31: a record refers to data outside the tail of the frame";
    assert_frame_error(1, &settings, settings_text);
    let list = record(23, &[(7, &u32::MAX.to_le_bytes())]);
    let list_text = "batch 9, offset 23: a record refers to data outside the tail of the frame";
    assert_frame_error(1, &list, list_text);
    let update = record(20, &[]);
    assert_frame_error(1, &update, "batch 9, offset 27: unknown endpoint list 0");
    let mode = record(20, &[(9, &[3])]);
    assert_frame_error(1, &mode, "batch 9, offset 29: unknown update mode 3");
    let outcome = record(17, &[(20, &[77])]);
    assert_frame_error(1, &outcome, "batch 9, offset 40: unknown outcome 77");
    let state_text = "batch 9, offset 23: unknown endpoint state 9";
    assert_frame_error(1, &unknown_endpoint_state(), state_text);
}

/// Returns the body of a batch with an endpoint list whose only entry has an unknown state.
fn unknown_endpoint_state() -> Vec<u8> {
    let mut body = record(23, &[(7, &1u32.to_le_bytes())]);
    body.extend([0; ENDPOINT_SIZE]);
    body[EVENT_SIZE + 10] = 9;
    body
}

#[test]
fn a_reply_is_a_header_followed_by_records_and_then_a_tail() {
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
    assert_eq!(frame.len(), 12 + 2 * ACTION_SIZE + 19);
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

const REQUEST: RequestId = RequestId(0x0403_0201);
const BACKEND: BackendId = BackendId(0x0807_0605);

/// Asserts that an action of instance 0x0102 is encoded as `leading_bytes`, followed by zeros up to
/// the size of a record.
fn assert_record(action: &Action, leading_bytes: &[u8]) {
    let mut reply = Reply::default();
    reply.push(0x0102, action);
    let frame = reply.finish(0);
    let mut expected = [0; ACTION_SIZE];
    expected[..leading_bytes.len()].copy_from_slice(leading_bytes);
    assert_eq!(frame[12..12 + ACTION_SIZE], expected, "{action:?}");
}

#[test]
fn each_action_on_a_request_is_encoded_into_its_record() {
    let start = Action::StartAttempt {
        request: REQUEST,
        backend: BACKEND,
        abandon_at: 9,
    };
    assert_record(&start, &[80, 2, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let reject = Action::Reject {
        request: REQUEST,
        retry_after: 9,
    };
    assert_record(&reject, &[81, 2, 1, 1, 2, 3, 4, 9]);
    let fail = Action::Fail { request: REQUEST };
    assert_record(&fail, &[82, 2, 1, 1, 2, 3, 4]);
    let cancel = Action::CancelAttempt {
        request: REQUEST,
        attempt: 9,
    };
    assert_record(&cancel, &[83, 2, 1, 1, 2, 3, 4, 9]);
}

#[test]
fn actions_on_timers_backends_gossip_and_discovery_are_encoded_into_records() {
    let timer = Action::SetTimer {
        at: 9,
        timer: TimerId(7),
    };
    assert_record(&timer, &[84, 2, 1, 9, 0, 0, 0, 0, 0, 0, 0, 7]);
    let check = Action::CheckHealth { backend: BACKEND };
    assert_record(&check, &[85, 2, 1, 5, 6, 7, 8]);
    let close = Action::CloseIdleConnections { backend: BACKEND };
    assert_record(&close, &[86, 2, 1, 5, 6, 7, 8]);
    let gossip = |to| Action::Gossip {
        to,
        bytes: b"xy".to_vec(),
    };
    assert_record(&gossip(None), &[87, 2, 1, 255, 255, 0, 0, 0, 0, 2]);
    assert_record(&gossip(Some(3)), &[87, 2, 1, 3, 0, 0, 0, 0, 0, 2]);
    assert_record(&Action::WatchEndpoints(true), &[90, 2, 1, 1]);
    assert_record(&Action::PollEndpoints, &[91, 2, 1]);
}
