//! Transaction IDs of requests that may have been executed, remembered for a while after their end.
//!
//! Every request, and every retry of a client, has an ID of its own. A client repeats an ID only if
//! a close crossed its request before the node read it, so an ID that comes again after an attempt
//! may have been executed must not be executed once more.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use kitefork_balancer::Nanos;

use crate::clock::SECOND;

/// How long an ID is remembered, in nanoseconds; longer than clients usually wait for an answer.
const RETENTION: Nanos = 30 * SECOND;
/// Maximum number of remembered IDs; beyond it, the oldest is forgotten.
const MAX_IDS: usize = 8192;

/// The IDs, as hashes: their number is bounded, but the length of an ID is not.
#[derive(Default)]
pub(super) struct ExecutedIds {
    hasher: RandomState,
    /// For each hash, when it was added last.
    added_at: HashMap<u64, Nanos>,
    /// The hashes in the order of their addition.
    order: VecDeque<(Nanos, u64)>,
}

impl ExecutedIds {
    /// Remembers an ID from `now` on.
    pub(super) fn add(&mut self, now: Nanos, id: &str) {
        self.forget_old(now);
        if self.order.len() == MAX_IDS {
            self.forget_oldest();
        }
        let hash = self.hasher.hash_one(id);
        self.added_at.insert(hash, now);
        self.order.push_back((now, hash));
    }

    /// Whether the ID is remembered at `now`.
    pub(super) fn contains(&self, now: Nanos, id: &str) -> bool {
        let added_at = self.added_at.get(&self.hasher.hash_one(id));
        added_at.is_some_and(|added_at| !is_old(now, *added_at))
    }

    fn forget_old(&mut self, now: Nanos) {
        while let Some((added_at, _)) = self.order.front()
            && is_old(now, *added_at)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((added_at, hash)) = self.order.pop_front() else {
            return;
        };
        // An ID that was added again stays.
        if self.added_at.get(&hash) == Some(&added_at) {
            self.added_at.remove(&hash);
        }
    }
}

fn is_old(now: Nanos, added_at: Nanos) -> bool {
    now.saturating_sub(added_at) >= RETENTION
}

#[cfg(test)]
#[path = "executed_ids_tests.rs"]
mod tests;
