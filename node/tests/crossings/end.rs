//! Crossings with the end of a node, and with what its queues and pools hold.

use std::io::Write;

use super::{all_busy, few_sockets, pushed, short, warmed};
use crate::common::{HEALTH, Line, Party, World, changes, entry, header, pass, report, until, usual};
use crate::{payout, with_payouts};

/// The name of the request that comes on this connection of the node's, unless it ends without one.
fn sent(line: &mut Line) -> Option<String> {
    line.expect_or_end("body").map(|head| header(&head, "x-txn").to_string())
}

#[test]
fn sigterm_before_the_node_is_ready_is_followed_and_not_lost() {
    let (discovery, backend) = (Party::new(), Party::new());
    let (mut node, mut config) = World::held_back(&[]);
    let pid = rustix::process::Pid::from_child(&node);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let text = short(usual(&discovery, &backend), "100000000");
    config.write_all(text.as_bytes()).unwrap();
    drop(config);
    let mut log = String::new();
    std::io::Read::read_to_string(&mut node.stderr.take().unwrap(), &mut log).unwrap();
    assert_eq!(node.wait().unwrap().code(), Some(0), "{log}");
    assert!(log.contains("start name=t1") && log.contains("sigterm sessions=0"), "{log}");
}

#[test]
fn sigterm_twice_and_sighup_in_one_turn_lose_no_req_and_no_message_that_is_half_there() {
    let mut world = World::with(|config| short(config, "2000000000"));
    let (mut out, mut half) = (world.client(), world.client());
    out.send(&report("out", 2000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    let request = report("half", 2000);
    let (first, rest) = request.split_at(request.len() - 2);
    half.send(HEALTH).expect("ok\n");
    half.send(first);
    world.stall();
    world.terminate();
    world.reload(str::to_string);
    world.terminate();
    world.go_on();
    world.expect_log("sigterm sessions=2");
    // The rest of the half one comes when the node has long been told to end.
    half.send(rest);
    for (client, body) in [(&mut out, "first"), (&mut half, "second")] {
        backend.serve("200 OK\r\nConnection: close", body);
        if body == "first" {
            backend = world.backend.wait();
            assert_eq!(sent(&mut backend).as_deref(), Some("half"));
        }
        let answer = client.expect(&format!("\r\n\r\n{body}"));
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("connection: close"), "{answer}");
        assert_eq!(client.expect_end(), "");
    }
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn an_answer_that_its_client_reads_late_is_whole_though_the_node_was_told_to_end() {
    let mut world = World::with(|config| short(config, "2000000000"));
    let mut client = world.client();
    client.send(&report("long", 2000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    // More than the sockets hold.
    let long = "z".repeat(1_900_000) + "whole";
    backend.serve("200 OK", &long);
    world.terminate();
    world.expect_log("sigterm");
    let answer = client.expect_end();
    assert!(answer.ends_with("zwhole") && answer.contains(&format!("content-length: {}\r\n", long.len())));
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn a_client_that_goes_on_sending_up_to_the_end_has_an_answer_or_a_close_before_it_was_read() {
    let mut world = World::with(|config| short(config, "300000000"));
    let mut client = world.client();
    client.send(HEALTH).expect("ok\n");
    world.terminate();
    world.expect_log("sigterm");
    let mut answered = 0;
    // Each connection takes one more, which is answered, and ends.
    for id in 0..10_000 {
        client.send(&report(&format!("on{id}"), 250));
        if let Some(mut line) = world.backend.poll() {
            line.expect("body");
            line.serve("200 OK\r\nConnection: close", "served");
        }
        let answer = client.expect("\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 ") && answer.contains("connection: close"), "{answer}");
        answered += 1;
        client.expect_end();
        let Some(next) = world.try_client() else { break };
        client = next;
    }
    assert!(answered > 0);
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn clients_that_leave_the_accept_queue_while_no_descriptor_is_free_are_not_sent_on_for() {
    let mut world = World::with(few_sockets);
    let busy = all_busy(&world);
    let mut waiting: Vec<Line> = (0..6).map(|_| world.client()).collect();
    for (n, client) in waiting.iter_mut().enumerate() {
        client.send(&report(&format!("late{n}"), 60_000));
    }
    world.expect_log("sessions-full");
    // Every second one of those that wait goes, by a close or by a reset; then all the others make room.
    for n in [4, 2, 0] {
        let client = waiting.remove(n);
        if n == 2 { client.reset() } else { client.close() }
    }
    drop(busy);
    // What the backend gets from now on; those out have ended with their clients.
    let mut left: Vec<&str> = vec!["late1", "late3", "late5"];
    while !left.is_empty() {
        let mut line = world.backend.wait();
        let Some(name) = sent(&mut line) else { continue };
        assert!(!["late0", "late2", "late4"].contains(&name.as_str()), "{name} was sent on");
        left.retain(|wanted| *wanted != name);
        line.serve("200 OK\r\nConnection: close", &name);
    }
    for (client, id) in waiting.iter_mut().zip(["late1", "late3", "late5"]) {
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn a_full_accept_queue_of_clients_of_which_half_left_in_a_stall_leads_to_sends_for_the_others_only() {
    let world = World::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    world.stall();
    let mut stay = Vec::new();
    for n in 0..120 {
        let mut client = world.client();
        client.send(&report(&format!("{}{n}", if n % 2 == 0 { "left" } else { "stay" }), 60_000));
        match n % 4 {
            0 => client.close(),
            2 => client.reset(),
            _ => stay.push(client),
        }
    }
    world.go_on();
    for _ in &stay {
        let mut line = world.backend.wait();
        let name = sent(&mut line).expect("a request");
        assert!(name.starts_with("stay"), "{name} was sent on");
        line.serve("200 OK\r\nConnection: close", "served");
    }
    for mut client in stay {
        client.expect("\r\n\r\nserved");
    }
}

#[test]
fn an_unsafe_req_whose_idle_connection_is_reset_under_it_runs_once_and_is_no_refusal() {
    let world = World::with(|config| with_payouts(config, &[]));
    let (mut client, mut backend) = warmed(&world, "w");
    client.send(&payout("once"));
    backend.expect("x-txn: once\r\n");
    backend.reset();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    client.send(HEALTH).expect("ok\n");
    assert!(world.backend.is_quiet());
}

#[test]
fn half_an_object_and_sighup_in_one_turn_take_nothing_of_it_along() {
    let mut world = World::start();
    let (next, other) = (Party::new(), Party::new());
    let mut watch = world.discovery.wait();
    let whole = changes(8, &[entry("s-1", world.backend.address(), "Terminating")]);
    world.stall();
    watch.send(&whole[..whole.len() - 20]);
    let old = world.discovery.address().to_string();
    world.reload(|config| config.replace(&old, &next.address().to_string()));
    world.go_on();
    let mut moved = next.wait();
    moved.expect("after=7 ");
    watch.expect_end();
    // The end of the old object here would be none of this one's.
    moved.send(&changes(9, &[entry("s-2", other.address(), "Ready")]));
    world.expect_log("reload discovery=");
    let mut client = world.client();
    for id in ["h1", "h2"] {
        client.send(&report(id, 5000));
        let mut line = until(|| world.backend.poll().or_else(|| other.poll()));
        line.expect("body");
        line.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn reloads_while_pushes_fail_start_no_second_row_of_calls() {
    let mut world = World::with(pushed);
    for _ in 0..8 {
        world.discovery.wait().close();
    }
    for _ in 0..10 {
        world.reload(str::to_string);
        world.discovery.wait().close();
        // Rows that keep step would look like one.
        pass(30);
    }
    world.expect_log("reload discovery=");
    // The row of calls is at its longest pause by now, a quarter of the grace.
    let since = std::time::Instant::now();
    for _ in 0..6 {
        world.discovery.wait().close();
    }
    assert!(since.elapsed().as_millis() > 1_000, "{:?} for six calls", since.elapsed());
}

#[test]
fn a_node_that_discovery_says_nothing_to_serves_within_ten_seconds_and_says_that_it_is_blind() {
    let mut world = World::with(pushed);
    let since = std::time::Instant::now();
    let mut client = world.client();
    client.send(HEALTH).expect("discovery has not spoken\n");
    world.expect_log("blind ");
    client.send(HEALTH).expect("ok\n");
    assert!(since.elapsed().as_secs() < 10, "{:?}", since.elapsed());
}
