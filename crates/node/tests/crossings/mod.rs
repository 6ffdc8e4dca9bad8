//! Crossings: two things that meet in one turn of the node's loop. Each is forced: the node is
//! stopped, what is to cross is put on the sockets in the order that hurts, and the node goes on.
//! The list of all of them is docs/design/races.md.

mod end;
mod held_up;

use std::time::{Duration, Instant};

use crate::common::{
    HEALTH, Line, Party, WATCH, World, and, changes, chunk, entry, header, more_changes, pass,
    report, slow_to_connect, until,
};

/// A client has one request answered, so that the node has an idle connection to the backend.
fn warmed(world: &World, id: &str) -> (Line, Line) {
    let mut client = world.client();
    client.send(&report(id, 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "warm");
    client.expect("warm");
    (client, backend)
}

/// The next request that reaches the backend on a new connection is this one, and nothing came
/// before it.
fn serve_next(world: &World, id: &str) {
    let mut client = world.client();
    client.send(&report(id, 5000));
    let mut backend = world.backend.wait();
    let head = backend.expect("body");
    assert!(head.contains(&format!("x-txn: {id}\r\n")), "{head}");
    backend.serve("200 OK", id);
    client.expect(&format!("\r\n\r\n{id}"));
}

// ---- Clients that have left are not sent on for ----

#[test]
fn a_client_that_left_during_a_stall_is_not_sent_on_for_however_it_left() {
    type Leave = fn(Line);
    let half_close: Leave = |mut line| {
        line.end();
        std::mem::forget(line);
    };
    for (way, leave) in [
        ("close", Line::close as Leave),
        ("reset", Line::reset),
        ("half", half_close),
    ] {
        let world = World::start();
        // One connection stands before the stall, the other waits in the accept queue.
        let mut known = world.client();
        known.send(HEALTH).expect("ok\n");
        world.stall();
        let mut queued = world.client();
        known.send(&report("left1", 5000));
        queued.send(&report("left2", 5000));
        leave(known);
        leave(queued);
        world.go_on();
        serve_next(&world, way);
        assert!(world.backend.is_quiet(), "{way}");
    }
}

#[test]
fn a_client_that_left_behind_more_than_the_inbox_holds_is_not_sent_on_for() {
    let world = World::start();
    world.stall();
    let mut queued = world.client();
    queued.send(&(report("left", 5000) + &"x".repeat(40 * 1024)));
    queued.close();
    world.go_on();
    serve_next(&world, "next");
    assert!(world.backend.is_quiet());
}

#[test]
fn the_next_message_of_a_client_that_left_behind_its_answer_is_not_sent_on() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("first", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    world.stall();
    client.send(&report("second", 5000));
    backend.serve("200 OK", "served");
    client.close();
    world.go_on();
    let mut other = world.client();
    other.send(&report("other", 5000));
    // The connection is closed with the client; or, where the answer is seen before the leave, it
    // carries the other one's.
    let head = backend
        .expect_or_end("body")
        .unwrap_or_else(|| world.backend.wait().expect("body"));
    assert!(head.contains("x-txn: other\r\n"), "{head}");
    assert!(world.backend.is_quiet());
}

#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_second_one() {
    let other = Party::new();
    let world = World::with(|config| and(config, "s-0", other.address()));
    let mut client = world.client();
    client.send(&report("left", 5000));
    // Whichever it is sent to turns it away.
    let (mut first, second) = until(|| {
        let one = world.backend.poll().map(|line| (line, &other));
        one.or_else(|| other.poll().map(|line| (line, &world.backend)))
    });
    first.expect("body");
    world.stall();
    first.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    client.close();
    world.go_on();
    world.turn();
    assert!(second.is_quiet());
}

