//! Races with the node's shutdown, and with what its queues and pools have.

use std::io::Write;

use super::{all_busy, few_sockets, pushed, serve_next, short, with_idle_connection};
use crate::common::{
    Connection, HEALTH, StandIn, TestNode, changes, default_config, endpoint_json, header, pass,
    report, until,
};
use crate::service::payouts::{payout, with_payouts};

/// The name of the request that comes on this connection, unless it ends without one.
fn sent(connection: &mut Connection) -> Option<String> {
    connection
        .expect_or_close("body")
        .map(|head| header(&head, "x-txn").to_string())
}

#[test]
fn sigterm_before_the_node_is_ready_is_followed_and_not_lost() {
    let (discovery, backend) = (StandIn::new(), StandIn::new());
    let (mut process, mut config) = TestNode::waiting_for_configuration(&[]);
    let pid = rustix::process::Pid::from_child(&process);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let text = short(default_config(&discovery, &backend), "100000000");
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
fn sigterm_twice_and_sighup_in_one_iteration_lose_no_request_and_no_message_that_is_half_there() {
    let mut node = TestNode::with(|config| short(config, "2000000000"));
    let (mut out, mut half) = (node.client(), node.client());
    out.send(&report("out", 2000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    let request = report("half", 2000);
    let (first, rest) = request.split_at(request.len() - 2);
    half.send(HEALTH).expect("ok\n");
    half.send(first);
    node.stall();
    node.terminate();
    node.reload(str::to_string);
    node.terminate();
    node.resume();
    node.expect_log("sigterm connections=2");
    // The rest of the half one comes long after SIGTERM.
    half.send(rest);
    for (client, body) in [(&mut out, "first"), (&mut half, "second")] {
        backend.serve("200 OK\r\nConnection: close", body);
        if body == "first" {
            backend = node.backend.wait();
            assert_eq!(sent(&mut backend).as_deref(), Some("half"));
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
fn an_answer_that_its_client_reads_late_is_complete_though_the_node_shuts_down() {
    let mut node = TestNode::with(|config| short(config, "2000000000"));
    let mut client = node.client();
    client.send(&report("long", 2000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // More than the sockets hold.
    let long = "z".repeat(1_900_000) + "whole";
    backend.serve("200 OK", &long);
    node.terminate();
    node.expect_log("sigterm");
    let answer = client.expect_close();
    assert!(
        answer.ends_with("zwhole")
            && answer.contains(&format!("content-length: {}\r\n", long.len()))
    );
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn a_client_that_goes_on_sending_up_to_the_end_has_an_answer_or_a_close_before_it_was_read() {
    let mut node = TestNode::with(|config| short(config, "300000000"));
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    let mut answered = 0;
    // Each connection takes one more, which is answered, and ends.
    for id in 0..10_000 {
        client.send(&report(&format!("on{id}"), 250));
        if let Some(mut connection) = node.backend.poll() {
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
        let Some(next) = node.try_client() else {
            break;
        };
        client = next;
    }
    assert!(answered > 0);
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn requests_of_clients_that_leave_the_accept_queue_while_no_descriptor_is_free_are_not_forwarded() {
    let mut node = TestNode::with(few_sockets);
    let busy = all_busy(&node);
    let mut waiting: Vec<Connection> = (0..6).map(|_| node.client()).collect();
    for (n, client) in waiting.iter_mut().enumerate() {
        client.send(&report(&format!("late{n}"), 60_000));
    }
    node.expect_log("client-connections-full");
    // Every second one of those that wait disconnects, by a close or by a reset; then all the
    // others are evicted.
    for n in [4, 2, 0] {
        let client = waiting.remove(n);
        if n == 2 {
            client.reset();
        } else {
            client.close();
        }
    }
    drop(busy);
    // What the backend gets from now on; those out have ended with their clients.
    let mut left: Vec<&str> = vec!["late1", "late3", "late5"];
    while !left.is_empty() {
        let mut connection = node.backend.wait();
        let Some(name) = sent(&mut connection) else {
            continue;
        };
        assert!(
            !["late0", "late2", "late4"].contains(&name.as_str()),
            "{name} was sent on"
        );
        left.retain(|wanted| *wanted != name);
        connection.serve("200 OK\r\nConnection: close", &name);
    }
    for (client, id) in waiting.iter_mut().zip(["late1", "late3", "late5"]) {
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn of_a_full_accept_queue_whose_clients_half_left_in_a_stall_only_the_others_are_forwarded() {
    let node = TestNode::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    node.stall();
    let mut stay = Vec::new();
    for n in 0..120 {
        let mut client = node.client();
        client.send(&report(
            &format!("{}{n}", if n % 2 == 0 { "left" } else { "stay" }),
            60_000,
        ));
        match n % 4 {
            0 => client.close(),
            2 => client.reset(),
            _ => stay.push(client),
        }
    }
    node.resume();
    for _ in &stay {
        let mut connection = node.backend.wait();
        let name = sent(&mut connection).expect("a request");
        assert!(name.starts_with("stay"), "{name} was sent on");
        connection.serve("200 OK\r\nConnection: close", "served");
    }
    for mut client in stay {
        client.expect("\r\n\r\nserved");
    }
}

#[test]
fn a_not_idempotent_request_whose_idle_connection_is_reset_under_it_runs_once_and_is_not_rejected()
{
    let node = TestNode::with(|config| with_payouts(config, &[]));
    let (mut client, mut backend) = with_idle_connection(&node, "w");
    client.send(&payout("once"));
    backend.expect("x-txn: once\r\n");
    backend.reset();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    client.send(HEALTH).expect("ok\n");
    assert!(node.backend.is_quiet());
}

#[test]
fn half_an_object_and_sighup_in_one_iteration_take_nothing_of_it_along() {
    let mut node = TestNode::start();
    let (next, other) = (StandIn::new(), StandIn::new());
    let mut watch = node.discovery.wait();
    let whole = changes(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Terminating")],
    );
    node.stall();
    watch.send(&whole[..whole.len() - 20]);
    let old = node.discovery.address().to_string();
    node.reload(|config| config.replace(&old, &next.address().to_string()));
    node.resume();
    let mut moved = next.wait();
    moved.expect("after=7 ");
    watch.expect_close();
    // The end of the old object here would be none of this one's.
    moved.send(&changes(
        9,
        &[endpoint_json("s-2", other.address(), "Ready")],
    ));
    node.expect_log("reload discovery=");
    let mut client = node.client();
    for id in ["h1", "h2"] {
        client.send(&report(id, 5000));
        let mut connection = until(|| node.backend.poll().or_else(|| other.poll()));
        connection.expect("body");
        connection.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn reloads_while_pushes_fail_start_no_second_row_of_calls() {
    let mut node = TestNode::with(pushed);
    for _ in 0..8 {
        node.discovery.wait().close();
    }
    for _ in 0..10 {
        node.reload(str::to_string);
        node.discovery.wait().close();
        // Rows that keep step would look like one.
        pass(30);
    }
    node.expect_log("reload discovery=");
    // The row of calls is at its longest pause by now, a quarter of the grace.
    let since = std::time::Instant::now();
    for _ in 0..6 {
        node.discovery.wait().close();
    }
    assert!(
        since.elapsed().as_millis() > 1_000,
        "{:?} for six calls",
        since.elapsed()
    );
}

#[test]
fn a_node_that_discovery_says_nothing_to_serves_within_ten_seconds_and_logs_its_stale_list() {
    let mut node = TestNode::with(pushed);
    let since = std::time::Instant::now();
    let mut client = node.client();
    client.send(HEALTH).expect("discovery has not spoken\n");
    node.expect_log("serving-stale-list ");
    client.send(HEALTH).expect("ok\n");
    assert!(since.elapsed().as_secs() < 10, "{:?}", since.elapsed());
}

// ---- A connection that closes at any byte ----

#[test]
fn an_answer_that_is_cut_at_any_byte_is_a_failure_that_ran_once_and_a_complete_one_passes() {
    let node = TestNode::with(|config| with_payouts(config, &[]));
    let whole =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npai\r\n1\r\nd\r\n0\r\n\r\n";
    let ways: [fn(Connection); 2] = [Connection::close, Connection::reset];
    for cut in 0..=whole.len() {
        for (way, end) in ways.iter().enumerate() {
            let mut client = node.client();
            client.send(&payout(&format!("cut{cut}-{way}")));
            let mut backend = node.backend.wait();
            backend.expect("body");
            backend.send(&whole[..cut]);
            if cut == whole.len() {
                assert!(client.expect("\r\n\r\npaid").starts_with("HTTP/1.1 200 "));
            }
            end(backend);
            if cut < whole.len() {
                let answer = client.expect("\r\n\r\n");
                assert!(answer.starts_with("HTTP/1.1 502 "), "{answer} at {cut}");
            }
            client.send(HEALTH).expect("\n");
            assert!(node.backend.is_quiet(), "it went out again, cut at {cut}");
        }
    }
}

#[test]
fn a_request_that_is_cut_at_any_byte_goes_nowhere_and_blocks_nobody() {
    let node = TestNode::start();
    let whole = report("cut", 5000);
    let ways: [fn(Connection); 2] = [Connection::close, Connection::reset];
    for cut in 0..whole.len() {
        let mut client = node.client();
        client.send(&whole[..cut]);
        ways[cut % 2](client);
    }
    node.wait_for_iteration();
    serve_next(&node, "next");
    assert!(node.backend.is_quiet());
}
