//! A request from its arrival to its final answer.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn faster_backends_get_more() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
    let counts = harness.serve(2000, |b| if b.0 == 1 { 20 * MS } else { 40 * MS });
    assert!(counts[&BackendId(1)] > counts[&BackendId(2)], "{counts:?}");
}

#[test]
fn a_request_without_backends_is_rejected_before_its_deadline() {
    let mut harness = Harness::new(settings(), vec![]);
    let (_, now) = harness.submit(3);
    assert!(!rejected(&now));
    assert!(rejected(&harness.wait(800 * MS)));
}

#[test]
fn a_timer_that_comes_early_does_not_silence_the_balancer() {
    let mut harness = Harness::new(settings(), vec![]);
    harness.submit(0);
    let (at, timer) = harness.timers.pop_first().expect("armed");
    harness.now = at - 1;
    harness.handle(Event::Timer { timer });
    assert!(rejected(&harness.wait(800 * MS)));
}

#[test]
fn a_miss_that_counts_in_the_tail_is_rejected_within_its_latency_objective() {
    let mut settings = settings();
    settings.classes[0].late_priority_weight = 0.5;
    let answer = |settings: Settings| {
        let mut harness = Harness::new(settings, vec![]);
        harness.submit(0);
        rejected(&harness.wait(400 * MS))
    };
    assert!(!answer(settings.clone()));
    assert!(answer(Settings {
        tail_weight: 0.3,
        ..settings
    }));
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let named = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Balancer::new(settings, 1, 0).err().map(|e| e.key)
    };
    assert_eq!(named(|s| s.tick = 0), Some("tick"));
    assert_eq!(
        named(|s| s.classes[0].latency_objective = 0),
        Some("classes")
    );
    assert_eq!(
        named(|s| s.rules.overload_duration = 0),
        Some("rules.overload_duration")
    );
    assert_eq!(
        named(|s| s.rules.slow_start_initial_capacity = f64::NAN),
        Some("rules.slow_start_initial_capacity")
    );
    assert_eq!(named(|s| s.tail_weight = f64::NAN), Some("tail_weight"));
    assert_eq!(
        named(|s| s.rules.drain_close_within = Some(0)),
        Some("rules.drain_close_within")
    );
    assert_eq!(named(|s| s.proxy_count = 0), None);
    assert_eq!(named(|s| s.classes.clear()), None);
}
