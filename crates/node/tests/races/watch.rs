//! Races on the watch, and watches that are slow, idle or endless.

use std::time::{Duration, Instant};

use super::{serve_next_request, with_pushed_lists};
use crate::common::{
    Connection, HEALTH_CHECK, StandIn, TestNode, WATCH_RESPONSE_HEAD, chunk, endpoint_json,
    report_request, sleep_ms, wait_for, watch_response, watch_update,
};

#[test]
fn pushed_list_is_applied_before_the_node_reports_that_it_is_ready() {
    let node = TestNode::with_config(with_pushed_lists);
    let mut client = node.client();
    client
        .send(HEALTH_CHECK)
        .expect("discovery has not spoken\n");
    let mut watch = node.discovery.accept();
    watch.expect("watch=1&after=7 ");
    let other_backend = StandIn::new();
    let draining = endpoint_json("s-1", node.backend.address(), "Terminating");
    watch.send(&watch_response(
        8,
        &[
            draining,
            endpoint_json("s-2", other_backend.address(), "Ready"),
        ],
    ));
    client.request_until(HEALTH_CHECK, "ok\n");
    client.send(&report_request("pushed", 5000));
    other_backend.accept().expect("x-txn: pushed\r\n");
    assert!(node.backend.has_no_pending_connection());
}

#[test]
fn broken_watch_is_reopened_within_the_drain_grace_and_a_reload_changes_its_address() {
    let node = TestNode::with_config(|config| {
        with_pushed_lists(config).replace(r#"Ns":1500000000,"f"#, r#"Ns":250000000,"f"#)
    });
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD).send("1\r\n\n\r\n");
    let mut started_at = Instant::now();
    for number in 0..4 {
        if number % 2 == 0 {
            watch.reset();
        } else {
            watch.close();
        }
        watch = node.discovery.accept();
        watch.expect("after=7 ");
        watch.send(WATCH_RESPONSE_HEAD).send("1\r\n\n\r\n");
        assert!(
            started_at.elapsed() < Duration::from_millis(250),
            "{:?}",
            started_at.elapsed()
        );
        started_at = Instant::now();
    }
    let (old_address, new_discovery) = (node.discovery.address().to_string(), StandIn::new());
    node.reload(|config| config.replace(&old_address, &new_discovery.address().to_string()));
    new_discovery.accept().expect("after=7 ");
    watch.expect_close();
}

#[test]
fn watch_without_complete_objects_is_reopened_within_five_seconds() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.expect("\r\n\r\n");
    let started_at = Instant::now();
    // A watch without complete objects may withhold updates. An update counts as notified 6 s after
    // it is due, so the node must open a new watch before that.
    watch.send(WATCH_RESPONSE_HEAD).send("1000\r\n");
    let sender = std::thread::spawn(move || {
        while watch.try_send(" ") {
            sleep_ms(300);
        }
    });
    node.expect_log("discovery-failed timed out: no complete data");
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        started_at.elapsed()
    );
    node.discovery.accept().expect("after=7 ");
    sender.join().unwrap();
}

#[test]
fn idle_watch_is_reopened_within_six_seconds_despite_a_failed_call() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD).send("1\r\n\n\r\n");
    let started_at = Instant::now();
    node.expect_log("discovery-failed timed out: no complete data");
    let mut call = node.discovery.accept();
    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    node.discovery.accept().expect("after=7 ");
    assert!(
        started_at.elapsed() < Duration::from_millis(5_600),
        "{:?}",
        started_at.elapsed()
    );
}

/// An indented object of a watch, with brackets and escapes in a string.
fn indented_update(revision: u32, endpoints: &[String]) -> String {
    let note = r#""note":"}]\"\\n{","#;
    let text =
        format!("{{\n  \"rev\": {revision},\n  {note}\n\n  \"all\": false,\n  \"targets\": [\n");
    text + &endpoints.join(",\n") + "\n  ]\n}\n"
}

