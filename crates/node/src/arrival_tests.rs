//! What the loop's looks say of one socket.

use super::*;

const READ: Nanos = 10_000 * MS;

/// A socket that was read empty at the first figure and is watched from the second on.
fn arrival(emptied: Nanos, watched: Nanos) -> Arrival {
    Arrival {
        emptied,
        ..Arrival::new(watched, emptied)
    }
}

#[test]
fn bytes_that_wake_a_loop_that_looks_often_have_just_come() {
    let looked = READ - UNNOTICED;
    assert_eq!(
        arrival(READ - 5_000 * MS, READ - 9_000 * MS).of_bytes_read_at(READ, looked),
        READ
    );
    assert_eq!(
        arrival(READ - 10 * MS, READ - 9_000 * MS).of_bytes_read_at(READ, 0),
        READ
    );
}

#[test]
fn bytes_that_lay_through_a_stall_count_from_the_look_before_it() {
    let looked = READ - 800 * MS;
    assert_eq!(
        arrival(READ - 5_000 * MS, READ - 9_000 * MS).of_bytes_read_at(READ, looked),
        looked
    );
}

#[test]
fn a_look_says_nothing_of_a_socket_that_was_not_watched_or_not_read_empty() {
    let (emptied, looked) = (READ - 700 * MS, READ - 10 * MS);
    assert_eq!(
        arrival(emptied, READ - 5 * MS).of_bytes_read_at(READ, looked),
        emptied
    );
    let unread = Arrival {
        unread: true,
        ..arrival(emptied, 0)
    };
    assert_eq!(unread.of_bytes_read_at(READ, looked), emptied);
}
