//! Waiting for an event, and letting time pass.

use std::time::Duration;

/// A test that waits longer for anything has failed.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Polls for a value until it is there.
pub fn until<T>(find: impl Fn() -> Option<T>) -> T {
    let since = std::time::Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(since.elapsed() < LIMIT, "it never came");
        pass(1);
    }
}

/// Lets a time limit run out that is part of what is played.
pub fn pass(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
