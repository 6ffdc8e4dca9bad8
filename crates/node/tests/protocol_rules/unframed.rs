//! An answer with neither length nor chunks ends with its connection. An orderly end makes it
//! whole; a reset is no end.

use crate::common::{Connection, TestNode, report};

/// A request whose class must not be repeated, out at the backend.
fn with_attempt_in_flight(node: &TestNode) -> (Connection, Connection) {
    let mut client = node.client();
    client.send(&report("r1", 5_000).replace("Idempotency-Key: kr1\r\n", ""));
    let mut backend = node.backend.wait();
    backend.expect("body");
    (client, backend)
}

fn unsafe_class(config: String) -> String {
    config.replace(
        r#""effect":"by_key","keyScope":"cell","windowNs":3000000000"#,
        r#""effect":"once""#,
    )
}

#[test]
fn an_answer_with_no_length_that_comes_whole_is_forwarded() {
    for body in ["", "played", &"x".repeat(300_000)] {
        let node = TestNode::with(unsafe_class);
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n").send(body);
        backend.close();
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        assert!(
            head.contains(&format!("content-length: {}\r\n", body.len())),
            "{head}"
        );
        assert_eq!(client.take(body.len()), body);
    }
}

#[test]
fn an_answer_with_no_length_that_is_reset_on_the_way_is_not_forwarded() {
    for body in ["", "played", &"x".repeat(300_000)] {
        let node = TestNode::with(unsafe_class);
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n").send(body);
        node.wait_for_iteration();
        backend.reset();
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 502 "), "{head}");
    }
}
