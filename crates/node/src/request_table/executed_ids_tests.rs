//! Unit tests of the remembered IDs.

use super::*;

#[test]
fn id_is_remembered_for_the_retention_time() {
    let mut ids = ExecutedIds::default();
    ids.add(SECOND, "a");
    assert!(ids.contains(SECOND, "a") && !ids.contains(SECOND, "b"));
    assert!(ids.contains(RETENTION, "a"));
    assert!(!ids.contains(SECOND + RETENTION, "a"));
    ids.add(SECOND + RETENTION, "b");
    assert_eq!((ids.added_at.len(), ids.order.len()), (1, 1));
}

#[test]
fn number_of_remembered_ids_is_bounded_and_the_oldest_are_forgotten() {
    let mut ids = ExecutedIds::default();
    for number in 0..10 * MAX_IDS {
        ids.add(SECOND, &format!("id-{number}"));
    }
    assert_eq!((ids.added_at.len(), ids.order.len()), (MAX_IDS, MAX_IDS));
    assert!(ids.contains(SECOND, &format!("id-{}", 9 * MAX_IDS)));
    assert!(!ids.contains(SECOND, &format!("id-{}", 9 * MAX_IDS - 1)));
}

#[test]
fn id_that_was_added_twice_is_remembered_from_the_second_time_on() {
    let mut ids = ExecutedIds::default();
    ids.add(0, "a");
    ids.add(SECOND, "a");
    ids.add(RETENTION, "b");
    assert!(ids.contains(RETENTION, "a"));
}
