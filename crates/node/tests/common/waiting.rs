//! Waiting for an event, and letting time pass.

use std::time::Duration;

/// A test that waits longer for anything has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls for a value until it is there.
pub fn wait_for<T>(find: impl Fn() -> Option<T>) -> T {
    let started_at = std::time::Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "it never came");
        sleep_ms(1);
    }
}

/// Lets a time limit run out that is part of what is played.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
