//! A request that was read gets an answer, also where its client has ended its sending behind it.
//! Nothing is sent on for such a client: a half-close can't be told from a close.

use crate::common::{World, pass, report};

#[test]
fn a_client_that_ends_its_sending_behind_its_request_is_refused_and_not_sent_on() {
    let world = World::start();
    world.stall();
    let mut client = world.client();
    client.send(&report("half", 5_000));
    client.end();
    world.go_on();
    assert!(client.expect_end().starts_with("HTTP/1.1 503 "));
    assert!(world.backend.is_quiet());
}

#[test]
fn a_client_that_ends_its_sending_while_its_request_is_held_is_refused() {
    let world =
        World::with(|config| config.replace(r#""state":"Ready""#, r#""state":"Terminating""#));
    let mut client = world.client();
    client.send(&report("held", 5_000));
    world.turn();
    client.end();
    assert!(client.expect_end().starts_with("HTTP/1.1 503 "));
}

#[test]
fn a_client_that_ends_its_sending_while_its_attempt_is_out_is_told_that_it_failed() {
    let world = World::start();
    let mut client = world.client();
    client.send(&report("out", 5_000));
    let mut backend = world.backend.wait();
    backend.expect("body");
    client.end();
    // It may have run, so it is no refusal; and its attempt is called off.
    assert!(client.expect_end().starts_with("HTTP/1.1 502 "));
    assert_eq!(backend.expect_end(), "");
}

#[test]
fn a_client_that_ends_its_sending_behind_half_a_request_is_told_that_it_is_not_whole() {
    let world = World::start();
    let mut client = world.client();
    let whole = report("part", 5_000);
    client.send(&whole[..whole.len() - 2]);
    world.turn();
    client.end();
    let answer = client.expect_end();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
        "{answer}"
    );
    pass(20);
    assert!(world.backend.is_quiet());
}
