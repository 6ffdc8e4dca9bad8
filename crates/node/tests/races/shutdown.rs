//! Races with the shutdown of the node, its accept queue, its idle connections and its watch.

use std::io::Write;

use super::{
    occupy_all_connections, serve_next_request, with_client_timeout, with_few_descriptors,
    with_idle_connection, with_pushed_lists,
};
use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, default_config, endpoint_json, header,
    report_request, sleep_ms, wait_for, watch_response,
};
use crate::service::payouts::{payout_request, with_payout_and_check};

/// Reads a request from this connection and returns its `X-Txn`; `None` if the connection closes
/// first.
fn request_name(connection: &mut Connection) -> Option<String> {
    connection
        .expect_or_close("body")
        .map(|head| header(&head, "x-txn").to_string())
}

#[test]
fn sigterm_before_the_node_is_ready_is_handled() {
    let (discovery, backend) = (StandIn::new(), StandIn::new());
    let (mut process, mut config) = TestNode::spawn_without_configuration(&[]);
    let pid = rustix::process::Pid::from_child(&process);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let text = with_client_timeout(default_config(&discovery, &backend), "100000000");
    config.write_all(text.as_bytes()).unwrap();
    drop(config);
    let mut log = String::new();
    std::io::Read::read_to_string(&mut process.stderr.take().unwrap(), &mut log).unwrap();
    assert_eq!(process.wait().unwrap().code(), Some(0), "{log}");
    assert!(
        log.contains("start name=t1") && log.contains("sigterm connections=0"),
        "{log}"
    );
}

