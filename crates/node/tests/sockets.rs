//! Scenarios over sockets, against the program as it is shipped.

mod common;
mod protocol_rules;
mod races;

use common::{
    HEALTH, StandIn, TestNode, WATCH, changes, chunk, endpoint_json, more_changes, report, run,
    slow_to_connect, with_backend,
};

#[test]
fn a_request_passes_unchanged_and_its_answer_too_on_one_connection_each() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("a1", 4900));
    let mut backend = node.backend.wait();
    let head = backend.expect("\r\n\r\nbody");
    assert!(head.starts_with("POST /api?n=a1 HTTP/1.1\r\n"), "{head}");
    for part in [
        "x-txn: a1\r\n",
        "idempotency-key: ka1\r\n",
        "x-remaining-ms: 4",
    ] {
        assert!(head.contains(part), "{head}");
    }
    backend.serve("200 OK", "played");
    let answer = client.expect("played");
    assert!(
        answer.starts_with("HTTP/1.1 200 OK\r\n") && !answer.contains("close"),
        "{answer}"
    );
    // In pieces, and over the same two connections.
    let second = report("a2", 5000);
    for piece in [&second[..9], &second[9..150], &second[150..]] {
        client.send(piece);
    }
    backend.expect("\r\n\r\nbody");
    backend.serve("200 OK", "again");
    client.expect("again");
}

#[test]
fn two_requests_in_one_write_are_answered_in_order() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&(report("b1", 5000) + &report("b2", 5000)));
    let mut backend = node.backend.wait();
    for (id, body) in [("b1", "first"), ("b2", "second")] {
        assert!(backend.expect("\r\n\r\nbody").contains(id));
        backend.serve("200 OK", body);
        client.expect(body);
    }
}

#[test]
fn what_can_not_be_a_request_is_answered_by_its_status_and_reaches_no_backend() {
    let node = TestNode::start();
    for (request, status, ends) in [
        (report("c", 99).replace("/api", "/other"), 404, false),
        (report("c", 99).replace("POST", "DELETE"), 405, false),
        (
            report("c", 99).replace("X-Org: acme", "X-Org: nobody"),
            400,
            false,
        ),
        (report("c", 99).replace("X-Txn: c\r\n", ""), 400, false),
        (
            report("c", 99).replace(": 4", ": 4\r\nTransfer-Encoding: chunked"),
            400,
            true,
        ),
        (
            report("c", 99).replace(": 4", ": 4\r\nContent-Length: 5"),
            400,
            true,
        ),
        (report("c", 99).replace(": 4", ": 70000"), 413, true),
        (
            report("c", 99).replace("acme", &"x".repeat(17_000)),
            431,
            true,
        ),
        ("nonsense\r\n\r\n".to_string(), 400, true),
    ] {
        let mut client = node.client();
        client.send(&request);
        let answer = client.expect("\r\n\r\n");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer} to {request:.40}"
        );
        assert_eq!(answer.contains("connection: close"), ends, "{answer}");
        if ends {
            client.expect_close();
        }
    }
    let mut client = node.client();
    client.send(&report("good", 5000));
    assert!(
        node.backend
            .wait()
            .expect("\r\n\r\n")
            .contains("x-txn: good")
    );
}

