//! Unit tests of the durations derived from the settings.

use super::*;
use crate::settings::{Class, Idempotency};
use crate::test_support::{MS, settings};

#[test]
fn objectives_come_from_the_classes_or_default_to_one_second() {
    let mut two_classes = settings(Idempotency::Idempotent);
    two_classes.classes.push(Class {
        latency_objective: 900 * MS,
        ..two_classes.classes[0].clone()
    });
    let timescale = Timescale::new(&two_classes, 5);
    assert_eq!(
        (timescale.shortest_objective, timescale.longest_objective),
        (0.3, 0.9)
    );
    assert_eq!((timescale.arrival_window(), timescale.started_at), (1.8, 5));
    let without_classes = Timescale::new(&Settings::default(), 0);
    assert_eq!(
        (
            without_classes.shortest_objective,
            without_classes.longest_objective
        ),
        (1.0, 1.0)
    );
}

#[test]
fn rate_is_correct_before_the_arrival_window_is_full() {
    let timescale = Timescale::new(&settings(Idempotency::Idempotent), 0);
    let window = timescale.arrival_window();
    for age in [0.5, 1.0, 10.0] {
        // Decayed count of 100 events per second since the start.
        let count = 100.0 * window * (1.0 - (-age / window).exp());
        let rate = timescale.per_second(nanos(age), count);
        assert!((rate - 100.0).abs() < 1e-3, "{rate} after {age} s");
    }
}
