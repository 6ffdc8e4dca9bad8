//! Races on upstream and client connections.

use super::{MAX_CLIENT_CONNECTIONS, with_few_descriptors, with_idle_connection};
use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, WATCH_RESPONSE_HEAD, endpoint_json,
    report_request, sleep_ms, wait_for, watch_update, with_long_connect_timeout,
};

#[test]
fn request_read_together_with_a_drain_is_not_sent_to_the_draining_backend() {
    let other_backend = StandIn::new();
    let node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD);
    let (mut client, mut backend) = with_idle_connection(&node, "w");
    node.stall();
    client.send(&report_request("after", 5000));
    let draining = endpoint_json("s-1", node.backend.address(), "Terminating");
    watch.send(&watch_update(
        8,
        &[
            draining,
            endpoint_json("s-2", other_backend.address(), "Ready"),
        ],
    ));
    node.resume();
    assert_eq!(backend.expect_close(), "");
    let mut other_connection = other_backend.accept();
    other_connection.expect("x-txn: after\r\n");
}

#[test]
fn connection_established_after_the_deadline_sends_nothing() {
    let (full_backend, queued) = StandIn::with_full_backlog();
    let node =
        TestNode::with_config(|config| with_long_connect_timeout(config, full_backend.address()));
    let mut client = node.client();
    client.send(&report_request("late", 1500));
    node.wait_for_iteration();
    node.stall();
    full_backend.accept();
    drop(queued);
    // The accept queue has space now, so the connection is established once the kernel retransmits
    // the SYN, a second after the first one.
    let mut backend = full_backend.accept();
    sleep_ms(1600);
    node.resume();
    assert_eq!(backend.expect_close(), "");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn connection_whose_idle_timeout_passes_in_a_stall_is_not_reused() {
    let node = TestNode::with_config(|config| {
        config.replace(
            r#""maxAttempts":5"#,
            r#""maxAttempts":5,"connIdleNs":400000000"#,
        )
    });
    let (mut client, _backend) = with_idle_connection(&node, "w");
    node.stall();
    sleep_ms(310);
    client.send(&report_request("again", 5000));
    node.resume();
    node.backend.accept().expect("x-txn: again\r\n");
}

#[test]
fn answer_received_before_the_timeout_is_forwarded_despite_many_other_events() {
    let node =
        TestNode::with_config(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    let mut client = node.client();
    let mut other_clients: Vec<Connection> = (0..300).map(|_| node.client()).collect();
    for other_client in &mut other_clients {
        other_client.send(HEALTH_CHECK).expect("ok\n");
    }
    client.send(&report_request("slow", 400));
    let mut backend = node.backend.accept();
    backend.expect("body");
    // The write of the request has returned by then: an answer during a write that takes long is
    // not forwarded, as it may be older than the request.
    node.wait_for_iteration();
    node.stall();
    for other_client in &mut other_clients {
        other_client.send(HEALTH_CHECK);
    }
    backend.serve("200 OK", "there");
    sleep_ms(450);
    node.resume();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

#[test]
fn connection_with_an_unread_request_is_not_evicted() {
    let node = TestNode::with_config(with_few_descriptors);
    let descriptors_before = node.open_descriptors();
    let mut clients: Vec<Connection> = (0..MAX_CLIENT_CONNECTIONS).map(|_| node.client()).collect();
    wait_for(|| {
        (node.open_descriptors() >= descriptors_before + MAX_CLIENT_CONNECTIONS).then_some(())
    });
    node.stall();
    let mut new_client = node.client();
    clients[0].send(&report_request("asks", 5000));
    node.resume();
    let mut backend = node.backend.accept();
    backend.expect("x-txn: asks\r\n");
    backend.expect("body");
    backend.serve("200 OK", "served");
    clients[0].expect("served");
    new_client.send(HEALTH_CHECK).expect("ok\n");
    // Exactly one of the other connections was closed: the evicted one.
    let closed = clients[1..]
        .iter_mut()
        .map(Connection::is_closed)
        .filter(|is_peer_closed| *is_peer_closed)
        .count();
    assert_eq!(closed, 1);
}
