//! The descriptor budget: how many connections clients and backends may hold.
//!
//! Both draw on one stock; each has a reserve that the other can't use up, and what neither needs
//! is free for both. A fixed split would reject clients while the other side's part lies idle, and
//! the other way round. Pure figures, no I/O.

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A client's connection.
    Client,
    /// A connection to a backend.
    Upstream,
}

/// Descriptors that are neither: the standard three, epoll, the listener, the signals' pairs and
/// their copies (6), calls to discovery (4), one for a file that is read, and some to spare.
pub const OTHER_DESCRIPTORS: usize = 20;
/// Connections that a process has at least, however few descriptors it may hold.
const MIN_CONNECTIONS: usize = 4;
/// The reserve of the clients is this part of all connections: a client waits for each upstream
/// connection, but most clients wait for none.
const CLIENT_RESERVE_DIVISOR: usize = 2;
/// The reserve of the upstream connections is this part of all connections.
const UPSTREAM_RESERVE_DIVISOR: usize = 4;
/// Clients of a node hold at most a third of its descriptors for requests (the platform's limit; a
/// front's pool has such a bound elsewhere). Once they do, the next request finds no connection and
/// none of them is missed here, so idle ones go before that: they hold this part at most.
const ACTIVE_CLIENTS_DIVISOR: usize = 4;

/// How many connections each side may hold.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorBudget {
    descriptor_limit: usize,
    max_connections: usize,
}

impl DescriptorBudget {
    /// For a process that may hold `limit` descriptors in all.
    pub fn new(descriptor_limit: usize) -> DescriptorBudget {
        DescriptorBudget {
            descriptor_limit,
            max_connections: descriptor_limit
                .saturating_sub(OTHER_DESCRIPTORS)
                .max(MIN_CONNECTIONS),
        }
    }

    fn reserve(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Client => self.max_connections / CLIENT_RESERVE_DIVISOR,
            Purpose::Upstream => self.max_connections / UPSTREAM_RESERVE_DIVISOR,
        }
    }

    /// Most that `purpose` can ever hold.
    pub fn max(&self, purpose: Purpose) -> usize {
        self.max_connections - self.reserve(purpose.other())
    }

    /// Whether one more fits for `purpose`, of which there are `own`, beside `others` of the other.
    pub fn fits(&self, purpose: Purpose, open: usize, other_open: usize) -> bool {
        open < self.max_connections - other_open.max(self.reserve(purpose.other()))
    }

    /// Whether closing one of `open` of `purpose` lets the other have one more: it has more than
    /// its reserve.
    pub fn exceeds_reserve(&self, purpose: Purpose, open: usize) -> bool {
        open > self.reserve(purpose)
    }

    /// How many clients that have sent a request may be connected before idle ones are closed.
    pub fn max_active_clients(&self) -> usize {
        self.descriptor_limit / ACTIVE_CLIENTS_DIVISOR
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