#[test]
fn indented_watch_objects_are_parsed_across_chunk_boundaries() {
    let mut node = TestNode::start();
    let (second_backend, third_backend) = (StandIn::new(), StandIn::new());
    let mut watch = node.discovery.accept();
    let first_update = indented_update(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Terminating")],
    );
    let second_update = indented_update(
        9,
        &[endpoint_json("s-2", second_backend.address(), "Ready")],
    );
    watch.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    // The first update is sent with one byte per chunk. One chunk follows with the whole second
    // update and the start of a third one.
    for byte in first_update.chars() {
        watch.send(&chunk(&byte.to_string()));
    }
    watch.send(&chunk(&(second_update.clone() + &second_update[..40])));
    let mut client = node.client();
    client.send(&report_request("moved", 5000));
    second_backend.accept().expect("x-txn: moved\r\n");
    // After a reset in the middle of an object, the complete objects stay applied, and the new
    // watch resumes after them.
    watch.reset();
    node.expect_log("discovery-failed the connection ended");
    let mut second_watch = node.discovery.accept();
    second_watch.expect("after=9 ");
    let draining = endpoint_json("s-2", second_backend.address(), "Terminating");
    second_watch
        .send(WATCH_RESPONSE_HEAD)
        .send(&chunk(&indented_update(
            10,
            &[
                draining,
                endpoint_json("s-3", third_backend.address(), "Ready"),
            ],
        )));
    let mut other_client = node.client();
    other_client.send(&report_request("again", 5000));
    third_backend.accept().expect("x-txn: again\r\n");
}

#[test]
fn endless_watch_blocks_no_request() {
    let node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD);
    let empty_lines = chunk("\n").repeat(20_000);
    let sender = std::thread::spawn(move || while watch.try_send(&empty_lines) {});
    let mut client = node.client();
    for id in ["f1", "f2", "f3"] {
        client.send(&report_request(id, 15_000));
        let mut backend = node.backend.accept();
        backend.expect("body");
        backend.serve("200 OK\r\nConnection: close", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    drop(node);
    sender.join().unwrap();
}

#[test]
fn endless_object_ends_only_its_watch() {
    let mut node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch
        .send(WATCH_RESPONSE_HEAD)
        .send(&chunk("{\"rev\":8,\"targets\":["));
    let long_chunk = chunk(&"1,".repeat(32 * 1024));
    let sender = std::thread::spawn(move || while watch.try_send(&long_chunk) {});
    node.expect_log("discovery-failed BodyTooLarge");
    node.discovery.accept().expect("after=7 ");
    sender.join().unwrap();
    serve_next_request(&node, "next");
}

/// Sends eight requests and answers them at `backend`, all on one connection; returns that
/// connection.
fn serve_eight(client: &mut Connection, backend: &StandIn) -> Connection {
    let mut connection = None;
    for id in ["o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"] {
        client.send(&report_request(id, 5000));
        let connection = connection.get_or_insert_with(|| backend.accept());
        connection.expect("body");
        connection.serve("200 OK", id);
        client.expect(&format!("\r\n\r\n{id}"));
    }
    connection.expect("eight requests were served")
}

#[test]
fn drained_backend_is_used_again_only_after_a_newer_list_or_a_restart() {
    let mut node = TestNode::start();
    let other_backend = StandIn::new();
    let address = node.backend.address();
    let first_endpoint = |state| endpoint_json("s-1", address, state);
    let second_endpoint = |state| endpoint_json("s-2", other_backend.address(), state);
    let mut watch = node.discovery.accept();
    watch.send(&watch_response(
        9,
        &[first_endpoint("Terminating"), second_endpoint("Ready")],
    ));
    watch.close();
    // The next watch is at another replica of discovery, whose list is older.
    let mut stale_watch = node.discovery.accept();
    stale_watch.expect("after=9 ");
    let older_list = watch_response(8, &[first_endpoint("Ready"), second_endpoint("Ready")])
        .replace("false", "true ");
    stale_watch.send(&older_list);
    node.expect_log("older-list rev=8 known=9");
    let mut client = node.client();
    let mut backend = serve_eight(&mut client, &other_backend);
    assert!(node.backend.has_no_pending_connection());
    // The next update of this replica makes the drained backend ready, as its revision is higher
    // than that of the replica's own list. Idle connections close once a drain is applied.
    stale_watch.send(&watch_update(
        9,
        &[first_endpoint("Ready"), second_endpoint("Terminating")],
    ));
    backend.expect_close();
    client.send(&report_request("newer", 5000));
    let mut backend = wait_for(|| node.backend.try_accept());
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("served");
    // A backend that has restarted is used again, whatever the revision.
    let restarted = second_endpoint("Ready").replace("\"boot_ms\":0", "\"boot_ms\":9");
    stale_watch.send(&watch_update(
        7,
        &[first_endpoint("Terminating"), restarted],
    ));
    backend.expect_close();
    client.send(&report_request("started", 5000));
    wait_for(|| other_backend.try_accept()).expect("x-txn: started\r\n");
}

/// Guards against a send to a backend that drains by what discovery knows, from the cached list of
/// a node that has just started (review/9).
#[test]
fn nothing_is_forwarded_before_discovery_has_sent_something_where_lists_are_pushed() {
    let node = TestNode::with_config(with_pushed_lists);
    let mut watch = node.discovery.accept();
    let mut client = node.client();
    client.send(&report_request("early", 5000));
    let head = client.expect("discovery has not spoken\n");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(node.backend.has_no_pending_connection());
    watch.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    node.wait_for_iteration();
    client.send(&report_request("synced", 5000));
    let mut backend = node.backend.accept();
    backend.expect("x-txn: synced\r\n");
    backend.expect("body");
    backend.serve("200 OK", "served");
    client.expect("served");
}

/// How discovery treats a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Treatment {
    /// It rejects the call at once.
    Reject,
    /// It resets the connection.
    Reset,
    /// It rejects the call after the call has waited for 3 s.
    RejectLate,
    /// It never answers.
    Hang,
}

