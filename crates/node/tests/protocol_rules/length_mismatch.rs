//! A message that is longer than its `Content-Length` may be cut off there. Such an answer is a
//! failed attempt that may have been executed, unless a copy of it follows, which shows that its
//! length was right. Such a request gets an error, unless another request follows.

use super::{not_idempotent_class, with_attempt_in_flight};
use crate::common::{Connection, HEALTH_CHECK, TestNode, report_request};

/// Body of the answers in these tests.
const BODY: &str = "recorded; listens of this episode: 12";
/// Bytes by which a wrong `Content-Length` is less than the length of the body.
const MISSING_BYTES: usize = 20;
/// Maximum number of bytes that the node reads first on a new connection.
const FIRST_READ_BYTES: usize = 2048;

/// A complete answer whose `Content-Length` is `length`.
fn answer(status: &str, length: usize) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{BODY}")
}

/// Expects a 200 with the whole [`BODY`]; `case` names the case in a failure.
fn expect_served(client: &mut Connection, case: &str) {
    let head = client.expect("\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head} for {case:?}");
    assert_eq!(client.take(BODY.len()), BODY, "{case:?}");
}

/// Guards against serving a cut-off body as a whole 200, and against rejecting a request that may
/// have been executed.
#[test]
fn answer_longer_than_its_content_length_gets_502_and_no_retry() {
    let too_short = BODY.len() - MISSING_BYTES;
    for answer in [
        answer("200 OK", too_short),
        answer("200 OK", 0),
        answer("200 OK", BODY.len()) + "noise",
        answer("400 Bad Request", too_short),
        answer("503 Busy\r\nX-Turned-Away: 1", too_short),
    ] {
        let mut node = TestNode::with_config(not_idempotent_class);
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send(&answer);
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 502 "), "{head} to {answer}");
        assert_eq!(backend.expect_close(), "");
        assert!(node.backend.has_no_pending_connection());
        node.expect_log("length-mismatch backend=");
    }
}

/// Guards against serving a cut-off body because the read that would show its rest fails.
#[test]
fn answer_longer_than_its_content_length_is_not_served_while_reads_fail() {
    let node = TestNode::with_faults("recv=ENOMEM,chance:0.3", not_idempotent_class);
    // The node's first read ends exactly where the answer claims to end.
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\nX-A: ";
    let padding = "a".repeat(FIRST_READ_BYTES - 1000 - head.len() - 4);
    let answer = format!("{head}{padding}\r\n\r\n{}", "b".repeat(1020));
    for _ in 0..20 {
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send(&answer);
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 502 "), "{head}");
    }
}

/// Guards against serving a cut-off body where the class allows a retry.
#[test]
fn idempotent_request_is_retried_after_an_answer_longer_than_its_content_length() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("r0", 5_000));
    let mut backend = node.backend.accept();
    // The first attempts of these requests add one retry to the retry budget.
    for number in 0..5 {
        backend.expect(&format!("x-txn: r{number}\r\n"));
        backend.expect("body");
        backend.serve("200 OK", BODY);
        client.expect(BODY);
        client.send(&report_request(&format!("r{}", number + 1), 5_000));
    }
    backend.expect("body");
    backend.send(&answer("200 OK", BODY.len() - MISSING_BYTES));
    assert_eq!(backend.expect_close(), "");
    let mut backend = node.backend.accept();
    backend.expect("x-txn: r5\r\n");
    backend.expect("body");
    backend.serve("200 OK", BODY);
    expect_served(&mut client, "a retry");
}

/// Guards against failing answers whose end is certain, although other bytes are behind it.
#[test]
fn answer_with_a_copy_or_a_chunked_answer_with_noise_behind_it_is_served() {
    let complete = answer("200 OK", BODY.len());
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{BODY}\r\n0\r\n\r\n",
        BODY.len()
    );
    for answer in [complete.repeat(2), chunked + "noise"] {
        let node = TestNode::with_config(not_idempotent_class);
        let (mut client, mut backend) = with_attempt_in_flight(&node);
        backend.send(&answer);
        expect_served(&mut client, &answer);
        assert_eq!(backend.expect_close(), "");
    }
}

/// Sends a request with `rest` behind it and expects the answer `status` and a close.
fn expect_rejected(node: &TestNode, rest: &str, status: &str) {
    let mut client = node.client();
    client.send(&(report_request("cut", 5_000) + rest));
    let head = client.expect("\r\n\r\n");
    let expected = format!("HTTP/1.1 {status} ");
    assert!(head.starts_with(&expected), "{head} with {rest:?}");
    assert!(head.contains("connection: close\r\n"), "{head}");
    client.expect_close();
}

/// Guards against executing a request whose body is cut off, and answering it as if it were whole.
#[test]
fn request_longer_than_its_content_length_gets_400_and_is_not_forwarded() {
    let node = TestNode::start();
    for rest in [
        "=900",
        r#"","listened":900}"#,
        "\r\nepisode=1",
        "\u{e9}t\u{e9}",
        " and more",
        "more=words and more\r\n\r\n",
        "9c41d07be2f3",
        "more",
        "GETS",
        "POST a",
        "PUT /api",
        "POST /api HTTP/1.1\r\nno header\r\n",
    ] {
        expect_rejected(&node, rest, "400");
    }
    assert!(node.backend.has_no_pending_connection());
}

