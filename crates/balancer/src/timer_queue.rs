//! Tasks set for later, and the one timer that is armed for the first of them.

use std::collections::BTreeSet;

use crate::ids::{Nanos, TimerId};

/// Tasks by the time at which they are due. Tasks of one time come in their own order.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    tasks: BTreeSet<(Nanos, T)>,
    armed: Option<ArmedTimer>,
    last_timer_id: u32,
}

/// A timer and when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ArmedTimer {
    pub(crate) at: Nanos,
    pub(crate) timer: TimerId,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            tasks: BTreeSet::new(),
            armed: None,
            last_timer_id: 0,
        }
    }
}

impl<T: Ord + Copy> TimerQueue<T> {
    /// Adds a task; the same one at the same time is kept once.
    pub(crate) fn schedule(&mut self, at: Nanos, task: T) {
        self.tasks.insert((at, task));
    }

    /// How many tasks it holds.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Takes the first task that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<T> {
        let first = self.tasks.first().copied().filter(|(at, _)| *at <= now)?;
        self.tasks.remove(&first);
        Some(first.1)
    }

    /// The timer to be set, if the first task comes before the timer that is armed. A timer that
    /// was set before is superseded and never needs to be cancelled.
    pub(crate) fn arm(&mut self) -> Option<ArmedTimer> {
        let at = self.tasks.first()?.0;
        if self.armed.is_some_and(|armed| armed.at <= at) {
            return None;
        }
        self.last_timer_id = self.last_timer_id.wrapping_add(1);
        self.armed = Some(ArmedTimer {
            at,
            timer: TimerId(self.last_timer_id),
        });
        self.armed
    }

    /// A timer has fired. It is known by its number and not by its time, as a caller whose clock
    /// rounds may fire it early.
    pub(crate) fn fired(&mut self, timer: TimerId) {
        self.armed = self.armed.filter(|armed| armed.timer != timer);
    }
}

#[cfg(test)]
#[path = "timer_queue_tests.rs"]
mod tests;