/// Treats a call like this. Returns what keeps it open, if anything does.
fn treat(mut call: Connection, treatment: Treatment) -> Option<std::thread::JoinHandle<()>> {
    const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    match treatment {
        Treatment::Reject => drop(call.send(REJECTION)),
        Treatment::Reset => call.reset(),
        Treatment::RejectLate | Treatment::Hang => {
            return Some(std::thread::spawn(move || {
                sleep_ms(3_000);
                if treatment == Treatment::RejectLate {
                    call.try_send(REJECTION);
                } else {
                    sleep_ms(4_000);
                }
            }));
        }
    }
    None
}

/// How the watch ends before discovery is back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Discovery goes down: the watch ends, and three calls are rejected at once.
    Down,
    /// The watch ends, and nothing else.
    WatchEnds,
    /// The watch falls silent.
    WatchSilent,
}

/// Returns how long after an outage discovery can answer a call, if it treats the first calls after
/// it like this.
fn time_to_an_answered_call(outage: Outage, treatments: &[Treatment]) -> Duration {
    let node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    node.wait_for_iteration();
    let mut back_at = Instant::now();
    if outage == Outage::WatchSilent {
        // The node closes the silent watch before it calls again.
        watch.expect_close();
    } else {
        watch.close();
    }
    if outage == Outage::Down {
        for _ in 0..3 {
            treat(node.discovery.accept(), Treatment::Reject);
            back_at = Instant::now();
        }
    }
    let open_calls: Vec<_> = treatments
        .iter()
        .filter_map(|treatment| treat(node.discovery.accept(), *treatment))
        .collect();
    node.discovery.accept().expect("after=7 ");
    let elapsed = back_at.elapsed();
    drop(node);
    for call in open_calls {
        call.join().unwrap();
    }
    elapsed
}

