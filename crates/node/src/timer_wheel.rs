//! Every deadline of the node: coarse ticks on a wheel. A deadline fires in the first round at or
//! after its tick, so up to a tick late and never early. Nothing is taken off: whoever hung a
//! deadline checks, when it fires, whether it still stands.

use kitefork_balancer::Nanos;

const SLOTS: usize = 1024;

pub struct TimerWheel<T> {
    tick: Nanos,
    /// The last tick that was fired.
    fired: u64,
    slots: Vec<Vec<(u64, T)>>,
}

impl<T> TimerWheel<T> {
    pub fn new(tick: Nanos, now: Nanos) -> TimerWheel<T> {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel {
            tick: tick.max(1),
            fired: now / tick.max(1),
            slots,
        }
    }

    /// Hangs a deadline; one that has passed fires in the next round.
    pub fn schedule(&mut self, at: Nanos, what: T) {
        let due = at.div_ceil(self.tick).max(self.fired + 1);
        self.slots[due as usize % SLOTS].push((due, what));
    }

    /// Takes what is due by now, in order of ticks.
    pub fn expire(&mut self, now: Nanos) -> Vec<T> {
        let upto = now / self.tick;
        let mut due = Vec::new();
        // After a long pause one turn visits every slot.
        let first = (self.fired + 1).max((upto + 1).saturating_sub(SLOTS as u64));
        for tick in first..=upto {
            let slot = &mut self.slots[tick as usize % SLOTS];
            due.extend(slot.extract_if(.., |entry| entry.0 <= upto));
        }
        self.fired = self.fired.max(upto);
        due.sort_by_key(|entry| entry.0);
        due.into_iter().map(|entry| entry.1).collect()
    }

    /// When to look again: the next tick with something on it, of this turn or a later one.
    pub fn next(&self) -> Option<Nanos> {
        let ahead = self.fired + 1..=self.fired + SLOTS as u64;
        let tick = ahead
            .into_iter()
            .find(|tick| !self.slots[*tick as usize % SLOTS].is_empty())?;
        Some(tick * self.tick)
    }
}

/// A deadline that moves: of the entries that it has left on the wheel only one counts.
#[derive(Clone, Copy)]
pub struct Deadline {
    at: Nanos,
    hung: Nanos,
}

impl Deadline {
    pub const NEVER: Nanos = Nanos::MAX;

    pub fn new() -> Deadline {
        Deadline {
            at: Self::NEVER,
            hung: Self::NEVER,
        }
    }

    pub fn set<T>(&mut self, at: Nanos, wheel: &mut TimerWheel<T>, what: T) {
        self.at = at;
        if at < self.hung {
            self.hung = at;
            wheel.schedule(at, what);
        }
    }

    /// An entry has fired: tells whether the deadline is due, and hangs it anew where it has moved
    /// back.
    pub fn is_due<T>(&mut self, now: Nanos, wheel: &mut TimerWheel<T>, what: T) -> bool {
        if self.hung > now {
            return false;
        }
        self.hung = Self::NEVER;
        if self.at > now && self.at < Self::NEVER {
            self.set(self.at, wheel, what);
        }
        self.at <= now
    }
}

#[cfg(test)]
#[path = "timer_wheel_tests.rs"]
mod tests;
