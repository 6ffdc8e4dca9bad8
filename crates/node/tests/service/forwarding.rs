//! Requests and answers pass unchanged; what can't be forwarded is answered by the node.

use crate::common::{Connection, HEALTH, StandIn, TestNode, changes, endpoint_json, report};
use crate::service::payouts::{check, payout, with_payouts};

#[test]
fn a_request_passes_unchanged_and_its_answer_too_on_one_connection_each() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("a1", 4900));
    let mut backend = node.backend.wait();
    let head = backend.expect("\r\n\r\nbody");
    assert!(head.starts_with("POST /api?n=a1 HTTP/1.1\r\n"), "{head}");
    for part in [
        "x-txn: a1\r\n",
        "idempotency-key: ka1\r\n",
        "x-remaining-ms: 4",
    ] {
        assert!(head.contains(part), "{head}");
    }
    backend.serve("200 OK", "played");
    let answer = client.expect("played");
    assert!(
        answer.starts_with("HTTP/1.1 200 OK\r\n") && !answer.contains("close"),
        "{answer}"
    );
    // In pieces, and over the same two connections.
    let second = report("a2", 5000);
    for piece in [&second[..9], &second[9..150], &second[150..]] {
        client.send(piece);
    }
    backend.expect("\r\n\r\nbody");
    backend.serve("200 OK", "again");
    client.expect("again");
}

#[test]
fn two_requests_in_one_write_are_answered_in_order() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&(report("b1", 5000) + &report("b2", 5000)));
    let mut backend = node.backend.wait();
    for (id, body) in [("b1", "first"), ("b2", "second")] {
        assert!(backend.expect("\r\n\r\nbody").contains(id));
        backend.serve("200 OK", body);
        client.expect(body);
    }
}

/// What the node can't forward: the request, the status of its answer, and whether the connection
/// ends with that.
#[rustfmt::skip]
fn invalid_requests() -> [(String, u16, bool); 9] {
    let report = report("c", 99);
    [
        (report.replace("/api", "/other"), 404, false),
        (report.replace("POST", "DELETE"), 405, false),
        (report.replace("X-Org: acme", "X-Org: nobody"), 400, false),
        (report.replace("X-Txn: c\r\n", ""), 400, false),
        (report.replace(": 4", ": 4\r\nTransfer-Encoding: chunked"), 400, true),
        (report.replace(": 4", ": 4\r\nContent-Length: 5"), 400, true),
        (report.replace(": 4", ": 70000"), 413, true),
        (report.replace("acme", &"x".repeat(17_000)), 431, true),
        ("nonsense\r\n\r\n".to_string(), 400, true),
    ]
}

#[test]
fn what_can_not_be_a_request_is_answered_by_its_status_and_reaches_no_backend() {
    let node = TestNode::start();
    for (request, status, ends) in invalid_requests() {
        let mut client = node.client();
        client.send(&request);
        let answer = client.expect("\r\n\r\n");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer} to {request:.40}"
        );
        assert_eq!(answer.contains("connection: close"), ends, "{answer}");
        if ends {
            client.expect_close();
        }
    }
    let mut client = node.client();
    client.send(&report("good", 5000));
    assert!(
        node.backend
            .wait()
            .expect("\r\n\r\n")
            .contains("x-txn: good")
    );
}

