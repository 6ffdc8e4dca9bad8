//! Requests and answers are forwarded unchanged; the node itself answers requests that it can't
//! forward.

use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, endpoint_json, report_request, watch_response,
};
use crate::service::payouts::{check_request, payout_request, with_payout_and_check};

#[test]
fn request_and_answer_are_forwarded_unchanged_on_kept_connections() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("a1", 4900));
    let mut backend = node.backend.accept();
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
    // The second request is sent in pieces, over the same two connections.
    let second = report_request("a2", 5000);
    for piece in [&second[..9], &second[9..150], &second[150..]] {
        client.send(piece);
    }
    backend.expect("\r\n\r\nbody");
    backend.serve("200 OK", "again");
    client.expect("again");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&(report_request("b1", 5000) + &report_request("b2", 5000)));
    let mut backend = node.backend.accept();
    for (id, body) in [("b1", "first"), ("b2", "second")] {
        assert!(backend.expect("\r\n\r\nbody").contains(id));
        backend.serve("200 OK", body);
        client.expect(body);
    }
}

/// Requests that the node can't forward: the request, the status of its answer, and whether the
/// connection closes after the answer.
#[rustfmt::skip]
fn invalid_requests() -> [(String, u16, bool); 9] {
    let valid = report_request("c", 99);
    [
        (valid.replace("/api", "/other"), 404, false),
        (valid.replace("POST", "DELETE"), 405, false),
        (valid.replace("X-Org: acme", "X-Org: nobody"), 400, false),
        (valid.replace("X-Txn: c\r\n", ""), 400, false),
        (valid.replace(": 4", ": 4\r\nTransfer-Encoding: chunked"), 400, true),
        (valid.replace(": 4", ": 4\r\nContent-Length: 5"), 400, true),
        (valid.replace(": 4", ": 70000"), 413, true),
        (valid.replace("acme", &"x".repeat(17_000)), 431, true),
        ("nonsense\r\n\r\n".to_string(), 400, true),
    ]
}

#[test]
fn invalid_requests_get_their_status_and_are_not_forwarded() {
    let node = TestNode::start();
    for (request, status, closes) in invalid_requests() {
        let mut client = node.client();
        client.send(&request);
        let answer = client.expect("\r\n\r\n");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer} to {request:.40}"
        );
        assert_eq!(answer.contains("connection: close"), closes, "{answer}");
        if closes {
            client.expect_close();
        }
    }
    let mut client = node.client();
    client.send(&report_request("good", 5000));
    assert!(
        node.backend
            .accept()
            .expect("\r\n\r\n")
            .contains("x-txn: good")
    );
}

