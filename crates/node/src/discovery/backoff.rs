//! When discovery is called again after a failed call.

use kitefork_balancer::Nanos;

use crate::clock::MS;

/// A connection to discovery that is not established after this, in nanoseconds, is cut off; a new
/// one finds the way back sooner than TCP's own retransmissions.
const CONNECT_TIMEOUT: Nanos = 1_000 * MS;
/// Where lists are pushed: the backoff doubles from this, in nanoseconds ...
const MIN_BACKOFF: Nanos = 10 * MS;
/// ... up to this.
const MAX_BACKOFF: Nanos = 500 * MS;
/// Most doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The backoff is at most this part of the grace for draining backends: a node without a watch must
/// be back on it well within that grace.
const BACKOFF_GRACE_DIVISOR: Nanos = 4;
/// The same for the time in which a connection must be established.
const CONNECT_GRACE_DIVISOR: Nanos = 2;

/// How the endpoint list is kept up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The decision module asks for polls and watches.
    Polled,
    /// The node keeps a watch open by itself. What the agent has counts as notified whether or not
    /// this node has read it.
    Pushed {
        /// How long after its removal from the list a backend may still get attempts, in
        /// nanoseconds.
        drain_grace: Nanos,
    },
}

impl DiscoveryMode {
    /// Within which time a connection must be established, in nanoseconds.
    pub fn connect_timeout(self) -> Nanos {
        match self {
            DiscoveryMode::Polled => CONNECT_TIMEOUT,
            DiscoveryMode::Pushed { drain_grace } => {
                (drain_grace / CONNECT_GRACE_DIVISOR).clamp(MIN_BACKOFF, CONNECT_TIMEOUT)
            }
        }
    }
}

/// Whether the next call waits for the end of a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackoffState {
    Ready,
    BackingOff,
}

/// The backoff of the calls.
#[derive(Debug)]
pub struct Backoff {
    state: BackoffState,
    /// Calls that have failed in a row, where lists are pushed.
    failed_calls: u32,
}

impl Backoff {
    /// No call has failed.
    pub fn new() -> Backoff {
        Backoff {
            state: BackoffState::Ready,
            failed_calls: 0,
        }
    }

    /// Begins a backoff after a failed call; whether none was in progress.
    ///
    /// A call that a new configuration has brought forward may fail before the backoff is over: the
    /// next one comes anyway, and there would from then on be two rows of calls.
    pub fn begin(&mut self) -> bool {
        std::mem::replace(&mut self.state, BackoffState::BackingOff) == BackoffState::Ready
    }

    /// The backoff is over.
    pub fn end(&mut self) {
        self.state = BackoffState::Ready;
    }

    /// A call has lasted: the row of failures ends.
    pub fn reset(&mut self) {
        self.failed_calls = 0;
    }

    /// Counts a failed call; how long to wait after it where lists are pushed, in nanoseconds. The
    /// agent is this node's own, no crowd of others calls it: so the first retry is immediate, then
    /// the backoff doubles.
    pub fn next_delay(&mut self, drain_grace: Nanos) -> Nanos {
        let previous_failures = self.failed_calls;
        self.failed_calls += 1;
        if previous_failures == 0 {
            return 0;
        }
        let max_delay = (drain_grace / BACKOFF_GRACE_DIVISOR).clamp(MIN_BACKOFF, MAX_BACKOFF);
        max_delay.min(MIN_BACKOFF << previous_failures.min(MAX_BACKOFF_DOUBLINGS))
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
