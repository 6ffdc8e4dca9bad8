//! The log never blocks the event loop: lines that would block are dropped and counted.

use super::{EchoBackend, node_with_echo_backend, send_requests};
use crate::common::TestNode;

#[test]
fn unread_log_blocks_no_request_and_reports_dropped_lines() {
    let (mut node, backend) = node_with_echo_backend(|config| {
        TestNode::with_environment(config, &[("BALANCER_TRACE", "1")])
    });
    // Each request writes some hundred bytes of trace; a pipe holds 64 KiB.
    assert_eq!(send_requests(&node, 600), 600);
    assert_eq!(backend.served(), 600);
    let lines = node.expect_log("accepted id=");
    assert!(lines.contains("kitefork: trace"), "{lines}");
    node.expect_log("log-dropped lines=");
}

#[test]
fn closed_log_blocks_no_request() {
    let (mut node, _backend): (TestNode, EchoBackend) = node_with_echo_backend(|config| {
        TestNode::with_environment(config, &[("BALANCER_TRACE", "1")])
    });
    node.close_log();
    assert_eq!(send_requests(&node, 100), 100);
}
