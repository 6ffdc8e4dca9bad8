//! Unit tests of the prior latencies.

use super::*;
use crate::event::{Endpoint, Outcome, UpdateKind};
use crate::ids::BackendId;
use crate::test_support::{endpoint, record};

/// Four backends in two zones. Those in zone 1 take three times as long, and the last one has no
/// completions.
fn two_zones() -> EndpointList {
    let in_zone = |id: u32| Endpoint {
        zone: ZoneId((id / 2) as u16),
        ..endpoint(id)
    };
    let mut list = EndpointList::default();
    list.apply(UpdateKind::Full, (0..4).map(in_zone).collect(), record);
    for (id, latency) in [(0, 0.1), (1, 0.1), (2, 0.3)] {
        let service_times = &mut list.get_mut(BackendId(id)).unwrap().service_times;
        (0..50).for_each(|_| service_times.on_ended(Outcome::Success, latency, 0.0));
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
fn backend_without_completions_gets_the_prior_of_its_zone() {
    let list = two_zones();
    let latencies = priors(&list, |_| false);
    let [.., unused] = latencies.by_backend[..] else {
        panic!("the list has four backends")
    };
    assert!(unused.expected > 1.5 * unused.kind_latency, "{unused:?}");
    assert!(latencies.by_backend[0].expected < latencies.by_backend[0].kind_latency);
    assert!(
        latencies.local_to_remote_ratio < 0.5,
        "{}",
        latencies.local_to_remote_ratio
    );
}

#[test]
fn backends_in_slow_start_are_pooled_separately() {
    let mut list = two_zones();
    let service_times = &mut list.get_mut(BackendId(1)).unwrap().service_times;
    (0..50).for_each(|_| service_times.on_ended(Outcome::Success, 1.0, 0.0));
    let latencies = priors(&list, |record| record.id() == BackendId(1));
    assert!(latencies.by_backend[1].expected > 2.0 * latencies.by_backend[0].expected);
}

#[test]
fn prior_latency_is_zero_before_the_first_completion() {
    let latencies = priors(&crate::test_support::endpoints(2), |_| false);
    assert!(
        latencies
            .by_backend
            .iter()
            .all(|prior| prior.expected == 0.0)
    );
    assert_eq!(latencies.local_to_remote_ratio, 1.0);
}
