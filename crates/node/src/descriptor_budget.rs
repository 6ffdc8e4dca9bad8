//! The descriptor budget: how many client and upstream connections may be open.
//!
//! Both kinds share one limit. Each has a reserve that the other can't use, and the rest is
//! available to both. A fixed split would reject one kind while the descriptors of the other are
//! idle. This module does no I/O.

/// What a connection is for; clients and backends each have a reserve of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A connection from a client, also an idle one.
    Client,
    /// A connection to a backend, also an idle one.
    Upstream,
}

/// Number of descriptors that are kept for other uses than client and upstream connections: the
/// standard streams (3), epoll, the listener, a wake-up socket for each kind of signal (2) and, for
/// each signal, a socket that its handler writes to (3), discovery calls (4), one for a file that
/// is being read, and a margin.
pub const OTHER_DESCRIPTORS: usize = 20;
/// Minimum number of connections, even if the process may hold fewer descriptors.
const MIN_CONNECTIONS: usize = 4;
/// The reserve of the clients is the maximum number of connections divided by this. Clients have
/// the larger reserve: every upstream connection in use has a client that waits for it, but most
/// clients wait for none.
const CLIENT_RESERVE_DIVISOR: usize = 2;
/// The reserve of the upstream connections is the maximum number of connections divided by this.
const UPSTREAM_RESERVE_DIVISOR: usize = 4;
/// The maximum number of connected clients that have sent a request is the descriptor limit divided
/// by this. The platform allows such clients a third of a node's descriptors; in other deployments,
/// the connection pool of a front has such a bound. At that bound the next request gets no
/// connection, which the node can't observe, so idle connections are closed before the bound is
/// reached.
const ACTIVE_CLIENTS_DIVISOR: usize = 4;

/// How many connections of each kind may be open.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorBudget {
    descriptor_limit: usize,
    max_connections: usize,
}

impl DescriptorBudget {
    /// The budget of a process that may hold `descriptor_limit` descriptors in total.
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

    /// Maximum number of open connections for `purpose`, while the other kind uses no more than its
    /// reserve.
    pub fn max(&self, purpose: Purpose) -> usize {
        self.max_connections - self.reserve(purpose.other())
    }

    /// Whether another connection for `purpose` fits while `open` connections for it and
    /// `other_open` of the other kind are open.
    pub fn fits(&self, purpose: Purpose, open: usize, other_open: usize) -> bool {
        open < self.max_connections - other_open.max(self.reserve(purpose.other()))
    }

    /// Whether the `open` connections for `purpose` are more than its reserve, so that closing one
    /// of them lets the other kind open one.
    pub fn exceeds_reserve(&self, purpose: Purpose, open: usize) -> bool {
        open > self.reserve(purpose)
    }

    /// Maximum number of connected clients that have sent a request, above which idle ones are
    /// closed.
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
