//! Crossings with the end of a node, and with what its queues and pools hold.

use std::io::Write;

use super::{all_busy, few_sockets, pushed, serve_next, short, warmed};
use crate::common::{
    HEALTH, Line, Party, World, changes, entry, header, pass, report, until, usual,
};
use crate::{payout, with_payouts};

/// The name of the request that comes on this connection of the node's, unless it ends without one.
fn sent(line: &mut Line) -> Option<String> {
    line.expect_or_end("body")
        .map(|head| header(&head, "x-txn").to_string())
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
    assert!(
        log.contains("start name=t1") && log.contains("sigterm connections=0"),
        "{log}"
    );
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
    world.expect_log("sigterm connections=2");
    // The rest of the half one comes when the node has long been told to end.
    half.send(rest);
    for (client, body) in [(&mut out, "first"), (&mut half, "second")] {
        backend.serve("200 OK\r\nConnection: close", body);
        if body == "first" {
            backend = world.backend.wait();
            assert_eq!(sent(&mut backend).as_deref(), Some("half"));
        }
        let answer = client.expect(&format!("\r\n\r\n{body}"));
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.contains("connection: close"),
            "{answer}"
        );
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
    assert!(
        answer.ends_with("zwhole")
            && answer.contains(&format!("content-length: {}\r\n", long.len()))
    );
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
        assert!(
            answer.starts_with("HTTP/1.1 ") && answer.contains("connection: close"),
            "{answer}"
        );
        answered += 1;
        client.expect_end();
        let Some(next) = world.try_client() else {
            break;
        };
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
    world.expect_log("client-connections-full");
    // Every second one of those that wait goes, by a close or by a reset; then all the others make
    // room.
    for n in [4, 2, 0] {
        let client = waiting.remove(n);
        if n == 2 {
            client.reset()
        } else {
            client.close()
        }
    }
    drop(busy);
    // What the backend gets from now on; those out have ended with their clients.
    let mut left: Vec<&str> = vec!["late1", "late3", "late5"];
    while !left.is_empty() {
        let mut line = world.backend.wait();
        let Some(name) = sent(&mut line) else {
            continue;
        };
        assert!(
            !["late0", "late2", "late4"].contains(&name.as_str()),
            "{name} was sent on"
        );
        left.retain(|wanted| *wanted != name);
        line.serve("200 OK\r\nConnection: close", &name);
    }
    for (client, id) in waiting.iter_mut().zip(["late1", "late3", "late5"]) {
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn a_full_accept_queue_of_clients_of_which_half_left_in_a_stall_leads_to_sends_for_the_others_only()
{
    let world = World::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    world.stall();
    let mut stay = Vec::new();
    for n in 0..120 {
        let mut client = world.client();
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
    assert!(
        since.elapsed().as_millis() > 1_000,
        "{:?} for six calls",
        since.elapsed()
    );
}

#[test]
fn a_node_that_discovery_says_nothing_to_serves_within_ten_seconds_and_says_that_it_is_blind() {
    let mut world = World::with(pushed);
    let since = std::time::Instant::now();
    let mut client = world.client();
    client.send(HEALTH).expect("discovery has not spoken\n");
    world.expect_log("serving-stale-list ");
    client.send(HEALTH).expect("ok\n");
    assert!(since.elapsed().as_secs() < 10, "{:?}", since.elapsed());
}

// ---- A connection that closes at any byte ----

#[test]
fn an_answer_that_is_cut_at_any_byte_is_a_failure_that_ran_once_and_a_whole_one_passes() {
    let world = World::with(|config| with_payouts(config, &[]));
    let whole =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npai\r\n1\r\nd\r\n0\r\n\r\n";
    let ways: [fn(Line); 2] = [Line::close, Line::reset];
    for cut in 0..=whole.len() {
        for (way, end) in ways.iter().enumerate() {
            let mut client = world.client();
            client.send(&payout(&format!("cut{cut}-{way}")));
            let mut backend = world.backend.wait();
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
            assert!(world.backend.is_quiet(), "it went out again, cut at {cut}");
        }
    }
}

#[test]
fn a_request_that_is_cut_at_any_byte_goes_nowhere_and_holds_up_nobody() {
    let world = World::start();
    let whole = report("cut", 5000);
    let ways: [fn(Line); 2] = [Line::close, Line::reset];
    for cut in 0..whole.len() {
        let mut client = world.client();
        client.send(&whole[..cut]);
        ways[cut % 2](client);
    }
    world.turn();
    serve_next(&world, "next");
    assert!(world.backend.is_quiet());
}

// ---- Settings of other customers ----

#[test]
fn whatever_the_settings_allow_starts_serves_and_ends() {
    type Change = (&'static str, &'static str, String);
    let many = |count: usize| {
        let names: Vec<String> = (0..count)
            .map(|n| format!(r#"{{"name":"t{n}"}}"#))
            .collect();
        format!(r#"{{"name":"acme","quotaPerS":9.0}},{}"#, names.join(","))
    };
    let changes: Vec<Change> = vec![
        ("deadlines of 150 ms", "5000000000", "150000000".into()),
        ("deadlines of 30 s", "5000000000", "30000000000".into()),
        (
            "forty tenants",
            r#"{"name":"acme","quotaPerS":9.0}"#,
            many(39),
        ),
        (
            "eight zones",
            r#""azs":["a"]"#,
            r#""azs":["b","c","d","e","f","g","h","a"],"zone":7"#.into(),
        ),
        (
            "one attempt",
            r#""maxAttempts":5"#,
            r#""maxAttempts":1"#.into(),
        ),
        (
            "nothing called off",
            r#""cancel":true"#,
            r#""cancel":false"#.into(),
        ),
        (
            "no advice",
            r#","maxRetryAfterNs":2000000000"#,
            String::new(),
        ),
        (
            "ticks of 1 us",
            r#""tickNs":5000000"#,
            r#""tickNs":1000"#.into(),
        ),
        (
            "ticks of 1 s",
            r#""tickNs":5000000"#,
            r#""tickNs":1000000000"#.into(),
        ),
        (
            "idle for 4 ms",
            r#""cancel":true"#,
            r#""cancel":true,"connIdleNs":4000000"#.into(),
        ),
        (
            "one held",
            r#""cancel":true"#,
            r#""cancel":true,"mostHeld":1"#.into(),
        ),
        (
            "no time for repeats",
            r#""windowNs":3000000000"#,
            r#""windowNs":0"#.into(),
        ),
        (
            "no grace",
            r#""drainGraceNs":1500000000"#,
            r#""drainGraceNs":0"#.into(),
        ),
        (
            "never cold",
            r#""coldNs":8800000000"#,
            r#""coldNs":0"#.into(),
        ),
        (
            "no worth",
            r#""importance":1.0"#,
            r#""importance":0"#.into(),
        ),
        (
            "300 nodes",
            r#""azs":["a"]"#,
            r#""azs":["a"],"siblings":300,"me":299"#.into(),
        ),
        (
            "the least descriptors",
            r#""sockets":128"#,
            r#""sockets":32"#.into(),
        ),
        ("the most of all", "5000000000", u64::MAX.to_string()),
        (
            "the most asking",
            r#""coldFrom""#,
            format!(r#""askWithinNs":{},"coldFrom""#, u64::MAX),
        ),
        (
            "the most memory",
            r#""sockets":128"#,
            format!(r#""sockets":128,"memory_mb":{}"#, u64::MAX >> 1),
        ),
    ];
    let play = |(name, old, new): &Change, mode: &str| {
        let mut world = World::with(|config| {
            assert!(config.contains(old), "{name}");
            config.replace(old, new).replace("subscribe", mode)
        });
        // Discovery turns its first call down.
        world
            .discovery
            .wait()
            .send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        let mut client = world.client();
        client.send(&report("any", 5000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "served");
        assert!(
            client.expect("served").starts_with("HTTP/1.1 200 "),
            "{name}"
        );
        world.terminate();
        world.expect_log("sigterm");
        drop((client, backend));
        assert_eq!(world.wait_exit().code(), Some(0), "{name}");
    };
    // Side by side: each takes the time in which a node that ends still takes clients.
    std::thread::scope(|scope| {
        for change in &changes {
            scope.spawn(|| ["subscribe", "automatic"].map(|mode| play(change, mode)));
        }
    });
}
