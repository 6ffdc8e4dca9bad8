//! System calls that fail for a moment cost no client its answer and stop no other work.

use std::time::{Duration, Instant};

use super::{EchoBackend, ask, world_of};
use crate::common::{Line, World, report, slow_to_connect};

fn world(plan: &str) -> (World, EchoBackend) {
    world_of(|config| World::with_faults(plan, config))
}

#[test]
fn calls_that_are_interrupted_or_short_cost_no_client_its_answer() {
    for plan in [
        "send=EINTR,every:3",
        "send=short,every:2",
        "recv=EINTR,every:3",
        "recv=short,every:2",
        "epoll_wait=EINTR,every:3",
    ] {
        let (world, backend) = world(plan);
        let served = ask(&world, 120);
        assert_eq!((served, backend.served()), (120, 120), "{plan}");
    }
}

#[test]
fn calls_that_fail_for_a_moment_cost_no_client_its_answer() {
    for plan in [
        "send=ENOBUFS,chance:0.12",
        "send=ENOMEM,chance:0.12",
        "recv=ENOMEM,chance:0.12",
        "epoll_ctl=ENOMEM,chance:0.2",
        "epoll_ctl=ENOSPC,chance:0.2",
        "socket=ENFILE,chance:0.5",
        "socket=ENOBUFS,chance:0.5",
        "socket=ENOMEM,chance:0.5",
        "connect=ENETDOWN,chance:0.5",
        "connect=ENETUNREACH,chance:0.5",
        "recv=ENOBUFS,chance:0.12",
        "connect=EADDRNOTAVAIL,chance:0.5",
        "connect=ENOBUFS,chance:0.5",
        "poll=ENOMEM,chance:0.3",
    ] {
        let (world, backend) = world(plan);
        let served = ask(&world, 120);
        assert!(
            served >= 114,
            "{plan}: {served} of 120 served, {} at the backend",
            backend.served()
        );
    }
}

#[test]
fn an_accept_that_fails_for_a_moment_holds_up_no_other_client() {
    for errno in [
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTO",
        "ECONNABORTED",
        "ENETDOWN",
        "ENETUNREACH",
        "EHOSTDOWN",
        "EHOSTUNREACH",
        "ENOPROTOOPT",
        "EOPNOTSUPP",
        "ENONET",
        "EPERM",
        "ETIMEDOUT",
        "ECONNRESET",
        "EINTR",
    ] {
        let (world, _backend) = world(&format!("accept={errno},every:5"));
        let mut idle = world.client();
        idle.send(crate::common::HEALTH).expect("ok\n");
        let since = Instant::now();
        for number in 0..100 {
            let mut client = world.client();
            let name = format!("r{number}");
            client
                .send(&report(&name, 3_000))
                .expect(&format!("\r\n\r\n{name}"));
        }
        assert!(
            since.elapsed() < Duration::from_millis(1_200),
            "{errno}: {:?}",
            since.elapsed()
        );
        assert!(!idle.has_ended(), "{errno}: an idle session was given up");
    }
}

#[test]
fn a_shortage_of_this_machine_neither_burns_an_attempt_nor_speaks_against_the_backend() {
    for fault in [
        "connect=EADDRNOTAVAIL",
        "connect=ENETUNREACH",
        "socket=ENFILE",
        "epoll_ctl=ENOMEM",
    ] {
        let party = crate::common::Party::new();
        let address = party.address();
        let world = World::with_faults(&format!("{fault},from:300,to:700"), |config| {
            slow_to_connect(config, address).replace(r#""maxAttempts":5"#, r#""maxAttempts":1"#)
        });
        let _backend = EchoBackend::serve(party);
        let mut client = world.client();
        client.send(crate::common::HEALTH).expect("ok\n");
        crate::common::pass(400);
        client.send(&report("once", 3_000)).expect("\r\n\r\nonce");
        let log = world.last_log();
        assert!(!log.contains("ejected"), "{fault}: {log}");
    }
}

#[test]
fn a_shortage_that_lasts_is_not_spun_on() {
    for fault in [
        "send=ENOBUFS",
        "recv=ENOMEM",
        "accept=ENFILE",
        "connect=EADDRNOTAVAIL",
        "socket=ENOBUFS",
    ] {
        let (world, _backend) = world(&format!("{fault},from:300,to:1300"));
        assert_eq!(ask(&world, 5), 5, "{fault}");
        let mut clients: Vec<Line> = (0..5).map(|_| world.client()).collect();
        crate::common::pass(400);
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&report(&format!("s{number}"), 4_000));
        }
        let before = world.cpu();
        crate::common::pass(700);
        let used = world.cpu() - before;
        assert!(
            used < Duration::from_millis(200),
            "{fault}: {used:?} of a core in 0.7 s"
        );
        for (number, mut client) in clients.into_iter().enumerate() {
            client.expect(&format!("\r\n\r\ns{number}"));
        }
    }
}

