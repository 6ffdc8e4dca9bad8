//! The log never blocks the event loop: lines that would block are dropped and counted. It names
//! each request that did not come whole, and why clients got their answers.

use super::{EchoBackend, check_attempts, node_with_echo_backend, send_requests};
use crate::common::{TestNode, report_request};

#[test]
fn unread_log_blocks_no_request_and_reports_dropped_lines() {
    let (mut node, backend) = node_with_echo_backend(|config| {
        TestNode::with_environment(config, &[("BALANCER_TRACE", "1")])
    });
    // Each request writes some hundred bytes of trace; a pipe holds 64 KiB.
    assert_eq!(send_requests(&node, 600), 600);
    let lines = node.expect_log("accepted id=");
    assert!(lines.contains("kitefork: trace"), "{lines}");
    node.expect_log("log-dropped lines=");
    check_attempts(node, &backend, 600);
}

#[test]
fn closed_log_blocks_no_request() {
    let (mut node, _backend): (TestNode, EchoBackend) = node_with_echo_backend(|config| {
        TestNode::with_environment(config, &[("BALANCER_TRACE", "1")])
    });
    node.close_log();
    assert_eq!(send_requests(&node, 100), 100);
}

/// Guards against a request that is answered with 408 without a trace of it in the log.
#[test]
fn log_names_the_missing_part_of_a_request_that_did_not_come_whole() {
    let mut node = TestNode::start();
    let request = report_request("cut", 9_000);
    let (mut without_body, mut without_head) = (node.client(), node.client());
    without_body.send(&request[..request.len() - 1]);
    without_head.send(&request[..40]);
    assert!(without_body.expect_close().starts_with("HTTP/1.1 408 "));
    assert!(without_head.expect_close().starts_with("HTTP/1.1 408 "));
    let lines = node.expect_log("txn=cut ") + &node.expect_log("missing=head");
    assert!(
        lines.contains("unparsed=0 missing=body remaining=1"),
        "{lines}"
    );
    assert!(lines.contains("txn=- "), "{lines}");
}

#[test]
fn counters_tell_why_clients_got_their_answers() {
    let (node, _backend) = node_with_echo_backend(|config| TestNode::with_config(config));
    assert_eq!(send_requests(&node, 3), 3);
    node.client()
        .send(&report_request("wrong", 3_000).replace("report", "other"))
        .expect("\r\n\r\n");
    let log = node.stop_and_read_log();
    assert!(log.contains("answered.forwarded=3"), "{log}");
    assert!(log.contains("answered.invalid=1"), "{log}");
}
