//! The deadline passed to a backend is at most what the client has left, with 0.15 s of slack.

use std::time::{Duration, Instant};

use super::TOLD_SLACK;
use crate::common::{HEALTH, Line, Party, World, header, pass, report, slow_to_connect};

const PATIENCE_MS: u32 = 4_000;
const PATIENCE: Duration = Duration::from_millis(PATIENCE_MS as u64);

/// The request that has come on a backend's connection was told no more than its client has left.
fn expect_told(backend: &mut Line, sent: Instant) {
    let head = backend.expect("body");
    let left = PATIENCE.saturating_sub(sent.elapsed());
    let told = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(told <= left + TOLD_SLACK, "told {told:?}, left {left:?}");
}

#[test]
fn a_connection_that_comes_up_late_is_told_what_is_left_then() {
    let (full, queued) = Party::full();
    let world = World::with(|config| slow_to_connect(config, full.address()));
    let mut client = world.client();
    let sent = Instant::now();
    client.send(&report("late", PATIENCE_MS));
    pass(300);
    // The kernel of the backend's machine takes the connection in once there is room.
    drop(queued);
    full.wait();
    expect_told(&mut full.wait(), sent);
}

#[test]
fn a_request_that_waited_behind_another_is_told_what_is_left() {
    for in_one_piece in [false, true] {
        let world = World::start();
        let mut client = world.client();
        let (first, second) = (report("first", 5_000), report("second", PATIENCE_MS));
        let mut sent = Instant::now();
        client.send(&if in_one_piece { first + &second } else { first });
        let mut backend = world.backend.wait();
        backend.expect("body");
        if !in_one_piece {
            sent = Instant::now();
            client.send(&second);
        }
        pass(600);
        backend.serve("200 OK", "first");
        expect_told(&mut backend, sent);
    }
}

#[test]
fn a_request_that_lay_in_the_kernel_through_a_stall_is_told_what_is_left() {
    for in_accept_queue in [false, true] {
        let world = World::start();
        let mut known = world.client();
        known.send(HEALTH).expect("ok\n");
        world.stall();
        let sent = Instant::now();
        let mut client = if in_accept_queue {
            world.client()
        } else {
            known
        };
        client.send(&report("stalled", PATIENCE_MS));
        pass(800);
        world.go_on();
        expect_told(&mut world.backend.wait(), sent);
    }
}

#[test]
fn a_retry_is_told_what_is_left_when_it_goes_out() {
    // An attempt is not called off as overdue within the pause.
    let patient =
        |config: String| config.replace(r#""goalTimeNs":300000000"#, r#""goalTimeNs":3000000000"#);
    let world = World::with(patient);
    let mut client = world.client();
    client.send(&report("w0", 5_000));
    let mut backend = world.backend.wait();
    for number in 1..=5 {
        // Served first tries pay for a retry.
        backend.expect("body");
        backend.serve("200 OK", "warm");
        client.expect("warm");
        let name = format!("w{number}");
        client.send(&report(
            if number < 5 { &name } else { "again" },
            PATIENCE_MS,
        ));
    }
    let sent = Instant::now();
    expect_told(&mut backend, sent);
    pass(400);
    backend.serve("503 Service Unavailable\r\nX-Turned-Away: 1", "");
    expect_told(&mut backend, sent);
}

#[test]
fn a_request_that_arrives_at_an_idle_node_is_told_nearly_all_of_its_time() {
    let world = World::start();
    let mut client = world.client();
    client.send(HEALTH).expect("ok\n");
    pass(1_500);
    let sent = Instant::now();
    client.send(&report("idle", PATIENCE_MS));
    let head = world.backend.wait().expect("body");
    let told = Duration::from_millis(header(&head, "x-remaining-ms").parse().unwrap());
    assert!(
        told + TOLD_SLACK >= PATIENCE.saturating_sub(sent.elapsed()),
        "told only {told:?}"
    );
}