#[test]
fn a_client_that_waits_for_100_continue_gets_it_and_health_is_reported() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH).expect("200 OK");
    let request = report("d", 5000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_at(request.len() - 4);
    client.expect("ok\n");
    client.send(head).expect("HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    node.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn the_name_of_an_open_request_is_rejected_and_what_a_backend_rejects_is_tried_once() {
    let node = TestNode::start();
    let (mut client, mut duplicate) = (node.client(), node.client());
    client.send(&report("t", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    duplicate.send(&report("t", 5000));
    assert!(duplicate.expect("is open\n").starts_with("HTTP/1.1 409 "));
    // Ten faulty requests: were the backend blamed, it would be ejected, and each would be retried.
    for id in 0..10 {
        backend.serve("400 Bad Request", "unknown");
        assert!(client.expect("unknown").starts_with("HTTP/1.1 400 "));
        client.send(&report(&format!("t{id}"), 5000));
        assert!(
            backend
                .expect("body")
                .contains(&format!("x-txn: t{id}\r\n"))
        );
    }
    backend.serve("200 OK", "played");
    client.expect("played");
}

/// A configuration without the backend that is in each by default.
fn without_usual_backend(config: String) -> String {
    let from = config.find(r#"{"uid":"s-1""#).unwrap();
    let end = from + config[from..].find('}').unwrap();
    config[..from].trim_end_matches(',').to_string() + &config[end + 1..]
}

/// A backend serves five checks, the first of which has been sent; then the client sends `last`.
fn serve_five_checks(client: &mut Connection, backend: &mut Connection, last: &str) {
    for (id, next) in [
        ("c0", check("c1")),
        ("c1", check("c2")),
        ("c2", check("c3")),
        ("c3", check("c4")),
        ("c4", last.to_string()),
    ] {
        let head = backend.expect("\r\n\r\n");
        assert!(head.contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&next);
    }
}

#[test]
fn a_silent_backend_costs_a_payout_and_a_check_is_retried_elsewhere() {
    let falls_silent = StandIn::new();
    // Only the silent one is known at first, so that it is what both classes meet.
    let node = TestNode::with(|config| {
        without_usual_backend(with_payouts(config, &[("s-0", falls_silent.address())]))
    });
    let mut discovery = node.discovery.wait();
    discovery.expect("\r\n\r\n");
    let mut client = node.client();
    // It works at first: five requests pay for one retry.
    client.send(&check("c0"));
    let mut silent = falls_silent.wait();
    serve_five_checks(&mut client, &mut silent, &payout("p1"));
    assert!(silent.expect("body").contains("x-txn: p1\r\n"));
    // What may have been executed fails and is never rejected, and its connection is closed.
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    silent.expect_close();
    client.send(&check("c5"));
    let mut silent = falls_silent.wait();
    silent.expect("\r\n\r\n");
    let usual = endpoint_json("s-1", node.backend.address(), "Ready");
    discovery.send(&changes(8, &[usual]));
    // Its attempt is cancelled: the connection closes, and only then does it go elsewhere.
    silent.expect_close();
    let mut backend = node.backend.wait();
    assert!(backend.expect("\r\n\r\n").contains("x-txn: c5\r\n"));
    backend.serve("200 OK", "eligible");
    client.expect("eligible");
    assert!(falls_silent.is_quiet());
}

#[test]
fn a_payout_that_finds_a_vanished_backend_is_not_executed_and_goes_elsewhere() {
    let (vanished, _full) = StandIn::full();
    let node = TestNode::with(|config| with_payouts(config, &[("s-0", vanished.address())]));
    let mut client = node.client();
    let mut backend = None;
    for id in ["p1", "p2", "p3", "p4"] {
        client.send(&payout(id));
        let backend = backend.get_or_insert_with(|| node.backend.wait());
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn a_long_answer_passes_whole_and_an_endless_one_is_a_failure() {
    let node = TestNode::start();
    let mut client = node.client();
    let long = "y".repeat(400_000) + "end";
    client.send(&report("u", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", &long);
    assert!(
        client
            .expect("yend")
            .contains(&format!("content-length: {}\r\n", long.len()))
    );
    client.send(&report("v", 300));
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
    backend.expect_close();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_truncated_answer_never_looks_whole() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("g", 400));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    backend.close();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.contains("503"), "it may have run: no refusal");
}

#[test]
fn without_a_backend_a_request_is_rejected_with_retry_after() {
    let node =
        TestNode::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut client = node.client();
    client.send(HEALTH).expect("503 Service Unavailable");
    client.send(&report("h", 100));
    let answer = client.expect("harmless\n");
    assert!(
        answer.contains("503 ") && answer.contains("retry-after: 2\r\n"),
        "{answer}"
    );
}
