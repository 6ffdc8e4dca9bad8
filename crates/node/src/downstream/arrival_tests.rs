//! Unit tests of the arrival times that are derived from reads and polls.

use super::*;

const READ_AT: Nanos = 10_000 * MS;

/// The tracker of a socket that was read empty at `empty_at` and is registered for events since
/// `watched_since`.
fn tracker(empty_at: Nanos, watched_since: Nanos) -> ArrivalTracker {
    ArrivalTracker {
        empty_at,
        ..ArrivalTracker::new(watched_since, empty_at)
    }
}

#[test]
fn arrival_time_is_the_read_time_soon_after_a_poll_or_an_empty_read() {
    let previous_poll_at = READ_AT - MAX_POLL_GAP;
    assert_eq!(
        tracker(READ_AT - 5_000 * MS, READ_AT - 9_000 * MS)
            .earliest_arrival(READ_AT, previous_poll_at),
        READ_AT
    );
    assert_eq!(
        tracker(READ_AT - 10 * MS, READ_AT - 9_000 * MS).earliest_arrival(READ_AT, 0),
        READ_AT
    );
}

#[test]
fn bytes_read_after_a_stall_count_as_arriving_at_the_previous_poll() {
    let previous_poll_at = READ_AT - 800 * MS;
    assert_eq!(
        tracker(READ_AT - 5_000 * MS, READ_AT - 9_000 * MS)
            .earliest_arrival(READ_AT, previous_poll_at),
        previous_poll_at
    );
}

#[test]
fn previous_poll_is_ignored_if_the_socket_was_unwatched_or_has_unread_bytes() {
    let (empty_at, previous_poll_at) = (READ_AT - 700 * MS, READ_AT - 10 * MS);
    assert_eq!(
        tracker(empty_at, READ_AT - 5 * MS).earliest_arrival(READ_AT, previous_poll_at),
        empty_at
    );
    let with_unread = ArrivalTracker {
        has_unread: true,
        ..tracker(empty_at, 0)
    };
    assert_eq!(
        with_unread.earliest_arrival(READ_AT, previous_poll_at),
        empty_at
    );
}
