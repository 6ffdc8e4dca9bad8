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
        let ledger = DescriptorBudget::new(limit);
        let mut held = [0usize; 2];
        for (fetch, take) in steps {
            let (purpose, own) = if fetch { (Purpose::Fetch, 1) } else { (Purpose::Session, 0) };
            if !take {
                held[own] = held[own].saturating_sub(1);
            } else if ledger.fits(purpose, held[own], held[1 - own]) {
                held[own] += 1;
            } else {
                prop_assert!(held[own] >= ledger.reserve(purpose), "{held:?}");
                // What stands in the way is this side's own or can be lent by the other.
                prop_assert!(
                    held[own] == ledger.most(purpose) || ledger.lends(purpose.other(), held[1 - own])
                );
            }
            prop_assert!(held[0] + held[1] + REST <= limit, "{held:?}");
            prop_assert!(held[0] <= ledger.most(Purpose::Session));
            prop_assert!(held[1] <= ledger.most(Purpose::Fetch));
        }
        let alone = (0..).find(|n| !ledger.fits(Purpose::Session, *n, 0)).unwrap();
        prop_assert_eq!(alone, ledger.most(Purpose::Session));
        prop_assert!(ledger.most_active_sessions() < limit / 3 && ledger.most_active_sessions() < alone);
    }
}
