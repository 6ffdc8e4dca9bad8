//! Unit tests of the times of hedged calls.

use super::*;
use crate::http1::Start;

#[test]
fn calls_are_hedged_only_after_the_list_was_unconfirmed_for_a_while() {
    let confirmed_at = 100 * SECOND;
    assert_eq!(hedge_at(confirmed_at + SECOND, confirmed_at), 104 * SECOND);
    let last_call_at = confirmed_at + 10 * SECOND;
    assert_eq!(
        hedge_at(last_call_at, confirmed_at),
        last_call_at + 1_500 * MS
    );
}

#[test]
fn each_consecutive_late_rejection_leaves_one_hedged_call_less() {
    let rejected = || CallEnd::Rejected(Start::Response { status: 503 });
    let mut detector = OverloadDetector::default();
    let mut limits = Vec::new();
    for (end, duration) in [
        (rejected(), SECOND / 10),
        (rejected(), 3 * SECOND),
        (rejected(), 3 * SECOND),
        (rejected(), 3 * SECOND),
        (CallEnd::TimedOut, 4 * SECOND),
        (rejected(), 3 * SECOND),
    ] {
        detector.on_end(&end, duration);
        limits.push(detector.max_unanswered_watches());
    }
    assert_eq!(limits, [3, 2, 1, 1, 3, 2]);
    detector.on_answer();
    assert_eq!(detector.max_unanswered_watches(), 3);
}
