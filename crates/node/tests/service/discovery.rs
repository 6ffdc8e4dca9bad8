//! The endpoint list: watches, resumed watches, and a discovery that does not answer.

use crate::common::{HEALTH, StandIn, TestNode, WATCH, changes, chunk, endpoint_json, report};

#[test]
fn a_watch_that_falls_silent_is_opened_anew() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    node.expect_log("discovery-failed silent");
    node.discovery.wait().expect("after=7 ");
}

#[test]
fn the_watch_is_resumed_after_a_bad_line_and_moves_requests_to_new_backends() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    assert!(
        watch
            .expect("\r\n\r\n")
            .starts_with("GET /catalog/members?watch=1&after=7 HTTP/1.1\r\n")
    );
    let other = StandIn::new();
    let change = endpoint_json("s-1", node.backend.address(), "Terminating")
        + ","
        + &endpoint_json("s-2", other.address(), "Ready");
    let line = format!(
        "{{\"rev\":9,\"all\":false,\"targets\":[{}]}}\n",
        change.replace('\n', "")
    );
    // Cut in the middle: a line is read when its end has come.
    let (one, two) = line.split_at(60);
    watch
        .send(WATCH)
        .send(&chunk("\n"))
        .send(&chunk(one))
        .send(&chunk(two))
        .send(&chunk("{\"rev\":}\n"));
    node.expect_log("discovery-failed not JSON");
    watch.expect_close();
    let mut again = node.discovery.wait();
    assert!(again.expect("\r\n\r\n").contains("after=9 "));
    let mut client = node.client();
    client.send(&report("i", 5000));
    let mut backend = other.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn a_node_whose_discovery_is_down_overloaded_or_silent_at_start_serves_from_the_list_it_was_given()
{
    for answer in [
        None,
        Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        Some(""),
    ] {
        let node = TestNode::start();
        let mut call = node.discovery.wait();
        call.expect("after=7 ");
        match answer {
            Some(answer) => drop(call.send(answer)),
            None => call.close(),
        }
        let mut client = node.client();
        client.send(HEALTH).expect("ok\n");
        client.send(&report("u", 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        if answer != Some("") {
            node.discovery.wait().expect("after=7 ");
        }
    }
}

#[test]
fn a_change_of_many_backends_that_breaks_off_leaves_the_old_list_until_it_comes_whole() {
    let mut node = TestNode::start();
    let elsewhere = StandIn::new();
    // Thousands that come and go beside the one that counts.
    let mut entries: Vec<String> = (0..5000)
        .map(|n| endpoint_json(&format!("x-{n}"), elsewhere.address(), "Gone"))
        .collect();
    entries.push(endpoint_json("s-1", node.backend.address(), "Terminating"));
    entries.push(endpoint_json("s-2", elsewhere.address(), "Ready"));
    let whole = changes(9, &entries);
    let mut watch = node.discovery.wait();
    watch.send(&whole[..whole.len() / 2]);
    watch.close();
    let log = node.expect_log("discovery-failed");
    assert_eq!(log.matches("discovery-failed").count(), 1, "{log}");
    let mut client = node.client();
    client.send(&report("v1", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "old");
    client.expect("old");
    let mut again = node.discovery.wait();
    again.expect("after=7 ");
    again.send(&whole);
    // Its idle connection ends once the change is taken.
    backend.expect_close();
    client.send(&report("v2", 5000));
    let mut backend = elsewhere.wait();
    backend.expect("body");
    backend.serve("200 OK", "new");
    client.expect("new");
}
