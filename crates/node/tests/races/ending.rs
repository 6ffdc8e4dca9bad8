//! The end of a shutdown: deadlines, unread requests and clients in the accept queue.

use std::time::{Duration, Instant};

use super::{occupy_all_connections, with_client_timeout, with_few_descriptors};
use crate::common::{HEALTH_CHECK, TestNode, header, report_request, sleep_ms};

#[test]
fn requests_with_short_client_timeouts_are_answered_before_sigkill() {
    let node = TestNode::with_config(|config| with_client_timeout(config, "150000000"));
    let (mut client, mut queued) = (node.client(), node.client());
    client.send(&report_request("silent", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    // This request is queued: the backend gets one attempt at a time.
    queued.send(&report_request("queued", 5000));
    node.wait_for_iteration();
    node.terminate();
    let started_at = Instant::now();
    let answer = client.expect("\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 50") && !answer.contains(" 503 "),
        "{answer}"
    );
    assert!(queued.expect("\r\n\r\n").starts_with("HTTP/1.1 503 "));
    assert!(
        started_at.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        started_at.elapsed()
    );
    drop((client, queued));
    assert_eq!(node.wait_exit().code(), Some(0));
    assert!(
        started_at.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn request_unread_when_the_last_answers_are_sent_is_rejected_and_not_forwarded() {
    let mut node = TestNode::with_config(|config| with_client_timeout(config, "100000000"));
    let (mut accepted, mut busy) = (node.client(), node.client());
    accepted.send(HEALTH_CHECK).expect("ok\n");
    busy.send(HEALTH_CHECK).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    node.stall();
    accepted.send(&report_request("late", 5000));
    // The last answers are due 0.6 s after SIGTERM.
    sleep_ms(650);
    node.resume();
    let answer = accepted.expect_close();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(node.backend.has_no_pending_connection());
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn deadline_of_an_attempt_after_sigterm_is_before_sigkill() {
    let mut node = TestNode::with_config(|config| with_client_timeout(config, "400000000"));
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    client.send(&report_request("capped", 5000));
    let head = node.backend.accept().expect("\r\n\r\n");
    let remaining_ms: u32 = header(&head, "x-remaining-ms").parse().unwrap();
    assert!(
        remaining_ms <= 900,
        "{remaining_ms} ms, although SIGKILL may follow 1.1 s after SIGTERM"
    );
}

#[test]
fn client_waiting_for_a_descriptor_at_shutdown_is_still_accepted() {
    let mut node = TestNode::with_config(with_few_descriptors);
    let mut busy = occupy_all_connections(&node);
    let mut late = node.client();
    late.send(&report_request("late", 4000));
    node.expect_log("client-connections-full");
    node.terminate();
    node.expect_log("late-clients");
    // One of the connected clients disconnects, which frees a descriptor.
    drop(busy.pop());
    assert!(late.expect("\r\n\r\n").starts_with("HTTP/1.1 "));
    drop((busy, late));
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn closed_log_does_not_end_the_node() {
    let mut node = TestNode::start();
    node.close_log();
    let mut client = node.client();
    // Each of these invalid requests is logged.
    for _ in 0..3 {
        client
            .send(&report_request("x", 99).replace("X-Org: acme", "X-Org: nobody"))
            .expect("400 Bad Request");
    }
    client.send(&report_request("served", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("\r\n\r\nserved");
    node.terminate();
    drop((client, backend));
    assert_eq!(node.wait_exit().code(), Some(0));
}
