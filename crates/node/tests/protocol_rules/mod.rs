//! The protocol rules of `docs/design/protocol-rules.md`, tested over real sockets.

mod clock;
mod deadline;
mod faults;
mod half_close;
mod length_mismatch;
mod log;
mod request_forms;
mod unframed;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::common::{Connection, StandIn, TestNode, endpoint_json, report_request};

/// Maximum by which the remaining time forwarded to a backend may exceed the client's.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);

/// A backend that answers each request with the request's `X-Txn` and counts the requests.
struct EchoBackend {
    served: Arc<AtomicUsize>,
}

impl EchoBackend {
    fn serve(stand_in: StandIn) -> EchoBackend {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        std::thread::spawn(move || {
            while let Some(connection) = stand_in.accept_or_timeout() {
                let count = count.clone();
                std::thread::spawn(move || answer_requests(connection, &count));
            }
        });
        EchoBackend { served }
    }

    fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }
}

fn answer_requests(mut connection: Connection, count: &AtomicUsize) {
    while let Some(head) = connection.expect_or_close("body") {
        let txn = crate::common::header(&head, "x-txn").to_string();
        count.fetch_add(1, Ordering::SeqCst);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{txn}",
            txn.len()
        );
        if !connection.try_send(&answer) {
            return;
        }
    }
}

/// Starts a node with an [`EchoBackend`] as its one backend. `start` gets the function that changes
/// the default configuration accordingly.
fn node_with_echo_backend(
    start: impl Fn(&dyn Fn(String) -> String) -> TestNode,
) -> (TestNode, EchoBackend) {
    let stand_in = StandIn::new();
    let address = stand_in.address();
    let node = start(&|config: String| {
        let from = config
            .find(r#""targets":["#)
            .expect("the configuration has a cached list");
        let to = from
            + config[from..]
                .find("]}")
                .expect("the cached list has an end");
        config[..from].to_string()
            + r#""targets":["#
            + &endpoint_json("s-1", address, "Ready")
            + &config[to..]
    });
    (node, EchoBackend::serve(stand_in))
}

/// Makes the class of [`report_request`] one that is not idempotent.
fn not_idempotent_class(config: String) -> String {
    config.replace(
        r#""effect":"by_key","keyScope":"cell","windowNs":3000000000"#,
        r#""effect":"once""#,
    )
}

/// Sends a request without an idempotency key, and returns the connections of its client and of the
/// backend when the backend has received the request.
fn with_attempt_in_flight(node: &TestNode) -> (Connection, Connection) {
    // Every request has an ID of its own.
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("r{}", COUNT.fetch_add(1, Ordering::SeqCst));
    let key = format!("Idempotency-Key: k{id}\r\n");
    let mut client = node.client();
    client.send(&report_request(&id, 5_000).replace(&key, ""));
    let mut backend = node.backend.accept();
    backend.expect("body");
    (client, backend)
}

/// Checks that a backend got each of `requests` requests once, and again only for each attempt that
/// the node has given up. A process that is held up in a write must give up its attempt (see
/// `races/unasked_answers.rs`), so a busy machine alone can cause a retry. Shuts the node down.
fn check_attempts(node: TestNode, backend: &EchoBackend, requests: usize) {
    let log = node.stop_and_read_log();
    let counter = |name: &str| -> usize {
        let value = log.split(&format!(" upstream_closed.{name}=")).nth(1);
        let value = value.and_then(|rest| rest.split_whitespace().next());
        value.map_or(0, |digits| digits.parse().unwrap())
    };
    assert!(log.contains("kitefork: counts "), "{log}");
    let given_up = counter("unexpected_bytes") + counter("attempt_ended");
    let attempts = backend.served();
    assert!(
        (requests..=requests + given_up).contains(&attempts),
        "{attempts} attempts for {requests} requests, {given_up} given up"
    );
}

/// Sends `count` requests, on a new connection after every tenth, and checks that each gets a
/// complete answer; returns how many were served.
fn send_requests(node: &TestNode, count: usize) -> usize {
    let mut client: Option<Connection> = None;
    let mut served = 0;
    for number in 0..count {
        let mut connection = client.take().unwrap_or_else(|| node.client());
        let name = format!("r{number}");
        connection.send(&report_request(&name, 3_000));
        let head = connection
            .expect_or_close("\r\n\r\n")
            .unwrap_or_else(|| panic!("{name} got no answer"));
        let length: usize = crate::common::header(&head, "content-length")
            .parse()
            .unwrap();
        let body = connection.take(length);
        if head.starts_with("HTTP/1.1 200 ") {
            assert_eq!(body, name);
            served += 1;
        }
        if number % 10 != 9 && !head.contains("connection: close") {
            client = Some(connection);
        }
    }
    served
}