#[test]
fn a_client_that_waits_for_100_continue_gets_it_and_health_is_reported() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH).expect("200 OK");
    let request = report("d", 5000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_at(request.len() - 4);
    client.expect("ok\n");
    client.send(head).expect("HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    node.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn a_client_that_disconnects_ends_its_attempt() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("e", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn a_client_that_leaves_behind_a_full_inbox_takes_its_fetch_along_too() {
    // Its end can't be read while the inbox is full; the loop must neither miss it nor spin on it.
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("ee", 60_000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    client.send(&"x".repeat(17 * 1024));
    client.close();
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn a_connection_that_the_backend_gives_up_is_not_used_again() {
    let node = TestNode::start();
    let mut client = node.client();
    // They stay open here, so that only the node's own choice leads to the second one.
    let mut given_up = Vec::new();
    for body in ["one", "two"] {
        client.send(&report(body, 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", body);
        client.expect(body);
        given_up.push(backend);
    }
}

#[test]
fn what_never_reached_a_dead_backend_goes_elsewhere() {
    let dead = StandIn::new().address();
    let node = TestNode::with(|config| with_backend(config, "s-0", dead));
    let mut client = node.client();
    client.send(&report("m", 5000));
    let mut backend = node.backend.wait();
    for id in ["m", "n", "o", "p"] {
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&report(&((id.as_bytes()[0] + 1) as char).to_string(), 5000));
    }
}

#[test]
fn silent_clients_and_half_requests_are_closed_within_three_seconds_and_slow_bodies_are_served() {
    let node = TestNode::start();
    let request = report("w", 9000);
    let (head, body) = request.split_at(request.len() - 4);
    let since = std::time::Instant::now();
    let (mut silent, mut half, mut bodiless, mut slow) =
        (node.client(), node.client(), node.client(), node.client());
    half.send(&head[..40]);
    bodiless.send(head);
    slow.send(head);
    // A byte at a time, each well before the pause that counts as an end; all in all it takes
    // longer.
    for byte in body[..3].bytes() {
        std::thread::sleep(std::time::Duration::from_millis(900));
        slow.send(&char::from(byte).to_string());
    }
    assert!(half.expect_close().starts_with("HTTP/1.1 408 "));
    assert!(bodiless.expect_close().starts_with("HTTP/1.1 408 "));
    assert_eq!(silent.expect_close(), "");
    assert!(since.elapsed().as_secs() < 4, "{:?}", since.elapsed());
    slow.send(&body[3..]);
    node.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn when_client_connections_run_out_the_one_idle_for_longest_closes() {
    let node = TestNode::start();
    // 128 descriptors less 20 for the rest, and a quarter of those are kept for backends.
    let mut clients: Vec<_> = (0..82).map(|_| node.client()).collect();
    let mut newest = clients.pop().unwrap();
    newest.send(HEALTH).expect("ok\n");
    assert_eq!(clients[0].expect_close(), "");
}

#[test]
fn a_flood_of_clients_that_send_once_or_never_evicts_none_that_has_come_back() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    client.send(HEALTH).expect("ok\n");
    let mut flood: Vec<_> = (0..120).map(|_| node.client()).collect();
    for once in flood.iter_mut().skip(100) {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
}

#[test]
fn clients_that_send_once_and_stay_do_not_fill_their_share() {
    // A third of the 128 descriptors is all that clients may hold; then others can't come.
    let node = TestNode::start();
    let since = std::time::Instant::now();
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    let mut once: Vec<_> = (0..42).map(|_| node.client()).collect();
    for once in &mut once {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
    // The oldest are closed until a quarter is left, which all stay.
    for closed in &mut once[..11] {
        assert_eq!(closed.expect_close(), "");
    }
    assert!(since.elapsed().as_secs() < 5, "{:?}", since.elapsed());
    for kept in once[11..].iter_mut().chain([&mut client]) {
        kept.send(HEALTH).expect("ok\n");
    }
}

#[test]
fn the_limit_of_descriptors_holds_and_what_backends_need_is_there() {
    let node = TestNode::with(|config| config.replace(r#""sockets":128"#, r#""sockets":64"#));
    let mut first = node.client();
    first.send(&report("x0", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // Silent ones take all that clients may have; a connection with a request is none of those closed.
    let mut flood: Vec<_> = (0..100).map(|_| node.client()).collect();
    flood[99].send(HEALTH).expect("ok\n");
    assert!(
        (40..=64).contains(&node.descriptors()),
        "{}",
        node.descriptors()
    );
    backend.serve("200 OK\r\nConnection: close", "one");
    first.expect("one");
    // A new connection to a backend still finds a descriptor.
    first.send(&report("x1", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "two");
    first.expect("two");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn idle_connections_close_when_their_backend_drains() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("q", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "played");
    client.expect("played");
    let leaving = endpoint_json("s-1", node.backend.address(), "Terminating");
    node.discovery.wait().send(&changes(8, &[leaving]));
    assert_eq!(backend.expect_close(), "");
}

#[test]
fn an_attempt_that_is_not_connected_when_its_backend_drains_goes_elsewhere() {
    // Its first byte could come after the grace. The connection's own time limit is far off here.
    let (full, _queued) = StandIn::full();
    let node = TestNode::with(|config| slow_to_connect(config, full.address()));
    let mut watch = node.discovery.wait();
    let mut client = node.client();
    client.send(&report("r", 5000));
    // Once this later message is answered, the request has been forwarded.
    node.wait_for_iteration();
    let leaving = endpoint_json("s-0", full.address(), "Terminating");
    watch.send(&changes(
        8,
        &[
            leaving,
            endpoint_json("s-1", node.backend.address(), "Ready"),
        ],
    ));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    node.expect_log("discovery-failed silent");
    node.discovery.wait().expect("after=7 ");
}

#[test]
fn the_name_of_an_open_request_is_rejected_and_what_a_backend_rejects_is_tried_once() {
    let node = TestNode::start();
    let (mut client, mut duplicate) = (node.client(), node.client());
    client.send(&report("t", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    duplicate.send(&report("t", 5000));
    assert!(duplicate.expect("is open\n").starts_with("HTTP/1.1 409 "));
    // Ten faulty requests: were the backend blamed, it would be ejected, and each would be retried.
    for id in 0..10 {
        backend.serve("400 Bad Request", "unknown");
        assert!(client.expect("unknown").starts_with("HTTP/1.1 400 "));
        client.send(&report(&format!("t{id}"), 5000));
        assert!(
            backend
                .expect("body")
                .contains(&format!("x-txn: t{id}\r\n"))
        );
    }
    backend.serve("200 OK", "played");
    client.expect("played");
}

#[test]
fn a_backend_that_is_silent_costs_a_504_in_time_and_its_connection() {
    let node = TestNode::start();
    let mut client = node.client();
    let since = std::time::Instant::now();
    client.send(&report("f", 300));
    let mut backend = node.backend.wait();
    backend.expect("body");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    assert!(since.elapsed().as_millis() >= 290, "never early");
    backend.expect_close();
}

/// More backends beside the usual one, and a class that must never be executed twice, whose requests
/// carry no key.
fn with_payouts(config: String, backends: &[(&str, std::net::SocketAddr)]) -> String {
    let more: Vec<String> = backends
        .iter()
        .map(|(uid, at)| endpoint_json(uid, *at, "Ready") + ",")
        .collect();
    config
        .replace(r#""targets":["#, &format!(r#""targets":[{}"#, more.concat()))
        .replace(
            r#""grades":["#,
            r#""grades":[{"name":"payout","effect":"once","goalTimeNs":400000000,"giveUpNs":800000000,
                "importance":8.0},{"name":"check","effect":"repeatable","goalTimeNs":2000000000,
                "giveUpNs":4000000000,"importance":3.0},"#,
        )
        .replace(r#""cancel":true"#, r#""cancel":true,"connectTimeoutNs":50000000"#)
}

fn payout(id: &str) -> String {
    report(id, 800)
        .replace("X-Lane: report", "X-Lane: payout")
        .replace(&format!("Idempotency-Key: k{id}\r\n"), "")
}

fn check(id: &str) -> String {
    format!(
        "GET /api?n={id} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {id}\r\nX-Lane: check\r\nX-Org: acme\r\n\
         X-Remaining-Ms: 4000\r\n\r\n"
    )
}

#[test]
fn a_silent_backend_costs_a_payout_and_a_check_is_retried_elsewhere() {
    let swallows = StandIn::new();
    let node = TestNode::with(|config| {
        // Only the swallowing one is known at first, so that it is what both classes meet.
        let known = with_payouts(config, &[("s-0", swallows.address())]);
        let position = known.find(r#"{"uid":"s-1""#).unwrap();
        let end = position + known[position..].find('}').unwrap();
        known[..position].trim_end_matches(',').to_string() + &known[end + 1..]
    });
    let mut discovery = node.discovery.wait();
    discovery.expect("\r\n\r\n");
    let mut client = node.client();
    // It works at first: five requests pay for one retry.
    client.send(&check("c0"));
    let mut silent = swallows.wait();
    for id in ["c0", "c1", "c2", "c3", "c4"] {
        assert!(
            silent
                .expect("\r\n\r\n")
                .contains(&format!("x-txn: {id}\r\n"))
        );
        silent.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&if id == "c4" {
            payout("p1")
        } else {
            check(&format!("c{}", id[1..].parse::<u8>().unwrap() + 1))
        });
    }
    assert!(silent.expect("body").contains("x-txn: p1\r\n"));
    // What may have run is a failure and never a refusal, and its connection is given up.
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    silent.expect_close();
    client.send(&check("c5"));
    let mut silent = swallows.wait();
    silent.expect("\r\n\r\n");
    discovery.send(&changes(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Ready")],
    ));
    // Its attempt is called off: the connection closes, and only then does it go elsewhere.
    silent.expect_close();
    let mut backend = node.backend.wait();
    assert!(backend.expect("\r\n\r\n").contains("x-txn: c5\r\n"));
    backend.serve("200 OK", "eligible");
    client.expect("eligible");
    assert!(swallows.is_quiet());
}

#[test]
fn a_payout_that_finds_a_vanished_backend_is_not_executed_and_goes_elsewhere() {
    let (vanished, _full) = StandIn::full();
    let node = TestNode::with(|config| with_payouts(config, &[("s-0", vanished.address())]));
    let mut client = node.client();
    let mut backend = None;
    for id in ["p1", "p2", "p3", "p4"] {
        client.send(&payout(id));
        let backend = backend.get_or_insert_with(|| node.backend.wait());
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn a_long_answer_passes_whole_and_an_endless_one_is_a_failure() {
    let node = TestNode::start();
    let mut client = node.client();
    let long = "y".repeat(400_000) + "end";
    client.send(&report("u", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", &long);
    assert!(
        client
            .expect("yend")
            .contains(&format!("content-length: {}\r\n", long.len()))
    );
    client.send(&report("v", 300));
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
    backend.expect_close();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_truncated_answer_never_looks_whole() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("g", 400));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    backend.close();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.contains("503"), "it may have run: no refusal");
}

#[test]
fn without_a_backend_a_request_is_rejected_with_retry_after() {
    let node =
        TestNode::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut client = node.client();
    client.send(HEALTH).expect("503 Service Unavailable");
    client.send(&report("h", 100));
    let answer = client.expect("harmless\n");
    assert!(
        answer.contains("503 ") && answer.contains("retry-after: 2\r\n"),
        "{answer}"
    );
}

#[test]
fn the_watch_is_resumed_after_a_bad_line_and_moves_requests_to_new_backends() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    assert!(
        watch
            .expect("\r\n\r\n")
            .starts_with("GET /catalog/members?watch=1&after=7 HTTP/1.1\r\n")
    );
    let other = StandIn::new();
    let change = endpoint_json("s-1", node.backend.address(), "Terminating")
        + ","
        + &endpoint_json("s-2", other.address(), "Ready");
    let line = format!(
        "{{\"rev\":9,\"all\":false,\"targets\":[{}]}}\n",
        change.replace('\n', "")
    );
    // Cut in the middle: a line is read when its end has come.
    let (one, two) = line.split_at(60);
    watch
        .send(WATCH)
        .send(&chunk("\n"))
        .send(&chunk(one))
        .send(&chunk(two))
        .send(&chunk("{\"rev\":}\n"));
    node.expect_log("discovery-failed not JSON");
    watch.expect_close();
    let mut again = node.discovery.wait();
    assert!(again.expect("\r\n\r\n").contains("after=9 "));
    let mut client = node.client();
    client.send(&report("i", 5000));
    let mut backend = other.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

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
        backend.serve("200 OK", "told");
        client.expect("told");
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
fn a_node_whose_discovery_is_down_overloaded_or_silent_at_start_serves_from_the_list_it_was_given()
{
    for answer in [
        None,
        Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        Some(""),
    ] {
        let node = TestNode::start();
        let mut call = node.discovery.wait();
        call.expect("after=7 ");
        match answer {
            Some(answer) => drop(call.send(answer)),
            None => call.close(),
        }
        let mut client = node.client();
        client.send(HEALTH).expect("ok\n");
        client.send(&report("u", 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        if answer != Some("") {
            node.discovery.wait().expect("after=7 ");
        }
    }
}

#[test]
fn a_change_of_many_backends_that_breaks_off_leaves_the_old_list_until_it_comes_whole() {
    let mut node = TestNode::start();
    let elsewhere = StandIn::new();
    // Thousands that come and go beside the one that counts.
    let mut entries: Vec<String> = (0..5000)
        .map(|n| endpoint_json(&format!("x-{n}"), elsewhere.address(), "Gone"))
        .collect();
    entries.push(endpoint_json("s-1", node.backend.address(), "Terminating"));
    entries.push(endpoint_json("s-2", elsewhere.address(), "Ready"));
    let whole = changes(9, &entries);
    let mut watch = node.discovery.wait();
    watch.send(&whole[..whole.len() / 2]);
    watch.close();
    let log = node.expect_log("discovery-failed");
    assert_eq!(log.matches("discovery-failed").count(), 1, "{log}");
    let mut client = node.client();
    client.send(&report("v1", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "old");
    client.expect("old");
    let mut again = node.discovery.wait();
    again.expect("after=7 ");
    again.send(&whole);
    // Its idle connection ends once the change is taken.
    backend.expect_close();
    client.send(&report("v2", 5000));
    let mut backend = elsewhere.wait();
    backend.expect("body");
    backend.serve("200 OK", "new");
    client.expect("new");
}

#[test]
fn a_backend_that_comes_back_at_its_address_under_a_new_uid_gets_a_new_connection() {
    let node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH);
    let mut client = node.client();
    for (rev, old, new) in [(8, "s-1", "s-2"), (9, "s-2", "s-3")] {
        client.send(&report(new, 5000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", new);
        client.expect(new);
        let address = node.backend.address();
        watch.send(&more_changes(
            rev,
            &[
                endpoint_json(old, address, "Gone"),
                endpoint_json(new, address, "Ready"),
            ],
        ));
        backend.expect_close();
    }
    client.send(&report("last", 5000));
    node.backend.wait().expect("x-txn: last\r\n");
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
