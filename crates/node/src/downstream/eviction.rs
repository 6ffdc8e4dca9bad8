//! The order in which client connections are closed when descriptors are short.
//!
//! Some clients send one request and then keep their idle connection open indefinitely, others send
//! nothing at all; connections that carry further requests are useful. An eviction by age alone
//! would close useful connections to make space for a flood of idle ones.

use kitefork_balancer::Nanos;

/// How readily a connection is closed to free its descriptor for another one; connections of the
/// first variant are closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// The client has sent one message and no second one within the grace period.
    SentOnce,
    /// The client has sent no message within the grace period after it connected.
    NeverSent,
    /// The client has sent more than one message, but none recently.
    Returned,
    /// The last answer is written and the sending side is shut down.
    Lingering,
    /// The connection is new, or was recently answered for the first time.
    Recent,
    /// The client has sent more than one message, the last one recently.
    RecentlyReturned,
    /// A message has been received in part, or the connection is closing.
    Active,
}

impl EvictionRank {
    /// Whether closing the connection does little harm: its client has been idle for longer than
    /// the grace period of such clients.
    pub fn is_expendable(self) -> bool {
        self <= EvictionRank::Returned
    }
}

/// A connection that may be closed to free its descriptor for another one. The smallest candidate
/// is closed first: the lowest rank, then the longest time in the current state, then the lowest
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionCandidate {
    /// How readily the connection is closed.
    pub rank: EvictionRank,
    /// When the current state of the connection began, in nanoseconds on the node's clock.
    pub state_since: Nanos,
    /// The number of the connection in the table of client connections.
    pub number: u32,
}

#[cfg(test)]
#[path = "eviction_tests.rs"]
mod tests;
