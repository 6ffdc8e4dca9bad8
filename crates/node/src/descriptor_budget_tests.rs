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
        let mut open = [0usize; 2];
        for (upstream, take) in steps {
            let purpose = if upstream { Purpose::Upstream } else { Purpose::Client };
            let own = usize::from(upstream);
            if !take {
                open[own] = open[own].saturating_sub(1);
            } else if budget.fits(purpose, open[own], open[1 - own]) {
                open[own] += 1;
            } else {
                prop_assert!(open[own] >= budget.reserve(purpose), "{open:?}");
                // What stands in the way is this side's own or can be lent by the other.
                prop_assert!(
                    open[own] == budget.max(purpose) || budget.exceeds_reserve(purpose.other(), open[1 - own])
                );
            }
            prop_assert!(open[0] + open[1] + OTHER_DESCRIPTORS <= limit, "{open:?}");
            prop_assert!(open[0] <= budget.max(Purpose::Client));
            prop_assert!(open[1] <= budget.max(Purpose::Upstream));
        }
        let alone = (0..=limit).find(|n| !budget.fits(Purpose::Client, *n, 0)).unwrap();
        prop_assert_eq!(alone, budget.max(Purpose::Client));
        prop_assert!(budget.max_active_clients() < limit / 3);
        prop_assert!(budget.max_active_clients() < alone);
    }
}
