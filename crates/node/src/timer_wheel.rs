//! Timers of the node: a timer wheel with coarse ticks. A timer fires in the first poll at or after
//! its tick, so up to a tick late and never early. Timers are not cancelled: the code that handles
//! a timer checks, when it fires, whether it still applies.

use kitefork_balancer::Nanos;

/// Number of slots of a wheel. At ticks of 5 ms, one revolution takes 5 s, so that most request
/// deadlines fire in their first revolution.
const SLOTS: usize = 1024;

/// A timer wheel. Timers that are further away than one revolution share slots with nearer ones.
pub struct TimerWheel<T> {
    tick_length: Nanos,
    /// The last tick whose timers have fired.
    last_tick: u64,
    slots: Vec<Vec<Timer<T>>>,
}

struct Timer<T> {
    /// The tick at which the timer fires.
    tick: u64,
    event: T,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel whose resolution is `tick_length`, in nanoseconds and at least 1.
    pub fn new(tick_length: Nanos, now: Nanos) -> TimerWheel<T> {
        let tick_length = tick_length.max(1);
        TimerWheel {
            tick_length,
            last_tick: now / tick_length,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        }
    }

    /// Schedules an event for the time `at`; if that time has passed, the event fires at the next
    /// tick.
    pub fn schedule(&mut self, at: Nanos, event: T) {
        let tick = at.div_ceil(self.tick_length).max(self.last_tick + 1);
        self.slots[slot_index(tick)].push(Timer { tick, event });
    }

    /// Removes the events that are due and returns them, in the order of their ticks.
    pub fn expire(&mut self, now: Nanos) -> Vec<T> {
        let current_tick = now / self.tick_length;
        // One revolution visits every slot, so earlier ticks need no visit after a long pause.
        let one_revolution_ago = (current_tick + 1).saturating_sub(SLOTS as u64);
        let first_tick = (self.last_tick + 1).max(one_revolution_ago);
        let mut due = Vec::new();
        for tick in first_tick..=current_tick {
            let slot = &mut self.slots[slot_index(tick)];
            due.extend(slot.extract_if(.., |timer| timer.tick <= current_tick));
        }
        self.last_tick = self.last_tick.max(current_tick);
        due.sort_by_key(|timer| timer.tick);
        due.into_iter().map(|timer| timer.event).collect()
    }

    /// When to call [`TimerWheel::expire`] again: the next tick whose slot holds a timer, of this
    /// revolution or a later one. `None` when nothing is scheduled.
    pub fn next_tick_at(&self) -> Option<Nanos> {
        let mut revolution = self.last_tick + 1..=self.last_tick + SLOTS as u64;
        let tick = revolution.find(|tick| !self.slots[slot_index(*tick)].is_empty())?;
        Some(tick * self.tick_length)
    }
}

fn slot_index(tick: u64) -> usize {
    tick as usize % SLOTS
}

/// A deadline that can be moved. It schedules as few timers as possible: of its timers on the
/// wheel, only the earliest one applies, and the others are ignored when they fire.
#[derive(Clone, Copy)]
pub struct Deadline {
    at: Nanos,
    /// Time of the only timer on the wheel that applies to this deadline; [`Deadline::NEVER`] if
    /// there is none.
    scheduled_at: Nanos,
}

impl Deadline {
    /// The time of a deadline that is not set.
    pub const NEVER: Nanos = Nanos::MAX;

    /// Creates a deadline that is not set.
    pub fn new() -> Deadline {
        Deadline {
            at: Self::NEVER,
            scheduled_at: Self::NEVER,
        }
    }

    /// Moves the deadline to `at`. Schedules `event`, unless a timer of this deadline is already
    /// scheduled for `at` or earlier; when that timer fires, [`Deadline::is_due`] schedules `event`
    /// again.
    pub fn set<T>(&mut self, at: Nanos, wheel: &mut TimerWheel<T>, event: T) {
        self.at = at;
        if at < self.scheduled_at {
            self.scheduled_at = at;
            wheel.schedule(at, event);
        }
    }

    /// Must be called when a timer of this deadline has fired. Returns whether the deadline has
    /// passed, and schedules `event` again if the deadline was moved to a later time.
    pub fn is_due<T>(&mut self, now: Nanos, wheel: &mut TimerWheel<T>, event: T) -> bool {
        if self.scheduled_at > now {
            return false;
        }
        self.scheduled_at = Self::NEVER;
        if self.at > now && self.at < Self::NEVER {
            self.set(self.at, wheel, event);
        }
        self.at <= now
    }
}

#[cfg(test)]
#[path = "timer_wheel_tests.rs"]
mod tests;
