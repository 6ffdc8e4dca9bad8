//! The deadline passed to a backend is at most what the client has left, with 0.15 s of slack.

use std::time::{Duration, Instant};

use super::REMAINING_TIME_SLACK;
use crate::common::{Connection, HEALTH, StandIn, TestNode, header, pass, report, slow_to_connect};

const CLIENT_TIMEOUT_MS: u32 = 4_000;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(CLIENT_TIMEOUT_MS as u64);

/// The request that has come on a backend's connection has no more time left than its client.
fn expect_remaining_time(backend: &mut Connection, sent: Instant) {
    let head = backend.expect("body");
    let left = CLIENT_TIMEOUT.saturating_sub(sent.elapsed());
    let remaining = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(
        remaining <= left + REMAINING_TIME_SLACK,
        "passed on {remaining:?}, left {left:?}"
    );
}

#[test]
fn a_connection_that_comes_up_late_passes_the_time_left_then() {
    let (full, queued) = StandIn::full();
    let node = TestNode::with(|config| slow_to_connect(config, full.address()));
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&report("late", CLIENT_TIMEOUT_MS));
    pass(300);
    // The kernel of the backend's machine accepts the connection once its backlog has a place.
    drop(queued);
    full.wait();
    expect_remaining_time(&mut full.wait(), sent);
}

#[test]
fn a_request_that_waited_behind_another_passes_the_time_left() {
    for in_one_piece in [false, true] {
        let node = TestNode::start();
        let mut client = node.client();
        let (first, second) = (report("first", 5_000), report("second", CLIENT_TIMEOUT_MS));
        let mut sent = Instant::now();
        client.send(&if in_one_piece { first + &second } else { first });
        let mut backend = node.backend.wait();
        backend.expect("body");
        if !in_one_piece {
            sent = Instant::now();
            client.send(&second);
        }
        pass(600);
        backend.serve("200 OK", "first");
        expect_remaining_time(&mut backend, sent);
    }
}

#[test]
fn a_request_that_lay_in_the_kernel_through_a_stall_passes_the_time_left() {
    for in_accept_queue in [false, true] {
        let node = TestNode::start();
        let mut known = node.client();
        known.send(HEALTH).expect("ok\n");
        node.stall();
        let sent = Instant::now();
        let mut client = if in_accept_queue {
            node.client()
        } else {
            known
        };
        client.send(&report("stalled", CLIENT_TIMEOUT_MS));
        pass(800);
        node.resume();
        expect_remaining_time(&mut node.backend.wait(), sent);
    }
}

#[test]
fn a_retry_passes_the_time_left_when_it_goes_out() {
    // An attempt is not called off as overdue within the pause.
    let patient =
        |config: String| config.replace(r#""goalTimeNs":300000000"#, r#""goalTimeNs":3000000000"#);
    let node = TestNode::with(patient);
    let mut client = node.client();
    client.send(&report("w0", 5_000));
    let mut backend = node.backend.wait();
    for number in 1..=5 {
        // Served first attempts pay for a retry.
        backend.expect("body");
        backend.serve("200 OK", "warm");
        client.expect("warm");
        let name = format!("w{number}");
        client.send(&report(
            if number < 5 { &name } else { "again" },
            CLIENT_TIMEOUT_MS,
        ));
    }
    let sent = Instant::now();
    expect_remaining_time(&mut backend, sent);
    pass(400);
    backend.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    expect_remaining_time(&mut backend, sent);
}

#[test]
fn a_request_that_arrives_at_an_idle_node_passes_nearly_all_of_its_time() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    pass(1_500);
    let sent = Instant::now();
    client.send(&report("idle", CLIENT_TIMEOUT_MS));
    let head = node.backend.wait().expect("body");
    let remaining = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(
        remaining + REMAINING_TIME_SLACK >= CLIENT_TIMEOUT.saturating_sub(sent.elapsed()),
        "passed on only {remaining:?}"
    );
}
