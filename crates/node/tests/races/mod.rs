//! Races: two events that meet in one iteration of the node's loop. Each is forced: the node is
//! stopped, the events are put on the sockets in the order that hurts, and the node goes on. The list
//! of all races is in `docs/design/`.

mod delays;
mod shutdown;

use std::time::{Duration, Instant};

use crate::common::{
    Connection, HEALTH, StandIn, TestNode, WATCH, changes, chunk, endpoint_json, header,
    more_changes, pass, report, slow_to_connect, until, with_backend,
};

/// A client has one request answered, so that the node has an idle connection to the backend.
fn with_idle_connection(node: &TestNode, id: &str) -> (Connection, Connection) {
    let mut client = node.client();
    client.send(&report(id, 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "warm");
    client.expect("warm");
    (client, backend)
}

/// The next request that reaches the backend on a new connection is this one, and nothing came
/// before it.
fn serve_next(node: &TestNode, id: &str) {
    let mut client = node.client();
    client.send(&report(id, 5000));
    let mut backend = node.backend.wait();
    let head = backend.expect("body");
    assert!(head.contains(&format!("x-txn: {id}\r\n")), "{head}");
    backend.serve("200 OK", id);
    client.expect(&format!("\r\n\r\n{id}"));
}

// ---- Requests of clients that have disconnected are not forwarded ----

#[test]
fn a_client_that_left_during_a_stall_is_not_sent_on_for_however_it_left() {
    type Leave = fn(Connection);
    let half_close: Leave = |mut connection| {
        connection.half_close();
        std::mem::forget(connection);
    };
    for (way, leave) in [
        ("close", Connection::close as Leave),
        ("reset", Connection::reset),
        ("half", half_close),
    ] {
        let node = TestNode::start();
        // One connection stands before the stall, the other waits in the accept queue.
        let mut known = node.client();
        known.send(HEALTH).expect("ok\n");
        node.stall();
        let mut queued = node.client();
        known.send(&report("left1", 5000));
        queued.send(&report("left2", 5000));
        leave(known);
        leave(queued);
        node.resume();
        serve_next(&node, way);
        assert!(node.backend.is_quiet(), "{way}");
    }
}

#[test]
fn the_request_of_a_client_that_left_behind_more_than_the_buffer_holds_is_not_forwarded() {
    let node = TestNode::start();
    node.stall();
    let mut queued = node.client();
    queued.send(&(report("left", 5000) + &"x".repeat(40 * 1024)));
    queued.close();
    node.resume();
    serve_next(&node, "next");
    assert!(node.backend.is_quiet());
}

#[test]
fn the_next_message_of_a_client_that_left_behind_its_answer_is_not_forwarded() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("first", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    node.stall();
    client.send(&report("second", 5000));
    backend.serve("200 OK", "served");
    client.close();
    node.resume();
    let mut other = node.client();
    other.send(&report("other", 5000));
    // The connection is closed with the client; or, where the answer is seen before the leave, it
    // carries the other one's.
    let head = backend
        .expect_or_close("body")
        .unwrap_or_else(|| node.backend.wait().expect("body"));
    assert!(head.contains("x-txn: other\r\n"), "{head}");
    assert!(node.backend.is_quiet());
}

#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_second_one() {
    let other = StandIn::new();
    let node = TestNode::with(|config| with_backend(config, "s-0", other.address()));
    let mut client = node.client();
    client.send(&report("left", 5000));
    // Whichever it is sent to turns it away.
    let (mut first, second) = until(|| {
        let one = node.backend.poll().map(|connection| (connection, &other));
        one.or_else(|| other.poll().map(|connection| (connection, &node.backend)))
    });
    first.expect("body");
    node.stall();
    first.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    client.close();
    node.resume();
    node.wait_for_iteration();
    assert!(second.is_quiet());
}

#[test]
fn the_request_of_a_client_that_left_while_it_was_queued_is_not_forwarded_when_a_backend_comes() {
    let node =
        TestNode::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut watch = node.discovery.wait();
    watch.expect("\r\n\r\n");
    let mut client = node.client();
    client.send(&report("left", 5000));
    node.wait_for_iteration();
    node.stall();
    watch.send(&changes(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Ready")],
    ));
    client.close();
    node.resume();
    serve_next(&node, "next");
}

