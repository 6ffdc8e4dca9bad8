//! What operators do to a node: signals, the trace, configurations.

use crate::common::{HEALTH, StandIn, TestNode, WATCH, report, run};

#[test]
fn sigterm_is_followed_to_the_end_of_every_request() {
    let mut node = TestNode::start();
    let (mut busy, mut idle) = (node.client(), node.client());
    busy.send(&report("j", 3300));
    let mut backend = node.backend.wait();
    backend.expect("body");
    idle.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    // New clients and old ones are served for a while, with `Connection: close`.
    let mut late = node.client();
    late.send(&report("k", 3300));
    assert_eq!(idle.expect_close(), "");
    for (client, body) in [(&mut busy, "done"), (&mut late, "late")] {
        backend.serve("200 OK", body);
        assert!(client.expect(body).contains("connection: close\r\n"));
        client.expect_close();
        if body == "done" {
            backend.expect("body");
        }
    }
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn sighup_moves_the_watch_at_once_and_leaves_list_requests_and_connections_alone() {
    let mut node = TestNode::start();
    let mut client = node.client();
    client.send(&report("s", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    let mut watch = node.discovery.wait();
    let old = node.discovery.address().to_string();
    // Twice, and each time to a place of its own. The environment still has the first.
    for next in [StandIn::new(), StandIn::new()] {
        node.reload(|config| config.replace(&old, &next.address().to_string()));
        let mut new = next.wait();
        new.expect("after=7 ");
        watch.expect_close();
        watch = new;
    }
    node.reload(|config| config.replace("\"discovery\"", "\"dicovery\""));
    let log = node.expect_log("reload-failed configuration: missing field `discovery`");
    assert!(
        !log.contains("discovery-failed") && !log.contains("out of reach"),
        "{log}"
    );
    backend.serve("200 OK", "played");
    client.expect("played");
    client.send(HEALTH).expect("ok\n");
    // A reload and an end that come together are both followed.
    let last = StandIn::new();
    node.reload(|config| config.replace(&old, &last.address().to_string()));
    node.terminate();
    last.wait().expect("after=7 ");
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn sighup_does_not_wait_for_a_backoff_and_the_backoff_opens_no_second_watch() {
    let mut node = TestNode::with(|config| {
        config.replace(r#""coldFrom""#, r#""askWithinNs":20000000000,"coldFrom""#)
    });
    // The decisions wait half a second or more before they ask again.
    let old = node.discovery.address().to_string();
    node.discovery.wait().close();
    node.expect_log("list out of reach");
    let next = StandIn::new();
    node.reload(|config| config.replace(&old, &next.address().to_string()));
    let mut watch = next.wait();
    watch.expect("after=7 ");
    node.expect_log("reload discovery=");
    // The backoff has passed when this silence has, and the next one has not.
    watch.send(WATCH).send("1\r\n\n\r\n");
    node.expect_log("discovery-failed silent");
    watch.expect_close();
    assert!(next.is_quiet());
}

#[test]
fn the_trace_logs_each_event_and_decision_where_it_is_on_and_else_nothing() {
    for (value, traced) in [("1", true), ("0", false)] {
        let node = TestNode::with_environment(|config| config, &[("BALANCER_TRACE", value)]);
        let mut client = node.client();
        client.send(&report("t1", 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        let log = node.last_log();
        for part in [
            "endpoint b=0 uid=s-1 at=127.0.0.1:",
            "request id=1 txn=t1 client_timeout_us=5000000\n",
            "send id=1 try=0 b=0 denied=0\n",
            "connect b=0 open=0\n",
            "accepted id=1 key=kt1\n",
            "ended id=1 try=0 outcome=Success us=",
        ] {
            assert_eq!(log.contains(part), traced, "{part} in {log}");
        }
    }
}

#[test]
fn a_bad_configuration_is_one_line_and_no_start() {
    let mut process = run(r#"{"seed":"1"}"#, &[]);
    let mut line = String::new();
    std::io::Read::read_to_string(&mut process.stderr.take().unwrap(), &mut line).unwrap();
    assert_eq!(
        line,
        "kitefork: fault configuration: missing field `settings`\n"
    );
    assert_eq!(process.wait().unwrap().code(), Some(2));
}
