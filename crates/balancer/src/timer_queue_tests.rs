//! Unit tests of the timer queue.

use super::*;

fn armed(at: Nanos, timer: u32) -> ArmedTimer {
    ArmedTimer {
        at,
        timer: TimerId(timer),
    }
}

#[test]
fn tasks_are_popped_by_time_then_value_and_only_once() {
    let mut queue = TimerQueue::default();
    for (at, task) in [(5, 'b'), (5, 'a'), (3, 'c'), (5, 'b')] {
        queue.schedule(at, task);
    }
    assert_eq!(queue.pop_due(2), None);
    let all: Vec<_> = std::iter::from_fn(|| queue.pop_due(5)).collect();
    assert_eq!(all, ['c', 'a', 'b']);
}

#[test]
fn one_timer_is_armed_and_a_superseded_one_is_ignored() {
    let mut queue = TimerQueue::default();
    assert_eq!(queue.arm(), None);
    queue.schedule(9, 'x');
    assert_eq!(queue.arm(), Some(armed(9, 1)));
    assert_eq!(queue.arm(), None);
    queue.schedule(4, 'y');
    assert_eq!(queue.arm(), Some(armed(4, 2)));
    queue.on_fired(TimerId(1));
    assert_eq!(queue.arm(), None);
    queue.on_fired(TimerId(2));
    assert_eq!(queue.arm(), Some(armed(4, 3)));
}
