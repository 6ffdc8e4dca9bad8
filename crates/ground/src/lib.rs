//! What the decisions stand on and what decides nothing itself: an ordered agenda, moving means, a
//! histogram. No I/O, no clock; equal calls give equal results.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeSet;

/// Tasks by the time at which they are due, with the one timer that is waited for. Times are
/// nanoseconds.
#[derive(Debug)]
pub struct Agenda<T> {
    tasks: BTreeSet<(u64, T)>,
    armed: Option<(u64, u32)>,
    timers: u32,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Agenda {
            tasks: BTreeSet::new(),
            armed: None,
            timers: 0,
        }
    }
}

impl<T: Ord + Copy> Agenda<T> {
    /// Adds a task; the same one at the same time stands once.
    pub fn add(&mut self, at: u64, task: T) {
        self.tasks.insert((at, task));
    }

    /// How many tasks it holds.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// It holds none.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Takes the first task that is due at `now`. Tasks of one time come in their own order.
    pub fn due(&mut self, now: u64) -> Option<T> {
        let first = self.tasks.first().copied().filter(|(at, _)| *at <= now)?;
        self.tasks.remove(&first);
        Some(first.1)
    }

    /// Time and number of the timer to be set, if the next task comes before the one that is waited
    /// for. A timer that was set before is superseded and never needs to be taken back.
    pub fn arm(&mut self) -> Option<(u64, u32)> {
        let at = self.tasks.first()?.0;
        if self.armed.is_some_and(|armed| armed.0 <= at) {
            return None;
        }
        self.timers = self.timers.wrapping_add(1);
        self.armed = Some((at, self.timers));
        self.armed
    }

    /// A timer has fired. It is known by its number, not its time: a clock that rounds may bring it
    /// early.
    pub fn fired(&mut self, timer: u32) {
        self.armed = self.armed.filter(|armed| armed.1 != timer);
    }
}

/// A mean over the last `window` values or so, and the least that it was since the window was first
/// full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    /// The moving mean.
    pub mean: f64,
    /// How many values are in it, up to its window.
    pub seen: f64,
    /// The mean in the best of times.
    pub base: f64,
}

impl Mean {
    /// Takes in a value.
    pub fn add(&mut self, value: f64, window: f64) {
        self.seen = (self.seen + 1.0).min(window);
        self.mean += (value - self.mean) / self.seen;
        self.base = if self.seen < window {
            self.mean
        } else {
            self.base.min(self.mean)
        };
    }

    /// Lets the best of times rise by `part` of itself, up to the mean: what it tells is forgotten
    /// slowly.
    pub fn forget(&mut self, part: f64) {
        self.base = (self.base * (1.0 + part)).min(self.mean);
    }
}

/// A discounted sum and the discounted number of what is in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// How many, discounted.
    pub done: f64,
    /// Their sum, discounted.
    pub spent: f64,
}

impl Sum {
    /// Adds `spent` for `done` values.
    pub fn add(&mut self, done: f64, spent: f64) {
        self.done += done;
        self.spent += spent;
    }

    /// Discounts what is held.
    pub fn keep(&mut self, part: f64) {
        self.done *= part;
        self.spent *= part;
    }

    /// The mean, leaning to 1 with the evidence of `prior` values.
    pub fn lean(&self, prior: f64) -> f64 {
        (self.spent + prior) / (self.done + prior)
    }
}

/// The part of a whole that most values fall into: a histogram of 32 steps, discounted by each new
/// value.
#[derive(Clone, Copy, Debug)]
pub struct Often {
    steps: [f64; Often::STEPS + 1],
}

impl Default for Often {
    fn default() -> Self {
        Often {
            steps: [0.0; Often::STEPS + 1],
        }
    }
}

impl Often {
    const STEPS: usize = 32;
    /// Values that it remembers.
    const MEMORY: f64 = 256.0;

    /// Takes in a value, a part from 0 to 1 of the whole, and tells whether it is of the most
    /// frequent step or one beside it.
    pub fn add(&mut self, part: f64) -> bool {
        self.steps
            .iter_mut()
            .for_each(|n| *n *= 1.0 - 1.0 / Often::MEMORY);
        let at = (part.clamp(0.0, 1.0) * Often::STEPS as f64) as usize;
        self.steps[at] += 1.0;
        let most = (0..=Often::STEPS).max_by(|a, b| self.steps[*a].total_cmp(&self.steps[*b]));
        most.is_some_and(|most| most.abs_diff(at) <= 1)
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
