//! A request that has come whole is answered in its time, whatever its length, its framing and the
//! pieces in which it arrives.

use super::{EchoBackend, node_with_echo_backend, not_idempotent_class};
use crate::common::{Connection, TestNode, report_request};

/// Client timeout of the requests, in milliseconds. A request that the node leaves unread gets 408
/// only later.
const CLIENT_TIMEOUT_MS: u32 = 1_500;
/// Bytes that the node reads at once while its buffer is small.
const READ_BYTES: usize = 2_048;
/// What an [`EchoBackend`] takes for the end of a request.
const BODY_END: &str = "body";

fn node() -> (TestNode, EchoBackend) {
    node_with_echo_backend(|config| {
        TestNode::with_config(|text| config(not_idempotent_class(text)))
    })
}

/// Body of this many bytes.
fn body(length: usize) -> String {
    "x".repeat(length - BODY_END.len()) + BODY_END
}

/// Head of a request without an idempotency key, with further header lines instead of the
/// `Content-Length`.
fn head(id: &str, header_lines: &str) -> String {
    let request = report_request(id, CLIENT_TIMEOUT_MS);
    let key = format!("Idempotency-Key: k{id}\r\n");
    request
        .replace(&key, "")
        .replace("Content-Length: 4\r\n\r\nbody", header_lines)
        + "\r\n"
}

fn request_of_length(id: &str, body_length: usize) -> String {
    let header_lines = format!("Content-Length: {body_length}\r\n");
    head(id, &header_lines) + &body(body_length)
}

/// Sends the whole request while the node is stopped, so that the node finds all of it when it
/// reads.
fn send_at_once(node: &TestNode, request: &str) -> Connection {
    let mut client = node.client();
    node.wait_for_iteration();
    node.stall();
    client.send(request);
    node.resume();
    client
}

/// Reads the answer, and the interim response before it if there is one.
fn expect_served(client: &mut Connection, id: &str, what: &str) {
    let mut head = client.expect("\r\n\r\n");
    if head.starts_with("HTTP/1.1 100 ") {
        head = client.expect("\r\n\r\n");
    }
    assert!(head.starts_with("HTTP/1.1 200 "), "{what}: {head}");
    client.expect(id);
}

/// Guards against a request whose last bytes come with the last read of an iteration and stay
/// unparsed until its client has left (report cb6dcf).
#[test]
fn request_of_as_many_reads_as_an_iteration_has_is_answered_in_time() {
    let (node, _backend) = node();
    for reads in [15, 16, 17, 31, 32] {
        let id = format!("r{reads}");
        let length = reads * READ_BYTES - head(&id, "Content-Length: 00000\r\n").len();
        let request = request_of_length(&id, length.min(64 * 1024));
        let mut client = send_at_once(&node, &request);
        expect_served(&mut client, &id, &format!("{reads} reads"));
    }
}

/// Guards against a body that is read before `100 Continue` is written, and stays unparsed until
/// its client has left (report cb6dcf, review/3).
#[test]
fn request_with_expect_whose_body_arrives_with_its_head_is_answered_in_time() {
    let (node, _backend) = node();
    for framing in ["Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"] {
        let id = format!("e{}", framing.len());
        let without_label = format!("{framing}Expect: 100-continue\r\nX-Labels: \r\n");
        let label = "1".repeat(READ_BYTES - head(&id, &without_label).len());
        let header_lines = format!("{framing}Expect: 100-continue\r\nX-Labels: {label}\r\n");
        let body = match framing {
            "Content-Length: 4\r\n" => "body",
            _ => "4\r\nbody\r\n0\r\n\r\n",
        };
        let mut client = send_at_once(&node, &(head(&id, &header_lines) + body));
        client.expect("HTTP/1.1 100 Continue\r\n\r\n");
        expect_served(&mut client, &id, framing);
    }
}

/// Guards against a body that stays unparsed because `100 Continue` was written only after it had
/// been read.
#[test]
fn request_with_expect_is_answered_in_time_while_writes_fail() {
    for plan in ["send=ENOBUFS,every:2", "send=ENOBUFS,chance:0.5"] {
        let (node, _backend) = node_with_echo_backend(|config| {
            TestNode::with_faults(plan, |text| config(not_idempotent_class(text)))
        });
        for number in 0..20 {
            let id = format!("e{number}");
            let header_lines = "Content-Length: 4\r\nExpect: 100-continue\r\nX-Labels: \r\n";
            let label = "1".repeat(READ_BYTES - head(&id, header_lines).len());
            let header_lines = header_lines.replace("X-Labels: ", &format!("X-Labels: {label}"));
            let mut client = node.client();
            client.send(&(head(&id, &header_lines) + "body"));
            client.expect("HTTP/1.1 100 Continue\r\n\r\n");
            expect_served(&mut client, &id, plan);
        }
    }
}

/// A form of a request: its header lines for the framing, and its encoded body.
struct RequestForm {
    header_lines: &'static str,
    body: String,
}

fn request_forms() -> Vec<RequestForm> {
    let chunked = "Transfer-Encoding: chunked\r\n";
    let small_chunks = "1\r\nx\r\n".repeat(2_000);
    let form = |header_lines, body: &str| RequestForm {
        header_lines,
        body: body.to_string(),
    };
    vec![
        form("Content-Length: 4\r\n", "body"),
        form("Content-Length: 40000\r\n", &body(40_000)),
        form(
            "Content-Length: 33000\r\nExpect: 100-continue\r\n",
            &body(33_000),
        ),
        form(chunked, "4;a=b\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n"),
        form(chunked, &(small_chunks + "4\r\nbody\r\n0\r\n\r\n")),
        form(
            "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
            "4\r\nbody\r\n0\r\n\r\n",
        ),
    ]
}

/// Guards against a request that is left unread because of where its bytes are split.
#[test]
fn request_of_any_form_is_answered_in_time_wherever_it_is_split() {
    for plan in ["recv=short,chance:0.1", "recv=sleep:1,chance:0.1"] {
        let (node, _backend) = node_with_echo_backend(|config| {
            TestNode::with_faults(plan, |text| config(not_idempotent_class(text)))
        });
        for (number, form) in request_forms().iter().enumerate() {
            let head_length = head("f00", form.header_lines).len();
            let length = head_length + form.body.len();
            let splits = [
                1,
                head_length - 1,
                head_length,
                head_length + 1,
                length / 2,
                length - 1,
            ];
            for (index, split) in splits.into_iter().enumerate() {
                let id = format!("f{number}{index}");
                let request = head(&id, form.header_lines) + &form.body;
                let (begin, rest) = request.split_at(split);
                let mut client = node.client();
                client.send(begin);
                node.wait_for_iteration();
                client.send(rest);
                let what = format!("{} split at {split} with {plan}", form.header_lines);
                expect_served(&mut client, &id, &what);
            }
        }
    }
}
