//! Unit tests of the start times of backends, with correct and with stepped clocks.

use super::*;

const WALL_AT_ZERO_MS: u64 = 10_000_000_000;
const NOW: Nanos = 100 * SECOND;
const WALL_NOW_MS: u64 = WALL_AT_ZERO_MS + NOW / MS;

/// An observation by a node whose wall clock was never stepped and whose list was confirmed a
/// second ago.
fn observation() -> StartObservation {
    StartObservation {
        now: NOW,
        wall_now_ms: WALL_NOW_MS,
        wall_at_zero: WALL_AT_ZERO_MS * MS,
        confirmed_at: Some(NOW - SECOND),
    }
}

/// Determines a start time after one start was observed without delay and with correct clocks.
fn started_at(boot_ms: u64, observation: &StartObservation) -> Option<Nanos> {
    let mut starts = StartTimes::default();
    starts.record(WALL_NOW_MS, NOW);
    starts.started_at(boot_ms, observation)
}

#[test]
fn start_is_dated_by_observed_starts_if_the_wall_clock_is_ahead() {
    for ahead_ms in [0, 5_000, 3_600_000] {
        let observation = StartObservation {
            wall_now_ms: WALL_NOW_MS + ahead_ms,
            wall_at_zero: (WALL_AT_ZERO_MS + ahead_ms) * MS,
            ..observation()
        };
        let mut starts = StartTimes::default();
        // This start is observed 0.1 s after it happened, so no start can be dated much too early.
        starts.record(WALL_NOW_MS - 100, NOW);
        assert_eq!(
            starts.started_at(WALL_NOW_MS - 100, &observation),
            Some(NOW),
            "{ahead_ms}"
        );
        assert_eq!(
            starts.started_at(WALL_NOW_MS - 3_100, &observation),
            Some(NOW - 3 * SECOND),
            "{ahead_ms}"
        );
    }
}

#[test]
fn an_implausible_future_start_does_not_change_the_age_of_other_backends() {
    let mut starts = StartTimes::default();
    starts.record(u64::MAX, NOW);
    starts.record(WALL_NOW_MS + 3_600_000, NOW);
    assert_eq!(
        starts.started_at(WALL_NOW_MS - 3_000, &observation()),
        Some(NOW - 3 * SECOND)
    );
}

#[test]
fn the_listed_start_is_used_if_all_clocks_agree() {
    assert_eq!(started_at(0, &observation()), None);
    assert_eq!(
        started_at(WALL_NOW_MS - 3_000, &observation()),
        Some(NOW - 3 * SECOND)
    );
}

#[test]
fn backend_start_in_the_first_list_counts_as_now_unless_very_old() {
    for step_ms in [-3_600_000, -3_000, 0, 3_000, 3_600_000] {
        let wall_now_ms = WALL_NOW_MS.checked_add_signed(step_ms).unwrap();
        let at_start = StartObservation {
            wall_now_ms,
            confirmed_at: None,
            ..observation()
        };
        for age_ms in [0, 50_000, 3_600_000] {
            assert_eq!(
                started_at(WALL_NOW_MS - age_ms, &at_start),
                Some(NOW),
                "{step_ms} {age_ms}"
            );
        }
        assert_eq!(
            started_at(WALL_NOW_MS - 10_800_001, &at_start),
            None,
            "{step_ms}"
        );
        assert_eq!(started_at(0, &at_start), None, "{step_ms}");
    }
}

#[test]
fn listed_start_in_the_future_counts_as_happening_now() {
    for boot_ms in [WALL_NOW_MS + 1, WALL_NOW_MS + 3_600_000, u64::MAX] {
        assert_eq!(started_at(boot_ms, &observation()), Some(NOW), "{boot_ms}");
    }
}

#[test]
fn new_start_dated_long_before_the_last_confirmed_list_counts_as_happening_now() {
    for boot_ms in [1, WALL_NOW_MS - 3_600_000, WALL_NOW_MS - 7_001] {
        assert_eq!(started_at(boot_ms, &observation()), Some(NOW), "{boot_ms}");
    }
    assert_eq!(
        started_at(WALL_NOW_MS - 7_000, &observation()),
        Some(NOW - 7 * SECOND)
    );
}

#[test]
fn the_latest_estimate_of_a_start_is_used_if_the_clocks_differ() {
    // In the first two cases, the clocks of all machines are stepped forward or back; in the last
    // two, only the clock of this node.
    for (wall_now_ms, boot_ms, expected) in [
        (WALL_NOW_MS + 3_000, WALL_NOW_MS + 3_000 - 1_000, NOW),
        (
            WALL_NOW_MS - 3_600_000,
            WALL_NOW_MS - 3_600_000 - 1_000,
            NOW - SECOND,
        ),
        (WALL_NOW_MS + 3_600_000, WALL_NOW_MS - 1_000, NOW - SECOND),
        (WALL_NOW_MS - 3_000, WALL_NOW_MS - 1_000, NOW),
    ] {
        let observation = StartObservation {
            wall_now_ms,
            ..observation()
        };
        assert_eq!(
            started_at(boot_ms, &observation),
            Some(expected),
            "{wall_now_ms} {boot_ms}"
        );
    }
}
