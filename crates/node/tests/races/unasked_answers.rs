//! Answers that a backend sends unasked: a second one some milliseconds after the first, one on a
//! new connection before its request, or one while the node is delayed in its write. The next
//! request on the connection must not get them.

use std::time::{Duration, Instant};

use crate::common::{
    Connection, StandIn, TestNode, header, report_request, sleep_ms, with_long_connect_timeout,
};

/// Less than the node lets a connection rest after an answer.
const REST: Duration = Duration::from_millis(8);
/// Less than the delay of a write in the test that delays writes.
const WRITE_DELAY: Duration = Duration::from_millis(110);
/// Time in which a backend answers, in milliseconds.
const BACKEND_LATENCY_MS: u64 = 20;
/// Number of rounds in which the unasked answer must come in time.
const ROUNDS_IN_TIME: usize = 3;
/// Maximum number of rounds: on a busy machine, the test itself may be too slow in some.
const MAX_ROUNDS: usize = 50;

/// Repeats `round`, which sends an unasked answer and returns how long after the event it raced
/// with, and `check`, until the answer came within `limit` in [`ROUNDS_IN_TIME`] rounds. An answer
/// that comes later can't be distinguished from that to the next request, so its round is not
/// checked.
fn race<R>(limit: Duration, round: impl Fn() -> (R, Duration), check: impl Fn(R)) {
    let in_time = (0..MAX_ROUNDS)
        .filter_map(|_| {
            let (raced, elapsed) = round();
            (elapsed < limit).then(|| check(raced))
        })
        .take(ROUNDS_IN_TIME)
        .count();
    assert_eq!(in_time, ROUNDS_IN_TIME, "the unasked answer came too late");
}

/// Serves request `id` on the next connection to `backend`, and checks that its client gets this
/// answer.
fn serve_on_new_connection(client: &mut Connection, backend: &StandIn, id: &str) {
    // A node that forwards the unasked answer makes no new connection.
    let deadline = Instant::now() + Duration::from_secs(1);
    let mut accepted = backend.try_accept();
    while accepted.is_none() && Instant::now() < deadline {
        sleep_ms(1);
        accepted = backend.try_accept();
    }
    if let Some(connection) = &mut accepted {
        connection.expect(&format!("x-txn: {id}\r\n"));
        connection.expect("body");
        connection.serve("200 OK", id);
    }
    let head = client.expect("\r\n\r\n");
    let length = header(&head, "content-length").parse().unwrap();
    assert_eq!(
        client.take(length),
        id,
        "an answer that was not made for it"
    );
}

/// Guards against incident cbd663: the first second answer that a node meets comes late and is
/// served to the next request.
#[test]
fn first_late_second_answer_is_not_served_to_the_next_request() {
    let send_second_answer = || {
        let node = TestNode::start();
        let mut client = node.client();
        client.send(&report_request("first", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        let answered_at = Instant::now();
        backend.serve("200 OK", "warm");
        client.expect("warm");
        client.send(&report_request("next", 5000));
        sleep_ms(2);
        backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm");
        ((node, client, backend), answered_at.elapsed())
    };
    race(
        REST,
        send_second_answer,
        |(node, mut client, mut backend)| {
            serve_on_new_connection(&mut client, &node.backend, "next");
            assert_eq!(backend.expect_close(), "");
        },
    );
}

/// Guards against a late second answer after a node has met another second answer.
#[test]
fn late_second_answer_is_not_used_for_the_next_request() {
    let send_second_answer = || {
        let node = TestNode::start();
        let mut client = node.client();
        client.send(&report_request("first", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        let two_answers = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
        backend.send(&two_answers);
        client.expect("one");
        assert_eq!(backend.expect_close(), "");
        // The client sends two further requests in one write: the node handles the later one a tick
        // after it has answered the earlier one.
        client.send(&(report_request("second", 5000) + &report_request("third", 5000)));
        let mut backend = node.backend.accept();
        backend.expect("x-txn: second\r\n");
        let answered_at = Instant::now();
        backend.serve("200 OK", "two");
        client.expect("\r\n\r\ntwo");
        backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        ((node, client, backend), answered_at.elapsed())
    };
    race(
        REST,
        send_second_answer,
        |(node, mut client, mut backend)| {
            serve_on_new_connection(&mut client, &node.backend, "third");
            assert_eq!(backend.expect_close().matches("x-txn").count(), 0);
        },
    );
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
    serve_on_new_connection(&mut client, &full_backend, "new");
    assert_eq!(backend.expect_close(), "");
}

/// Guards against an answer that arrives while the process is held up between its last check of the
/// connection and the write of the request.
#[test]
fn answer_that_arrives_while_the_write_is_delayed_is_not_served() {
    let send_during_the_write = || {
        let node = TestNode::with_faults("send=sleep:120", |config| config);
        let mut client = node.client();
        client.send(&report_request("first", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        // An answer that is there right after a delayed write may be older than the request.
        sleep_ms(BACKEND_LATENCY_MS);
        backend.serve("200 OK", "warm");
        client.expect("warm");
        let sent_at = Instant::now();
        client.send(&report_request("delayed", 5000));
        // By now, the node has checked the connection, and its write is delayed.
        sleep_ms(50);
        backend.serve("200 OK", "warm");
        ((node, client, backend), sent_at.elapsed())
    };
    race(
        WRITE_DELAY,
        send_during_the_write,
        |(_node, mut client, _backend)| {
            // The request may have been executed, so it is neither served nor rejected.
            let head = client.expect("\r\n\r\n");
            assert!(head.starts_with("HTTP/1.1 502 "), "{head}");
        },
    );
}

/// Guards against a 502 for a request on a new connection whose write was held up after its bytes
/// were sent: no earlier answer can be late there.
#[test]
fn answer_to_the_first_request_of_a_connection_is_served_after_a_delayed_write() {
    let node = TestNode::with_faults("send=late:50", |config| config);
    let mut client = node.client();
    client.send(&report_request("first", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "first");
    let head = client.expect("\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
}
