//! Unit tests of the candidates of a pick.

use super::*;
use crate::concurrency_limiter::BackendLoad;
use crate::event::Endpoint;
use crate::optimal_split::PickWeights;
use crate::slow_start::SlowStartTokens;

fn record(id: u32, share: f64, exploration: f64) -> EndpointRecord {
    let endpoint = Endpoint {
        id: BackendId(id),
        ..Endpoint::default()
    };
    let weights = PickWeights::for_test(share, exploration);
    EndpointRecord::new(
        endpoint,
        BackendLoad::default(),
        SlowStartTokens::default(),
        weights,
    )
}

#[test]
fn explored_at_selects_backends_in_proportion_to_their_weight() {
    let records = [
        record(1, 0.0, 0.1),
        record(2, 0.5, 0.0),
        record(3, 0.5, 0.3),
    ];
    let candidates = Candidates::from_records(records.iter());
    assert_eq!(candidates.support(), [BackendId(2), BackendId(3)]);
    assert!((candidates.exploration_sum() - 0.4).abs() < 1e-12);
    let count = |id| {
        let backend_at = |n: u32| candidates.explored_at(f64::from(n) / 1000.0);
        (0..1000)
            .filter(|n| backend_at(*n) == Some(BackendId(id)))
            .count()
    };
    assert_eq!((count(1), count(2), count(3)), (250, 0, 750));
}

#[test]
fn explored_at_is_none_without_candidates_and_the_last_candidate_at_fraction_one() {
    let candidates = Candidates::from_records(std::iter::empty());
    assert_eq!(
        (candidates.exploration_sum(), candidates.explored_at(0.5)),
        (0.0, None)
    );
    let candidates = Candidates::from_records([record(1, 1.0, 0.2)].iter());
    assert_eq!(candidates.explored_at(1.0), Some(BackendId(1)));
}
