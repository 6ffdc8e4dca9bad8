//! Unit tests of the timer wheel and of deadlines that are moved.

use super::*;

#[test]
fn moved_deadline_is_due_once_at_the_time_set_last() {
    let (mut wheel, mut deadline) = (TimerWheel::new(1, 0), Deadline::new());
    deadline.set(5, &mut wheel, ());
    deadline.set(9, &mut wheel, ());
    deadline.set(3, &mut wheel, ());
    deadline.set(7, &mut wheel, ());
    let mut due = Vec::new();
    for now in 1..12 {
        for () in wheel.expire(now) {
            if deadline.is_due(now, &mut wheel, ()) {
                due.push(now);
            }
        }
    }
    assert_eq!(due, [7]);
}

#[test]
fn timers_fire_in_order_at_most_one_tick_late_and_never_early() {
    let mut wheel = TimerWheel::new(5, 1_000);
    for (at, name) in [
        (1_012, 'b'),
        (1_003, 'a'),
        (1_000 + 5 * SLOTS as u64 + 12, 'd'),
        (7, 'z'),
    ] {
        wheel.schedule(at, name);
    }
    assert_eq!(wheel.next_tick_at(), Some(1_005));
    assert_eq!(wheel.expire(1_004), []);
    assert_eq!(wheel.expire(1_005), ['a', 'z']);
    assert_eq!(wheel.expire(1_014), []);
    assert_eq!(wheel.expire(1_015), ['b']);
    // The timer 'd' is one revolution later than 'b' in the same slot; a pause that is longer than
    // a revolution loses no timer.
    wheel.schedule(30_000, 'e');
    assert_eq!(wheel.expire(90_000), ['d', 'e']);
    assert_eq!(wheel.next_tick_at(), None);
}
