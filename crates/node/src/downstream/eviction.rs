//! Which client connections are closed first where descriptors are short.
//!
//! Some clients send one request and then keep their connection for good, others send nothing at
//! all; those that have come back are of use. By age alone, a flood of the former would push the
//! latter out.

use kitefork_balancer::Nanos;

/// How readily a connection is closed for another one: the first variant first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// Its client has sent one request and not come back soon.
    SentOnce,
    /// Its client has sent nothing soon after it connected.
    NeverSent,
    /// Its client has come back, but not lately.
    Returned,
    /// Its last answer is written.
    Lingering,
    /// New, or just answered for the first time.
    Recent,
    /// Its client has come back lately.
    RecentlyReturned,
    /// In the middle of a message, or closing.
    Active,
}

impl EvictionRank {
    /// Whether it is hardly missed: its client has not come back, or not lately.
    pub fn is_expendable(self) -> bool {
        self <= EvictionRank::Returned
    }
}

/// A connection that may be closed for another one. The least is closed first: by rank, then the
/// one that has been in its state for longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionCandidate {
    /// How readily it is closed.
    pub rank: EvictionRank,
    /// Since when it is in its state, in nanoseconds on the node's clock.
    pub state_since: Nanos,
    /// Its number in the table of client connections.
    pub number: u32,
}

#[cfg(test)]
#[path = "eviction_tests.rs"]
mod tests;
