//! Unit tests of `lib`.

use super::*;

#[test]
fn tasks_come_by_time_then_order_and_once() {
    let mut agenda = Agenda::default();
    for (at, task) in [(5, 'b'), (5, 'a'), (3, 'c'), (5, 'b')] {
        agenda.add(at, task);
    }
    assert_eq!(agenda.due(2), None);
    let all: Vec<_> = std::iter::from_fn(|| agenda.due(5)).collect();
    assert_eq!(all, ['c', 'a', 'b']);
}

#[test]
fn one_timer_is_waited_for_and_an_old_one_changes_nothing() {
    let mut agenda = Agenda::default();
    assert_eq!(agenda.arm(), None);
    agenda.add(9, 'x');
    assert_eq!(agenda.arm(), Some((9, 1)));
    assert_eq!(agenda.arm(), None);
    agenda.add(4, 'y');
    assert_eq!(agenda.arm(), Some((4, 2)));
    agenda.fired(1);
    assert_eq!(agenda.arm(), None);
    agenda.fired(2);
    assert_eq!(agenda.arm(), Some((4, 3)));
}

#[test]
fn the_best_of_times_stands_until_it_is_forgotten() {
    let mut mean = Mean::default();
    [1.0, 3.0, 2.0, 5.0].iter().for_each(|v| mean.add(*v, 2.0));
    assert_eq!(
        mean,
        Mean {
            mean: 3.5,
            seen: 2.0,
            base: 1.0
        }
    );
    mean.forget(0.5);
    assert_eq!(mean.base, 1.5);
    mean.forget(9.0);
    assert_eq!(mean.base, 3.5);
}

#[test]
fn the_most_frequent_is_told_from_the_rest_and_changes_with_what_comes() {
    let mut often = Often::default();
    assert!(often.add(0.51));
    for turn in 0..100 {
        assert!(often.add(0.51));
        assert!(!often.add(if turn % 2 == 0 { 0.2 } else { 0.9 }));
    }
    assert!(often.add(0.5) && often.add(0.54) && !often.add(f64::NAN));
    for _ in 0..600 {
        often.add(7.0);
    }
    assert!(often.add(1.0) && !often.add(0.51));
}

#[test]
fn a_sum_without_evidence_leans_to_one() {
    let mut sum = Sum::default();
    assert_eq!(sum.lean(2.0), 1.0);
    sum.add(2.0, 6.0);
    assert_eq!(sum.lean(2.0), 2.0);
    sum.keep(0.5);
    assert_eq!(
        sum,
        Sum {
            done: 1.0,
            spent: 3.0
        }
    );
}
