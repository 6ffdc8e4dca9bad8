//! Unit tests of the limits on client and upstream connections.

use super::*;
use proptest::prelude::*;

proptest! {
    /// For any sequence of opened and closed connections: the limit is kept, each kind can fill its
    /// reserve, and one kind alone can use everything except the reserve of the other.
    #[test]
    fn connections_respect_the_descriptor_limit_and_both_reserves(
        descriptor_limit in 64usize..=4096,
        steps in prop::collection::vec(any::<(bool, bool)>(), 0..6000),
    ) {
        let budget = DescriptorBudget::new(descriptor_limit);
        let mut open = [0usize; 2];
        for (is_upstream, opens) in steps {
            let purpose = if is_upstream { Purpose::Upstream } else { Purpose::Client };
            let kind = usize::from(is_upstream);
            if !opens {
                open[kind] = open[kind].saturating_sub(1);
            } else if budget.fits(purpose, open[kind], open[1 - kind]) {
                open[kind] += 1;
            } else {
                prop_assert!(open[kind] >= budget.reserve(purpose), "{open:?}");
                // Either this kind is at its maximum, or the other one uses more than its reserve.
                prop_assert!(
                    open[kind] == budget.max(purpose)
                        || budget.exceeds_reserve(purpose.other(), open[1 - kind])
                );
            }
            prop_assert!(open[0] + open[1] + OTHER_DESCRIPTORS <= descriptor_limit, "{open:?}");
            prop_assert!(open[0] <= budget.max(Purpose::Client));
            prop_assert!(open[1] <= budget.max(Purpose::Upstream));
        }
        let max_clients = (0..=descriptor_limit)
            .find(|n| !budget.fits(Purpose::Client, *n, 0))
            .unwrap();
        prop_assert_eq!(max_clients, budget.max(Purpose::Client));
        prop_assert!(budget.max_active_clients() < descriptor_limit / 3);
        prop_assert!(budget.max_active_clients() < max_clients);
    }
}
