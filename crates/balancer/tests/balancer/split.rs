//! How requests are split among backends.

use std::collections::BTreeSet;

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn a_kind_of_machine_that_is_slow_gets_less_from_a_proxy_that_hardly_knows_its_backends() {
    let kind = |id: u32| Endpoint {
        kind: KindId((id % 2) as u16),
        ..backend(id)
    };
    let mut harness = Harness::new(
        Settings {
            proxy_count: 200,
            ..settings()
        },
        (1..=60).map(kind).collect(),
    );
    let takes = |b: BackendId| {
        if b.0.is_multiple_of(2) {
            20 * MS
        } else {
            60 * MS
        }
    };
    let counts = harness.trickle(300, takes);
    let fast: usize = counts
        .iter()
        .filter(|(b, _)| b.0.is_multiple_of(2))
        .map(|(_, n)| n)
        .sum();
    let all: usize = counts.values().sum();
    assert!(10 * fast > 6 * all, "{fast} of {all} to the fast kind");
}

#[test]
fn proxies_start_with_stretches_that_share_no_backend_and_leave_none_out() {
    for (nodes, fleet) in [(2, 12), (2, 7), (3, 19)] {
        let mut met = BTreeSet::new();
        let mut parts = 0;
        for me in 0..nodes {
            // Each knows the backends in an order of its own; what they have in common is the mark.
            let list = (1..=fleet).rev().map(backend).collect();
            let settings = Settings {
                proxy_index: me,
                proxy_count: nodes,
                ..settings()
            };
            let mut harness = Harness::seeded(settings, list, 7 + u64::from(me));
            harness.serve(4_000, |_| 10 * MS);
            let counts = harness.serve(2_000, |_| 10 * MS);
            // What explores goes anywhere; the rest to the proxy's own stretch, one idle backend
            // each.
            let part: Vec<BackendId> = counts.iter().filter(|c| *c.1 > 40).map(|c| *c.0).collect();
            parts += part.len();
            met.extend(part);
        }
        assert_eq!(
            (parts, met.len()),
            (fleet as usize, fleet as usize),
            "{nodes} nodes"
        );
    }
}
