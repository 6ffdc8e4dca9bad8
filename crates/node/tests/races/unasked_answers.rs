//! Answers that a backend sends unasked: a second one some milliseconds after the first, one on a
//! new connection before its request, or one while the node is delayed in its write. The next
//! request on the connection must not get them.

use std::time::{Duration, Instant};

use super::with_idle_connection;
use crate::common::{
    Connection, StandIn, TestNode, header, report_request, sleep_ms, wait_for,
    with_long_connect_timeout,
};

/// Longest time after an answer at which these tests send a second one, in milliseconds.
const LATENESS_MS: u64 = 5;
/// Rounds in which the node's first second answer races with the next request; in some rounds the
/// test itself may be too slow.
const ROUNDS: u64 = 5;

/// Checks that the client's request `id` gets an answer that was made for it, on the next
/// connection to `backend`, or no success.
fn expect_own_answer(client: &mut Connection, backend: &StandIn, id: &str) {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut connection = wait_for(|| {
        let accepted = backend.try_accept();
        (accepted.is_some() || Instant::now() > deadline).then_some(accepted)
    });
    if let Some(connection) = &mut connection {
        connection.expect(&format!("x-txn: {id}\r\n"));
        connection.expect("body");
        connection.serve("200 OK", id);
    }
    let head = client.expect("\r\n\r\n");
    if head.starts_with("HTTP/1.1 200 ") {
        let length = header(&head, "content-length").parse().unwrap();
        assert_eq!(
            client.take(length),
            id,
            "an answer that was not made for it"
        );
    }
}

/// Guards against incident cbd663: the first second answer that a node meets comes late and is
/// served to the next request.
#[test]
fn first_late_second_answer_is_not_served_to_the_next_request() {
    for round in 0..ROUNDS {
        let node = TestNode::start();
        let mut client = node.client();
        client.send(&report_request("first", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK", "warm");
        client.expect("warm");
        client.send(&report_request("next", 5000));
        sleep_ms(1 + round % LATENESS_MS);
        backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm");
        expect_own_answer(&mut client, &node.backend, "next");
    }
}

/// Guards against an answer that comes on a new connection before the node has written a request.
#[test]
fn answer_on_a_new_connection_before_its_request_is_not_served() {
    let (full_backend, queued) = StandIn::with_full_backlog();
    let node =
        TestNode::with_config(|config| with_long_connect_timeout(config, full_backend.address()));
    let mut client = node.client();
    client.send(&report_request("new", 5000));
    node.wait_for_iteration();
    node.stall();
    full_backend.accept();
    drop(queued);
    // The accept queue has space now, so the connection is established once the kernel retransmits
    // the SYN, a second after the first one.
    let mut backend = full_backend.accept();
    backend.serve("200 OK", "unasked");
    node.resume();
    expect_own_answer(&mut client, &full_backend, "new");
}

/// Guards against an answer that arrives while the process is held up between its last check of the
/// connection and the write of the request.
#[test]
fn answer_that_arrives_while_the_write_is_delayed_is_not_served() {
    let node = TestNode::with_faults("send=sleep:120", |config| config);
    let (mut client, mut backend) = with_idle_connection(&node, "first");
    client.send(&report_request("delayed", 5000));
    sleep_ms(50);
    backend.serve("200 OK", "warm");
    expect_own_answer(&mut client, &node.backend, "delayed");
}
