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

/// More requests than the node and its kernel buffer while one waits, so that the end of the stream
/// stays with the client's kernel.
const FLOOD_REQUESTS: usize = 900;

fn flood() -> String {
    (0..FLOOD_REQUESTS)
        .map(|number| report_request(&format!("flood{number}"), 60_000))
        .collect()
}

/// Starts a node whose one backend is draining, so that requests wait until [`make_ready`]; returns
/// it with its watch.
fn node_without_ready_backend() -> (TestNode, Connection) {
    let node = TestNode::with_config(|config| {
        config.replace(r#""state":"Ready""#, r#""state":"Terminating""#)
    });
    let mut watch = node.discovery.accept();
    watch.expect("\r\n\r\n");
    (node, watch)
}

fn make_ready(node: &TestNode, watch: &mut Connection) {
    let ready = endpoint_json("s-1", node.backend.address(), "Ready");
    watch.send(&watch_response(8, &[ready]));
}

/// Guards against attempts for a client whose close is hidden behind bytes that the node does not
/// read.
#[test]
fn queued_request_is_not_forwarded_if_unread_bytes_hide_the_close_of_its_client() {
    let (node, mut watch) = node_without_ready_backend();
    let mut client = node.client();
    client.send(&report_request("left", 5000));
    node.wait_for_iteration();
    client.send(&flood());
    client.close();
    node.wait_for_iteration();
    make_ready(&node, &mut watch);
    serve_next_request(&node, "next");
}

/// Guards against reading what hides a close only after the attempt that it forbids has begun.
#[test]
fn queued_request_is_not_forwarded_if_bytes_hide_the_close_while_the_node_stands_still() {
    let (node, mut watch) = node_without_ready_backend();
    let mut client = node.client();
    client.send(&report_request("left", 5000));
    node.wait_for_iteration();
    node.stall();
    make_ready(&node, &mut watch);
    client.send(&flood());
    client.close();
    node.resume();
    serve_next_request(&node, "next");
}

/// Guards against opening a request although unread bytes behind it may hide its client's close.
#[test]
fn requests_that_a_client_sends_at_once_before_it_closes_are_not_forwarded() {
    let node = TestNode::start();
    node.stall();
    let mut client = node.client();
    client.send(&flood());
    client.close();
    node.resume();
    serve_next_request(&node, "next");
    assert!(node.backend.has_no_pending_connection());
}

/// Guards against a retry for a client whose close is hidden behind bytes that the node does not
/// read.
#[test]
fn rejected_attempt_is_not_retried_if_unread_bytes_hide_the_close_of_its_client() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("r0", 5000));
    let mut backend = node.backend.accept();
    // The first attempts of these requests add one retry to the retry budget.
    for number in 1..=5 {
        backend.expect("body");
        backend.serve("200 OK", "warm");
        client.expect("warm");
        client.send(&report_request(&format!("r{number}"), 5000));
    }
    backend.expect("x-txn: r5\r\n");
    backend.expect("body");
    client.send(&flood());
    client.close();
    node.wait_for_iteration();
    backend.serve(
        "503 Service Unavailable\r\nX-Turned-Away: 1\r\nConnection: close",
        "",
    );
    serve_next_request(&node, "next");
}

/// Guards against leaving a client without answers that sends many requests at once and stays.
#[test]
fn each_of_many_requests_sent_at_once_gets_an_answer_and_the_last_ones_are_served() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&flood());
    // The next requests wait in the node while this one is served.
    let served = std::thread::spawn({
        let backend = node.backend.accept();
        move || serve_until_close(backend)
    });
    let mut statuses = Vec::new();
    for _ in 0..FLOOD_REQUESTS {
        let head = client.expect("\r\n\r\n");
        let length = crate::common::header(&head, "content-length").parse();
        client.take(length.unwrap());
        statuses.push(head["HTTP/1.1 ".len()..][..3].to_string());
    }
    assert!(
        statuses
            .iter()
            .all(|status| status == "200" || status == "503")
    );
    assert_eq!(statuses.last().unwrap(), "200");
    drop(client);
    drop(node);
    assert!(served.join().unwrap() > 0);
}

/// Answers each request on a backend's connection; returns their number once the connection closes.
fn serve_until_close(mut backend: Connection) -> usize {
    let mut count = 0;
    while backend.expect_or_close("body").is_some() {
        backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        count += 1;
    }
    count
}

/// The request of a class that backends deduplicate by key, or of one that is idempotent, or not.
fn request_of_effect(effect: &str, id: &str) -> String {
    let request = report_request(id, 5000);
    match effect {
        "repeatable" => request
            .replace("POST", "GET")
            .replace("Content-Length: 4\r\n\r\nbody", "X-End: body\r\n\r\n")
            .replace(&format!("Idempotency-Key: k{id}\r\n"), ""),
        "once" => request.replace(&format!("Idempotency-Key: k{id}\r\n"), ""),
        _ => request,
    }
}

fn node_with_effect(effect: &str) -> TestNode {
    let key_settings = r#""effect":"by_key","keyScope":"cell","windowNs":3000000000"#;
    TestNode::with_config(|config| match effect {
        "by_key" => config,
        other => config.replace(key_settings, &format!(r#""effect":"{other}""#)),
    })
}

/// Guards against executing a request twice whose ID comes again after its client has left.
#[test]
fn id_of_an_attempt_that_may_have_been_executed_is_not_executed_again() {
    for effect in ["repeatable", "by_key", "once"] {
        for answers_first in [false, true] {
            let node = node_with_effect(effect);
            let mut client = node.client();
            client.send(&request_of_effect(effect, "again"));
            let mut backend = node.backend.accept();
            backend.expect("x-txn: again\r\n");
            backend.expect("\r\n\r\n");
            client.close();
            node.wait_for_iteration();
            if answers_first {
                backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                node.wait_for_iteration();
            }
            let mut second = node.client();
            second.send(&request_of_effect(effect, "again"));
            let head = second.expect("\r\n\r\n");
            assert!(head.starts_with("HTTP/1.1 409 "), "{head} for {effect}");
            assert!(node.backend.has_no_pending_connection(), "{effect}");
        }
    }
}

/// Guards against refusing a request that its client sends once more because it was never executed.
#[test]
fn id_of_a_request_that_was_not_executed_is_served_when_it_comes_again() {
    let (node, mut watch) = node_without_ready_backend();
    let mut client = node.client();
    client.send(&report_request("again", 5000));
    node.wait_for_iteration();
    client.close();
    node.wait_for_iteration();
    make_ready(&node, &mut watch);
    serve_next_request(&node, "again");
}

/// Guards against a client that keeps the loop busy with empty lines.
#[test]
fn client_that_sends_empty_lines_without_end_blocks_no_request() {
    let node = TestNode::start();
    let senders: Vec<_> = (0..2)
        .map(|_| {
            let mut client = node.client();
            let empty_lines = "\r\n".repeat(500_000);
            std::thread::spawn(move || while client.try_send(&empty_lines) {})
        })
        .collect();
    for id in ["first", "second", "third"] {
        let mut client = node.client();
        client.send(&report_request(id, 15_000));
        let mut backend = node.backend.accept();
        backend.expect(&format!("x-txn: {id}\r\n"));
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    drop(node);
    for sender in senders {
        sender.join().unwrap();
    }
}
