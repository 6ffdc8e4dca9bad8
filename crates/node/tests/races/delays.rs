//! A process that is delayed between two of its calls: what it has read before is old when it acts
//! on it. The fault shim delays it for 0.4 s in a span in which the test plays the event that
//! races.

use std::time::{Duration, Instant};

use crate::common::{
    Connection, StandIn, TestNode, changes, endpoint_json, pass, report, until, with_backend,
};

/// The span in which calls are delayed: it begins long after the node is up.
const SPAN: &str = "from:1500,to:2600";
/// So many requests allow more than one retry.
const RETRY_SHARE: usize = 20;
const IN_SPAN: Duration = Duration::from_millis(1_700);
/// Before the span, and so close to it that a silent attempt is not called off until then.
const BEFORE_SPAN: Duration = Duration::from_millis(1_200);

/// A node with two backends, to each of which it has an idle connection.
struct TwoBackends {
    node: TestNode,
    connections: Vec<Connection>,
    other: StandIn,
    started: Instant,
}

impl TwoBackends {
    fn start(plan: &str, change: impl Fn(String) -> String) -> TwoBackends {
        let other = StandIn::new();
        let node = TestNode::with_faults(plan, |config| {
            // A request that has waited for the span still has time for a second attempt.
            let config = config.replace(r#""goalTimeNs":300000000"#, r#""goalTimeNs":4000000000"#);
            change(with_backend(config, "s-0", other.address()))
        });
        let started = Instant::now();
        let (mut one, mut two) = (node.client(), node.client());
        let find = || until(|| node.backend.poll().or_else(|| other.poll()));
        one.send(&report("warm1", 5000));
        let mut first = find();
        // The first one is busy, so this goes to the second.
        two.send(&report("warm2", 5000));
        let mut second = find();
        for (connection, client) in [(&mut first, &mut one), (&mut second, &mut two)] {
            connection.expect("body");
            connection.serve("200 OK", "warm");
            client.expect("warm");
        }
        let mut two_backends = TwoBackends {
            node,
            connections: vec![first, second],
            other,
            started,
        };
        // A share of what has come may be tried again.
        for number in 0..RETRY_SHARE {
            let (mut busy, idle) = two_backends.send(&mut one, &format!("warm{number}"));
            busy.serve("200 OK", "warm");
            one.expect("\r\n\r\nwarm");
            two_backends.connections = vec![busy, idle];
        }
        two_backends
    }

    /// Sends a request on a connection that is there, and takes the lines apart: the one that it
    /// came to, complete, and the other one.
    fn send(&mut self, client: &mut Connection, id: &str) -> (Connection, Connection) {
        client.send(&report(id, 5000));
        let place = until(|| self.connections.iter().position(Connection::has_bytes));
        let mut busy = self.connections.remove(place);
        assert!(busy.expect("body").contains(&format!("x-txn: {id}\r\n")));
        (busy, self.connections.remove(0))
    }

    /// Until this time after the start.
    fn wait_until(&self, time: Duration) {
        pass(time.saturating_sub(self.started.elapsed()).as_millis() as u64);
    }
}

#[test]
fn a_client_that_disconnects_behind_the_wait_for_events_gets_no_second_attempt() {
    let mut two = TwoBackends::start(&format!("epoll_wait=late:400,{SPAN}"), |config| config);
    two.wait_until(BEFORE_SPAN);
    let mut client = two.node.client();
    let (mut busy, mut idle) = two.send(&mut client, "left");
    two.wait_until(IN_SPAN);
    busy.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    // The node's wait has the answer, and only it.
    pass(50);
    client.close();
    two.node.wait_for_iteration();
    assert!(!idle.is_closed(), "the client had left over 0.3 s before");
    assert!(two.other.is_quiet() && two.node.backend.is_quiet());
}

#[test]
fn a_drain_that_arrives_while_an_answer_is_read_forbids_the_next_attempt() {
    let short_grace = |config: String| config.replace("1500000000", "100000000");
    let mut two = TwoBackends::start(&format!("recv=sleep:400,{SPAN}"), short_grace);
    let mut watch = two.node.discovery.wait();
    watch.expect("\r\n\r\n");
    two.wait_until(BEFORE_SPAN);
    let mut client = two.node.client();
    let (mut busy, mut idle) = two.send(&mut client, "moved");
    two.wait_until(IN_SPAN);
    busy.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    pass(50);
    let drain = |uid, at| endpoint_json(uid, at, "Terminating");
    watch.send(&changes(
        8,
        &[
            drain("s-0", two.other.address()),
            drain("s-1", two.node.backend.address()),
        ],
    ));
    assert_eq!(
        idle.expect_close(),
        "",
        "its backend drained over 0.3 s before"
    );
    let head = client.expect("\r\n\r\n");
    assert!(
        head.starts_with("HTTP/1.1 50"),
        "no backend is left, but an answer is owed: {head}"
    );
}