#[test]
fn a_client_that_leaves_while_its_attempt_connects_has_nothing_written_also_where_cancelling_is_off()
 {
    let (full, queued) = StandIn::full();
    let node = TestNode::with(|config| {
        slow_to_connect(config, full.address()).replace(r#""cancel":true"#, r#""cancel":false"#)
    });
    let mut client = node.client();
    client.send(&report("left", 5000));
    // Once this later message is answered, the attempt has begun.
    node.wait_for_iteration();
    node.stall();
    full.wait();
    drop(queued);
    // The connection is up, and only then does the client leave.
    let mut backend = full.wait();
    client.close();
    node.resume();
    assert_eq!(backend.expect_close(), "");
}

// ---- Drains and deadlines through a stall ----

#[test]
fn a_drain_in_the_iteration_of_a_request_keeps_it_away_from_the_idle_connection() {
    let other = StandIn::new();
    let node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH);
    let (mut client, mut backend) = with_idle_connection(&node, "w");
    node.stall();
    client.send(&report("after", 5000));
    let leaving = endpoint_json("s-1", node.backend.address(), "Terminating");
    watch.send(&more_changes(
        8,
        &[leaving, endpoint_json("s-2", other.address(), "Ready")],
    ));
    node.resume();
    assert_eq!(backend.expect_close(), "");
    let mut elsewhere = other.wait();
    elsewhere.expect("x-txn: after\r\n");
}

