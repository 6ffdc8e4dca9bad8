//! Which connections to backends are used again, and which are not.

use crate::common::{
    StandIn, TestNode, WATCH, changes, endpoint_json, more_changes, report, slow_to_connect,
    with_backend,
};

#[test]
fn a_connection_that_the_backend_gives_up_is_not_used_again() {
    let node = TestNode::start();
    let mut client = node.client();
    // They stay open here, so that only the node's own choice leads to the second one.
    let mut given_up = Vec::new();
    for body in ["one", "two"] {
        client.send(&report(body, 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", body);
        client.expect(body);
        given_up.push(backend);
    }
}

#[test]
fn what_never_reached_a_dead_backend_goes_elsewhere() {
    let dead = StandIn::new().address();
    let node = TestNode::with(|config| with_backend(config, "s-0", dead));
    let mut client = node.client();
    client.send(&report("m", 5000));
    let mut backend = node.backend.wait();
    for id in ["m", "n", "o", "p"] {
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&report(&((id.as_bytes()[0] + 1) as char).to_string(), 5000));
    }
}

#[test]
fn idle_connections_close_when_their_backend_drains() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("q", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "played");
    client.expect("played");
    let leaving = endpoint_json("s-1", node.backend.address(), "Terminating");
    node.discovery.wait().send(&changes(8, &[leaving]));
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn an_attempt_that_is_not_connected_when_its_backend_drains_goes_elsewhere() {
    // Its first byte could come after the grace. The connection's own time limit is far off here.
    let (full, _queued) = StandIn::full();
    let node = TestNode::with(|config| slow_to_connect(config, full.address()));
    let mut watch = node.discovery.wait();
    let mut client = node.client();
    client.send(&report("r", 5000));
    // Once this later message is answered, the request has been forwarded.
    node.wait_for_iteration();
    let leaving = endpoint_json("s-0", full.address(), "Terminating");
    watch.send(&changes(
        8,
        &[
            leaving,
            endpoint_json("s-1", node.backend.address(), "Ready"),
        ],
    ));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn a_backend_that_is_silent_costs_a_504_in_time_and_its_connection() {
    let node = TestNode::start();
    let mut client = node.client();
    let since = std::time::Instant::now();
    client.send(&report("f", 300));
    let mut backend = node.backend.wait();
    backend.expect("body");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    assert!(since.elapsed().as_millis() >= 290, "never early");
    backend.expect_close();
}

#[test]
fn a_backend_that_comes_back_at_its_address_under_a_new_uid_gets_a_new_connection() {
    let node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH);
    let mut client = node.client();
    for (revision, old, new) in [(8, "s-1", "s-2"), (9, "s-2", "s-3")] {
        client.send(&report(new, 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", new);
        client.expect(new);
        let address = node.backend.address();
        watch.send(&more_changes(
            revision,
            &[
                endpoint_json(old, address, "Gone"),
                endpoint_json(new, address, "Ready"),
            ],
        ));
        backend.expect_close();
    }
    client.send(&report("last", 5000));
    node.backend.wait().expect("x-txn: last\r\n");
}
