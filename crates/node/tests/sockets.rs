//! Scenarios over sockets, against the program as it is shipped.

mod common;
mod crossings;
mod terms;

use common::{
    HEALTH, Party, WATCH, World, and, changes, chunk, entry, more_changes, report, run,
    slow_to_connect,
};

#[test]
fn a_req_passes_unchanged_and_its_answer_too_on_one_connection_each() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("a1", 4900));
    let mut backend = world.backend.wait();
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
fn two_requests_in_one_write_are_answered_in_turn() {
    let world = World::start();
    let mut client = world.client();
    client.send(&(report("b1", 5000) + &report("b2", 5000)));
    let mut backend = world.backend.wait();
    for (id, body) in [("b1", "first"), ("b2", "second")] {
        assert!(backend.expect("\r\n\r\nbody").contains(id));
        backend.serve("200 OK", body);
        client.expect(body);
    }
}

#[test]
fn what_can_not_be_a_req_is_answered_by_its_status_and_reaches_no_backend() {
    let world = World::start();
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
        let mut client = world.client();
        client.send(&request);
        let answer = client.expect("\r\n\r\n");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer} to {request:.40}"
        );
        assert_eq!(answer.contains("connection: close"), ends, "{answer}");
        if ends {
            client.expect_end();
        }
    }
    let mut client = world.client();
    client.send(&report("good", 5000));
    assert!(
        world
            .backend
            .wait()
            .expect("\r\n\r\n")
            .contains("x-txn: good")
    );
}

