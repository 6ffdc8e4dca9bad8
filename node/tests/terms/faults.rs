//! System calls that fail for a moment cost no client its answer and stop no other work.

use super::EchoBackend;
use crate::common::{Line, Party, World, entry, report};

/// A node under a fault plan whose one backend answers everything.
fn world(plan: &str) -> (World, EchoBackend) {
    let party = Party::new();
    let address = party.address();
    let world = World::with_faults(plan, |config| {
        let from = config.find(r#""targets":["#).expect("a list");
        let to = from + config[from..].find("]}").expect("its end");
        config[..from].to_string() + r#""targets":["# + &entry("s-1", address, "Ready") + &config[to..]
    });
    (world, EchoBackend::serve(party))
}

/// So many requests on connections that are kept, a new one after each tenth; gives how many were served.
/// Each gets a whole answer.
fn ask(world: &World, count: usize) -> usize {
    let mut client: Option<Line> = None;
    let mut served = 0;
    for number in 0..count {
        let mut line = client.take().unwrap_or_else(|| world.client());
        let name = format!("r{number}");
        line.send(&report(&name, 3_000));
        let head = line.expect_or_end("\r\n\r\n").unwrap_or_else(|| panic!("{name} got no answer"));
        let length: usize = crate::common::header(&head, "content-length").parse().unwrap();
        let body = line.take(length);
        if head.starts_with("HTTP/1.1 200 ") {
            assert_eq!(body, name);
            served += 1;
        }
        if number % 10 != 9 && !head.contains("connection: close") {
            client = Some(line);
        }
    }
    served
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
