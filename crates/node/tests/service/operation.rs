//! Operation of a node: signals, the trace and invalid configurations.

use crate::common::{
    HEALTH_CHECK, StandIn, TestNode, WATCH_RESPONSE_HEAD, report_request, spawn_with_config,
};

#[test]
fn sigterm_completes_all_requests_before_the_exit() {
    let mut node = TestNode::start();
    let (mut busy, mut idle) = (node.client(), node.client());
    busy.send(&report_request("j", 3300));
    let mut backend = node.backend.accept();
    backend.expect("body");
    idle.send(HEALTH_CHECK).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    // For 0.6 s after SIGTERM, new clients are still accepted. All answers have
    // `Connection: close`.
    let mut late_client = node.client();
    late_client.send(&report_request("k", 3300));
    assert_eq!(idle.expect_close(), "");
    for (client, body) in [(&mut busy, "done"), (&mut late_client, "late")] {
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
fn sighup_moves_the_watch_to_the_new_discovery_and_keeps_everything_else() {
    let mut node = TestNode::start();
    let mut client = node.client();
    client.send(&report_request("s", 5000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    let mut watch = node.discovery.accept();
    let old_address = node.discovery.address().to_string();
    // The configuration is reloaded twice, each time with another address of discovery. The
    // environment still has the first address, which a reload ignores.
    for new_discovery in [StandIn::new(), StandIn::new()] {
        node.reload(|config| config.replace(&old_address, &new_discovery.address().to_string()));
        let mut new_watch = new_discovery.accept();
        new_watch.expect("after=7 ");
        watch.expect_close();
        watch = new_watch;
    }
    node.reload(|config| config.replace("\"discovery\"", "\"dicovery\""));
    let log = node.expect_log("reload-failed configuration: missing field `discovery`");
    assert!(
        !log.contains("discovery-failed") && !log.contains("out of reach"),
        "{log}"
    );
    backend.serve("200 OK", "played");
    client.expect("played");
    client.send(HEALTH_CHECK).expect("ok\n");
    // A SIGHUP and a SIGTERM that arrive together are both handled.
    let last_discovery = StandIn::new();
    node.reload(|config| config.replace(&old_address, &last_discovery.address().to_string()));
    node.terminate();
    last_discovery.accept().expect("after=7 ");
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn sighup_during_a_backoff_opens_exactly_one_watch() {
    let mut node = TestNode::with_config(|config| {
        config.replace(r#""coldFrom""#, r#""askWithinNs":20000000000,"coldFrom""#)
    });
    // With a poll interval of 20 s, the decision module waits at least 0.5 s after a failed call.
    let old_address = node.discovery.address().to_string();
    node.discovery.accept().close();
    node.expect_log("list out of reach");
    let new_discovery = StandIn::new();
    node.reload(|config| config.replace(&old_address, &new_discovery.address().to_string()));
    let mut watch = new_discovery.accept();
    watch.expect("after=7 ");
    node.expect_log("reload discovery=");
    // When the idle timeout ends this watch, the backoff after the closed first watch is over. A
    // new backoff begins, so the node must not have opened another watch yet.
    watch.send(WATCH_RESPONSE_HEAD).send("1\r\n\n\r\n");
    node.expect_log("discovery-failed timed out: no complete data");
    watch.expect_close();
    assert!(new_discovery.has_no_pending_connection());
}

#[test]
fn trace_logs_events_and_decisions_only_if_enabled() {
    for (value, traced) in [("1", true), ("0", false)] {
        let node = TestNode::with_environment(|config| config, &[("BALANCER_TRACE", value)]);
        let mut client = node.client();
        client.send(&report_request("t1", 5000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        let log = node.stop_and_read_log();
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
fn invalid_configuration_logs_one_line_and_exits_with_code_2() {
    let mut process = spawn_with_config(r#"{"seed":"1"}"#, &[]);
    let mut line = String::new();
    std::io::Read::read_to_string(&mut process.stderr.take().unwrap(), &mut line).unwrap();
    assert_eq!(
        line,
        "kitefork: fault configuration: missing field `settings`\n"
    );
    assert_eq!(process.wait().unwrap().code(), Some(2));
}
