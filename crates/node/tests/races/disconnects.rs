//! Races with clients that disconnect: nothing is forwarded for them.

use super::serve_next;
use crate::common::{
    Connection, HEALTH, StandIn, TestNode, changes, endpoint_json, report, slow_to_connect, until,
    with_backend,
};

#[test]
fn a_client_that_left_during_a_stall_is_not_sent_on_for_however_it_left() {
    type Leave = fn(Connection);
    let half_close: Leave = |mut connection| {
        connection.half_close();
        std::mem::forget(connection);
    };
    for (way, leave) in [
        ("close", Connection::close as Leave),
        ("reset", Connection::reset),
        ("half", half_close),
    ] {
        let node = TestNode::start();
        // One connection stands before the stall, the other waits in the accept queue.
        let mut known = node.client();
        known.send(HEALTH).expect("ok\n");
        node.stall();
        let mut queued = node.client();
        known.send(&report("left1", 5000));
        queued.send(&report("left2", 5000));
        leave(known);
        leave(queued);
        node.resume();
        serve_next(&node, way);
        assert!(node.backend.is_quiet(), "{way}");
    }
}

#[test]
fn the_request_of_a_client_that_left_behind_more_than_the_buffer_holds_is_not_forwarded() {
    let node = TestNode::start();
    node.stall();
    let mut queued = node.client();
    queued.send(&(report("left", 5000) + &"x".repeat(40 * 1024)));
    queued.close();
    node.resume();
    serve_next(&node, "next");
    assert!(node.backend.is_quiet());
}

#[test]
fn the_next_message_of_a_client_that_left_behind_its_answer_is_not_forwarded() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("first", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    node.stall();
    client.send(&report("second", 5000));
    backend.serve("200 OK", "served");
    client.close();
    node.resume();
    let mut other = node.client();
    other.send(&report("other", 5000));
    // The connection is closed with the client; or, where the answer is seen before the leave, it
    // carries the other one's.
    let head = backend
        .expect_or_close("body")
        .unwrap_or_else(|| node.backend.wait().expect("body"));
    assert!(head.contains("x-txn: other\r\n"), "{head}");
    assert!(node.backend.is_quiet());
}

#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_second_one() {
    let other = StandIn::new();
    let node = TestNode::with(|config| with_backend(config, "s-0", other.address()));
    let mut client = node.client();
    client.send(&report("left", 5000));
    // Whichever it is sent to rejects it.
    let (mut first, second) = until(|| {
        let one = node.backend.poll().map(|connection| (connection, &other));
        one.or_else(|| other.poll().map(|connection| (connection, &node.backend)))
    });
    first.expect("body");
    node.stall();
    first.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    client.close();
    node.resume();
    node.wait_for_iteration();
    assert!(second.is_quiet());
}

#[test]
fn the_request_of_a_client_that_left_while_it_was_queued_is_not_forwarded_when_a_backend_comes() {
    let node =
        TestNode::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut watch = node.discovery.wait();
    watch.expect("\r\n\r\n");
    let mut client = node.client();
    client.send(&report("left", 5000));
    node.wait_for_iteration();
    node.stall();
    watch.send(&changes(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Ready")],
    ));
    client.close();
    node.resume();
    serve_next(&node, "next");
}

#[test]
fn a_client_that_leaves_while_its_attempt_connects_has_nothing_written_also_where_cancelling_is_off()
 {
    let (full, queued) = StandIn::full();
    let node = TestNode::with(|config| {
        slow_to_connect(config, full.address()).replace(r#""cancel":true"#, r#""cancel":false"#)
    });
    let mut client = node.client();
    client.send(&report("left", 5000));
    // Once this later message is answered, the attempt has begun.
    node.wait_for_iteration();
    node.stall();
    full.wait();
    drop(queued);
    // The connection is up, and only then does the client leave.
    let mut backend = full.wait();
    client.close();
    node.resume();
    assert_eq!(backend.expect_close(), "");
}
