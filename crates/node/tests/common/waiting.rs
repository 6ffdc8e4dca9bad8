//! Waiting for conditions, and sleeping.

use std::time::Duration;

/// A test that waits longer than this for a single event fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls `find` every millisecond until it returns a value; panics after [`TEST_TIMEOUT`].
pub fn wait_for<T>(find: impl Fn() -> Option<T>) -> T {
    let started_at = std::time::Instant::now();
    loop {
        if let Some(value) = find() {
            return value;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the condition was not met in time"
        );
        sleep_ms(1);
    }
}

/// Sleeps for a time that is part of the test scenario, such as until a time limit has passed. To
/// wait for an event, use [`wait_for`] instead.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
