//! Unit tests of subsetting.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{endpoints, settings};

fn subset_of(proxy_index: u32, proxy_count: u32) -> Subset {
    let settings = Settings {
        proxy_index,
        proxy_count,
        ..settings(Idempotency::Idempotent)
    };
    Subset::new(&settings, f64::from(proxy_count))
}

#[test]
fn the_own_stretches_of_all_proxies_cover_each_backend_once() {
    let mut owners = [0; 12];
    for proxy in 0..4 {
        let mut list = endpoints(12);
        let mut subset = subset_of(proxy, 4);
        subset.mark_stale();
        subset.renew(&mut list);
        for record in list.iter().filter(|record| record.subset_position.is_own()) {
            owners[record.id().0 as usize] += 1;
        }
    }
    assert_eq!(owners, [1; 12]);
}

#[test]
fn as_many_backends_are_members_as_can_be_known_and_three_at_the_least() {
    let mut list = endpoints(30);
    let mut subset = subset_of(1, 10);
    subset.mark_stale();
    subset.renew(&mut list);
    for (knowable, members) in [(0.0, 3), (7.2, 8), (100.0, 30)] {
        assert_eq!(subset.members(&list, knowable, |_| true).len(), members);
    }
    assert!(subset.members(&list, 100.0, |_| false).is_empty());
}

#[test]
fn positions_stand_until_the_list_has_changed() {
    let mut list = endpoints(3);
    let mut subset = subset_of(0, 1);
    subset.renew(&mut list);
    assert!(list.iter().all(|record| !record.subset_position.is_own()));
    subset.mark_stale();
    subset.renew(&mut list);
    assert!(list.iter().all(|record| record.subset_position.is_own()));
}
