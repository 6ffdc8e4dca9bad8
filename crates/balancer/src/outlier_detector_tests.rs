//! Unit tests of outlier ejection.

use super::*;
use crate::event::Outcome;
use crate::settings::Idempotency;
use crate::test_support::{MS, endpoints, settings};

fn detector() -> OutlierDetector {
    OutlierDetector::new(&Timescale::new(&settings(Idempotency::Idempotent), 0))
}

fn fail(
    detector: &OutlierDetector,
    now: Nanos,
    id: u32,
    list: &mut EndpointList,
) -> Option<Ejection> {
    detector.on_failure(now, BackendId(id), list, 0.5)
}

fn complete(list: &mut EndpointList, id: u32, count: usize) {
    let record = list.get_mut(BackendId(id)).unwrap();
    (0..count).for_each(|_| record.service_times.on_ended(Outcome::Success, 0.1, 0.0));
    record.failure_history.on_completion();
}

#[test]
fn a_backend_with_far_more_failures_than_the_rest_is_ejected() {
    let (detector, mut list) = (detector(), endpoints(4));
    (1..4).for_each(|id| complete(&mut list, id, 10));
    assert_eq!(fail(&detector, 0, 0, &mut list), None);
    assert_eq!(fail(&detector, 0, 0, &mut list), None);
    let ejection = fail(&detector, 0, 0, &mut list).expect("three failures, no completion");
    // A first ejection lasts two latency objectives of 0.3 s; the draw 0.5 gives the mean jitter.
    assert_eq!((ejection.seconds, ejection.until), (0.6, 600 * MS));
    let history = list.get(BackendId(0)).unwrap().failure_history;
    assert!(detector.is_ejected(599 * MS, &history) && !detector.is_ejected(600 * MS, &history));
}

#[test]
fn consecutive_failures_eject_a_backend_despite_earlier_completions() {
    let (detector, mut list) = (detector(), endpoints(4));
    complete(&mut list, 0, 100);
    assert!((0..5).all(|_| fail(&detector, 0, 0, &mut list).is_none()));
    assert!(fail(&detector, 0, 0, &mut list).is_some());
}

#[test]
fn no_backend_is_ejected_when_all_fail_at_the_same_rate() {
    let (detector, mut list) = (detector(), endpoints(4));
    for _ in 0..5 {
        assert!((0..4).all(|id| fail(&detector, 0, id, &mut list).is_none()));
    }
}

#[test]
fn consecutive_ejections_double_in_duration_up_to_a_maximum() {
    let (detector, mut list) = (detector(), endpoints(4));
    (1..4).for_each(|id| complete(&mut list, id, 100));
    let mut now = 0;
    let mut durations = Vec::new();
    for _ in 0..6 {
        let ejection = (0..6)
            .find_map(|_| fail(&detector, now, 0, &mut list))
            .expect("at most six failures make an outlier");
        durations.push((ejection.seconds * 10.0).round() as u32);
        now = ejection.until;
    }
    assert_eq!(durations, [6, 12, 24, 48, 48, 48]);
}

#[test]
fn at_most_half_of_the_backends_are_ejected_and_none_if_only_ejected_ones_remain() {
    let (mut detector, mut list) = (detector(), endpoints(4));
    for id in 0..4 {
        for _ in 0..6 {
            fail(&detector, 0, id, &mut list);
        }
    }
    let ejected = |list: &EndpointList, detector: &OutlierDetector| {
        list.iter()
            .filter(|record| detector.is_ejected(1, &record.failure_history))
            .count()
    };
    assert_eq!(ejected(&list, &detector), 2);
    detector.renew(1, &list);
    assert_eq!(ejected(&list, &detector), 2);
    // The backends that are not ejected leave the list, so both remaining ones are ejected.
    let remaining = (0..4)
        .filter(|id| detector.is_ejected(1, &list.get(BackendId(*id)).unwrap().failure_history))
        .map(crate::test_support::endpoint)
        .collect();
    list.apply(
        crate::event::UpdateKind::Full,
        remaining,
        crate::test_support::record,
    );
    detector.renew(1, &list);
    assert_eq!(ejected(&list, &detector), 0);
}
