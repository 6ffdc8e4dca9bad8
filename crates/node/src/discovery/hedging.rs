//! Hedging of discovery calls: when another watch is called for although one is unanswered.
//!
//! A change counts as notified 6 s after it is in the list and discovery is reachable, but a call
//! may be rejected only after 3 s, or never be answered. Once the list has been unconfirmed for a
//! while, another call is therefore started at regular intervals until one is answered.
//!
//! A service that rejects calls after they have waited is overloaded, and hedged calls of many
//! nodes would keep it so. Each such rejection in a row leaves one hedged call less.

use kitefork_balancer::Nanos;

use super::call::CallEnd;
use crate::clock::{MS, SECOND};

/// How long the list must be unconfirmed before calls are hedged, in nanoseconds. An open watch
/// confirms it every 2 s; a service that many nodes call at once gets no more calls before that.
const HEDGE_AFTER: Nanos = 4_000 * MS;
/// Interval between the starts of two calls while none is answered, in nanoseconds. Three such
/// intervals and a backoff fit into the 6 s.
const HEDGE_INTERVAL: Nanos = 1_500 * MS;
/// Maximum number of unanswered watches at any time. Discovery answers or rejects a call within 3
/// s, so that more than two are open only if it does neither.
pub(super) const MAX_UNANSWERED_WATCHES: usize = 3;

/// The earliest time for a hedged call, in nanoseconds on the node's clock, if the last call was
/// started at `last_call_at` and the list was last confirmed at `confirmed_at`.
pub(super) fn hedge_at(last_call_at: Nanos, confirmed_at: Nanos) -> Nanos {
    (last_call_at + HEDGE_INTERVAL).max(confirmed_at + HEDGE_AFTER)
}

/// A rejected call that has lasted longer than this, in nanoseconds, has waited for its turn.
const LATE_REJECTION: Nanos = SECOND;
/// Recognises by the ends of calls that discovery is overloaded, and limits the hedged calls then.
#[derive(Debug, Default)]
pub(super) struct OverloadDetector {
    consecutive_late_rejections: usize,
}

impl OverloadDetector {
    /// Records that a call was answered.
    pub(super) fn on_answer(&mut self) {
        self.consecutive_late_rejections = 0;
    }

    /// Records the end of a call that has lasted `duration`, in nanoseconds.
    pub(super) fn on_end(&mut self, end: &CallEnd, duration: Nanos) {
        if matches!(end, CallEnd::Rejected(_)) && duration > LATE_REJECTION {
            self.consecutive_late_rejections = self.consecutive_late_rejections.saturating_add(1);
        } else {
            self.consecutive_late_rejections = 0;
        }
    }

    /// Maximum number of unanswered watches now, at least 1.
    pub(super) fn max_unanswered_watches(&self) -> usize {
        MAX_UNANSWERED_WATCHES
            .saturating_sub(self.consecutive_late_rejections)
            .max(1)
    }
}

#[cfg(test)]
#[path = "hedging_tests.rs"]
mod tests;
