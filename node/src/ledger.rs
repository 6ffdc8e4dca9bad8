//! The ledger of descriptors: who may hold how many. Sessions and fetches draw on one stock; each has a
//! reserve that the other can't use up, and what neither needs is free for both. Pure figures, no I/O.
//!
//! A fixed split turns clients away while the other side's part lies idle, and the other way round.

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Session,
    Fetch,
}

/// Descriptors that are neither: the standard three, epoll, the listener, the signals' pairs and their
/// copies (6), calls to discovery (4), one for a file that is read, and some to spare.
pub const REST: usize = 20;
/// Part of the connections that are kept for each side: a session waits for each fetch, but most sessions
/// wait for none.
const SESSIONS: (usize, usize) = (1, 2);
const FETCHES: (usize, usize) = (1, 4);
/// Clients of a node hold at most a third of its descriptors for requests (the platform's word; a front's
/// pool has such a bound elsewhere). Once they do, the next request finds no connection and none of them is
/// missed here, so idle ones go before that: they hold a quarter at most.
const ASKED: usize = 4;

#[derive(Debug, Clone, Copy)]
pub struct Ledger {
    limit: usize,
    connections: usize,
}

impl Ledger {
    /// For a process that may hold `limit` descriptors in all.
    pub fn new(limit: usize) -> Ledger {
        Ledger { limit, connections: limit.saturating_sub(REST).max(4) }
    }

    fn reserve(&self, purpose: Purpose) -> usize {
        let (part, of) = match purpose {
            Purpose::Session => SESSIONS,
            Purpose::Fetch => FETCHES,
        };
        self.connections * part / of
    }

    /// Most that `purpose` can ever hold.
    pub fn most(&self, purpose: Purpose) -> usize {
        self.connections - self.reserve(purpose.other())
    }

    /// Whether one more fits for `purpose`, of which there are `own`, beside `others` of the other.
    pub fn fits(&self, purpose: Purpose, own: usize, others: usize) -> bool {
        own < self.connections - others.max(self.reserve(purpose.other()))
    }

    /// Whether closing one of `held` of `purpose` makes room for the other: it has more than its reserve.
    pub fn lends(&self, purpose: Purpose, held: usize) -> bool {
        held > self.reserve(purpose)
    }

    /// How many sessions that have asked may be held before idle ones close.
    pub fn most_asked(&self) -> usize {
        self.limit / ASKED
    }
}

impl Purpose {
    fn other(self) -> Purpose {
        match self {
            Purpose::Session => Purpose::Fetch,
            Purpose::Fetch => Purpose::Session,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever comes and goes: the limit holds, each side reaches its reserve whatever the other does,
        /// and one side alone reaches all but the other's reserve.
        #[test]
        fn the_limit_and_both_reserves_hold(
            limit in 64usize..=4096,
            steps in prop::collection::vec(any::<(bool, bool)>(), 0..6000),
        ) {
            let ledger = Ledger::new(limit);
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
            prop_assert!(ledger.most_asked() < limit / 3 && ledger.most_asked() < alone);
        }
    }
}
