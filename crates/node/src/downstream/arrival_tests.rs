//! What the loop's polls say of one socket.

use super::*;

const READ: Nanos = 10_000 * MS;

/// A socket that was read empty at the first figure and is watched from the second on.
fn arrival(empty_at: Nanos, watched_since: Nanos) -> Arrival {
    Arrival {
        empty_at,
        ..Arrival::new(watched_since, empty_at)
    }
}

#[test]
fn bytes_that_wake_a_loop_that_polls_often_have_just_arrived() {
    let previous_poll_at = READ - MAX_POLL_GAP;
    assert_eq!(
        arrival(READ - 5_000 * MS, READ - 9_000 * MS).earliest_arrival(READ, previous_poll_at),
        READ
    );
    assert_eq!(
        arrival(READ - 10 * MS, READ - 9_000 * MS).earliest_arrival(READ, 0),
        READ
    );
}

#[test]
fn bytes_that_lay_through_a_stall_count_from_the_poll_before_it() {
    let previous_poll_at = READ - 800 * MS;
    assert_eq!(
        arrival(READ - 5_000 * MS, READ - 9_000 * MS).earliest_arrival(READ, previous_poll_at),
        previous_poll_at
    );
}

#[test]
fn a_poll_says_nothing_of_a_socket_that_was_not_watched_or_not_read_empty() {
    let (empty_at, previous_poll_at) = (READ - 700 * MS, READ - 10 * MS);
    assert_eq!(
        arrival(empty_at, READ - 5 * MS).earliest_arrival(READ, previous_poll_at),
        empty_at
    );
    let unread = Arrival {
        has_unread: true,
        ..arrival(empty_at, 0)
    };
    assert_eq!(unread.earliest_arrival(READ, previous_poll_at), empty_at);
}