#[test]
fn a_connection_that_breaks_with_any_errno_costs_its_own_client_only() {
    for plan in [
        "recv=ETIMEDOUT,chance:0.05",
        "recv=EHOSTUNREACH,chance:0.05",
        "recv=ECONNRESET,chance:0.05",
        "recv=ENETUNREACH,chance:0.05",
        "send=ECONNRESET,chance:0.05",
        "send=EHOSTUNREACH,chance:0.05",
        "send=ENETUNREACH,chance:0.05",
        "connect=ETIMEDOUT,chance:0.3",
        "connect=ECONNRESET,chance:0.3",
        "send=EPIPE,chance:0.05",
        "send=ETIMEDOUT,chance:0.05",
        "connect=ECONNREFUSED,chance:0.3",
        "connect=EHOSTUNREACH,chance:0.3",
    ] {
        let (world, _backend) = world(plan);
        let answered = (0..120).filter(|number| {
            let mut client = world.client();
            client.send(&report(&format!("r{number}"), 3_000));
            client.expect_or_end("\r\n\r\n").is_some()
        });
        let answered = answered.count();
        assert!(answered >= 90, "{plan}: {answered} of 120 answered");
        assert!(world.is_running(), "{plan}");
    }
}

#[test]
fn a_signal_whose_wake_up_is_lost_is_taken_all_the_same() {
    // The handler wakes the loop by a byte on a socket; the machine has no memory for it.
    let mut world = World::with_faults("send=ENOBUFS", |config| config);
    world.reload(|config| config.replace(r#""seed":"8c1f""#, r#""seed":"zz""#));
    world.expect_log("reload-failed");
    world.terminate();
    assert!(world.wait_exit().success());
}

#[test]
fn a_process_out_of_descriptors_for_a_moment_answers_all_the_same() {
    for plan in ["accept=EMFILE,chance:0.1", "socket=EMFILE,chance:0.3"] {
        let (world, _backend) = world(plan);
        assert_eq!(ask(&world, 60), 60, "{plan}");
    }
}

#[test]
fn a_configuration_that_gives_an_io_error_changes_nothing_and_is_read_again() {
    let (mut world, backend) = world_of(|config| World::with(config));
    world.reload_unreadable();
    let log = world.expect_log("reload-failed");
    assert!(log.contains("os error 5"), "{log}");
    assert_eq!(ask(&world, 10), 10);
    assert_eq!(backend.served(), 10);
    world.reload_sound();
    world.expect_log("reload discovery=");
}

#[test]
fn a_configuration_that_never_ends_or_never_comes_holds_up_nobody() {
    for put in [
        |world: &World| world.reload_from("/dev/zero"),
        World::reload_from_pipe,
    ] {
        let (mut world, backend) = world_of(|config| World::with(config));
        put(&world);
        world.expect_log("reload-failed");
        assert_eq!((ask(&world, 10), backend.served()), (10, 10));
        world.reload_sound();
        world.expect_log("reload discovery=");
    }
}

#[test]
fn a_request_that_cannot_be_read_for_a_moment_when_the_node_stops_accepting_is_answered() {
    // The node stops accepting 0.6 s after SIGTERM, in the span in which nothing can be read.
    let started = Instant::now();
    let (world, _backend) = world("recv=ENOMEM,from:1500,to:1900");
    let mut client = world.client();
    client.send(&report("first", 3_000)).expect("\r\n\r\nfirst");
    let mut idle = world.client();
    idle.send(crate::common::HEALTH).expect("ok\n");
    wait_until(started, Duration::from_millis(1_150));
    world.terminate();
    wait_until(started, Duration::from_millis(1_650));
    client.send(&report("second", 3_000));
    let head = client
        .expect_or_end("\r\n\r\n")
        .expect("an answer, not a close");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    client.expect("second");
    // What has asked nothing is not waited for.
    idle.expect_end();
    client.expect_end();
    assert!(
        started.elapsed() < Duration::from_millis(3_000),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(world.wait_exit().code(), Some(0));
}

fn wait_until(started: Instant, time: Duration) {
    crate::common::pass(time.saturating_sub(started.elapsed()).as_millis() as u64);
}
