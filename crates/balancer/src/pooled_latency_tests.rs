//! Unit tests of the pooled priors.

use super::*;
use crate::event::{Endpoint, Outcome, UpdateKind};
use crate::ids::BackendId;
use crate::test_support::{endpoint, record};

/// Four backends in two zones; each of zone 1 takes three times as long, and the last of it has
/// completed nothing.
fn two_zones() -> EndpointList {
    let in_zone = |id: u32| Endpoint {
        zone: ZoneId((id / 2) as u16),
        ..endpoint(id)
    };
    let mut list = EndpointList::default();
    list.apply(UpdateKind::Full, (0..4).map(in_zone).collect(), record);
    for (id, latency) in [(0, 0.1), (1, 0.1), (2, 0.3)] {
        let service = &mut list.get_mut(BackendId(id)).unwrap().service_times;
        (0..50).for_each(|_| service.on_ended(Outcome::Success, latency, 0.0));
    }
    list
}

fn priors(list: &EndpointList, in_slow_start: impl Fn(&EndpointRecord) -> bool) -> PriorLatencies {
    let kinds = BTreeMap::new();
    let context = PoolingContext {
        kinds: &kinds,
        zone: ZoneId(0),
        shortest_objective: 0.3,
        now_seconds: 9.0,
    };
    prior_latencies(list, &context, in_slow_start)
}

#[test]
fn a_backend_without_completions_is_taken_for_one_of_its_zone() {
    let list = two_zones();
    let found = priors(&list, |_| false);
    let [.., silent] = found.by_backend[..] else {
        panic!("four backends")
    };
    assert!(silent.expected > 1.5 * silent.kind_latency, "{silent:?}");
    assert!(found.by_backend[0].expected < found.by_backend[0].kind_latency);
    assert!(
        found.local_to_remote_ratio < 0.5,
        "{}",
        found.local_to_remote_ratio
    );
}

#[test]
fn being_in_slow_start_is_pooled_like_a_label() {
    let mut list = two_zones();
    let slow = &mut list.get_mut(BackendId(1)).unwrap().service_times;
    (0..50).for_each(|_| slow.on_ended(Outcome::Success, 1.0, 0.0));
    let found = priors(&list, |record| record.id() == BackendId(1));
    assert!(found.by_backend[1].expected > 2.0 * found.by_backend[0].expected);
}

#[test]
fn without_any_completion_there_is_no_prior() {
    let found = priors(&crate::test_support::endpoints(2), |_| false);
    assert!(found.by_backend.iter().all(|prior| prior.expected == 0.0));
    assert_eq!(found.local_to_remote_ratio, 1.0);
}
