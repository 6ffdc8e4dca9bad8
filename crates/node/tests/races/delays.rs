//! Races in a process that is delayed between two system calls, so that it acts on stale data. The
//! fault shim delays a call by 0.4 s; meanwhile the test sends the event that races with it.

use std::time::{Duration, Instant};

use crate::common::{
    Connection, StandIn, TestNode, endpoint_json, report_request, sleep_ms, wait_for,
    watch_response, with_backend,
};

/// Period in which calls are delayed, in milliseconds after the start of the process; it begins
/// long after the node is ready.
const FAULT_WINDOW: &str = "from:1500,to:2600";
/// Number of served requests after which the retry budget allows more than one retry.
const WARM_UP_REQUESTS: usize = 20;
/// A time within the fault window, counted from the start of the node.
const IN_FAULT_WINDOW: Duration = Duration::from_millis(1_700);
/// A time shortly before the fault window, counted from the start of the node: an attempt that is
/// sent then and not answered is not cancelled before the window begins.
const BEFORE_FAULT_WINDOW: Duration = Duration::from_millis(1_200);

/// A node with two backends and an idle connection to each.
struct TwoBackends {
    node: TestNode,
    connections: Vec<Connection>,
    other_backend: StandIn,
    started_at: Instant,
}

impl TwoBackends {
    fn start(plan: &str, change: impl Fn(String) -> String) -> TwoBackends {
        let other_backend = StandIn::new();
        let node = TestNode::with_faults(plan, |config| {
            // With a long latency objective, a request that has waited for the fault window still
            // has time for a second attempt.
            let config = config.replace(r#""goalTimeNs":300000000"#, r#""goalTimeNs":4000000000"#);
            change(with_backend(config, "s-0", other_backend.address()))
        });
        let started_at = Instant::now();
        let (mut first_client, mut second_client) = (node.client(), node.client());
        let accept_at_either = || {
            wait_for(|| {
                node.backend
                    .try_accept()
                    .or_else(|| other_backend.try_accept())
            })
        };
        first_client.send(&report_request("idle1", 5000));
        let mut first = accept_at_either();
        // The first backend is busy, so this request goes to the second.
        second_client.send(&report_request("idle2", 5000));
        let mut second = accept_at_either();
        for (connection, client) in [
            (&mut first, &mut first_client),
            (&mut second, &mut second_client),
        ] {
            connection.expect("body");
            connection.serve("200 OK", "warm");
            client.expect("warm");
        }
        let mut two_backends = TwoBackends {
            node,
            connections: vec![first, second],
            other_backend,
            started_at,
        };
        // Each first attempt adds a part of a retry to the retry budget, so some requests are
        // served first.
        for number in 0..WARM_UP_REQUESTS {
            let (mut busy, idle) = two_backends.send(&mut first_client, &format!("warm{number}"));
            busy.serve("200 OK", "warm");
            first_client.expect("\r\n\r\nwarm");
            two_backends.connections = vec![busy, idle];
        }
        two_backends
    }

    /// Sends a request, which is forwarded on one of the two connections. Returns that connection,
    /// from which the request is read, and the idle one; both are removed from `connections`.
    fn send(&mut self, client: &mut Connection, id: &str) -> (Connection, Connection) {
        client.send(&report_request(id, 5000));
        let index = wait_for(|| {
            self.connections
                .iter()
                .position(Connection::has_unread_bytes)
        });
        let mut busy = self.connections.remove(index);
        assert!(busy.expect("body").contains(&format!("x-txn: {id}\r\n")));
        (busy, self.connections.remove(0))
    }

    /// Sleeps until this time after the start of the node.
    fn sleep_until(&self, time: Duration) {
        sleep_ms(time.saturating_sub(self.started_at.elapsed()).as_millis() as u64);
    }
}

#[test]
fn disconnect_during_a_delayed_epoll_wait_prevents_a_retry() {
    let mut backends =
        TwoBackends::start(&format!("epoll_wait=late:400,{FAULT_WINDOW}"), |config| {
            config
        });
    backends.sleep_until(BEFORE_FAULT_WINDOW);
    let mut client = backends.node.client();
    let (mut busy, mut idle) = backends.send(&mut client, "left");
    backends.sleep_until(IN_FAULT_WINDOW);
    busy.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    // The delayed epoll_wait has returned the answer only, not the disconnect.
    sleep_ms(50);
    client.close();
    backends.node.wait_for_iteration();
    assert!(
        !idle.is_closed(),
        "the request was retried, although its client disconnected more than 0.3 s before"
    );
    assert!(
        backends.other_backend.has_no_pending_connection()
            && backends.node.backend.has_no_pending_connection()
    );
}

#[test]
fn drain_during_a_delayed_recv_prevents_the_next_attempt() {
    let short_grace = |config: String| config.replace("1500000000", "100000000");
    let mut backends = TwoBackends::start(&format!("recv=sleep:400,{FAULT_WINDOW}"), short_grace);
    let mut watch = backends.node.discovery.accept();
    watch.expect("\r\n\r\n");
    backends.sleep_until(BEFORE_FAULT_WINDOW);
    let mut client = backends.node.client();
    let (mut busy, mut idle) = backends.send(&mut client, "moved");
    backends.sleep_until(IN_FAULT_WINDOW);
    busy.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    sleep_ms(50);
    let draining_endpoint = |uid, address| endpoint_json(uid, address, "Terminating");
    watch.send(&watch_response(
        8,
        &[
            draining_endpoint("s-0", backends.other_backend.address()),
            draining_endpoint("s-1", backends.node.backend.address()),
        ],
    ));
    assert_eq!(
        idle.expect_close(),
        "",
        "the request was retried, although the drain was sent more than 0.3 s before"
    );
    let head = client.expect("\r\n\r\n");
    assert!(
        head.starts_with("HTTP/1.1 50"),
        "no backend is ready, so the answer must be an error: {head}"
    );
}
