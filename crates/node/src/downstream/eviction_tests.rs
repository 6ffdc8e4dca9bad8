//! Unit tests of the order of eviction.

use super::*;

fn candidate(rank: EvictionRank, state_since: Nanos, number: u32) -> EvictionCandidate {
    EvictionCandidate {
        rank,
        state_since,
        number,
    }
}

#[test]
fn eviction_candidates_are_ordered_by_rank_then_start_of_state_then_number() {
    let in_order = [
        candidate(EvictionRank::SentOnce, 9, 9),
        candidate(EvictionRank::NeverSent, 9, 9),
        candidate(EvictionRank::Returned, 1, 2),
        candidate(EvictionRank::Returned, 1, 3),
        candidate(EvictionRank::Returned, 2, 1),
        candidate(EvictionRank::Lingering, 0, 0),
        candidate(EvictionRank::Recent, 0, 0),
        candidate(EvictionRank::RecentlyReturned, 0, 0),
        candidate(EvictionRank::Active, 0, 0),
    ];
    assert!(in_order.is_sorted());
    let expendable = in_order.iter().filter(|c| c.rank.is_expendable()).count();
    assert_eq!(expendable, 5);
}
