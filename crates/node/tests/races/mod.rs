//! Races: two events that meet in one iteration of the node's loop. Each is forced: the node is
//! stopped, the events are put on the sockets in the order that hurts, and the node goes on. The
//! list of all races is in `docs/design/`.

mod connections;
mod delays;
mod disconnects;
mod ending;
mod shutdown;
mod watch;

use crate::common::{Connection, TestNode, report_request};

/// A client has one request answered, so that the node has an idle connection to the backend.
fn with_idle_connection(node: &TestNode, id: &str) -> (Connection, Connection) {
    let mut client = node.client();
    client.send(&report_request(id, 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    backend.serve("200 OK", "warm");
    client.expect("warm");
    (client, backend)
}

/// The next request that reaches the backend on a new connection is this one, and nothing came
/// before it.
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

/// Clients that a node of few sockets holds: 64 descriptors less 20, of which a quarter is kept for
/// backends.
const MAX_CLIENT_CONNECTIONS: usize = 33;

/// As many clients as it holds, each with a request out or waiting.
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
