//! The terms of `docs/design/terms.md`, each forced on real sockets.

mod deadline;
mod faults;
mod half_close;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::common::{Line, Party};

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
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{txn}", txn.len());
        if !line.try_send(&answer) {
            return;
        }
    }
}