#[test]
fn a_client_that_waits_for_leave_gets_it_and_health_is_told() {
    let world = World::start();
    let mut client = world.client();
    client.send(HEALTH).expect("200 OK");
    let request = report("d", 5000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_at(request.len() - 4);
    client.expect("ok\n");
    client.send(head).expect("HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    world.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn a_client_that_leaves_takes_its_fetch_along() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("e", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    client.close();
    assert_eq!(backend.expect_end(), "");
}

#[test]
fn a_client_that_leaves_behind_a_full_inbox_takes_its_fetch_along_too() {
    // Its end can't be read while the inbox is full; the loop must neither miss it nor spin on it.
    let world = World::start();
    let mut client = world.client();
    client.send(&report("ee", 60_000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    client.send(&"x".repeat(17 * 1024));
    client.close();
    assert_eq!(backend.expect_end(), "");
}

#[test]
fn a_connection_that_the_backend_gives_up_is_not_used_again() {
    let world = World::start();
    let mut client = world.client();
    // They stay open here, so that only the node's own choice leads to the second one.
    let mut given_up = Vec::new();
    for body in ["one", "two"] {
        client.send(&report(body, 5000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", body);
        client.expect(body);
        given_up.push(backend);
    }
}

#[test]
fn what_never_reached_a_dead_backend_goes_elsewhere() {
    let dead = Party::new().address();
    let world = World::with(|config| and(config, "s-0", dead));
    let mut client = world.client();
    client.send(&report("m", 5000));
    let mut backend = world.backend.wait();
    for id in ["m", "n", "o", "p"] {
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
        client.send(&report(&((id.as_bytes()[0] + 1) as char).to_string(), 5000));
    }
}

#[test]
fn silent_clients_and_half_requests_are_gone_within_three_seconds_and_slow_bodies_are_served() {
    let world = World::start();
    let request = report("w", 9000);
    let (head, body) = request.split_at(request.len() - 4);
    let since = std::time::Instant::now();
    let (mut silent, mut half, mut bodiless, mut slow) = (
        world.client(),
        world.client(),
        world.client(),
        world.client(),
    );
    half.send(&head[..40]);
    bodiless.send(head);
    slow.send(head);
    // A byte at a time, each well before the pause that counts as an end; all in all it takes
    // longer.
    for byte in body[..3].bytes() {
        std::thread::sleep(std::time::Duration::from_millis(900));
        slow.send(&char::from(byte).to_string());
    }
    assert!(half.expect_end().starts_with("HTTP/1.1 408 "));
    assert!(bodiless.expect_end().starts_with("HTTP/1.1 408 "));
    assert_eq!(silent.expect_end(), "");
    assert!(since.elapsed().as_secs() < 4, "{:?}", since.elapsed());
    slow.send(&body[3..]);
    world.backend.wait().expect("\r\n\r\nbody");
}

#[test]
fn when_sessions_run_out_the_one_idle_for_longest_closes() {
    let world = World::start();
    // 128 descriptors less 20 for the rest, and a quarter of those are kept for backends.
    let mut clients: Vec<_> = (0..82).map(|_| world.client()).collect();
    let mut newest = clients.pop().unwrap();
    newest.send(HEALTH).expect("ok\n");
    assert_eq!(clients[0].expect_end(), "");
}

#[test]
fn a_flood_of_clients_that_ask_once_or_never_pushes_out_none_that_has_come_back() {
    let world = World::start();
    let mut client = world.client();
    client.send(HEALTH).expect("ok\n");
    client.send(HEALTH).expect("ok\n");
    let mut flood: Vec<_> = (0..120).map(|_| world.client()).collect();
    for once in flood.iter_mut().skip(100) {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
}

#[test]
fn clients_that_ask_once_and_stay_do_not_fill_their_share() {
    // A third of the 128 descriptors is all that clients may hold; then others can't come.
    let world = World::start();
    let since = std::time::Instant::now();
    let mut client = world.client();
    client.send(HEALTH).expect("ok\n");
    let mut once: Vec<_> = (0..42).map(|_| world.client()).collect();
    for once in &mut once {
        once.send(HEALTH).expect("ok\n");
    }
    client.send(HEALTH).expect("ok\n");
    // The oldest go until a quarter is left, none of which has gone.
    for gone in &mut once[..11] {
        assert_eq!(gone.expect_end(), "");
    }
    assert!(since.elapsed().as_secs() < 5, "{:?}", since.elapsed());
    for kept in once[11..].iter_mut().chain([&mut client]) {
        kept.send(HEALTH).expect("ok\n");
    }
}

#[test]
fn the_limit_of_descriptors_holds_and_what_backends_need_is_there() {
    let world = World::with(|config| config.replace(r#""sockets":128"#, r#""sockets":64"#));
    let mut first = world.client();
    first.send(&report("x0", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    // Silent ones take all that clients may have; a session with a req is none of those that close.
    let mut flood: Vec<_> = (0..100).map(|_| world.client()).collect();
    flood[99].send(HEALTH).expect("ok\n");
    assert!(
        (40..=64).contains(&world.descriptors()),
        "{}",
        world.descriptors()
    );
    backend.serve("200 OK\r\nConnection: close", "one");
    first.expect("one");
    // A new connection to a backend still finds a descriptor.
    first.send(&report("x1", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "two");
    first.expect("two");
    assert!(world.descriptors() <= 64, "{}", world.descriptors());
}

#[test]
fn idle_connections_close_at_the_notice_of_a_drain() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("q", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "played");
    client.expect("played");
    let leaving = entry("s-1", world.backend.address(), "Terminating");
    world.discovery.wait().send(&changes(8, &[leaving]));
    assert_eq!(backend.expect_end(), "");
}

#[test]
fn a_fetch_that_is_not_connected_when_its_backend_drains_goes_elsewhere() {
    // Its first byte could come after the grace. The connection's own time limit is far off here.
    let (full, _queued) = Party::full();
    let world = World::with(|config| slow_to_connect(config, full.address()));
    let mut watch = world.discovery.wait();
    let mut client = world.client();
    client.send(&report("r", 5000));
    // Once this later message is answered, the req has been sent on.
    world.turn();
    let leaving = entry("s-0", full.address(), "Terminating");
    watch.send(&changes(
        8,
        &[leaving, entry("s-1", world.backend.address(), "Ready")],
    ));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew() {
    let mut world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    world.expect_log("discovery-failed silent");
    world.discovery.wait().expect("after=7 ");
}

#[test]
fn the_name_of_an_open_req_is_refused_and_what_a_backend_rejects_is_tried_once() {
    let world = World::start();
    let (mut client, mut twin) = (world.client(), world.client());
    client.send(&report("t", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    twin.send(&report("t", 5000));
    assert!(twin.expect("is open\n").starts_with("HTTP/1.1 409 "));
    // Ten faulty reqs: were the backend blamed, it would be ejected, and each would be tried again.
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
    let world = World::start();
    let mut client = world.client();
    let since = std::time::Instant::now();
    client.send(&report("f", 300));
    let mut backend = world.backend.wait();
    backend.expect("body");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 504 "));
    assert!(since.elapsed().as_millis() >= 290, "never early");
    backend.expect_end();
}

/// The played backends beside the usual one, and a class that must never run twice, whose reqs
/// carry no key.
fn with_payouts(config: String, backends: &[(&str, std::net::SocketAddr)]) -> String {
    let more: Vec<String> = backends
        .iter()
        .map(|(uid, at)| entry(uid, *at, "Ready") + ",")
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
fn a_swallowing_backend_costs_a_payout_and_a_check_goes_on_to_another() {
    let swallows = Party::new();
    let world = World::with(|config| {
        // Only the swallowing one is known at first, so that it is what both classes meet.
        let known = with_payouts(config, &[("s-0", swallows.address())]);
        let usual = known.find(r#"{"uid":"s-1""#).unwrap();
        let end = usual + known[usual..].find('}').unwrap();
        known[..usual].trim_end_matches(',').to_string() + &known[end + 1..]
    });
    let mut discovery = world.discovery.wait();
    discovery.expect("\r\n\r\n");
    let mut client = world.client();
    // It is sound at first: five reqs pay for one that is tried again.
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
    silent.expect_end();
    client.send(&check("c5"));
    let mut silent = swallows.wait();
    silent.expect("\r\n\r\n");
    discovery.send(&changes(
        8,
        &[entry("s-1", world.backend.address(), "Ready")],
    ));
    // Its attempt is called off: the connection closes, and only then does it go elsewhere.
    silent.expect_end();
    let mut backend = world.backend.wait();
    assert!(backend.expect("\r\n\r\n").contains("x-txn: c5\r\n"));
    backend.serve("200 OK", "eligible");
    client.expect("eligible");
    assert!(swallows.is_quiet());
}

#[test]
fn a_payout_that_finds_a_vanished_backend_never_ran_and_is_paid_elsewhere() {
    let (vanished, _full) = Party::full();
    let world = World::with(|config| with_payouts(config, &[("s-0", vanished.address())]));
    let mut client = world.client();
    let mut backend = None;
    for id in ["p1", "p2", "p3", "p4"] {
        client.send(&payout(id));
        let backend = backend.get_or_insert_with(|| world.backend.wait());
        assert!(backend.expect("body").contains(&format!("x-txn: {id}\r\n")));
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
}

#[test]
fn a_long_answer_passes_whole_and_an_endless_one_is_a_failure() {
    let world = World::start();
    let mut client = world.client();
    let long = "y".repeat(400_000) + "end";
    client.send(&report("u", 5000));
    let mut backend = world.backend.wait();
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
    backend.expect_end();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_truncated_answer_never_looks_whole() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("g", 400));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    backend.close();
    let answer = client.expect("\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.contains("503"), "it may have run: no refusal");
}

#[test]
fn without_a_backend_a_req_is_refused_with_advice() {
    let world =
        World::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut client = world.client();
    client.send(HEALTH).expect("503 Service Unavailable");
    client.send(&report("h", 100));
    let answer = client.expect("harmless\n");
    assert!(
        answer.contains("503 ") && answer.contains("retry-after: 2\r\n"),
        "{answer}"
    );
}

#[test]
fn the_watch_is_resumed_after_a_bad_line_and_moves_reqs_to_new_backends() {
    let mut world = World::start();
    let mut watch = world.discovery.wait();
    assert!(
        watch
            .expect("\r\n\r\n")
            .starts_with("GET /catalog/members?watch=1&after=7 HTTP/1.1\r\n")
    );
    let other = Party::new();
    let change = entry("s-1", world.backend.address(), "Terminating")
        + ","
        + &entry("s-2", other.address(), "Ready");
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
    world.expect_log("discovery-failed not JSON");
    watch.expect_end();
    let mut again = world.discovery.wait();
    assert!(again.expect("\r\n\r\n").contains("after=9 "));
    let mut client = world.client();
    client.send(&report("i", 5000));
    let mut backend = other.wait();
    backend.expect("body");
    backend.serve("200 OK", "elsewhere");
    client.expect("elsewhere");
}

#[test]
fn sigterm_is_followed_to_the_end_of_every_req() {
    let mut world = World::start();
    let (mut busy, mut idle) = (world.client(), world.client());
    busy.send(&report("j", 3300));
    let mut backend = world.backend.wait();
    backend.expect("body");
    idle.send(HEALTH).expect("ok\n");
    world.terminate();
    world.expect_log("sigterm");
    // New clients and old ones are served for a while, and told to go.
    let mut late = world.client();
    late.send(&report("k", 3300));
    assert_eq!(idle.expect_end(), "");
    for (client, body) in [(&mut busy, "done"), (&mut late, "late")] {
        backend.serve("200 OK", body);
        assert!(client.expect(body).contains("connection: close\r\n"));
        client.expect_end();
        if body == "done" {
            backend.expect("body");
        }
    }
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn sighup_moves_the_watch_at_once_and_leaves_list_reqs_and_sessions_alone() {
    let mut world = World::start();
    let mut client = world.client();
    client.send(&report("s", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    let mut watch = world.discovery.wait();
    let old = world.discovery.address().to_string();
    // Twice, and each time to a place of its own. The environment still has the first.
    for next in [Party::new(), Party::new()] {
        world.reload(|config| config.replace(&old, &next.address().to_string()));
        let mut new = next.wait();
        new.expect("after=7 ");
        watch.expect_end();
        watch = new;
    }
    world.reload(|config| config.replace("\"discovery\"", "\"dicovery\""));
    let log = world.expect_log("reload-failed configuration: missing field `discovery`");
    assert!(
        !log.contains("discovery-failed") && !log.contains("out of reach"),
        "{log}"
    );
    backend.serve("200 OK", "played");
    client.expect("played");
    client.send(HEALTH).expect("ok\n");
    // A reload and an end that come together are both followed.
    let last = Party::new();
    world.reload(|config| config.replace(&old, &last.address().to_string()));
    world.terminate();
    last.wait().expect("after=7 ");
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn sighup_does_not_wait_for_a_backoff_and_the_backoff_opens_no_second_watch() {
    let mut world = World::with(|config| {
        config.replace(r#""coldFrom""#, r#""askWithinNs":20000000000,"coldFrom""#)
    });
    // The decisions wait half a second or more before they ask again.
    let old = world.discovery.address().to_string();
    world.discovery.wait().close();
    world.expect_log("list out of reach");
    let next = Party::new();
    world.reload(|config| config.replace(&old, &next.address().to_string()));
    let mut watch = next.wait();
    watch.expect("after=7 ");
    world.expect_log("reload discovery=");
    // The backoff has passed when this silence has, and the next one has not.
    watch.send(WATCH).send("1\r\n\n\r\n");
    world.expect_log("discovery-failed silent");
    watch.expect_end();
    assert!(next.is_quiet());
}

#[test]
fn the_trace_tells_each_event_and_decision_where_it_is_asked_for_and_else_nothing() {
    for (value, traced) in [("1", true), ("0", false)] {
        let world = World::told(|config| config, &[("BALANCER_TRACE", value)]);
        let mut client = world.client();
        client.send(&report("t1", 5000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "told");
        client.expect("told");
        let log = world.last_log();
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
fn a_node_whose_discovery_is_down_busy_or_silent_at_start_serves_from_the_list_it_was_given() {
    for answer in [
        None,
        Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        Some(""),
    ] {
        let world = World::start();
        let mut call = world.discovery.wait();
        call.expect("after=7 ");
        match answer {
            Some(answer) => drop(call.send(answer)),
            None => call.close(),
        }
        let mut client = world.client();
        client.send(HEALTH).expect("ok\n");
        client.send(&report("u", 5000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", "served");
        client.expect("served");
        if answer != Some("") {
            world.discovery.wait().expect("after=7 ");
        }
    }
}

#[test]
fn a_change_of_many_backends_that_breaks_off_leaves_the_old_list_until_it_comes_whole() {
    let mut world = World::start();
    let elsewhere = Party::new();
    // Thousands that come and go beside the one that counts.
    let mut entries: Vec<String> = (0..5000)
        .map(|n| entry(&format!("x-{n}"), elsewhere.address(), "Gone"))
        .collect();
    entries.push(entry("s-1", world.backend.address(), "Terminating"));
    entries.push(entry("s-2", elsewhere.address(), "Ready"));
    let whole = changes(9, &entries);
    let mut watch = world.discovery.wait();
    watch.send(&whole[..whole.len() / 2]);
    watch.close();
    let log = world.expect_log("discovery-failed");
    assert_eq!(log.matches("discovery-failed").count(), 1, "{log}");
    let mut client = world.client();
    client.send(&report("v1", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "old");
    client.expect("old");
    let mut again = world.discovery.wait();
    again.expect("after=7 ");
    again.send(&whole);
    // Its idle connection ends once the change is taken.
    backend.expect_end();
    client.send(&report("v2", 5000));
    let mut backend = elsewhere.wait();
    backend.expect("body");
    backend.serve("200 OK", "new");
    client.expect("new");
}

#[test]
fn a_backend_that_comes_back_at_its_address_under_a_new_uid_gets_a_new_connection() {
    let world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH);
    let mut client = world.client();
    for (rev, old, new) in [(8, "s-1", "s-2"), (9, "s-2", "s-3")] {
        client.send(&report(new, 5000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK", new);
        client.expect(new);
        let address = world.backend.address();
        watch.send(&more_changes(
            rev,
            &[entry(old, address, "Gone"), entry(new, address, "Ready")],
        ));
        backend.expect_end();
    }
    client.send(&report("last", 5000));
    world.backend.wait().expect("x-txn: last\r\n");
}

#[test]
fn a_bad_configuration_is_one_line_and_no_start() {
    let mut node = run(r#"{"seed":"1"}"#, &[]);
    let mut line = String::new();
    std::io::Read::read_to_string(&mut node.stderr.take().unwrap(), &mut line).unwrap();
    assert_eq!(
        line,
        "kitefork: fault configuration: missing field `settings`\n"
    );
    assert_eq!(node.wait().unwrap().code(), Some(2));
}
