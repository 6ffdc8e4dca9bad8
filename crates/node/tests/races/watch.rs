//! Races on the watch, and watches that trickle, fall silent or never end.

use std::time::{Duration, Instant};

use super::{pushed, serve_next};
use crate::common::{
    Connection, HEALTH, StandIn, TestNode, WATCH, changes, chunk, endpoint_json, more_changes,
    pass, report, until,
};

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
            watch.reset();
        } else {
            watch.close();
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
        since.elapsed() < Duration::from_secs(5),
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
fn indented(revision: u32, endpoints: &[String]) -> String {
    let note = r#""note":"}]\"\\n{","#;
    let text =
        format!("{{\n  \"rev\": {revision},\n  {note}\n\n  \"all\": false,\n  \"targets\": [\n");
    text + &endpoints.join(",\n") + "\n  ]\n}\n"
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

/// Eight requests of a client, all of which come to this backend on one connection; gives that.
fn serve_eight(client: &mut Connection, backend: &StandIn) -> Connection {
    let mut connection = None;
    for id in ["o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"] {
        client.send(&report(id, 5000));
        let connection = connection.get_or_insert_with(|| backend.wait());
        connection.expect("body");
        connection.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    connection.expect("eight requests were served")
}

#[test]
fn a_list_that_is_behind_brings_no_drained_backend_back_and_a_newer_one_or_a_newer_start_does() {
    let mut node = TestNode::start();
    let other = StandIn::new();
    let address = node.backend.address();
    let here = |state| endpoint_json("s-1", address, state);
    let there = |state| endpoint_json("s-2", other.address(), state);
    let mut watch = node.discovery.wait();
    watch.send(&changes(9, &[here("Terminating"), there("Ready")]));
    watch.close();
    // Another replica, which is behind.
    let mut behind = node.discovery.wait();
    behind.expect("after=9 ");
    let list = changes(8, &[here("Ready"), there("Ready")]).replace("false", "true ");
    behind.send(&list);
    node.expect_log("older-list rev=8 known=9");
    let mut client = node.client();
    let mut backend = serve_eight(&mut client, &other);
    assert!(node.backend.is_quiet());
    // It goes on from its own count. Idle connections end once a drain is taken.
    behind.send(&more_changes(9, &[here("Ready"), there("Terminating")]));
    backend.expect_close();
    client.send(&report("newer", 5000));
    let mut backend = until(|| node.backend.poll());
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("served");
    // One that has started anew is back whatever the count says.
    let started = there("Ready").replace("\"boot_ms\":0", "\"boot_ms\":9");
    behind.send(&more_changes(7, &[here("Terminating"), started]));
    backend.expect_close();
    client.send(&report("started", 5000));
    until(|| other.poll()).expect("x-txn: started\r\n");
}
