//! System calls that fail for a moment cost no client its answer and stop no other work.

use std::time::{Duration, Instant};

use super::{EchoBackend, ask, world_of};
use crate::common::{World, report};

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
        "connect=EADDRNOTAVAIL,chance:0.5",
        "connect=ENOBUFS,chance:0.5",
        "poll=ENOMEM,chance:0.3",
    ] {
        let (world, backend) = world(plan);
        let served = ask(&world, 120);
        assert!(served >= 114, "{plan}: {served} of 120 served, {} at the backend", backend.served());
    }
}

#[test]
fn an_accept_that_fails_for_a_moment_holds_up_no_other_client() {
    for errno in
        ["ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ECONNABORTED", "ENETDOWN", "EHOSTUNREACH", "EPERM"]
    {
        let (world, _backend) = world(&format!("accept={errno},every:5"));
        let mut idle = world.client();
        idle.send(crate::common::HEALTH).expect("ok\n");
        let since = Instant::now();
        for number in 0..100 {
            let mut client = world.client();
            let name = format!("r{number}");
            client.send(&report(&name, 3_000)).expect(&format!("\r\n\r\n{name}"));
        }
        assert!(since.elapsed() < Duration::from_millis(1_200), "{errno}: {:?}", since.elapsed());
        assert!(!idle.has_ended(), "{errno}: an idle session was given up");
    }
}