#[test]
fn two_sigterms_and_a_sighup_in_one_iteration_lose_no_request() {
    let mut node = TestNode::with_config(|config| with_client_timeout(config, "2000000000"));
    let (mut in_flight, mut incomplete) = (node.client(), node.client());
    in_flight.send(&report_request("out", 2000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    let request = report_request("half", 2000);
    let (first, rest) = request.split_at(request.len() - 2);
    incomplete.send(HEALTH_CHECK).expect("ok\n");
    incomplete.send(first);
    node.stall();
    node.terminate();
    node.reload(str::to_string);
    node.terminate();
    node.resume();
    node.expect_log("sigterm connections=2");
    // The rest of the incomplete request is sent after SIGTERM is handled.
    incomplete.send(rest);
    for (client, body) in [(&mut in_flight, "first"), (&mut incomplete, "second")] {
        backend.serve("200 OK\r\nConnection: close", body);
        if body == "first" {
            backend = node.backend.accept();
            assert_eq!(request_name(&mut backend).as_deref(), Some("half"));
        }
        let answer = client.expect(&format!("\r\n\r\n{body}"));
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.contains("connection: close"),
            "{answer}"
        );
        assert_eq!(client.expect_close(), "");
    }
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn answer_read_late_by_its_client_is_complete_despite_shutdown() {
    let mut node = TestNode::with_config(|config| with_client_timeout(config, "2000000000"));
    let mut client = node.client();
    client.send(&report_request("long", 2000));
    let mut backend = node.backend.accept();
    backend.expect("body");
    // The body is longer than the socket buffers hold, so the client must read before the node can
    // write it all.
    let long_body = "z".repeat(1_900_000) + "whole";
    backend.serve("200 OK", &long_body);
    node.terminate();
    node.expect_log("sigterm");
    let answer = client.expect_close();
    assert!(
        answer.ends_with("zwhole")
            && answer.contains(&format!("content-length: {}\r\n", long_body.len()))
    );
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn requests_sent_until_the_node_stops_accepting_are_all_answered() {
    let mut node = TestNode::with_config(|config| with_client_timeout(config, "300000000"));
    let mut client = node.client();
    client.send(HEALTH_CHECK).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    let mut answered = 0;
    // After SIGTERM, the node closes a client connection after the next answer on it, so each
    // request after the first is sent on a new connection.
    for id in 0..10_000 {
        client.send(&report_request(&format!("on{id}"), 250));
        if let Some(mut connection) = node.backend.try_accept() {
            connection.expect("body");
            connection.serve("200 OK\r\nConnection: close", "served");
        }
        let answer = client.expect("\r\n\r\n");
        assert!(
            answer.starts_with("HTTP/1.1 ") && answer.contains("connection: close"),
            "{answer}"
        );
        answered += 1;
        client.expect_close();
        let Some(new_client) = node.try_client() else {
            break;
        };
        client = new_client;
    }
    assert!(answered > 0);
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn request_of_a_client_that_left_the_accept_queue_is_not_forwarded() {
    let mut node = TestNode::with_config(with_few_descriptors);
    let busy = occupy_all_connections(&node);
    // All client connections are in use, so these clients wait in the accept queue.
    let mut waiting: Vec<Connection> = (0..6).map(|_| node.client()).collect();
    for (n, client) in waiting.iter_mut().enumerate() {
        client.send(&report_request(&format!("late{n}"), 60_000));
    }
    node.expect_log("client-connections-full");
    // Every other client in the accept queue disconnects, by a close or a reset; then all accepted
    // clients disconnect.
    for n in [4, 2, 0] {
        let client = waiting.remove(n);
        if n == 2 {
            client.reset();
        } else {
            client.close();
        }
    }
    drop(busy);
    // Requests of the clients that are still in the accept queue; the backend must get each of
    // them. The attempts of disconnected clients are cancelled, so the connections of those
    // attempts close.
    let mut remaining: Vec<&str> = vec!["late1", "late3", "late5"];
    while !remaining.is_empty() {
        let mut connection = node.backend.accept();
        let Some(name) = request_name(&mut connection) else {
            continue;
        };
        assert!(
            !["late0", "late2", "late4"].contains(&name.as_str()),
            "{name} was forwarded"
        );
        remaining.retain(|expected| *expected != name);
        connection.serve("200 OK\r\nConnection: close", &name);
    }
    for (client, id) in waiting.iter_mut().zip(["late1", "late3", "late5"]) {
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn requests_in_the_accept_queue_are_forwarded_only_for_connected_clients() {
    let node =
        TestNode::with_config(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    node.stall();
    let mut connected = Vec::new();
    for n in 0..120 {
        let mut client = node.client();
        client.send(&report_request(
            &format!("{}{n}", if n % 2 == 0 { "left" } else { "stay" }),
            60_000,
        ));
        match n % 4 {
            0 => client.close(),
            2 => client.reset(),
            _ => connected.push(client),
        }
    }
    node.resume();
    for _ in &connected {
        let mut connection = node.backend.accept();
        let name = request_name(&mut connection).expect("a request before the connection closes");
        assert!(name.starts_with("stay"), "{name} was forwarded");
        connection.serve("200 OK\r\nConnection: close", "served");
    }
    for mut client in connected {
        client.expect("\r\n\r\nserved");
    }
}

#[test]
fn not_idempotent_request_on_a_reset_connection_gets_502_and_no_retry() {
    let node = TestNode::with_config(|config| with_payout_and_check(config, &[]));
    let (mut client, mut backend) = with_idle_connection(&node, "w");
    client.send(&payout_request("once"));
    backend.expect("x-txn: once\r\n");
    backend.reset();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    client.send(HEALTH_CHECK).expect("ok\n");
    assert!(node.backend.has_no_pending_connection());
}

#[test]
fn sighup_discards_a_partially_received_watch_object() {
    let mut node = TestNode::start();
    let (new_discovery, other_backend) = (StandIn::new(), StandIn::new());
    let mut watch = node.discovery.accept();
    let complete = watch_response(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Terminating")],
    );
    node.stall();
    watch.send(&complete[..complete.len() - 20]);
    let old_address = node.discovery.address().to_string();
    node.reload(|config| config.replace(&old_address, &new_discovery.address().to_string()));
    node.resume();
    let mut new_watch = new_discovery.accept();
    new_watch.expect("after=7 ");
    watch.expect_close();
    // The incomplete object of the old watch must not be joined with this one.
    new_watch.send(&watch_response(
        9,
        &[endpoint_json("s-2", other_backend.address(), "Ready")],
    ));
    node.expect_log("reload discovery=");
    let mut client = node.client();
    for id in ["h1", "h2"] {
        client.send(&report_request(id, 5000));
        let mut connection = wait_for(|| {
            node.backend
                .try_accept()
                .or_else(|| other_backend.try_accept())
        });
        connection.expect("body");
        connection.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn reloads_while_watches_fail_start_no_second_series_of_discovery_calls() {
    let mut node = TestNode::with_config(with_pushed_lists);
    for _ in 0..8 {
        node.discovery.accept().close();
    }
    for _ in 0..10 {
        node.reload(str::to_string);
        node.discovery.accept().close();
        // Without this pause, simultaneous series of calls would look like one.
        sleep_ms(30);
    }
    node.expect_log("reload discovery=");
    // By now the backoff has reached its maximum, a quarter of the drain grace.
    let started_at = std::time::Instant::now();
    for _ in 0..6 {
        node.discovery.accept().close();
    }
    assert!(
        started_at.elapsed().as_millis() > 1_000,
        "{:?} for six calls",
        started_at.elapsed()
    );
}

#[test]
fn node_without_discovery_serves_its_stale_list_within_ten_seconds() {
    let mut node = TestNode::with_config(with_pushed_lists);
    let started_at = std::time::Instant::now();
    let mut client = node.client();
    client
        .send(HEALTH_CHECK)
        .expect("discovery has not spoken\n");
    node.expect_log("serving-stale-list ");
    client.send(HEALTH_CHECK).expect("ok\n");
    assert!(
        started_at.elapsed().as_secs() < 10,
        "{:?}",
        started_at.elapsed()
    );
}

// ---- Connections that end after any byte ----

#[test]
fn answer_truncated_at_any_byte_gets_502_and_no_retry() {
    let node = TestNode::with_config(|config| with_payout_and_check(config, &[]));
    let complete =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npai\r\n1\r\nd\r\n0\r\n\r\n";
    let endings: [fn(Connection); 2] = [Connection::close, Connection::reset];
    for cut in 0..=complete.len() {
        for (ending, end) in endings.iter().enumerate() {
            let mut client = node.client();
            client.send(&payout_request(&format!("cut{cut}-{ending}")));
            let mut backend = node.backend.accept();
            backend.expect("body");
            backend.send(&complete[..cut]);
            if cut == complete.len() {
                assert!(client.expect("\r\n\r\npaid").starts_with("HTTP/1.1 200 "));
            }
            end(backend);
            if cut < complete.len() {
                let answer = client.expect("\r\n\r\n");
                assert!(answer.starts_with("HTTP/1.1 502 "), "{answer} at {cut}");
            }
            client.send(HEALTH_CHECK).expect("\n");
            assert!(
                node.backend.has_no_pending_connection(),
                "retried after a truncation at byte {cut}"
            );
        }
    }
}

#[test]
fn request_truncated_at_any_byte_is_not_forwarded_and_blocks_no_other() {
    let node = TestNode::start();
    let complete = report_request("cut", 5000);
    let endings: [fn(Connection); 2] = [Connection::close, Connection::reset];
    for cut in 0..complete.len() {
        let mut client = node.client();
        client.send(&complete[..cut]);
        endings[cut % 2](client);
    }
    node.wait_for_iteration();
    serve_next_request(&node, "next");
    assert!(node.backend.has_no_pending_connection());
}
