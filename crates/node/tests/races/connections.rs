//! Races on connections to backends and of clients.

use super::{MAX_CLIENT_CONNECTIONS, few_sockets, with_idle_connection};
use crate::common::{
    Connection, HEALTH, StandIn, TestNode, WATCH, endpoint_json, more_changes, pass, report,
    slow_to_connect, until,
};

#[test]
fn a_drain_in_the_iteration_of_a_request_keeps_it_away_from_the_idle_connection() {
    let other = StandIn::new();
    let node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH);
    let (mut client, mut backend) = with_idle_connection(&node, "w");
    node.stall();
    client.send(&report("after", 5000));
    let leaving = endpoint_json("s-1", node.backend.address(), "Terminating");
    watch.send(&more_changes(
        8,
        &[leaving, endpoint_json("s-2", other.address(), "Ready")],
    ));
    node.resume();
    assert_eq!(backend.expect_close(), "");
    let mut elsewhere = other.wait();
    elsewhere.expect("x-txn: after\r\n");
}

#[test]
fn a_connection_that_comes_up_after_the_deadline_of_its_request_carries_nothing() {
    let (full, queued) = StandIn::full();
    let node = TestNode::with(|config| slow_to_connect(config, full.address()));
    let mut client = node.client();
    client.send(&report("late", 1500));
    node.wait_for_iteration();
    node.stall();
    full.wait();
    drop(queued);
    // The kernel sends its SYN again a second after the first one.
    let mut backend = full.wait();
    pass(1600);
    node.resume();
    assert_eq!(backend.expect_close(), "");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_connection_that_has_stood_idle_through_a_stall_is_not_used_again() {
    let node = TestNode::with(|config| {
        config.replace(
            r#""maxAttempts":5"#,
            r#""maxAttempts":5,"connIdleNs":400000000"#,
        )
    });
    let (mut client, _backend) = with_idle_connection(&node, "w");
    node.stall();
    pass(310);
    client.send(&report("again", 5000));
    node.resume();
    node.backend.wait().expect("x-txn: again\r\n");
}

#[test]
fn an_answer_that_is_there_wins_over_its_time_out_behind_any_number_of_other_events() {
    let node = TestNode::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    let mut client = node.client();
    let mut others: Vec<Connection> = (0..300).map(|_| node.client()).collect();
    for other in &mut others {
        other.send(HEALTH).expect("ok\n");
    }
    client.send(&report("slow", 400));
    let mut backend = node.backend.wait();
    backend.expect("body");
    node.stall();
    for other in &mut others {
        other.send(HEALTH);
    }
    backend.serve("200 OK", "there");
    pass(450);
    node.resume();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_connection_on_which_a_request_has_come_is_not_evicted_for_a_new_client() {
    let node = TestNode::with(few_sockets);
    let before = node.descriptors();
    let mut clients: Vec<Connection> = (0..MAX_CLIENT_CONNECTIONS).map(|_| node.client()).collect();
    until(|| (node.descriptors() >= before + MAX_CLIENT_CONNECTIONS).then_some(()));
    node.stall();
    let mut new = node.client();
    clients[0].send(&report("asks", 5000));
    node.resume();
    let mut backend = node.backend.wait();
    backend.expect("x-txn: asks\r\n");
    backend.expect("body");
    backend.serve("200 OK", "served");
    clients[0].expect("served");
    new.send(HEALTH).expect("ok\n");
    // None of the others is closed but the one that was evicted.
    let closed = clients[1..]
        .iter_mut()
        .map(Connection::is_closed)
        .filter(|ended| *ended)
        .count();
    assert_eq!(closed, 1);
}

#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_one_once_one_has_been_seen() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("first", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // The sign: two answers in one write.
    let twice = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    backend.send(&twice);
    client.expect("one");
    assert_eq!(backend.expect_close(), "");
    // Two messages in one write: the second goes on a tick after the first is answered.
    client.send(&(report("second", 5000) + &report("third", 5000)));
    let mut backend = node.backend.wait();
    backend.expect("x-txn: second\r\n");
    backend.serve("200 OK", "two");
    client.expect("\r\n\r\ntwo");
    let mut next = node.backend.wait();
    next.expect("x-txn: third\r\n");
    backend.serve("200 OK", "two");
    assert_eq!(backend.expect_close().matches("x-txn").count(), 0);
    next.serve("200 OK", "three");
    client.expect("\r\n\r\nthree");
}
