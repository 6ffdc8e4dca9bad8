//! Tests of how requests are split among backends.

use std::collections::BTreeSet;

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn slow_kind_of_machine_gets_fewer_requests_from_a_proxy_with_little_traffic() {
    let endpoint = |id: u32| Endpoint {
        kind: KindId((id % 2) as u16),
        ..backend(id)
    };
    let mut harness = Harness::new(
        Settings {
            proxy_count: 200,
            ..settings()
        },
        (1..=60).map(endpoint).collect(),
    );
    let service_time = |backend_id: BackendId| {
        if backend_id.0.is_multiple_of(2) {
            20 * MS
        } else {
            60 * MS
        }
    };
    let counts = harness.serve_at_low_rate(300, service_time);
    let fast_count: usize = counts
        .iter()
        .filter(|(backend_id, _)| backend_id.0.is_multiple_of(2))
        .map(|(_, count)| count)
        .sum();
    let total: usize = counts.values().sum();
    assert!(
        10 * fast_count > 6 * total,
        "{fast_count} of {total} requests went to the fast kind"
    );
}

#[test]
fn preferred_backends_of_all_proxies_are_disjoint_and_cover_the_fleet() {
    for (proxy_count, backend_count) in [(2, 12), (2, 7), (3, 19)] {
        let mut covered = BTreeSet::new();
        let mut preferred_total = 0;
        for proxy_index in 0..proxy_count {
            // All proxies order the backends by their hashes, whatever the order of the list.
            let list = (1..=backend_count).rev().map(backend).collect();
            let settings = Settings {
                proxy_index,
                proxy_count,
                ..settings()
            };
            let mut harness = Harness::with_seed(settings, list, 7 + u64::from(proxy_index));
            harness.serve(4_000, |_| 10 * MS);
            let counts = harness.serve(2_000, |_| 10 * MS);
            // Exploring attempts go to any backend, the others to idle backends of the section that
            // the proxy prefers.
            let preferred: Vec<BackendId> = counts
                .iter()
                .filter(|entry| *entry.1 > 40)
                .map(|entry| *entry.0)
                .collect();
            preferred_total += preferred.len();
            covered.extend(preferred);
        }
        assert_eq!(
            (preferred_total, covered.len()),
            (backend_count as usize, backend_count as usize),
            "{proxy_count} proxies"
        );
    }
}
