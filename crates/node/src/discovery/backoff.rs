//! Backoff of discovery calls: when to call again after a failed call.

use kitefork_balancer::Nanos;

use crate::clock::MS;

/// Maximum time to establish a connection to discovery, in nanoseconds. A new connection succeeds
/// sooner than TCP's own retransmissions once discovery is reachable again.
const CONNECT_TIMEOUT: Nanos = 1_000 * MS;
/// Base of the backoff where lists are pushed, in nanoseconds; it doubles with each further failed
/// call. Also the lower bound of the limits that depend on the grace of draining backends.
const MIN_BACKOFF: Nanos = 10 * MS;
/// Maximum backoff where lists are pushed, in nanoseconds.
const MAX_BACKOFF: Nanos = 500 * MS;
/// Maximum number of doublings of the backoff, so that the shift can't overflow; [`MAX_BACKOFF`] is
/// reached with fewer doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The backoff is at most the grace of draining backends divided by this: a node that has lost its
/// watch must have opened another one well within that grace.
const BACKOFF_GRACE_DIVISOR: Nanos = 4;
/// The connect timeout is at most the grace of draining backends divided by this, so that another
/// watch can be open well within that grace.
const CONNECT_GRACE_DIVISOR: Nanos = 2;

/// How the endpoint list is kept up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The decision module requests polls and watches.
    Polled,
    /// The node itself keeps a watch open to its discovery agent. The node counts as notified of an
    /// update once the agent has it, whether or not the node has read it.
    Pushed {
        /// How long a backend may still get attempts after its removal from the list, in
        /// nanoseconds.
        drain_grace: Nanos,
    },
}

impl DiscoveryMode {
    /// Maximum time to establish a connection to discovery, in nanoseconds.
    pub fn connect_timeout(self) -> Nanos {
        match self {
            DiscoveryMode::Polled => CONNECT_TIMEOUT,
            DiscoveryMode::Pushed { drain_grace } => {
                (drain_grace / CONNECT_GRACE_DIVISOR).clamp(MIN_BACKOFF, CONNECT_TIMEOUT)
            }
        }
    }
}

/// Whether a backoff is in progress; the next call is made when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackoffState {
    Ready,
    BackingOff,
}

/// State of the backoff between discovery calls.
#[derive(Debug)]
pub struct Backoff {
    state: BackoffState,
    /// Number of consecutive failed calls; counted only where lists are pushed.
    failed_calls: u32,
}

impl Backoff {
    /// Creates the state before any call has failed.
    pub fn new() -> Backoff {
        Backoff {
            state: BackoffState::Ready,
            failed_calls: 0,
        }
    }

    /// Starts a backoff after a failed call; returns `false` if one is in progress already.
    ///
    /// A call that a reload of the configuration opens early may fail before the backoff is over.
    /// The backoff in progress already leads to the next call; a second one would start a second
    /// series of calls beside it.
    pub fn begin(&mut self) -> bool {
        std::mem::replace(&mut self.state, BackoffState::BackingOff) == BackoffState::Ready
    }

    /// Ends the backoff, so that the next failed call starts another one.
    pub fn end(&mut self) {
        self.state = BackoffState::Ready;
    }

    /// Resets the number of consecutive failed calls, after a call that has lasted long enough: the
    /// retry after the next failure is then immediate.
    pub fn reset(&mut self) {
        self.failed_calls = 0;
    }

    /// Counts a failed call and returns the delay before the next call, in nanoseconds; used only
    /// where lists are pushed. The first retry is immediate, because the agent serves only this
    /// node and so gets no retries of other nodes at the same time; then the delay doubles.
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
