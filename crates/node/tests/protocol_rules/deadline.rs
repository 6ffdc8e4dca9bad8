//! The remaining time forwarded to a backend exceeds that of its client by at most 0.15 s.

use std::time::{Duration, Instant};

use super::REMAINING_TIME_SLACK;
use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, header, report_request, sleep_ms,
    with_long_connect_timeout,
};

const CLIENT_TIMEOUT_MS: u32 = 4_000;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(CLIENT_TIMEOUT_MS as u64);

/// Reads a request, which its client sent at `sent_at`, from a backend's connection. Checks that
/// the remaining time in the request exceeds the client's by at most [`REMAINING_TIME_SLACK`].
fn check_remaining_time(backend: &mut Connection, sent_at: Instant) {
    let head = backend.expect("body");
    let client_remaining = CLIENT_TIMEOUT.saturating_sub(sent_at.elapsed());
    let remaining = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(
        remaining <= client_remaining + REMAINING_TIME_SLACK,
        "forwarded {remaining:?}, remaining {client_remaining:?}"
    );
}

#[test]
fn connect_time_is_deducted_from_the_remaining_time() {
    let (full_backend, queued) = StandIn::with_full_backlog();
    let node =
        TestNode::with_config(|config| with_long_connect_timeout(config, full_backend.address()));
    let mut client = node.client();
    let sent_at = Instant::now();
    client.send(&report_request("late", CLIENT_TIMEOUT_MS));
    sleep_ms(300);
    // The kernel of the backend's machine accepts the connection once its backlog is no longer
    // full.
    drop(queued);
    full_backend.accept();
    check_remaining_time(&mut full_backend.accept(), sent_at);
}

#[test]
fn wait_behind_another_request_is_deducted_from_the_remaining_time() {
    for pipelined in [false, true] {
        let node = TestNode::start();
        let mut client = node.client();
        let (first, second) = (
            report_request("first", 5_000),
            report_request("second", CLIENT_TIMEOUT_MS),
        );
        let mut sent_at = Instant::now();
        client.send(&if pipelined { first + &second } else { first });
        let mut backend = node.backend.accept();
        backend.expect("body");
        if !pipelined {
            sent_at = Instant::now();
            client.send(&second);
        }
        sleep_ms(600);
        backend.serve("200 OK", "first");
        check_remaining_time(&mut backend, sent_at);
    }
}

#[test]
fn stall_before_the_read_is_deducted_from_the_remaining_time() {
    for in_accept_queue in [false, true] {
        let node = TestNode::start();
        let mut accepted = node.client();
        accepted.send(HEALTH_CHECK).expect("ok\n");
        node.stall();
        let sent_at = Instant::now();
        let mut client = if in_accept_queue {
            node.client()
        } else {
            accepted
        };
        client.send(&report_request("stalled", CLIENT_TIMEOUT_MS));
        sleep_ms(800);
        node.resume();
        check_remaining_time(&mut node.backend.accept(), sent_at);
    }
}

#[test]
fn time_of_the_first_attempt_is_deducted_from_the_remaining_time_of_a_retry() {
    // With a long latency objective, the attempt is not cancelled as overdue during the pause.
    let with_long_objective =
        |config: String| config.replace(r#""goalTimeNs":300000000"#, r#""goalTimeNs":3000000000"#);
    let node = TestNode::with_config(with_long_objective);
    let mut client = node.client();
    client.send(&report_request("w0", 5_000));
    let mut backend = node.backend.accept();
    for number in 1..=5 {
        // Each first attempt adds a part of a retry to the retry budget.
        backend.expect("body");
        backend.serve("200 OK", "warm");
        client.expect("warm");
        let name = format!("w{number}");
        client.send(&report_request(
            if number < 5 { &name } else { "again" },
            CLIENT_TIMEOUT_MS,
        ));
    }
    let sent_at = Instant::now();
    check_remaining_time(&mut backend, sent_at);
    sleep_ms(400);
    backend.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    check_remaining_time(&mut backend, sent_at);
}

#[test]
fn idle_time_before_a_request_is_not_deducted() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("ok\n");
    sleep_ms(1_500);
    let sent_at = Instant::now();
    client.send(&report_request("idle", CLIENT_TIMEOUT_MS));
    let head = node.backend.accept().expect("body");
    let remaining = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(
        remaining + REMAINING_TIME_SLACK >= CLIENT_TIMEOUT.saturating_sub(sent_at.elapsed()),
        "forwarded only {remaining:?}"
    );
}
