//! Tests of requests from their receipt to their final answer.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn faster_backends_get_more_requests() {
    let mut harness = Harness::new(settings(), vec![backend(1), backend(2)]);
    let counts = harness.serve(
        2000,
        |backend_id| if backend_id.0 == 1 { 20 * MS } else { 40 * MS },
    );
    assert!(counts[&BackendId(1)] > counts[&BackendId(2)], "{counts:?}");
}

#[test]
fn a_request_without_backends_is_rejected_before_its_deadline() {
    let mut harness = Harness::new(settings(), vec![]);
    let (_, actions) = harness.submit(3);
    assert!(!has_rejection(&actions));
    assert!(has_rejection(&harness.wait(800 * MS)));
}

#[test]
fn early_timer_event_does_not_stop_later_timers() {
    let mut harness = Harness::new(settings(), vec![]);
    harness.submit(0);
    let (at, timer) = harness.timers.pop_first().expect("a timer is set");
    harness.now = at - 1;
    harness.handle(Event::Timer { timer });
    assert!(has_rejection(&harness.wait(800 * MS)));
}

#[test]
fn request_without_backends_is_rejected_within_its_objective_if_the_tail_counts() {
    let mut settings = settings();
    settings.classes[0].late_priority_weight = 0.5;
    let is_rejected_within_objective = |settings: Settings| {
        let mut harness = Harness::new(settings, vec![]);
        harness.submit(0);
        has_rejection(&harness.wait(400 * MS))
    };
    assert!(!is_rejected_within_objective(settings.clone()));
    assert!(is_rejected_within_objective(Settings {
        tail_weight: 0.3,
        ..settings
    }));
}

#[test]
fn invalid_settings_are_reported_by_their_keys() {
    let invalid_key = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Balancer::new(settings, 1, 0).err().map(|error| error.key)
    };
    assert_eq!(invalid_key(|settings| settings.tick = 0), Some("tick"));
    assert_eq!(
        invalid_key(|settings| settings.classes[0].latency_objective = 0),
        Some("classes")
    );
    assert_eq!(
        invalid_key(|settings| settings.rules.overload_duration = 0),
        Some("rules.overload_duration")
    );
    assert_eq!(
        invalid_key(|settings| settings.rules.slow_start_initial_capacity = f64::NAN),
        Some("rules.slow_start_initial_capacity")
    );
    assert_eq!(
        invalid_key(|settings| settings.tail_weight = f64::NAN),
        Some("tail_weight")
    );
    assert_eq!(
        invalid_key(|settings| settings.rules.drain_close_within = Some(0)),
        Some("rules.drain_close_within")
    );
    assert_eq!(invalid_key(|settings| settings.proxy_count = 0), None);
    assert_eq!(invalid_key(|settings| settings.classes.clear()), None);
}
