//! Which upstream connections are reused, and which are closed.

use crate::common::{
    StandIn, TestNode, WATCH_RESPONSE_HEAD, endpoint_json, report_request, watch_response,
    watch_update, with_backend, with_long_connect_timeout,
};

#[test]
fn upstream_connection_is_not_reused_after_an_answer_with_connection_close() {
    let node = TestNode::start();
    let mut client = node.client();
    // The test keeps its ends of the connections open, so that only the node's own decision leads
    // to a new connection.
    let mut closing_connections = Vec::new();
    for body in ["one", "two"] {
        client.send(&report_request(body, 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", body);
        client.expect(body);
        closing_connections.push(backend);
    }
}

#[test]
fn request_to_an_unreachable_backend_is_sent_to_another() {
    let unreachable = StandIn::new().address();
    let node = TestNode::with_config(|config| with_backend(config, "s-0", unreachable));
    let mut client = node.client();
    client.send(&report_request("m", 5000));
    let mut backend = node.backend.accept();
    for id in ["m", "n", "o", "p"] {
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&report_request(
            &((id.as_bytes()[0] + 1) as char).to_string(),
            5000,
        ));
    }
}

#[test]
fn idle_connections_close_when_their_backend_drains() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("q", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "played");
    client.expect("played");
    let draining = endpoint_json("s-1", node.backend.address(), "Terminating");
    node.discovery
        .accept()
        .send(&watch_response(8, &[draining]));
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn connecting_attempt_moves_to_another_backend_when_its_own_drains() {
    // If the attempt stayed, the first byte of its request could arrive after the drain grace. The
    // connect timeout is far longer than the test.
    let (full_backend, _queued) = StandIn::with_full_backlog();
    let node =
        TestNode::with_config(|config| with_long_connect_timeout(config, full_backend.address()));
    let mut watch = node.discovery.accept();
    let mut client = node.client();
    client.send(&report_request("r", 5000));
    // When this call returns, the node has started the attempt.
    node.wait_for_iteration();
    let draining = endpoint_json("s-0", full_backend.address(), "Terminating");
    watch.send(&watch_response(
        8,
        &[
            draining,
            endpoint_json("s-1", node.backend.address(), "Ready"),
        ],
    ));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn unresponsive_backend_leads_to_a_504_and_a_closed_connection() {
    let node = TestNode::start();
    let mut client = node.client();
    let started_at = std::time::Instant::now();
    client.send(&report_request("f", 300));
    let mut backend = node.backend.accept();
    backend.expect("body");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    assert!(
        started_at.elapsed().as_millis() >= 290,
        "the 504 came before the client timeout"
    );
    backend.expect_close();
}

#[test]
fn backend_with_a_new_uid_at_its_address_gets_a_new_connection() {
    let node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD);
    let mut client = node.client();
    for (revision, old_uid, new_uid) in [(8, "s-1", "s-2"), (9, "s-2", "s-3")] {
        client.send(&report_request(new_uid, 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK", new_uid);
        client.expect(new_uid);
        let address = node.backend.address();
        watch.send(&watch_update(
            revision,
            &[
                endpoint_json(old_uid, address, "Gone"),
                endpoint_json(new_uid, address, "Ready"),
            ],
        ));
        backend.expect_close();
    }
    client.send(&report_request("last", 5000));
    node.backend.accept().expect("x-txn: last\r\n");
}

/// Guards against sending to a new process under the uid of the one before it at its address, while
/// the list has not told the end of the old one, or never does.
#[test]
fn backend_at_the_address_of_another_supersedes_that_one_until_it_starts_anew() {
    let node = TestNode::with_environment(|config| config, &[("BALANCER_TRACE", "1")]);
    let address = node.backend.address();
    let old = endpoint_json("s-1", address, "Ready");
    let new = endpoint_json("s-2", address, "Ready");
    let mut watch = node.discovery.accept();
    watch.send(&watch_response(8, std::slice::from_ref(&new)));
    // A whole list that still has the old one changes nothing.
    let whole_list = watch_update(9, &[new, old.clone()]).replace("false", "true ");
    watch.send(&whole_list);
    node.wait_for_iteration();
    let mut client = node.client();
    client.send(&report_request("r0", 5000));
    let mut backend = node.backend.accept();
    for number in 0..20 {
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        client.send(&report_request(&format!("r{}", number + 1), 5000));
    }
    let restarted = old.replace("\"boot_ms\":0", "\"boot_ms\":9");
    watch.send(&watch_update(10, &[restarted]));
    node.wait_for_iteration();
    let mut other_client = node.client();
    other_client.send(&report_request("again", 5000));
    node.backend.accept().expect("x-txn: again\r\n");
    let log = node.stop_and_read_log();
    let (before_restart, after_restart) = log.split_once("notified rev=10 ").unwrap();
    // The node numbers the backends in the order in which it met them.
    let attempts = |log: &str, backend: &str| {
        let is_attempt = |line: &&str| line.contains(" send id=") && line.contains(backend);
        log.lines().filter(is_attempt).count()
    };
    assert_eq!(attempts(before_restart, " b=0 "), 0, "{log}");
    assert!(attempts(before_restart, " b=1 ") >= 20, "{log}");
    assert_eq!(attempts(after_restart, " b=1 "), 0, "{log}");
    assert!(attempts(after_restart, " b=0 ") > 0, "{log}");
}
