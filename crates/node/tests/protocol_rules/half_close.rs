//! A request that was read gets an answer, also where its client has ended its sending behind it.
//! Nothing is forwarded for such a client: a half-close can't be distinguished from a close.

use crate::common::{TestNode, pass, report};

#[test]
fn a_client_that_half_closes_behind_its_request_is_rejected_and_not_forwarded() {
    let node = TestNode::start();
    node.stall();
    let mut client = node.client();
    client.send(&report("half", 5_000));
    client.half_close();
    node.resume();
    assert!(client.expect_close().starts_with("HTTP/1.1 503 "));
    assert!(node.backend.is_quiet());
}

#[test]
fn a_client_that_half_closes_while_its_request_is_queued_is_rejected() {
    let node =
        TestNode::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut client = node.client();
    client.send(&report("held", 5_000));
    node.wait_for_iteration();
    client.half_close();
    assert!(client.expect_close().starts_with("HTTP/1.1 503 "));
}

#[test]
fn a_client_that_half_closes_while_its_attempt_is_in_flight_gets_an_error() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("out", 5_000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    client.half_close();
    // It may have run, so it is no refusal; and its attempt is called off.
    assert!(client.expect_close().starts_with("HTTP/1.1 502 "));
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn a_client_that_half_closes_behind_half_a_request_is_answered_that_it_is_incomplete() {
    let node = TestNode::start();
    let mut client = node.client();
    let whole = report("part", 5_000);
    client.send(&whole[..whole.len() - 2]);
    node.wait_for_iteration();
    client.half_close();
    let answer = client.expect_close();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
        "{answer}"
    );
    pass(20);
    assert!(node.backend.is_quiet());
}
