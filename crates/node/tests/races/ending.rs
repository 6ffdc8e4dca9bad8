//! The last moments of a node: deadlines, unread requests, waiting clients.

use std::time::{Duration, Instant};

use super::{all_busy, few_sockets, short};
use crate::common::{HEALTH, TestNode, header, pass, report};

#[test]
fn where_deadlines_are_short_the_last_answers_come_before_sigkill_may() {
    let node = TestNode::with(|config| short(config, "150000000"));
    let (mut client, mut queued) = (node.client(), node.client());
    client.send(&report("silent", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // One that waits: the backend takes one attempt.
    queued.send(&report("queued", 5000));
    node.wait_for_iteration();
    node.terminate();
    let since = Instant::now();
    let answer = client.expect("\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 50") && !answer.contains(" 503 "),
        "{answer}"
    );
    assert!(queued.expect("\r\n\r\n").starts_with("HTTP/1.1 503 "));
    assert!(
        since.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        since.elapsed()
    );
    drop((client, queued));
    assert_eq!(node.wait_exit().code(), Some(0));
    assert!(
        since.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn a_request_that_lies_unread_at_the_last_moment_is_rejected_and_reaches_no_backend() {
    let mut node = TestNode::with(|config| short(config, "100000000"));
    let (mut known, mut busy) = (node.client(), node.client());
    known.send(HEALTH).expect("ok\n");
    busy.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    node.stall();
    known.send(&report("late", 5000));
    // The time for answers runs out 0.6 s after SIGTERM.
    pass(650);
    node.resume();
    let answer = known.expect_close();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(node.backend.is_quiet());
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn no_attempt_outlives_the_node() {
    let mut node = TestNode::with(|config| short(config, "400000000"));
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    client.send(&report("capped", 5000));
    let head = node.backend.wait().expect("\r\n\r\n");
    let left: u32 = header(&head, "x-remaining-ms").parse().unwrap();
    assert!(
        left <= 900,
        "{left} ms, though SIGKILL may come 1.1 s after SIGTERM"
    );
}

#[test]
fn clients_that_wait_for_a_descriptor_when_the_listener_is_to_close_are_still_taken() {
    let mut node = TestNode::with(few_sockets);
    let mut busy = all_busy(&node);
    let mut late = node.client();
    late.send(&report("late", 4000));
    node.expect_log("client-connections-full");
    node.terminate();
    node.expect_log("late-clients");
    // One of those that are served is evicted.
    drop(busy.pop());
    assert!(late.expect("\r\n\r\n").starts_with("HTTP/1.1 "));
    drop((busy, late));
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn a_log_whose_reader_has_gone_ends_no_node() {
    let mut node = TestNode::start();
    node.drop_log();
    let mut client = node.client();
    // Each of these is logged.
    for _ in 0..3 {
        client
            .send(&report("x", 99).replace("X-Org: acme", "X-Org: nobody"))
            .expect("400 Bad Request");
    }
    client.send(&report("served", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("\r\n\r\nserved");
    node.terminate();
    drop((client, backend));
    assert_eq!(node.wait_exit().code(), Some(0));
}
