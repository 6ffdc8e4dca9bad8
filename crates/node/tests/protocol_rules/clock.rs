//! The wall clock may be stepped, so the node derives the age of a backend from the start times
//! that discovery sends and from when the node receives them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::common::{Connection, TestNode, endpoint_json, sleep_ms, watch_response, watch_update};

fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64
}

/// A ready endpoint with its start time, in Unix milliseconds.
fn endpoint_started_at(node: &TestNode, uid: &str, boot_ms: i64) -> String {
    endpoint_json(uid, node.backend.address(), "Ready")
        .replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))
}

/// A node whose wall clock follows `plan`, and its watch, on which the first list was sent.
fn node_with_watch(plan: &str) -> (TestNode, Connection) {
    let node =
        TestNode::with_faults_and_environment(plan, &[("BALANCER_TRACE", "1")], |config| config);
    let mut watch = node.discovery.accept();
    watch.expect("\r\n\r\n");
    watch.send(&watch_response(
        8,
        &[endpoint_json("s-1", node.backend.address(), "Ready")],
    ));
    (node, watch)
}

/// A node whose wall clock follows `plan`. Its cached list has one backend, `s-2`, which started at
/// `boot_ms`, in Unix milliseconds.
fn node_with_new_backend(plan: &str, boot_ms: i64) -> TestNode {
    TestNode::with_faults_and_environment(plan, &[("BALANCER_TRACE", "1")], |config| {
        let with_new_uid = config.replace(r#""uid":"s-1""#, r#""uid":"s-2""#);
        with_new_uid.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))
    })
}

/// Waits for the next trace line about a list entry of the backend `uid`. Returns the backend's age
/// from that line, in milliseconds; -1 if the backend started long ago.
fn age_ms(node: &mut TestNode, uid: &str) -> i64 {
    let lines = node.expect_log(&format!("uid={uid} "));
    let line = lines
        .lines()
        .rfind(|line| line.contains(&format!("uid={uid} ")))
        .unwrap();
    let age = line
        .split("age_ms=")
        .nth(1)
        .expect("the line has an age")
        .split(' ')
        .next()
        .unwrap();
    age.parse().unwrap()
}

const HOUR_MS: i64 = 3_600_000;

#[test]
fn backend_start_on_an_open_watch_is_recent_despite_wrong_clocks() {
    // In the first case, the node's clock is an hour ahead from its start. In the second case, the
    // clocks of the backends' machines are set back by an hour while the node runs.
    for (plan, machine_offset_ms) in [("clock=step:3600", 0), ("", -HOUR_MS)] {
        let (mut node, mut watch) = node_with_watch(plan);
        let boot_ms = unix_ms() + machine_offset_ms - 500;
        watch.send(&watch_update(
            9,
            &[endpoint_started_at(&node, "s-2", boot_ms)],
        ));
        let age = age_ms(&mut node, "s-2");
        assert!(
            (0..=6_000).contains(&age),
            "{plan} {machine_offset_ms}: {age} ms"
        );
    }
}

#[test]
fn backend_start_in_the_future_counts_as_happening_now() {
    for (plan, machine_offset_ms) in [("clock=step:-3600", 0), ("", HOUR_MS)] {
        let (mut node, mut watch) = node_with_watch(plan);
        watch.send(&watch_update(
            9,
            &[endpoint_started_at(
                &node,
                "s-2",
                unix_ms() + machine_offset_ms,
            )],
        ));
        let age = age_ms(&mut node, "s-2");
        assert!(
            (0..=100).contains(&age),
            "{plan} {machine_offset_ms}: {age} ms"
        );
    }
}

#[test]
fn clock_step_while_the_node_runs_does_not_make_a_new_backend_old() {
    for step in [3, -3, 3_600, -3_600] {
        let (mut node, mut watch) = node_with_watch(&format!("clock=step:{step},from:200"));
        sleep_ms(400);
        // The clock of the backend's machine is stepped too.
        let boot_ms = unix_ms() + step * 1_000 - 1_000;
        watch.send(&watch_update(
            9,
            &[endpoint_started_at(&node, "s-2", boot_ms)],
        ));
        let age = age_ms(&mut node, "s-2");
        assert!((0..=1_500).contains(&age), "{step}: {age} ms");
    }
}

#[test]
fn clock_ahead_since_the_node_started_does_not_raise_the_age_of_a_backend() {
    for step in [2, 5] {
        let (mut node, mut watch) = node_with_watch(&format!("clock=step:{step}"));
        for (revision, uid, delay_ms) in [(9, "s-2", 200), (10, "s-3", 1_500)] {
            watch.send(&watch_update(
                revision,
                &[endpoint_started_at(&node, uid, unix_ms() - delay_ms)],
            ));
            let age = age_ms(&mut node, uid);
            assert!(
                (0..=delay_ms + 100).contains(&age),
                "clock {step} s ahead, notified after {delay_ms} ms: {age} ms"
            );
        }
    }
}

#[test]
fn backend_start_on_the_first_list_is_recent_despite_a_wrong_clock() {
    for (plan, start_age_ms) in [
        ("", 500),
        ("clock=step:3600", 500),
        ("clock=step:-3600", 500),
        ("", HOUR_MS),
    ] {
        let mut node = node_with_new_backend(plan, unix_ms() - start_age_ms);
        let age = age_ms(&mut node, "s-2");
        assert!((0..=100).contains(&age), "{plan} {start_age_ms}: {age} ms");
    }
    // Three hours can't be explained by a clock that is off by an hour, so the backend counts as
    // started long ago.
    let mut node = node_with_new_backend("clock=step:3600", unix_ms() - 3 * HOUR_MS);
    assert_eq!(age_ms(&mut node, "s-2"), -1);
}

#[test]
fn age_follows_from_the_listed_start_if_the_node_clock_is_correct() {
    let (mut node, mut watch) = node_with_watch("");
    // The first start that is notified without delay shows that the clock is not ahead.
    watch.send(&watch_update(
        9,
        &[endpoint_started_at(&node, "s-4", unix_ms())],
    ));
    watch.send(&watch_update(
        10,
        &[endpoint_started_at(&node, "s-2", unix_ms() - 3_000)],
    ));
    let age = age_ms(&mut node, "s-2");
    assert!((2_900..=3_500).contains(&age), "{age} ms");
    // A start time of 0 means that the backend started long ago.
    sleep_ms(Duration::from_millis(100).as_millis() as u64);
    watch.send(&watch_update(11, &[endpoint_started_at(&node, "s-3", 0)]));
    assert_eq!(
        age_ms(&mut node, "s-3"),
        -1,
        "a backend that started long ago has no age"
    );
}