#[test]
fn a_client_that_left_while_its_req_was_held_is_not_sent_on_for_when_a_backend_comes() {
    let world =
        World::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut watch = world.discovery.wait();
    watch.expect("\r\n\r\n");
    let mut client = world.client();
    client.send(&report("left", 5000));
    world.turn();
    world.stall();
    watch.send(&changes(
        8,
        &[entry("s-1", world.backend.address(), "Ready")],
    ));
    client.close();
    world.go_on();
    serve_next(&world, "next");
}

#[test]
fn a_client_that_leaves_while_its_attempt_connects_has_nothing_written_also_without_leave_to_cancel()
 {
    let (full, queued) = Party::full();
    let world = World::with(|config| {
        slow_to_connect(config, full.address()).replace(r#""cancel":true"#, r#""cancel":false"#)
    });
    let mut client = world.client();
    client.send(&report("left", 5000));
    // Once this later message is answered, the attempt has begun.
    world.turn();
    world.stall();
    full.wait();
    drop(queued);
    // The connection is up, and only then does the client leave.
    let mut backend = full.wait();
    client.close();
    world.go_on();
    assert_eq!(backend.expect_end(), "");
}

// ---- Drains and deadlines through a stall ----

#[test]
fn a_drain_told_in_the_turn_of_a_request_keeps_it_away_from_the_idle_connection() {
    let other = Party::new();
    let world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH);
    let (mut client, mut backend) = warmed(&world, "w");
    world.stall();
    client.send(&report("after", 5000));
    let leaving = entry("s-1", world.backend.address(), "Terminating");
    watch.send(&more_changes(
        8,
        &[leaving, entry("s-2", other.address(), "Ready")],
    ));
    world.go_on();
    assert_eq!(backend.expect_end(), "");
    let mut elsewhere = other.wait();
    elsewhere.expect("x-txn: after\r\n");
}

#[test]
fn a_connection_that_comes_up_after_the_time_of_its_req_carries_nothing() {
    let (full, queued) = Party::full();
    let world = World::with(|config| slow_to_connect(config, full.address()));
    let mut client = world.client();
    client.send(&report("late", 1500));
    world.turn();
    world.stall();
    full.wait();
    drop(queued);
    // The kernel asks again a second after the first time.
    let mut backend = full.wait();
    pass(1600);
    world.go_on();
    assert_eq!(backend.expect_end(), "");
    assert!(client.expect("\r\n\r\n").starts_with("HTTP/1.1 50"));
}

#[test]
fn a_connection_that_has_stood_idle_through_a_stall_is_not_used_again() {
    let world = World::with(|config| {
        config.replace(
            r#""maxAttempts":5"#,
            r#""maxAttempts":5,"connIdleNs":400000000"#,
        )
    });
    let (mut client, _backend) = warmed(&world, "w");
    world.stall();
    pass(310);
    client.send(&report("again", 5000));
    world.go_on();
    world.backend.wait().expect("x-txn: again\r\n");
}

