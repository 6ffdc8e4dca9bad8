//! How many connections clients may have, and what becomes of those that disconnect or say nothing.

use crate::common::{HEALTH, TestNode, report};

#[test]
fn a_client_that_disconnects_ends_its_attempt() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("e", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn a_client_that_leaves_behind_a_full_inbox_takes_its_fetch_along_too() {
    // Its end can't be read while the inbox is full; the loop must neither miss it nor spin on it.
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("ee", 60_000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    client.send(&"x".repeat(17 * 1024));
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn silent_clients_and_half_requests_are_closed_within_three_seconds_and_slow_bodies_are_served() {
    let node = TestNode::start();
    let request = report("w", 9000);
    let (head, body) = request.split_at(request.len() - 4);
    let since = std::time::Instant::now();
    let (mut silent, mut half, mut bodiless, mut slow) =
        (node.client(), node.client(), node.client(), node.client());
    half.send(&head[..40]);
    bodiless.send(head);
    slow.send(head);
    // A byte at a time, each well before the pause that counts as an end; all in all it takes
    // longer.
    for byte in body[..3].bytes() {
        std::thread::sleep(std::time::Duration::from_millis(900));
        slow.send(&char::from(byte).to_string());
    }
    assert!(half.expect_close().starts_with("HTTP/1.1 408 "));
    assert!(bodiless.expect_close().starts_with("HTTP/1.1 408 "));
    assert_eq!(silent.expect_close(), "");
    assert!(since.elapsed().as_secs() < 4, "{:?}", since.elapsed());
    slow.send(&body[3..]);
    node.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn when_client_connections_run_out_the_one_idle_for_longest_closes() {
    let node = TestNode::start();
    // 128 descriptors less 20 for the rest, and a quarter of those are kept for backends.
    let mut clients: Vec<_> = (0..82).map(|_| node.client()).collect();
    let mut newest = clients.pop().unwrap();
    newest.send(HEALTH).expect("ok\n");
    assert_eq!(clients[0].expect_close(), "");
}

#[test]
fn a_flood_of_clients_that_send_once_or_never_evicts_none_that_has_come_back() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    client.send(HEALTH).expect("ok\n");
    let mut flood: Vec<_> = (0..120).map(|_| node.client()).collect();
    for once in flood.iter_mut().skip(100) {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
}

#[test]
fn clients_that_send_once_and_stay_do_not_fill_their_share() {
    // A third of the 128 descriptors is all that clients may hold; then others can't come.
    let node = TestNode::start();
    let since = std::time::Instant::now();
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    let mut once: Vec<_> = (0..42).map(|_| node.client()).collect();
    for once in &mut once {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
    // The oldest are closed until a quarter is left, which all stay.
    for closed in &mut once[..11] {
        assert_eq!(closed.expect_close(), "");
    }
    assert!(since.elapsed().as_secs() < 5, "{:?}", since.elapsed());
    for kept in once[11..].iter_mut().chain([&mut client]) {
        kept.send(HEALTH).expect("ok\n");
    }
}

#[test]
fn the_limit_of_descriptors_holds_and_what_backends_need_is_there() {
    let node = TestNode::with(|config| config.replace(r#""sockets":128"#, r#""sockets":64"#));
    let mut first = node.client();
    first.send(&report("x0", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // Silent ones take all that clients may have; one with a request is none of those closed.
    let mut flood: Vec<_> = (0..100).map(|_| node.client()).collect();
    flood[99].send(HEALTH).expect("ok\n");
    assert!(
        (40..=64).contains(&node.descriptors()),
        "{}",
        node.descriptors()
    );
    backend.serve("200 OK\r\nConnection: close", "one");
    first.expect("one");
    // A new connection to a backend still finds a descriptor.
    first.send(&report("x1", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "two");
    first.expect("two");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}
