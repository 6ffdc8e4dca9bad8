//! Tests of the fault plan's text and draws.

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
fn a_rule_holds_only_in_its_span() {
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
fn a_call_may_begin_or_return_late() {
    let mut plan = Plan::parse("send=sleep:20;epoll_wait=late:300", 1).unwrap();
    assert_eq!(plan.inject(Call::Send, 0), Some(Fault::Sleep(20)));
    assert_eq!(plan.inject(Call::EpollWait, 0), Some(Fault::Late(300)));
}

#[test]
fn a_chance_follows_from_the_seed() {
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
fn what_is_unknown_in_a_plan_is_named() {
    for (text, wanted) in [
        ("accpt=ENFILE", "`accpt`"),
        ("accept=ENOTHING", "`ENOTHING`"),
        ("accept", "`accept`"),
        ("accept=ENFILE,each:2", "`each:2`"),
        ("accept=ENFILE,every:x", "`every:x`"),
    ] {
        let error = Plan::parse(text, 1).unwrap_err().to_string();
        assert!(error.contains(wanted), "{error}");
    }
}
