//! How many connections clients may have, and what becomes of those that disconnect or say nothing.

use crate::common::{HEALTH_CHECK, TestNode, report_request};

#[test]
fn client_disconnect_cancels_its_attempt() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("e", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn client_disconnect_behind_a_full_inbox_cancels_its_attempt() {
    // Its end can't be read while the inbox is full; the loop must neither miss it nor spin on it.
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("ee", 60_000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    client.send(&"x".repeat(17 * 1024));
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn idle_and_incomplete_clients_are_closed_and_slow_bodies_are_served() {
    let node = TestNode::start();
    let request = report_request("w", 9000);
    let (head, body) = request.split_at(request.len() - 4);
    let started_at = std::time::Instant::now();
    let (mut idle, mut incomplete_head, mut missing_body, mut slow_body) =
        (node.client(), node.client(), node.client(), node.client());
    incomplete_head.send(&head[..40]);
    missing_body.send(head);
    slow_body.send(head);
    // A byte at a time, each well before the pause that counts as an end; all in all it takes
    // longer.
    for byte in body[..3].bytes() {
        std::thread::sleep(std::time::Duration::from_millis(900));
        slow_body.send(&char::from(byte).to_string());
    }
    assert!(incomplete_head.expect_close().starts_with("HTTP/1.1 408 "));
    assert!(missing_body.expect_close().starts_with("HTTP/1.1 408 "));
    assert_eq!(idle.expect_close(), "");
    assert!(
        started_at.elapsed().as_secs() < 4,
        "{:?}",
        started_at.elapsed()
    );
    slow_body.send(&body[3..]);
    node.backend.accept().expect("\r\n\r\nbody");
}

#[test]
fn longest_idle_client_is_evicted_at_the_connection_limit() {
    let node = TestNode::start();
    // 128 descriptors less 20 for the rest, and a quarter of those are kept for backends.
    let mut clients: Vec<_> = (0..82).map(|_| node.client()).collect();
    let mut newest = clients.pop().unwrap();
    newest.send(HEALTH_CHECK).expect("ok\n");
    assert_eq!(clients[0].expect_close(), "");
}

#[test]
fn flood_of_new_clients_does_not_evict_a_returning_client() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("ok\n");
    client.send(HEALTH_CHECK).expect("ok\n");
    let mut flood: Vec<_> = (0..120).map(|_| node.client()).collect();
    for one_request_client in flood.iter_mut().skip(100) {
        one_request_client.send(HEALTH_CHECK).expect("ok\n");
    }
    client.send(HEALTH_CHECK).expect("ok\n");
}

#[test]
fn idle_clients_after_one_request_are_closed_down_to_a_quarter() {
    // A third of the 128 descriptors is all that clients may hold; then others can't come.
    let node = TestNode::start();
    let started_at = std::time::Instant::now();
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("ok\n");
    let mut one_request_clients: Vec<_> = (0..42).map(|_| node.client()).collect();
    for idle_client in &mut one_request_clients {
        idle_client.send(HEALTH_CHECK).expect("ok\n");
    }
    client.send(HEALTH_CHECK).expect("ok\n");
    // The oldest are closed until a quarter is left, which all stay.
    for closed in &mut one_request_clients[..11] {
        assert_eq!(closed.expect_close(), "");
    }
    assert!(
        started_at.elapsed().as_secs() < 5,
        "{:?}",
        started_at.elapsed()
    );
    for kept in one_request_clients[11..].iter_mut().chain([&mut client]) {
        kept.send(HEALTH_CHECK).expect("ok\n");
    }
}

#[test]
fn descriptor_limit_holds_and_backends_keep_their_reserve() {
    let node =
        TestNode::with_config(|config| config.replace(r#""sockets":128"#, r#""sockets":64"#));
    let mut first = node.client();
    first.send(&report_request("x0", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    // Silent ones take all that clients may have; one with a request is none of those closed.
    let mut flood: Vec<_> = (0..100).map(|_| node.client()).collect();
    flood[99].send(HEALTH_CHECK).expect("ok\n");
    assert!(
        (40..=64).contains(&node.open_descriptors()),
        "{}",
        node.open_descriptors()
    );
    backend.serve("200 OK\r\nConnection: close", "one");
    first.expect("one");
    // A new connection to a backend still finds a descriptor.
    first.send(&report_request("x1", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "two");
    first.expect("two");
    assert!(node.open_descriptors() <= 64, "{}", node.open_descriptors());
}
