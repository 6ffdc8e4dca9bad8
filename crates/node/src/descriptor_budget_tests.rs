//! Unit tests of `descriptor_budget`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Whatever comes and goes: the limit holds, each side reaches its reserve whatever the other
    /// does, and one side alone reaches all but the other's reserve.
    #[test]
    fn the_limit_and_both_reserves_hold(
        limit in 64usize..=4096,
        steps in prop::collection::vec(any::<(bool, bool)>(), 0..6000),
    ) {
        let budget = DescriptorBudget::new(limit);
        let mut held = [0usize; 2];
        for (upstream, take) in steps {
            let (purpose, own) = if upstream { (Purpose::Upstream, 1) } else { (Purpose::Client, 0) };
            if !take {
                held[own] = held[own].saturating_sub(1);
            } else if budget.fits(purpose, held[own], held[1 - own]) {
                held[own] += 1;
            } else {
                prop_assert!(held[own] >= budget.reserve(purpose), "{held:?}");
                // What stands in the way is this side's own or can be lent by the other.
                prop_assert!(
                    held[own] == budget.max(purpose) || budget.lends(purpose.other(), held[1 - own])
                );
            }
            prop_assert!(held[0] + held[1] + OTHER_DESCRIPTORS <= limit, "{held:?}");
            prop_assert!(held[0] <= budget.max(Purpose::Client));
            prop_assert!(held[1] <= budget.max(Purpose::Upstream));
        }
        let alone = (0..).find(|n| !budget.fits(Purpose::Client, *n, 0)).unwrap();
        prop_assert_eq!(alone, budget.max(Purpose::Client));
        prop_assert!(budget.max_active_clients() < limit / 3 && budget.max_active_clients() < alone);
    }
}
