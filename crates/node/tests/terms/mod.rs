//! The terms of `docs/design/protocol-rules.md`, each forced on real sockets.

mod clock;
mod deadline;
mod faults;
mod half_close;
mod log;
mod unframed;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::common::{Line, Party, World, entry, report};

/// The slack that the terms give the time told to a backend.
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// A backend that answers each request on each connection with its `X-Txn`, and counts them.
struct EchoBackend {
    served: Arc<AtomicUsize>,
}

impl EchoBackend {
    fn serve(party: Party) -> EchoBackend {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        std::thread::spawn(move || {
            while let Some(line) = party.wait_or_end() {
                let count = count.clone();
                std::thread::spawn(move || answer_each(line, &count));
            }
        });
        EchoBackend { served }
    }

    fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }
}

fn answer_each(mut line: Line, count: &AtomicUsize) {
    while let Some(head) = line.expect_or_end("body") {
        let txn = crate::common::header(&head, "x-txn").to_string();
        count.fetch_add(1, Ordering::SeqCst);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{txn}",
            txn.len()
        );
        if !line.try_send(&answer) {
            return;
        }
    }
}

/// A node that is started by `start`, and whose one backend answers everything.
fn world_of(start: impl Fn(&dyn Fn(String) -> String) -> World) -> (World, EchoBackend) {
    let party = Party::new();
    let address = party.address();
    let world = start(&|config: String| {
        let from = config.find(r#""targets":["#).expect("a list");
        let to = from + config[from..].find("]}").expect("its end");
        config[..from].to_string()
            + r#""targets":["#
            + &entry("s-1", address, "Ready")
            + &config[to..]
    });
    (world, EchoBackend::serve(party))
}

/// So many requests on connections that are kept, a new one after each tenth; gives how many were
/// served. Each gets a whole answer.
fn ask(world: &World, count: usize) -> usize {
    let mut client: Option<Line> = None;
    let mut served = 0;
    for number in 0..count {
        let mut line = client.take().unwrap_or_else(|| world.client());
        let name = format!("r{number}");
        line.send(&report(&name, 3_000));
        let head = line
            .expect_or_end("\r\n\r\n")
            .unwrap_or_else(|| panic!("{name} got no answer"));
        let length: usize = crate::common::header(&head, "content-length")
            .parse()
            .unwrap();
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
