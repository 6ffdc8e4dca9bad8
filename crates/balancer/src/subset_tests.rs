//! Unit tests of subsetting.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{endpoints, settings};

fn subset_of_proxy(proxy_index: u32, proxy_count: u32) -> Subset {
    let settings = Settings {
        proxy_index,
        proxy_count,
        ..settings(Idempotency::Idempotent)
    };
    Subset::new(&settings, f64::from(proxy_count))
}

#[test]
fn each_backend_is_preferred_by_exactly_one_proxy() {
    let mut preferring_proxies = [0; 12];
    for proxy in 0..4 {
        let mut list = endpoints(12);
        let mut subset = subset_of_proxy(proxy, 4);
        subset.mark_stale();
        subset.renew(&mut list);
        for record in list
            .iter()
            .filter(|record| record.subset_position.is_preferred())
        {
            preferring_proxies[record.id().0 as usize] += 1;
        }
    }
    assert_eq!(preferring_proxies, [1; 12]);
}

#[test]
fn subset_has_as_many_members_as_estimable_backends_and_at_least_three() {
    let mut list = endpoints(30);
    let mut subset = subset_of_proxy(1, 10);
    subset.mark_stale();
    subset.renew(&mut list);
    for (estimable_backends, members) in [(0.0, 3), (7.2, 8), (100.0, 30)] {
        assert_eq!(
            subset.members(&list, estimable_backends, |_| true).len(),
            members
        );
    }
    assert!(subset.members(&list, 100.0, |_| false).is_empty());
}

#[test]
fn positions_are_recomputed_only_after_the_list_changes() {
    let mut list = endpoints(3);
    let mut subset = subset_of_proxy(0, 1);
    subset.renew(&mut list);
    assert!(
        list.iter()
            .all(|record| !record.subset_position.is_preferred())
    );
    subset.mark_stale();
    subset.renew(&mut list);
    assert!(
        list.iter()
            .all(|record| record.subset_position.is_preferred())
    );
}