#[test]
fn a_connection_that_comes_up_after_the_deadline_of_its_request_carries_nothing() {
    let (full, queued) = StandIn::full();
    let node = TestNode::with(|config| slow_to_connect(config, full.address()));
    let mut client = node.client();
    client.send(&report("late", 1500));
    node.wait_for_iteration();
    node.stall();
    full.wait();
    drop(queued);
    // The kernel sends its SYN again a second after the first one.
    let mut backend = full.wait();
    pass(1600);
    node.resume();
    assert_eq!(backend.expect_close(), "");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_connection_that_has_stood_idle_through_a_stall_is_not_used_again() {
    let node = TestNode::with(|config| {
        config.replace(
            r#""maxAttempts":5"#,
            r#""maxAttempts":5,"connIdleNs":400000000"#,
        )
    });
    let (mut client, _backend) = with_idle_connection(&node, "w");
    node.stall();
    pass(310);
    client.send(&report("again", 5000));
    node.resume();
    node.backend.wait().expect("x-txn: again\r\n");
}

#[test]
fn an_answer_that_is_there_wins_over_its_time_out_behind_any_number_of_other_events() {
    let node = TestNode::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    let mut client = node.client();
    let mut others: Vec<Connection> = (0..300).map(|_| node.client()).collect();
    for other in &mut others {
        other.send(HEALTH).expect("ok\n");
    }
    client.send(&report("slow", 400));
    let mut backend = node.backend.wait();
    backend.expect("body");
    node.stall();
    for other in &mut others {
        other.send(HEALTH);
    }
    backend.serve("200 OK", "there");
    pass(450);
    node.resume();
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

// ---- Sessions that are given up ----

fn few_sockets(config: String) -> String {
    config.replace(r#""sockets":128"#, r#""sockets":64"#)
}

/// Clients that a node of few sockets holds: 64 descriptors less 20, of which a quarter is kept for
/// backends.
const MOST_SESSIONS: usize = 33;

/// As many clients as it holds, each with a request out or waiting.
fn all_busy(node: &TestNode) -> Vec<Connection> {
    let send_requests = |n| {
        let mut client = node.client();
        client.send(&report(&format!("busy{n}"), 60_000));
        client
    };
    (0..MOST_SESSIONS).map(send_requests).collect()
}

#[test]
fn a_connection_on_which_a_request_has_come_is_not_evicted_for_a_new_client() {
    let node = TestNode::with(few_sockets);
    let before = node.descriptors();
    let mut clients: Vec<Connection> = (0..MOST_SESSIONS).map(|_| node.client()).collect();
    until(|| (node.descriptors() >= before + MOST_SESSIONS).then_some(()));
    node.stall();
    let mut new = node.client();
    clients[0].send(&report("asks", 5000));
    node.resume();
    let mut backend = node.backend.wait();
    backend.expect("x-txn: asks\r\n");
    backend.expect("body");
    backend.serve("200 OK", "served");
    clients[0].expect("served");
    new.send(HEALTH).expect("ok\n");
    // None of the others is closed but the one that was evicted.
    let closed = clients[1..]
        .iter_mut()
        .map(Connection::is_closed)
        .filter(|ended| *ended)
        .count();
    assert_eq!(closed, 1);
}

// ---- The end ----

fn short(config: String, deadline: &str) -> String {
    config
        .replace("5000000000", deadline)
        .replace("\"goalTimeNs\":300000000", "\"goalTimeNs\":100000000")
}

#[test]
fn where_deadlines_are_short_the_last_answers_come_before_sigkill_may() {
    let node = TestNode::with(|config| short(config, "150000000"));
    let (mut client, mut held) = (node.client(), node.client());
    client.send(&report("silent", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // One that waits: the backend takes one attempt.
    held.send(&report("held", 5000));
    node.wait_for_iteration();
    node.terminate();
    let since = Instant::now();
    let answer = client.expect("\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 50") && !answer.contains(" 503 "),
        "{answer}"
    );
    assert!(held.expect("\r\n\r\n").starts_with("HTTP/1.1 503 "));
    assert!(
        since.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        since.elapsed()
    );
    drop((client, held));
    assert_eq!(node.wait_exit().code(), Some(0));
    assert!(
        since.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn a_request_that_lies_unread_at_the_last_moment_is_rejected_and_reaches_no_backend() {
    let mut node = TestNode::with(|config| short(config, "100000000"));
    let (mut known, mut busy) = (node.client(), node.client());
    known.send(HEALTH).expect("ok\n");
    busy.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    node.stall();
    known.send(&report("late", 5000));
    // The time for answers runs out 0.6 s after SIGTERM.
    pass(650);
    node.resume();
    let answer = known.expect_close();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(node.backend.is_quiet());
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn no_attempt_outlives_the_node() {
    let mut node = TestNode::with(|config| short(config, "400000000"));
    let mut client = node.client();
    client.send(HEALTH).expect("ok\n");
    node.terminate();
    node.expect_log("sigterm");
    client.send(&report("capped", 5000));
    let head = node.backend.wait().expect("\r\n\r\n");
    let left: u32 = header(&head, "x-remaining-ms").parse().unwrap();
    assert!(
        left <= 900,
        "{left} ms, though SIGKILL may come 1.1 s after SIGTERM"
    );
}

#[test]
fn clients_that_wait_for_a_descriptor_when_the_listener_is_to_close_are_still_taken() {
    let mut node = TestNode::with(few_sockets);
    let mut busy = all_busy(&node);
    let mut late = node.client();
    late.send(&report("late", 4000));
    node.expect_log("client-connections-full");
    node.terminate();
    node.expect_log("late-clients");
    // One of those that are served is evicted.
    drop(busy.pop());
    assert!(late.expect("\r\n\r\n").starts_with("HTTP/1.1 "));
    drop((busy, late));
    assert_eq!(node.wait_exit().code(), Some(0));
}

// ---- Discovery ----

fn pushed(config: String) -> String {
    config.replace(r#""subscribe""#, r#""automatic""#)
}

#[test]
fn pushed_lists_are_followed_from_the_start_and_no_client_is_taken_before_they_have_spoken() {
    let node = TestNode::with(pushed);
    let mut client = node.client();
    client.send(HEALTH).expect("discovery has not spoken\n");
    let mut watch = node.discovery.wait();
    watch.expect("watch=1&after=7 ");
    let other = StandIn::new();
    let leaving = endpoint_json("s-1", node.backend.address(), "Terminating");
    watch.send(&changes(
        8,
        &[leaving, endpoint_json("s-2", other.address(), "Ready")],
    ));
    client.request_until(HEALTH, "ok\n");
    client.send(&report("pushed", 5000));
    other.wait().expect("x-txn: pushed\r\n");
    assert!(node.backend.is_quiet());
}

#[test]
fn a_pushed_watch_is_opened_anew_well_within_the_grace_and_goes_where_a_new_configuration_says() {
    let node = TestNode::with(|config| {
        pushed(config).replace(r#"Ns":1500000000,"f"#, r#"Ns":250000000,"f"#)
    });
    let mut watch = node.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    let mut since = Instant::now();
    for number in 0..4 {
        if number % 2 == 0 {
            watch.reset()
        } else {
            watch.close()
        }
        watch = node.discovery.wait();
        watch.expect("after=7 ");
        watch.send(WATCH).send("1\r\n\n\r\n");
        assert!(
            since.elapsed() < Duration::from_millis(250),
            "{:?}",
            since.elapsed()
        );
        since = Instant::now();
    }
    let (old, next) = (node.discovery.address().to_string(), StandIn::new());
    node.reload(|config| config.replace(&old, &next.address().to_string()));
    next.wait().expect("after=7 ");
    watch.expect_close();
}

#[test]
fn a_watch_that_only_trickles_is_opened_anew_before_what_it_withholds_counts_as_notified() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.expect("\r\n\r\n");
    let since = Instant::now();
    watch.send(WATCH).send("1000\r\n");
    let trickle = std::thread::spawn(move || {
        while watch.try_send(" ") {
            pass(300);
        }
    });
    node.expect_log("discovery-failed silent");
    assert!(
        since.elapsed() < Duration::from_millis(5_000),
        "{:?}",
        since.elapsed()
    );
    node.discovery.wait().expect("after=7 ");
    trickle.join().unwrap();
}

#[test]
fn a_watch_that_has_spoken_and_falls_silent_is_back_within_six_seconds_though_the_next_call_fails()
{
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    let since = Instant::now();
    node.expect_log("discovery-failed silent");
    let mut call = node.discovery.wait();
    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    node.discovery.wait().expect("after=7 ");
    assert!(
        since.elapsed() < Duration::from_millis(5_600),
        "{:?}",
        since.elapsed()
    );
}

/// One object of a watch as a printer would lay it out, with braces and line ends in its strings.
fn indented(rev: u32, entries: &[String]) -> String {
    let odd = r#""note":"}]\"\\n{","#;
    let text = format!("{{\n  \"rev\": {rev},\n  {odd}\n\n  \"all\": false,\n  \"targets\": [\n");
    text + &entries.join(",\n") + "\n  ]\n}\n"
}

#[test]
fn a_watch_whose_objects_are_indented_is_read_in_whatever_pieces_they_come() {
    let mut node = TestNode::start();
    let (second, third) = (StandIn::new(), StandIn::new());
    let mut watch = node.discovery.wait();
    let one = indented(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Terminating")],
    );
    let two = indented(9, &[endpoint_json("s-2", second.address(), "Ready")]);
    watch.send(WATCH).send(&chunk("\n"));
    // A byte a chunk, and the end of one object together with the start of the next.
    for byte in one.chars() {
        watch.send(&chunk(&byte.to_string()));
    }
    watch.send(&chunk(&(two.clone() + &two[..40])));
    let mut client = node.client();
    client.send(&report("moved", 5000));
    second.wait().expect("x-txn: moved\r\n");
    // Half an object and then a reset: what was complete stays, and the rest is polled again.
    watch.reset();
    node.expect_log("discovery-failed the connection ended");
    let mut again = node.discovery.wait();
    again.expect("after=9 ");
    let leaving = endpoint_json("s-2", second.address(), "Terminating");
    again.send(WATCH).send(&chunk(&indented(
        10,
        &[leaving, endpoint_json("s-3", third.address(), "Ready")],
    )));
    let mut other = node.client();
    other.send(&report("again", 5000));
    third.wait().expect("x-txn: again\r\n");
}

#[test]
fn a_watch_without_end_holds_up_nobody() {
    let node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH);
    let blank = chunk("\n").repeat(20_000);
    let flood = std::thread::spawn(move || while watch.try_send(&blank) {});
    let mut client = node.client();
    for id in ["f1", "f2", "f3"] {
        client.send(&report(id, 15_000));
        let mut backend = node.backend.wait();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    drop(node);
    flood.join().unwrap();
}

#[test]
fn an_object_without_end_costs_the_watch_and_no_more() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.wait();
    watch.send(WATCH).send(&chunk("{\"rev\":8,\"targets\":["));
    let piece = chunk(&"1,".repeat(32 * 1024));
    let flood = std::thread::spawn(move || while watch.try_send(&piece) {});
    node.expect_log("discovery-failed BodyTooLarge");
    node.discovery.wait().expect("after=7 ");
    flood.join().unwrap();
    serve_next(&node, "next");
}

#[test]
fn a_list_that_is_behind_brings_no_drained_backend_back_and_a_newer_one_or_a_newer_start_does() {
    let mut node = TestNode::start();
    let other = StandIn::new();
    let (here, there) = (node.backend.address(), other.address());
    let mut watch = node.discovery.wait();
    watch.send(&changes(
        9,
        &[
            endpoint_json("s-1", here, "Terminating"),
            endpoint_json("s-2", there, "Ready"),
        ],
    ));
    watch.close();
    let whole = |rev: u32, entries: &[String]| changes(rev, entries).replace("false", "true ");
    let both = [
        endpoint_json("s-1", here, "Ready"),
        endpoint_json("s-2", there, "Ready"),
    ];
    // Another replica, which is behind.
    let mut behind = node.discovery.wait();
    behind.expect("after=9 ");
    behind.send(&whole(8, &both));
    node.expect_log("older-list rev=8 known=9");
    let mut client = node.client();
    let mut backend = None;
    for id in ["o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"] {
        client.send(&report(id, 5000));
        let backend = backend.get_or_insert_with(|| other.wait());
        backend.expect("body");
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    assert!(node.backend.is_quiet());
    // It goes on from its own count. Idle connections end once a drain is taken.
    let leaving = endpoint_json("s-2", there, "Terminating");
    behind.send(&more_changes(
        9,
        &[endpoint_json("s-1", here, "Ready"), leaving],
    ));
    backend.unwrap().expect_close();
    client.send(&report("newer", 5000));
    let mut backend = until(|| node.backend.poll());
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("served");
    // One that has started anew is back whatever the count says.
    let started = endpoint_json("s-2", there, "Ready").replace("\"boot_ms\":0", "\"boot_ms\":9");
    behind.send(&more_changes(
        7,
        &[endpoint_json("s-1", here, "Terminating"), started],
    ));
    backend.expect_close();
    client.send(&report("started", 5000));
    until(|| other.poll()).expect("x-txn: started\r\n");
}

#[test]
fn a_log_whose_reader_has_gone_ends_no_node() {
    let mut node = TestNode::start();
    node.drop_log();
    let mut client = node.client();
    // Each of these is logged.
    for _ in 0..3 {
        client
            .send(&report("x", 99).replace("X-Org: acme", "X-Org: nobody"))
            .expect("400 Bad Request");
    }
    client.send(&report("served", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("\r\n\r\nserved");
    node.terminate();
    drop((client, backend));
    assert_eq!(node.wait_exit().code(), Some(0));
}

#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_one_once_one_has_been_seen() {
    let node = TestNode::start();
    let mut client = node.client();
    client.send(&report("first", 5000));
    let mut backend = node.backend.wait();
    backend.expect("body");
    // The sign: two answers in one write.
    let twice = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    backend.send(&twice);
    client.expect("one");
    assert_eq!(backend.expect_close(), "");
    // Two messages in one write: the second goes on a tick after the first is answered.
    client.send(&(report("second", 5000) + &report("third", 5000)));
    let mut backend = node.backend.wait();
    backend.expect("x-txn: second\r\n");
    backend.serve("200 OK", "two");
    client.expect("\r\n\r\ntwo");
    let mut next = node.backend.wait();
    next.expect("x-txn: third\r\n");
    backend.serve("200 OK", "two");
    assert_eq!(backend.expect_close().matches("x-txn").count(), 0);
    next.serve("200 OK", "three");
    client.expect("\r\n\r\nthree");
}
