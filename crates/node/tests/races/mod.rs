//! Races: two events that the node reads in one loop iteration. A test forces a race: it stops the
//! node, sends the events in the problematic order, and resumes the node. All races are listed in
//! `docs/design/`.

mod connections;
mod delays;
mod disconnects;
mod ending;
mod shutdown;
mod unasked_answers;
mod watch;

use crate::common::{Connection, TestNode, report_request};

/// A client and a backend connection after one answered request, so that the node has an idle
/// upstream connection.
fn with_idle_connection(node: &TestNode, id: &str) -> (Connection, Connection) {
    let mut client = node.client();
    client.send(&report_request(id, 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "warm");
    client.expect("warm");
    (client, backend)
}

/// Sends a request, checks that it is the first one on the backend's next connection, and answers
/// it.
fn serve_next_request(node: &TestNode, id: &str) {
    let mut client = node.client();
    client.send(&report_request(id, 5000));
    let mut backend = node.backend.accept();
    let head = backend.expect("body");
    assert!(head.contains(&format!("x-txn: {id}\r\n")), "{head}");
    backend.serve("200 OK", id);
    client.expect(&format!("\r\n\r\n{id}"));
}

fn with_few_descriptors(config: String) -> String {
    config.replace(r#""sockets":128"#, r#""sockets":64"#)
}

/// Maximum number of clients with [`with_few_descriptors`]: of 64 descriptors, 20 are for other
/// uses, and a quarter of the remaining 44 is reserved for backends.
const MAX_CLIENT_CONNECTIONS: usize = 33;

/// Connects the maximum number of clients, each with a request that is in flight or queued.
fn occupy_all_connections(node: &TestNode) -> Vec<Connection> {
    let send_request = |n| {
        let mut client = node.client();
        client.send(&report_request(&format!("busy{n}"), 60_000));
        client
    };
    (0..MAX_CLIENT_CONNECTIONS).map(send_request).collect()
}

fn with_client_timeout(config: String, timeout_ns: &str) -> String {
    config
        .replace("5000000000", timeout_ns)
        .replace("\"goalTimeNs\":300000000", "\"goalTimeNs\":100000000")
}

fn with_pushed_lists(config: String) -> String {
    config.replace(r#""subscribe""#, r#""automatic""#)
}
