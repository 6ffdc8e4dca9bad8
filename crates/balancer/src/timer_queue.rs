//! Scheduled tasks, and the single timer that is armed for the earliest of them.

use std::collections::BTreeSet;

use crate::ids::{Nanos, TimerId};

/// Tasks in the order in which they are due. Tasks due at the same time are in the order of `T`.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    tasks: BTreeSet<(Nanos, T)>,
    armed: Option<ArmedTimer>,
    last_timer_id: u32,
}

/// A timer that the caller has to set, and when it is due.
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
    /// Adds a task. The same task at the same time is kept only once.
    pub(crate) fn schedule(&mut self, at: Nanos, task: T) {
        self.tasks.insert((at, task));
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Removes and returns the earliest task if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<T> {
        let first = self.tasks.first().copied().filter(|(at, _)| *at <= now)?;
        self.tasks.remove(&first);
        Some(first.1)
    }

    /// Arms a timer for the earliest task and returns it. `None` if there is no task, or if the
    /// armed timer is due no later than that task. The timer armed before is superseded and never
    /// needs to be cancelled.
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

    /// Handles a timer that has fired; a superseded one is ignored. The timer is identified by its
    /// id rather than its time, because a caller whose clock rounds may fire it early.
    pub(crate) fn on_fired(&mut self, timer: TimerId) {
        self.armed = self.armed.filter(|armed| armed.timer != timer);
    }
}

#[cfg(test)]
#[path = "timer_queue_tests.rs"]
mod tests;
