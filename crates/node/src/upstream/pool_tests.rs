//! Unit tests of the pool of idle connections.

use super::*;

const BACKEND: BackendId = BackendId(1);
/// Longer than the rest of a connection after an answer.
const RESTED: Nanos = 15 * MS;

fn pool(idle_since: &[Nanos]) -> Pool {
    let mut pool = Pool::default();
    for (number, at) in idle_since.iter().enumerate() {
        pool.put(BACKEND, number as u32, *at);
    }
    pool
}

#[test]
fn attempt_waits_for_a_resting_connection_and_then_gets_it() {
    let mut pool = pool(&[0]);
    assert_eq!(pool.take(BACKEND, MS, SECOND), IdleConnection::Resting);
    let reusable = IdleConnection::Reusable(0);
    assert_eq!(pool.take(BACKEND, RESTED, SECOND), reusable);
    assert_eq!(pool.take(BACKEND, RESTED, SECOND), IdleConnection::None);
}

#[test]
fn attempt_does_not_wait_if_the_rest_ends_too_late() {
    assert_eq!(pool(&[0]).take(BACKEND, MS, 2 * MS), IdleConnection::None);
    let mut pool = pool(&[0]);
    pool.record_unexpected_bytes(SECOND, 0);
    assert_eq!(pool.take(BACKEND, MS, SECOND), IdleConnection::None);
}

#[test]
fn recently_used_connection_is_taken_while_a_newer_one_rests() {
    let now = RESTED + MS;
    let taken = pool(&[0, RESTED]).take(BACKEND, now, now + SECOND);
    assert_eq!(taken, IdleConnection::Reusable(0));
}

#[test]
fn resting_connection_is_preferred_to_one_that_was_idle_for_long() {
    let newest_since = RECENT_USE_PERIOD + MS;
    let now = newest_since + MS;
    let mut pool = pool(&[0, newest_since]);
    let waiting = pool.take(BACKEND, now, now + SECOND);
    assert_eq!(waiting, IdleConnection::Resting);
    // An attempt that can't wait takes the older one.
    let taken = pool.take(BACKEND, now, now + MS);
    assert_eq!(taken, IdleConnection::Reusable(0));
}
