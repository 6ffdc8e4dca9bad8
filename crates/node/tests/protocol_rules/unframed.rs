//! An answer with neither a length nor chunks ends with its connection: it is complete if the
//! connection ends with a FIN, and truncated if it is reset.

use super::{not_idempotent_class, with_attempt_in_flight};
use crate::common::TestNode;

#[test]
fn complete_answer_without_a_length_is_forwarded() {
    for body in ["", "played", &"x".repeat(300_000)] {
        let node = TestNode::with_config(not_idempotent_class);
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
fn answer_without_a_length_is_not_forwarded_if_its_connection_is_reset() {
    for body in ["", "played", &"x".repeat(300_000)] {
        let node = TestNode::with_config(not_idempotent_class);
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n").send(body);
        node.wait_for_iteration();
        backend.reset();
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 502 "), "{head}");
    }
}