/// Guards against executing a request whose body is cut off before bytes that look like the
/// beginning of a request, or like an empty line.
#[test]
fn request_with_the_beginning_of_no_complete_request_behind_it_gets_408_and_is_not_forwarded() {
    let node = TestNode::start();
    for rest in [
        "P",
        "GET",
        "GET /api",
        "\r",
        "\r\n",
        "\r\nPOST /api HTTP/1.1\r\n",
        "POST /api HTTP/1.1\r\nHost: a\r\n",
    ] {
        expect_rejected(&node, rest, "408");
    }
    assert!(node.backend.has_no_pending_connection());
}

/// Guards against rejecting a request behind which another one begins, wherever that one is split.
#[test]
fn request_with_another_behind_it_is_forwarded_once_the_head_of_that_one_is_complete() {
    let next = "\r\n".to_string() + &report_request("next", 5_000);
    let head_length = next.len() - "body".len();
    for split in [1, 2, 3, 6, 7, 20, 30, head_length - 1, head_length] {
        let node = TestNode::start();
        let (mut client, mut observer) = (node.client(), node.client());
        observer.send(HEALTH_CHECK).expect("ok\n");
        client.send(&(report_request("whole", 5_000) + &next[..split]));
        if split < head_length {
            // The node has read the request when it answers this.
            observer.send(HEALTH_CHECK).expect("ok\n");
            observer.send(HEALTH_CHECK).expect("ok\n");
            assert!(node.backend.has_no_pending_connection(), "{split}");
        }
        client.send(&next[split..]);
        let mut backend = node.backend.accept();
        for txn in ["whole", "next"] {
            backend.expect(&format!("x-txn: {txn}\r\n"));
            backend.expect("body");
            backend.serve("200 OK", BODY);
            expect_served(&mut client, &format!("{txn}, {split}"));
        }
    }
}

/// Guards against rejecting a request without a body behind which an empty line is sent.
#[test]
fn request_without_a_body_is_answered_despite_an_empty_line_behind_it() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&(HEALTH_CHECK.to_string() + "\r\n"));
    client.expect("ok\n");
}

/// Guards against serving a request whose cut-off body was forwarded before its rest arrived.
#[test]
fn request_whose_rest_arrives_later_gets_an_error_instead_of_its_answer() {
    for (rest, status) in [("9c41d07be2f3", "400"), ("P", "408"), ("\r\n", "408")] {
        let node = TestNode::start();
        let mut client = node.client();
        client.send(&report_request("cut", 5_000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        client.send(rest);
        node.wait_for_iteration();
        backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        let head = client.expect("\r\n\r\n");
        let expected = format!("HTTP/1.1 {status} ");
        assert!(head.starts_with(&expected), "{head} with {rest:?}");
        client.expect_close();
    }
}

/// Guards against serving a request whose rest is read with the last read of an iteration, after
/// which no event of the socket follows (report cb6dcf).
#[test]
fn request_whose_rest_takes_all_reads_of_an_iteration_gets_an_error_instead_of_its_answer() {
    let node = TestNode::with_faults("recv=short", |config| config);
    let mut client = node.client();
    client.send(&report_request("cut", 5_000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    client.send("9c41d07be2f30a5d");
    node.wait_for_iteration();
    backend.try_send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    let head = client.expect("\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 400 "), "{head}");
}

/// Guards against answering a request with an error because the next one is split while the answer
/// comes.
#[test]
fn answer_is_sent_once_the_head_of_a_later_request_is_complete() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("first", 5_000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    let next = report_request("second", 5_000);
    let (begin, rest) = next.split_at(30);
    client.send(begin);
    node.wait_for_iteration();
    let mut observer = node.client();
    observer.send(HEALTH_CHECK).expect("ok\n");
    backend.serve("200 OK", BODY);
    observer.send(HEALTH_CHECK).expect("ok\n");
    observer.send(HEALTH_CHECK).expect("ok\n");
    assert!(!client.has_unread_bytes());
    client.send(rest);
    expect_served(&mut client, "first");
    backend.expect("x-txn: second\r\n");
    backend.expect("body");
    backend.serve("200 OK", BODY);
    expect_served(&mut client, "second");
}

/// Guards against forwarding a request whose body is cut off because the read that would show its
/// rest fails.
#[test]
fn request_longer_than_its_content_length_is_not_forwarded_while_reads_fail() {
    let node = TestNode::with_faults("recv=ENOMEM,chance:0.3", |config| config);
    // The node's first read ends exactly where the request claims to end.
    let request = report_request("cut", 5_000);
    let padding = "a".repeat(FIRST_READ_BYTES - request.len() - "X-A: \r\n".len());
    let padded = request.replace("X-Org", &format!("X-A: {padding}\r\nX-Org"));
    for _ in 0..20 {
        let mut client = node.client();
        client.send(&(padded.clone() + "9c41d07be2f3"));
        let head = client.expect("\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 400 "), "{head}");
    }
    assert!(node.backend.has_no_pending_connection());
}
