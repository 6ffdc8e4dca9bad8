//! The endpoint list: watches, resumed watches, and unavailable discovery.

use crate::common::{
    HEALTH_CHECK, StandIn, TestNode, WATCH_RESPONSE_HEAD, chunk, endpoint_json, report_request,
    watch_response,
};

#[test]
fn idle_watch_is_reopened() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD).send("1\r\n\n\r\n");
    node.expect_log("discovery-failed timed out: no complete data");
    node.discovery.accept().expect("after=7 ");
}

#[test]
fn watch_resumes_after_an_invalid_line_and_keeps_the_valid_update() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.accept();
    assert!(
        watch
            .expect("\r\n\r\n")
            .starts_with("GET /catalog/members?watch=1&after=7 HTTP/1.1\r\n")
    );
    let other_backend = StandIn::new();
    let endpoints = endpoint_json("s-1", node.backend.address(), "Terminating")
        + ","
        + &endpoint_json("s-2", other_backend.address(), "Ready");
    let line = format!(
        "{{\"rev\":9,\"all\":false,\"targets\":[{}]}}\n",
        endpoints.replace('\n', "")
    );
    // The line is split over two chunks: the node must parse it only when it is complete.
    let (first_part, second_part) = line.split_at(60);
    watch
        .send(WATCH_RESPONSE_HEAD)
        .send(&chunk("\n"))
        .send(&chunk(first_part))
        .send(&chunk(second_part))
        .send(&chunk("{\"rev\":}\n"));
    node.expect_log("discovery-failed not JSON");
    watch.expect_close();
    let mut second_watch = node.discovery.accept();
    assert!(second_watch.expect("\r\n\r\n").contains("after=9 "));
    let mut client = node.client();
    client.send(&report_request("i", 5000));
    let mut backend = other_backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn node_serves_from_the_cached_list_while_discovery_is_unavailable() {
    for answer in [
        None,
        Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        Some(""),
    ] {
        let node = TestNode::start();
        let mut call = node.discovery.accept();
        call.expect("after=7 ");
        match answer {
            Some(answer) => drop(call.send(answer)),
            None => call.close(),
        }
        let mut client = node.client();
        client.send(HEALTH_CHECK).expect("ok\n");
        client.send(&report_request("u", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        if answer != Some("") {
            node.discovery.accept().expect("after=7 ");
        }
    }
}

#[test]
fn truncated_update_changes_nothing_until_it_is_received_completely() {
    let mut node = TestNode::start();
    let new_backend = StandIn::new();
    // Beside two backends, the update has thousands of removed endpoints, so that it is long.
    let mut endpoints: Vec<String> = (0..5000)
        .map(|n| endpoint_json(&format!("x-{n}"), new_backend.address(), "Gone"))
        .collect();
    endpoints.push(endpoint_json("s-1", node.backend.address(), "Terminating"));
    endpoints.push(endpoint_json("s-2", new_backend.address(), "Ready"));
    let full_update = watch_response(9, &endpoints);
    let mut watch = node.discovery.accept();
    watch.send(&full_update[..full_update.len() / 2]);
    watch.close();
    let log = node.expect_log("discovery-failed");
    assert_eq!(log.matches("discovery-failed").count(), 1, "{log}");
    let mut client = node.client();
    client.send(&report_request("v1", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "old");
    client.expect("old");
    let mut second_watch = node.discovery.accept();
    second_watch.expect("after=7 ");
    second_watch.send(&full_update);
    // The idle connection closes once the update is applied.
    backend.expect_close();
    client.send(&report_request("v2", 5000));
    let mut backend = new_backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "new");
    client.expect("new");
}