/// Guards against learning of a drain too late: a change counts as notified 6 s after discovery has
/// it and can be reached, whatever became of the calls in between.
#[test]
fn a_call_can_be_answered_within_six_seconds_after_each_order_of_failed_calls() {
    use Treatment::{Hang, Reject, RejectLate, Reset};
    let orders: [(Outage, &[Treatment]); 14] = [
        (Outage::Down, &[RejectLate]),
        (Outage::Down, &[RejectLate, RejectLate]),
        (Outage::Down, &[Hang]),
        (Outage::Down, &[Hang, Hang]),
        (Outage::Down, &[Hang, RejectLate]),
        (Outage::Down, &[RejectLate, Reject]),
        (Outage::Down, &[Reject, RejectLate]),
        (Outage::Down, &[Reset, Hang]),
        (Outage::Down, &[Reject, Reset]),
        (Outage::WatchEnds, &[RejectLate]),
        (Outage::WatchEnds, &[RejectLate, Reset]),
        (Outage::WatchEnds, &[Hang, RejectLate]),
        (Outage::WatchSilent, &[RejectLate]),
        (Outage::WatchSilent, &[Hang]),
    ];
    let runs = orders.map(|(outage, treatments)| {
        std::thread::spawn(move || {
            let elapsed = time_to_an_answered_call(outage, treatments);
            (outage, treatments, elapsed)
        })
    });
    for run in runs {
        let (outage, treatments, elapsed) = run.join().unwrap();
        assert!(
            elapsed < Duration::from_secs(6),
            "{outage:?}, {treatments:?}: {elapsed:?}"
        );
    }
}

/// Guards against hedged calls where the list was confirmed a moment ago: many nodes that call at
/// once must not call twice.
#[test]
fn unanswered_call_is_not_hedged_soon_after_the_list_was_confirmed() {
    let node = TestNode::start();
    let mut watch = node.discovery.accept();
    watch.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    node.wait_for_iteration();
    watch.close();
    let mut call = node.discovery.accept();
    call.expect("after=7 ");
    sleep_ms(2_000);
    call.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    node.wait_for_iteration();
    assert!(node.discovery.has_no_pending_connection());
}

/// Guards against two open watches: the first answer closes the other calls.
#[test]
fn hedged_watches_close_once_one_of_them_is_answered() {
    let node = TestNode::start();
    let mut first_call = node.discovery.accept();
    first_call.expect("after=7 ");
    let mut second_call = node.discovery.accept();
    second_call.expect("after=7 ");
    second_call.send(WATCH_RESPONSE_HEAD).send(&chunk("\n"));
    first_call.expect_close();
    sleep_ms(1_800);
    assert!(node.discovery.has_no_pending_connection());
    assert!(!second_call.is_closed());
}

/// Guards against hedged calls that keep an overloaded discovery overloaded: once it has rejected
/// two calls after they had waited, a node has one call open at a time.
#[test]
fn calls_are_not_hedged_while_discovery_rejects_them_late() {
    let node = TestNode::start();
    let started_at = Instant::now();
    let mut calls = Vec::new();
    let mut opened_at = Vec::new();
    while started_at.elapsed() < Duration::from_secs(15) {
        calls.extend(treat(node.discovery.accept(), Treatment::RejectLate));
        opened_at.push(Instant::now());
    }
    let second_rejection_at = opened_at[1] + Duration::from_secs(3);
    for (index, at) in opened_at.iter().enumerate() {
        // The rejection is read a moment later.
        let is_settled = *at > second_rejection_at + Duration::from_millis(100);
        let is_open = |other: &&Instant| **other + Duration::from_secs(3) > *at;
        let open = opened_at[..index].iter().filter(is_open).count();
        assert!(!is_settled || open == 0, "call {index}, {open} are open");
    }
    drop(node);
    for call in calls {
        call.join().unwrap();
    }
}
