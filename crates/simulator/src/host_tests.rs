//! Unit tests of the host: replies to batches, failed starts and truncated input.

use super::*;

fn frame(record_count: u32, now: u64, batch: u32, body: &[u8]) -> Vec<u8> {
    let mut frame = record_count.to_le_bytes().to_vec();
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    frame.extend(batch.to_le_bytes());
    frame.extend(body);
    frame
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let mut output = Vec::new();
    run(&frame(0, 5, 7, &[])[..], &mut output).unwrap();
    assert_eq!(output, [0, 0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0]);
}

#[test]
fn invalid_settings_are_reported_as_a_failed_start() {
    let mut body = vec![0; 40];
    body[0] = 22;
    body[15] = 2;
    body.extend(b"{}");
    let mut output = Vec::new();
    run(&frame(1, 5, 7, &body)[..], &mut output).unwrap();
    assert_eq!(output[12], 89);
    assert!(String::from_utf8_lossy(&output).contains("missing field"));
}

#[test]
fn a_truncated_frame_is_an_error_without_a_reply() {
    let mut output = Vec::new();
    let complete = frame(1, 5, 7, &[16; 40]);
    let error = run(&complete[..30], &mut output).unwrap_err();
    assert_eq!(
        error.to_string(),
        "batch 7, offset 30: the input ends within a frame"
    );
    assert!(output.is_empty());
}
