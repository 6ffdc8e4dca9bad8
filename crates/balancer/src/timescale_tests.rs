//! Unit tests of the times derived from the settings.

use super::*;
use crate::settings::{Class, Idempotency};
use crate::test_support::{MS, settings};

#[test]
fn objectives_are_those_of_the_classes_or_a_second() {
    let mut two = settings(Idempotency::Idempotent);
    two.classes.push(Class {
        latency_objective: 900 * MS,
        ..two.classes[0].clone()
    });
    let timescale = Timescale::new(&two, 5);
    assert_eq!(
        (timescale.shortest_objective, timescale.longest_objective),
        (0.3, 0.9)
    );
    assert_eq!((timescale.arrival_window(), timescale.started_at), (1.8, 5));
    let none = Timescale::new(&Settings::default(), 0);
    assert_eq!(
        (none.shortest_objective, none.longest_objective),
        (1.0, 1.0)
    );
}

#[test]
fn a_rate_is_right_also_before_the_window_is_full() {
    let timescale = Timescale::new(&settings(Idempotency::Idempotent), 0);
    let window = timescale.arrival_window();
    for age in [0.5, 1.0, 10.0] {
        // The decayed count of a hundred a second since the start.
        let count = 100.0 * window * (1.0 - (-age / window).exp());
        let rate = timescale.per_second(nanos(age), count);
        assert!((rate - 100.0).abs() < 1e-3, "{rate} after {age} s");
    }
}