#[test]
fn an_answer_that_is_there_wins_over_its_time_out_behind_any_number_of_other_events() {
    let world = World::with(|config| config.replace(r#""sockets":128"#, r#""sockets":1024"#));
    let mut client = world.client();
    let mut others: Vec<Line> = (0..300).map(|_| world.client()).collect();
    for other in &mut others {
        other.send(HEALTH).expect("ok\n");
    }
    client.send(&report("slow", 400));
    let mut backend = world.backend.wait();
    backend.expect("body");
    world.stall();
    for other in &mut others {
        other.send(HEALTH);
    }
    backend.serve("200 OK", "there");
    pass(450);
    world.go_on();
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
fn all_busy(world: &World) -> Vec<Line> {
    let ask = |n| {
        let mut client = world.client();
        client.send(&report(&format!("busy{n}"), 60_000));
        client
    };
    (0..MOST_SESSIONS).map(ask).collect()
}

#[test]
fn a_session_that_is_spared_for_a_new_client_is_not_one_on_which_a_request_has_come() {
    let world = World::with(few_sockets);
    let before = world.descriptors();
    let mut clients: Vec<Line> = (0..MOST_SESSIONS).map(|_| world.client()).collect();
    until(|| (world.descriptors() >= before + MOST_SESSIONS).then_some(()));
    world.stall();
    let mut new = world.client();
    clients[0].send(&report("asks", 5000));
    world.go_on();
    let mut backend = world.backend.wait();
    backend.expect("x-txn: asks\r\n");
    backend.expect("body");
    backend.serve("200 OK", "served");
    clients[0].expect("served");
    new.send(HEALTH).expect("ok\n");
    // None of the others has gone but the one that made room.
    let gone = clients[1..]
        .iter_mut()
        .map(Line::has_ended)
        .filter(|ended| *ended)
        .count();
    assert_eq!(gone, 1);
}

// ---- The end ----

fn short(config: String, deadline: &str) -> String {
    config
        .replace("5000000000", deadline)
        .replace("\"goalTimeNs\":300000000", "\"goalTimeNs\":100000000")
}

#[test]
fn where_deadlines_are_short_the_last_answers_come_before_sigkill_may() {
    let world = World::with(|config| short(config, "150000000"));
    let (mut client, mut held) = (world.client(), world.client());
    client.send(&report("silent", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    // One that waits: there is room for one attempt.
    held.send(&report("held", 5000));
    world.turn();
    world.terminate();
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
    assert_eq!(world.wait_exit().code(), Some(0));
    assert!(
        since.elapsed() < Duration::from_millis(150 + 700),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn a_request_that_lies_unread_at_the_last_moment_is_refused_and_reaches_no_backend() {
    let mut world = World::with(|config| short(config, "100000000"));
    let (mut known, mut busy) = (world.client(), world.client());
    known.send(HEALTH).expect("ok\n");
    busy.send(HEALTH).expect("ok\n");
    world.terminate();
    world.expect_log("sigterm");
    world.stall();
    known.send(&report("late", 5000));
    // The time for answers runs out 0.6 s after SIGTERM.
    pass(650);
    world.go_on();
    let answer = known.expect_end();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(world.backend.is_quiet());
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn no_attempt_outlives_the_node() {
    let mut world = World::with(|config| short(config, "400000000"));
    let mut client = world.client();
    client.send(HEALTH).expect("ok\n");
    world.terminate();
    world.expect_log("sigterm");
    client.send(&report("capped", 5000));
    let head = world.backend.wait().expect("\r\n\r\n");
    let left: u32 = header(&head, "x-remaining-ms").parse().unwrap();
    assert!(
        left <= 900,
        "{left} ms, though SIGKILL may come 1.1 s after SIGTERM"
    );
}

#[test]
fn clients_that_wait_for_a_descriptor_when_the_listener_is_to_close_are_still_taken() {
    let mut world = World::with(few_sockets);
    let mut busy = all_busy(&world);
    let mut late = world.client();
    late.send(&report("late", 4000));
    world.expect_log("client-connections-full");
    world.terminate();
    world.expect_log("late-clients");
    // One of those that are served makes room.
    drop(busy.pop());
    assert!(late.expect("\r\n\r\n").starts_with("HTTP/1.1 "));
    drop((busy, late));
    assert_eq!(world.wait_exit().code(), Some(0));
}

// ---- Discovery ----

fn pushed(config: String) -> String {
    config.replace(r#""subscribe""#, r#""automatic""#)
}

#[test]
fn pushed_lists_are_followed_from_the_start_and_no_client_is_taken_before_they_have_spoken() {
    let world = World::with(pushed);
    let mut client = world.client();
    client.send(HEALTH).expect("discovery has not spoken\n");
    let mut watch = world.discovery.wait();
    watch.expect("watch=1&after=7 ");
    let other = Party::new();
    let leaving = entry("s-1", world.backend.address(), "Terminating");
    watch.send(&changes(
        8,
        &[leaving, entry("s-2", other.address(), "Ready")],
    ));
    client.ask_until(HEALTH, "ok\n");
    client.send(&report("pushed", 5000));
    other.wait().expect("x-txn: pushed\r\n");
    assert!(world.backend.is_quiet());
}

#[test]
fn a_pushed_watch_is_opened_anew_well_within_the_grace_and_goes_where_a_new_configuration_says() {
    let world =
        World::with(|config| pushed(config).replace(r#"Ns":1500000000,"f"#, r#"Ns":250000000,"f"#));
    let mut watch = world.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    let mut since = Instant::now();
    for turn in 0..4 {
        if turn % 2 == 0 {
            watch.reset()
        } else {
            watch.close()
        }
        watch = world.discovery.wait();
        watch.expect("after=7 ");
        watch.send(WATCH).send("1\r\n\n\r\n");
        assert!(
            since.elapsed() < Duration::from_millis(250),
            "{:?}",
            since.elapsed()
        );
        since = Instant::now();
    }
    let (old, next) = (world.discovery.address().to_string(), Party::new());
    world.reload(|config| config.replace(&old, &next.address().to_string()));
    next.wait().expect("after=7 ");
    watch.expect_end();
}

#[test]
fn a_watch_that_only_trickles_is_opened_anew_before_what_it_withholds_counts_as_told() {
    let mut world = World::start();
    let mut watch = world.discovery.wait();
    watch.expect("\r\n\r\n");
    let since = Instant::now();
    watch.send(WATCH).send("1000\r\n");
    let trickle = std::thread::spawn(move || {
        while watch.try_send(" ") {
            pass(300);
        }
    });
    world.expect_log("discovery-failed silent");
    assert!(
        since.elapsed() < Duration::from_millis(5_000),
        "{:?}",
        since.elapsed()
    );
    world.discovery.wait().expect("after=7 ");
    trickle.join().unwrap();
}

#[test]
fn a_watch_that_has_spoken_and_falls_silent_is_back_within_six_seconds_though_the_next_call_fails()
{
    let mut world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH).send("1\r\n\n\r\n");
    let since = Instant::now();
    world.expect_log("discovery-failed silent");
    let mut call = world.discovery.wait();
    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    world.discovery.wait().expect("after=7 ");
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
    let mut world = World::start();
    let (second, third) = (Party::new(), Party::new());
    let mut watch = world.discovery.wait();
    let one = indented(8, &[entry("s-1", world.backend.address(), "Terminating")]);
    let two = indented(9, &[entry("s-2", second.address(), "Ready")]);
    watch.send(WATCH).send(&chunk("\n"));
    // A byte a chunk, and the end of one object together with the start of the next.
    for byte in one.chars() {
        watch.send(&chunk(&byte.to_string()));
    }
    watch.send(&chunk(&(two.clone() + &two[..40])));
    let mut client = world.client();
    client.send(&report("moved", 5000));
    second.wait().expect("x-txn: moved\r\n");
    // Half an object and then a reset: what was whole stays, and the rest is asked for again.
    watch.reset();
    world.expect_log("discovery-failed the connection ended");
    let mut again = world.discovery.wait();
    again.expect("after=9 ");
    let leaving = entry("s-2", second.address(), "Terminating");
    again.send(WATCH).send(&chunk(&indented(
        10,
        &[leaving, entry("s-3", third.address(), "Ready")],
    )));
    let mut other = world.client();
    other.send(&report("again", 5000));
    third.wait().expect("x-txn: again\r\n");
}

#[test]
fn a_watch_without_end_holds_up_nobody() {
    let world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH);
    let blank = chunk("\n").repeat(20_000);
    let flood = std::thread::spawn(move || while watch.try_send(&blank) {});
    let mut client = world.client();
    for id in ["f1", "f2", "f3"] {
        client.send(&report(id, 15_000));
        let mut backend = world.backend.wait();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    drop(world);
    flood.join().unwrap();
}

#[test]
fn an_object_without_end_costs_the_watch_and_no_more() {
    let mut world = World::start();
    let mut watch = world.discovery.wait();
    watch.send(WATCH).send(&chunk("{\"rev\":8,\"targets\":["));
    let piece = chunk(&"1,".repeat(32 * 1024));
    let flood = std::thread::spawn(move || while watch.try_send(&piece) {});
    world.expect_log("discovery-failed BodyTooLarge");
    world.discovery.wait().expect("after=7 ");
    flood.join().unwrap();
    serve_next(&world, "next");
}

#[test]
fn a_list_that_is_behind_brings_no_drained_backend_back_and_a_newer_one_or_a_newer_start_does() {
    let mut world = World::start();
    let other = Party::new();
    let (here, there) = (world.backend.address(), other.address());
    let mut watch = world.discovery.wait();
    watch.send(&changes(
        9,
        &[
            entry("s-1", here, "Terminating"),
            entry("s-2", there, "Ready"),
        ],
    ));
    watch.close();
    let whole = |rev: u32, entries: &[String]| changes(rev, entries).replace("false", "true ");
    let both = [entry("s-1", here, "Ready"), entry("s-2", there, "Ready")];
    // Another replica, which is behind.
    let mut behind = world.discovery.wait();
    behind.expect("after=9 ");
    behind.send(&whole(8, &both));
    world.expect_log("older-list rev=8 known=9");
    let mut client = world.client();
    let mut backend = None;
    for id in ["o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"] {
        client.send(&report(id, 5000));
        let backend = backend.get_or_insert_with(|| other.wait());
        backend.expect("body");
        backend.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    assert!(world.backend.is_quiet());
    // It goes on from its own count. Idle connections end once a drain is taken.
    let leaving = entry("s-2", there, "Terminating");
    behind.send(&more_changes(9, &[entry("s-1", here, "Ready"), leaving]));
    backend.unwrap().expect_end();
    client.send(&report("newer", 5000));
    let mut backend = until(|| world.backend.poll());
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("served");
    // One that has started anew is back whatever the count says.
    let started = entry("s-2", there, "Ready").replace("\"boot_ms\":0", "\"boot_ms\":9");
    behind.send(&more_changes(
        7,
        &[entry("s-1", here, "Terminating"), started],
    ));
    backend.expect_end();
    client.send(&report("started", 5000));
    until(|| other.poll()).expect("x-txn: started\r\n");
}

#[test]
fn a_log_whose_reader_has_gone_ends_no_node() {
    let mut world = World::start();
    world.drop_log();
    let mut client = world.client();
    // Each of these is a line of the log.
    for _ in 0..3 {
        client
            .send(&report("x", 99).replace("X-Org: acme", "X-Org: nobody"))
            .expect("400 Bad Request");
    }
    client.send(&report("served", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("\r\n\r\nserved");
    world.terminate();
    drop((client, backend));
    assert_eq!(world.wait_exit().code(), Some(0));
}

#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_one_once_one_has_been_seen() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("first", 5000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    // The sign: two answers in one write.
    let twice = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    backend.send(&twice);
    client.expect("one");
    assert_eq!(backend.expect_end(), "");
    // Two messages in one write: the second goes on a tick after the first is answered.
    client.send(&(report("second", 5000) + &report("third", 5000)));
    let mut backend = world.backend.wait();
    backend.expect("x-txn: second\r\n");
    backend.serve("200 OK", "two");
    client.expect("\r\n\r\ntwo");
    let mut next = world.backend.wait();
    next.expect("x-txn: third\r\n");
    backend.serve("200 OK", "two");
    assert_eq!(backend.expect_end().matches("x-txn").count(), 0);
    next.serve("200 OK", "three");
    client.expect("\r\n\r\nthree");
}