#[test]
fn health_check_and_expect_100_continue_are_answered() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("200 OK");
    let request = report_request("d", 5000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_at(request.len() - 4);
    client.expect("ok\n");
    client.send(head).expect("HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    node.backend.accept().expect("\r\n\r\nbody");
}

#[test]
fn duplicate_of_an_open_request_gets_409_and_a_400_is_not_retried() {
    let node = TestNode::start();
    let (mut client, mut duplicate) = (node.client(), node.client());
    client.send(&report_request("t", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    duplicate.send(&report_request("t", 5000));
    assert!(duplicate.expect("is open\n").starts_with("HTTP/1.1 409 "));
    // The backend answers ten requests with 400: if these counted as its failures, it would be
    // ejected and each request retried.
    for id in 0..10 {
        backend.serve("400 Bad Request", "unknown");
        assert!(client.expect("unknown").starts_with("HTTP/1.1 400 "));
        client.send(&report_request(&format!("t{id}"), 5000));
        assert!(
            backend
                .expect("body")
                .contains(&format!("x-txn: t{id}\r\n"))
        );
    }
    backend.serve("200 OK", "played");
    client.expect("played");
}

/// Removes the default backend, `s-1`, from the cached list of `config`.
fn without_default_backend(config: String) -> String {
    let start = config.find(r#"{"uid":"s-1""#).unwrap();
    let end = start + config[start..].find('}').unwrap();
    config[..start].trim_end_matches(',').to_string() + &config[end + 1..]
}

/// Answers five check requests on `backend`. `client` has sent the first one before; it sends the
/// others here and, after the fifth answer, `last_request`.
fn serve_five_checks(client: &mut Connection, backend: &mut Connection, last_request: &str) {
    for (id, next_request) in [
        ("c0", check_request("c1")),
        ("c1", check_request("c2")),
        ("c2", check_request("c3")),
        ("c3", check_request("c4")),
        ("c4", last_request.to_string()),
    ] {
        let head = backend.expect("\r\n\r\n");
        assert!(head.contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&next_request);
    }
}

#[test]
fn unresponsive_backend_fails_a_payout_but_a_check_is_retried_elsewhere() {
    let unresponsive = StandIn::new();
    // Only the unresponsive backend is listed at first, so that requests of both classes go to it.
    let node = TestNode::with_config(|config| {
        without_default_backend(with_payout_and_check(
            config,
            &[("s-0", unresponsive.address())],
        ))
    });
    let mut discovery = node.discovery.accept();
    discovery.expect("\r\n\r\n");
    let mut client = node.client();
    // The backend answers at first: the first attempts of five requests add one retry to the retry
    // budget.
    client.send(&check_request("c0"));
    let mut unresponsive_connection = unresponsive.accept();
    serve_five_checks(
        &mut client,
        &mut unresponsive_connection,
        &payout_request("p1"),
    );
    assert!(
        unresponsive_connection
            .expect("body")
            .contains("x-txn: p1\r\n")
    );
    // A request that may have been executed fails instead of being rejected, and its connection is
    // closed.
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    unresponsive_connection.expect_close();
    client.send(&check_request("c5"));
    let mut unresponsive_connection = unresponsive.accept();
    unresponsive_connection.expect("\r\n\r\n");
    let default_endpoint = endpoint_json("s-1", node.backend.address(), "Ready");
    discovery.send(&watch_response(8, &[default_endpoint]));
    // The attempt is cancelled: its connection closes, and only then is the request retried on the
    // other backend.
    unresponsive_connection.expect_close();
    let mut backend = node.backend.accept();
    assert!(backend.expect("\r\n\r\n").contains("x-txn: c5\r\n"));
    backend.serve("200 OK", "eligible");
    client.expect("eligible");
    assert!(unresponsive.has_no_pending_connection());
}

#[test]
fn payout_to_an_unreachable_backend_is_sent_to_another() {
    let (unreachable, _queued) = StandIn::with_full_backlog();
    let node = TestNode::with_config(|config| {
        with_payout_and_check(config, &[("s-0", unreachable.address())])
    });
    let mut client = node.client();
    let mut backend = None;
    for id in ["p1", "p2", "p3", "p4"] {
        client.send(&payout_request(id));
        let backend = backend.get_or_insert_with(|| node.backend.accept());
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn long_answer_is_forwarded_and_an_oversized_one_fails() {
    let node = TestNode::start();
    let mut client = node.client();
    let long_body = "y".repeat(400_000) + "end";
    client.send(&report_request("u", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", &long_body);
    assert!(
        client
            .expect("yend")
            .contains(&format!("content-length: {}\r\n", long_body.len()))
    );
    client.send(&report_request("v", 300));
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
    backend.expect_close();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn truncated_answer_is_reported_as_an_error() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("g", 400));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    backend.close();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(
        !answer.contains("503"),
        "rejected, although it may have been executed"
    );
}

#[test]
fn request_without_a_ready_backend_is_rejected_with_retry_after() {
    let node = TestNode::with_config(|config| {
        config.replace(r#""state":"Ready""#, r#""state":"Terminating""#)
    });
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("503 Service Unavailable");
    client.send(&report_request("h", 100));
    let answer = client.expect("harmless\n");
    assert!(
        answer.contains("503 ") && answer.contains("retry-after: 2\r\n"),
        "{answer}"
    );
}
