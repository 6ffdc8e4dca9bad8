//! The ledger of descriptors: who may hold how many. Sessions and fetches draw on one stock; each
//! has a reserve that the other can't use up, and what neither needs is free for both. Pure
//! figures, no I/O.
//!
//! A fixed split turns clients away while the other side's part lies idle, and the other way round.

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Client,
    Upstream,
}

/// Descriptors that are neither: the standard three, epoll, the listener, the signals' pairs and
/// their copies (6), calls to discovery (4), one for a file that is read, and some to spare.
pub const OTHER_DESCRIPTORS: usize = 20;
/// Part of the connections that are kept for each side: a session waits for each fetch, but most
/// sessions wait for none.
const CLIENT_RESERVE: (usize, usize) = (1, 2);
const UPSTREAM_RESERVE: (usize, usize) = (1, 4);
/// Clients of a node hold at most a third of its descriptors for requests (the platform's word; a
/// front's pool has such a bound elsewhere). Once they do, the next request finds no connection and
/// none of them is missed here, so idle ones go before that: they hold a quarter at most.
const ACTIVE_CLIENTS_DIVISOR: usize = 4;

#[derive(Debug, Clone, Copy)]
pub struct DescriptorBudget {
    limit: usize,
    connections: usize,
}

impl DescriptorBudget {
    /// For a process that may hold `limit` descriptors in all.
    pub fn new(limit: usize) -> DescriptorBudget {
        DescriptorBudget {
            limit,
            connections: limit.saturating_sub(OTHER_DESCRIPTORS).max(4),
        }
    }

    fn reserve(&self, purpose: Purpose) -> usize {
        let (part, of) = match purpose {
            Purpose::Client => CLIENT_RESERVE,
            Purpose::Upstream => UPSTREAM_RESERVE,
        };
        self.connections * part / of
    }

    /// Most that `purpose` can ever hold.
    pub fn max(&self, purpose: Purpose) -> usize {
        self.connections - self.reserve(purpose.other())
    }

    /// Whether one more fits for `purpose`, of which there are `own`, beside `others` of the other.
    pub fn fits(&self, purpose: Purpose, own: usize, others: usize) -> bool {
        own < self.connections - others.max(self.reserve(purpose.other()))
    }

    /// Whether closing one of `held` of `purpose` makes room for the other: it has more than its
    /// reserve.
    pub fn lends(&self, purpose: Purpose, held: usize) -> bool {
        held > self.reserve(purpose)
    }

    /// How many sessions that have asked may be held before idle ones close.
    pub fn max_active_clients(&self) -> usize {
        self.limit / ACTIVE_CLIENTS_DIVISOR
    }
}

impl Purpose {
    fn other(self) -> Purpose {
        match self {
            Purpose::Client => Purpose::Upstream,
            Purpose::Upstream => Purpose::Client,
        }
    }
}

#[cfg(test)]
#[path = "descriptor_budget_tests.rs"]
mod tests;
