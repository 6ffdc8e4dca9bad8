//! Races with disconnecting clients: their requests are not forwarded.

use super::serve_next_request;
use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, endpoint_json, report_request, wait_for,
    watch_response, with_backend, with_long_connect_timeout,
};

#[test]
fn request_of_a_client_that_disconnects_in_a_stall_is_not_forwarded() {
    type Disconnect = fn(Connection);
    let half_close: Disconnect = |mut connection| {
        connection.half_close();
        std::mem::forget(connection);
    };
    for (method, disconnect) in [
        ("close", Connection::close as Disconnect),
        ("reset", Connection::reset),
        ("half", half_close),
    ] {
        let node = TestNode::start();
        // One connection is accepted before the stall, the other waits in the accept queue.
        let mut accepted = node.client();
        accepted.send(HEALTH_CHECK).expect("ok\n");
        node.stall();
        let mut queued = node.client();
        accepted.send(&report_request("left1", 5000));
        queued.send(&report_request("left2", 5000));
        disconnect(accepted);
        disconnect(queued);
        node.resume();
        serve_next_request(&node, method);
        assert!(node.backend.has_no_pending_connection(), "{method}");
    }
}

#[test]
fn request_is_not_forwarded_if_its_client_overfills_the_inbox_and_closes() {
    let node = TestNode::start();
    node.stall();
    let mut queued = node.client();
    queued.send(&(report_request("left", 5000) + &"x".repeat(40 * 1024)));
    queued.close();
    node.resume();
    serve_next_request(&node, "next");
    assert!(node.backend.has_no_pending_connection());
}

#[test]
fn next_request_of_a_client_that_has_disconnected_is_not_forwarded() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("first", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    node.wait_for_iteration();
    node.stall();
    client.send(&report_request("second", 5000));
    backend.serve("200 OK", "served");
    client.close();
    node.resume();
    let mut other_client = node.client();
    other_client.send(&report_request("other", 5000));
    // If the node reads the disconnect first, it closes the upstream connection and the other
    // request comes on a new one; if it reads the answer first, it reuses the connection.
    let head = backend
        .expect_or_close("body")
        .unwrap_or_else(|| node.backend.accept().expect("body"));
    assert!(head.contains("x-txn: other\r\n"), "{head}");
    assert!(node.backend.has_no_pending_connection());
}

#[test]
fn disconnect_between_two_attempts_prevents_the_second() {
    let other_backend = StandIn::new();
    let node = TestNode::with_config(|config| with_backend(config, "s-0", other_backend.address()));
    let mut client = node.client();
    client.send(&report_request("left", 5000));
    // `first` is the connection to the backend that receives the request. This backend rejects it
    // below, so that a retry could go to `second`, the other backend.
    let (mut first, second) = wait_for(|| {
        let at_default_backend = node
            .backend
            .try_accept()
            .map(|connection| (connection, &other_backend));
        at_default_backend.or_else(|| {
            other_backend
                .try_accept()
                .map(|connection| (connection, &node.backend))
        })
    });
    first.expect("body");
    node.wait_for_iteration();
    node.stall();
    first.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    client.close();
    node.resume();
    node.wait_for_iteration();
    assert!(second.has_no_pending_connection());
}

#[test]
fn queued_request_of_a_disconnected_client_is_not_forwarded() {
    let node = TestNode::with_config(|config| {
        config.replace(r#""state":"Ready""#, r#""state":"Terminating""#)
    });
    let mut watch = node.discovery.accept();
    watch.expect("\r\n\r\n");
    let mut client = node.client();
    client.send(&report_request("left", 5000));
    node.wait_for_iteration();
    node.stall();
    watch.send(&watch_response(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Ready")],
    ));
    client.close();
    node.resume();
    serve_next_request(&node, "next");
}

#[test]
fn disconnect_while_connecting_prevents_the_send_even_if_cancelling_is_off() {
    let (full_backend, queued) = StandIn::with_full_backlog();
    let node = TestNode::with_config(|config| {
        with_long_connect_timeout(config, full_backend.address())
            .replace(r#""cancel":true"#, r#""cancel":false"#)
    });
    let mut client = node.client();
    client.send(&report_request("left", 5000));
    // When this call returns, the node has started the attempt.
    node.wait_for_iteration();
    node.stall();
    full_backend.accept();
    drop(queued);
    // The client disconnects only after the connection is established.
    let mut backend = full_backend.accept();
    client.close();
    node.resume();
    assert_eq!(backend.expect_close(), "");
}
