//! Starts as lists have them, under sound and stepped clocks.

use super::*;

const ZERO_MS: u64 = 10_000_000_000;
const NOW: Nanos = 100 * SECOND;
const NOW_MS: u64 = ZERO_MS + NOW / MS;

/// A node whose wall clock has gone on evenly, and whose list was confirmed a second ago.
fn observation() -> StartObservation {
    StartObservation {
        now: NOW,
        wall_now_ms: NOW_MS,
        wall_at_zero: ZERO_MS * MS,
        confirmed: Some(NOW - SECOND),
    }
}

/// Dates a start behind one that was observed at once, while all clocks were sound.
fn started_at(boot_ms: u64, observation: &StartObservation) -> Option<Nanos> {
    let mut starts = StartTimes::default();
    starts.note(NOW_MS, NOW);
    starts.started_at(boot_ms, observation)
}

#[test]
fn a_clock_that_is_ahead_is_bounded_by_observed_starts() {
    for ahead_ms in [0, 5_000, 3_600_000] {
        let observation = StartObservation {
            wall_now_ms: NOW_MS + ahead_ms,
            wall_at_zero: (ZERO_MS + ahead_ms) * MS,
            ..observation()
        };
        let mut starts = StartTimes::default();
        // Heard 0.1 s after it was; the next ones can't be taken for much older than they are.
        starts.note(NOW_MS - 100, NOW);
        assert_eq!(
            starts.started_at(NOW_MS - 100, &observation),
            Some(NOW),
            "{ahead_ms}"
        );
        assert_eq!(
            starts.started_at(NOW_MS - 3_100, &observation),
            Some(NOW - 3 * SECOND),
            "{ahead_ms}"
        );
    }
}

#[test]
fn a_start_that_no_clock_explains_makes_no_other_one_old() {
    let mut starts = StartTimes::default();
    starts.note(u64::MAX, NOW);
    starts.note(NOW_MS + 3_600_000, NOW);
    assert_eq!(
        starts.started_at(NOW_MS - 3_000, &observation()),
        Some(NOW - 3 * SECOND)
    );
}

#[test]
fn a_sound_clock_is_believed() {
    assert_eq!(started_at(0, &observation()), None);
    assert_eq!(
        started_at(NOW_MS - 3_000, &observation()),
        Some(NOW - 3 * SECOND)
    );
}

#[test]
fn a_start_on_the_first_list_is_recent_unless_no_wrong_clock_explains_it() {
    for step_ms in [-3_600_000, -3_000, 0, 3_000, 3_600_000] {
        let wall_now_ms = NOW_MS.checked_add_signed(step_ms).unwrap();
        let at_start = StartObservation {
            wall_now_ms,
            confirmed: None,
            ..observation()
        };
        for age_ms in [0, 50_000, 3_600_000] {
            assert_eq!(
                started_at(NOW_MS - age_ms, &at_start),
                Some(NOW),
                "{step_ms} {age_ms}"
            );
        }
        assert_eq!(
            started_at(NOW_MS - 10_800_001, &at_start),
            None,
            "{step_ms}"
        );
        assert_eq!(started_at(0, &at_start), None, "{step_ms}");
    }
}

#[test]
fn a_start_that_lies_ahead_counts_as_observed_now() {
    for boot_ms in [NOW_MS + 1, NOW_MS + 3_600_000, u64::MAX] {
        assert_eq!(started_at(boot_ms, &observation()), Some(NOW), "{boot_ms}");
    }
}

#[test]
fn what_is_new_on_a_list_that_was_confirmed_is_recent() {
    for boot_ms in [1, NOW_MS - 3_600_000, NOW_MS - 7_001] {
        assert_eq!(started_at(boot_ms, &observation()), Some(NOW), "{boot_ms}");
    }
    assert_eq!(
        started_at(NOW_MS - 7_000, &observation()),
        Some(NOW - 7 * SECOND)
    );
}

#[test]
fn of_two_clocks_that_differ_the_one_by_which_it_is_younger_counts() {
    // Every machine was stepped, or this one alone: forward and back.
    for (wall_now_ms, boot_ms, wanted) in [
        (NOW_MS + 3_000, NOW_MS + 3_000 - 1_000, NOW),
        (NOW_MS - 3_600_000, NOW_MS - 3_600_000 - 1_000, NOW - SECOND),
        (NOW_MS + 3_600_000, NOW_MS - 1_000, NOW - SECOND),
        (NOW_MS - 3_000, NOW_MS - 1_000, NOW),
    ] {
        let observation = StartObservation {
            wall_now_ms,
            ..observation()
        };
        assert_eq!(
            started_at(boot_ms, &observation),
            Some(wanted),
            "{wall_now_ms} {boot_ms}"
        );
    }
}
