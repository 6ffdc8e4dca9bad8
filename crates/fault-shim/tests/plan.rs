//! Tests of parsing a fault plan and of the faults that it injects.

use kitefork_fault_shim::plan::{Call, Fault, Plan};

#[test]
fn a_fault_is_injected_into_each_nth_call_and_no_other_call() {
    let mut plan = Plan::parse("accept=ENFILE,every:3;send=short", 1).unwrap();
    let injected: Vec<bool> = (0..6)
        .map(|_| plan.inject(Call::Accept, 0).is_some())
        .collect();
    assert_eq!(injected, [false, false, true, false, false, true]);
    assert_eq!(plan.inject(Call::Send, 0), Some(Fault::Short));
    assert_eq!(plan.inject(Call::Recv, 0), None);
}

#[test]
fn a_rule_applies_only_within_its_time_span() {
    let mut plan = Plan::parse("clock=step:-3600,from:100,to:200", 1).unwrap();
    let injected: Vec<_> = [99, 100, 199, 200]
        .map(|ms| plan.inject(Call::Clock, ms))
        .into();
    assert_eq!(
        injected,
        [
            None,
            Some(Fault::Step(-3600)),
            Some(Fault::Step(-3600)),
            None
        ]
    );
}

#[test]
fn sleep_and_late_faults_have_the_delay_of_the_plan() {
    let mut plan = Plan::parse("send=sleep:20;epoll_wait=late:300", 1).unwrap();
    assert_eq!(plan.inject(Call::Send, 0), Some(Fault::Sleep(20)));
    assert_eq!(plan.inject(Call::EpollWait, 0), Some(Fault::Late(300)));
}

#[test]
fn faults_with_a_chance_repeat_for_the_same_seed() {
    let injected = |seed| {
        let mut plan = Plan::parse("send=ENOBUFS,chance:0.25", seed).unwrap();
        (0..1000)
            .filter(|_| plan.inject(Call::Send, 0).is_some())
            .count()
    };
    assert_eq!(injected(7), injected(7));
    assert!((200..300).contains(&injected(7)) && (200..300).contains(&injected(8)));
}

#[test]
fn an_error_names_the_invalid_part_of_the_plan() {
    for (text, expected_part) in [
        ("accpt=ENFILE", "`accpt`"),
        ("accept=ENOTHING", "`ENOTHING`"),
        ("accept", "`accept`"),
        ("accept=ENFILE,each:2", "`each:2`"),
        ("accept=ENFILE,every:x", "`every:x`"),
    ] {
        let error = Plan::parse(text, 1).unwrap_err().to_string();
        assert!(error.contains(expected_part), "{error}");
    }
}
