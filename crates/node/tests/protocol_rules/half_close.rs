//! A request that was read gets an answer even if its client has shut down its sending side.
//! Nothing is forwarded for such a client, as a half-close can't be distinguished from a close.

use crate::common::{TestNode, report_request, sleep_ms};

#[test]
fn request_of_a_half_closed_client_is_rejected_and_not_forwarded() {
    let node = TestNode::start();
    node.stall();
    let mut client = node.client();
    client.send(&report_request("half", 5_000));
    client.half_close();
    node.resume();
    assert!(client.expect_close().starts_with("HTTP/1.1 503 "));
    assert!(node.backend.has_no_pending_connection());
}

#[test]
fn queued_request_is_rejected_when_its_client_half_closes() {
    let node = TestNode::with_config(|config| {
        config.replace(r#""state":"Ready""#, r#""state":"Terminating""#)
    });
    let mut client = node.client();
    client.send(&report_request("held", 5_000));
    node.wait_for_iteration();
    client.half_close();
    assert!(client.expect_close().starts_with("HTTP/1.1 503 "));
}

#[test]
fn half_close_during_an_attempt_gets_502_and_cancels_it() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("out", 5_000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    client.half_close();
    // The request may have been executed, so it fails instead of being rejected, and its attempt is
    // cancelled.
    assert!(client.expect_close().starts_with("HTTP/1.1 502 "));
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn half_close_after_an_incomplete_request_gets_400_or_a_close() {
    let node = TestNode::start();
    let mut client = node.client();
    let complete = report_request("part", 5_000);
    client.send(&complete[..complete.len() - 2]);
    node.wait_for_iteration();
    client.half_close();
    let answer = client.expect_close();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
        "{answer}"
    );
    sleep_ms(20);
    assert!(node.backend.has_no_pending_connection());
}
