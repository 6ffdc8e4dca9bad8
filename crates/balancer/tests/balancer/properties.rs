//! Random events, judged by the protocol rules.

use std::collections::BTreeMap;

use kitefork_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::*;

#[derive(Clone, Debug)]
enum Step {
    Submit(u16),
    End(usize, Outcome),
    Leave(usize),
    Stray(u32, u8),
    Wait(Nanos),
    List(UpdateKind, Vec<(u32, u8, u16)>),
    ListFailed,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Success),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Overloaded),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
    ];
    let kind = prop_oneof![Just(UpdateKind::Delta), Just(UpdateKind::Full)];
    prop_oneof![
        8 => (0u16..6).prop_map(Step::Submit),
        8 => (any::<usize>(), outcome).prop_map(|(i, o)| Step::End(i, o)),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (any::<u32>(), any::<u8>()).prop_map(|(i, a)| Step::Stray(i, a)),
        6 => (1u64..60).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (kind, prop::collection::vec((1u32..7, 0u8..3, 0u16..3), 0..5))
            .prop_map(|(k, b)| Step::List(k, b)),
        1 => Just(Step::ListFailed),
    ]
}

/// The rules, seen from outside.
#[derive(Default)]
struct Watch {
    open: BTreeMap<RequestId, (u16, Nanos, Vec<Seen>)>,
    states: BTreeMap<BackendId, EndpointState>,
    /// Backends that drain, and since when their idle connections may be open.
    unclosed: BTreeMap<BackendId, Nanos>,
}

struct Seen {
    backend: BackendId,
    sent: Nanos,
    outcome: Option<Outcome>,
}

impl Watch {
    /// A backend was notified as draining or had an outcome: from now on its connections must
    /// close.
    fn used(&mut self, now: Nanos, backend: BackendId) {
        if self.states.get(&backend) == Some(&EndpointState::Draining) {
            self.unclosed.insert(backend, now);
        }
    }

    fn check(&mut self, now: Nanos, settings: &Settings, actions: &[Action]) {
        for action in actions {
            match action {
                Action::CloseIdleConnections { backend } => drop(self.unclosed.remove(backend)),
                Action::StartAttempt {
                    request, backend, ..
                } => {
                    let (class, deadline, seen) = self
                        .open
                        .get_mut(request)
                        .expect("rule 1: send after the end");
                    assert!(now < *deadline);
                    assert_eq!(self.states[backend], EndpointState::Ready, "rule 3");
                    let risky: Vec<&Seen> = seen
                        .iter()
                        .filter(|s| s.outcome.is_none_or(|o| !o.not_executed()))
                        .collect();
                    match settings.classes[usize::from(*class)].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => assert!(risky.is_empty(), "rule 2"),
                        Idempotency::IdempotencyKey {
                            scope: group,
                            window,
                        } => {
                            assert!(
                                risky.iter().all(|s| now <= s.sent + window),
                                "rule 2: window"
                            );
                            let same = |s: &&Seen| {
                                group == DeduplicationScope::Global
                                    || s.backend.0 % 2 == backend.0 % 2
                            };
                            assert!(risky.iter().all(same), "rule 2: group");
                        }
                    }
                    seen.push(Seen {
                        backend: *backend,
                        sent: now,
                        outcome: None,
                    });
                }
                Action::Reject { request, .. } => {
                    let (class, deadline, seen) =
                        self.open.remove(request).expect("rule 1: one answer");
                    assert!(now <= deadline);
                    let risky = seen
                        .iter()
                        .any(|s| s.outcome.is_none_or(|o| !o.not_executed()));
                    let effect = settings
                        .classes
                        .get(usize::from(class))
                        .map_or(Idempotency::Idempotent, |c| c.idempotency);
                    let free = matches!(
                        effect,
                        Idempotency::Idempotent
                            | Idempotency::IdempotencyKey {
                                scope: DeduplicationScope::Global,
                                ..
                            }
                    );
                    assert!(free || !risky, "rule 2: refusal");
                }
                Action::Fail { request } => {
                    let (_, deadline, _) = self.open.remove(request).expect("rule 1: one answer");
                    assert!(now <= deadline);
                }
                _ => {}
            }
        }
        let within = settings.rules.drain_close_within.expect("set");
        assert!(
            self.unclosed.values().all(|since| now <= since + within),
            "rule 5"
        );
    }
}

fn play(steps: &[Step]) -> Vec<Action> {
    let mut settings = Settings {
        poll_endpoints: true,
        ..settings()
    };
    settings.rules.drain_close_within = Some(20 * MS);
    let backends: Vec<Endpoint> = (1..=4).map(backend).collect();
    let mut watch = Watch::default();
    watch
        .states
        .extend(backends.iter().map(|b| (b.id, b.state)));
    let mut harness = Harness::new(settings.clone(), backends);
    let mut log = Vec::new();
    for step in steps {
        let actions = match step {
            Step::Submit(class) => {
                let id = RequestId(harness.next + 1);
                watch
                    .open
                    .insert(id, (*class, harness.now + 800 * MS, Vec::new()));
                harness.submit(*class).1
            }
            Step::End(place, outcome) => {
                let out: Vec<(RequestId, usize)> = harness
                    .sent
                    .iter()
                    .flat_map(|(id, all)| (0..all.len()).filter(|i| all[*i].2).map(|i| (*id, i)))
                    .collect();
                let Some((id, attempt)) = out.get(place % out.len().max(1)).copied() else {
                    continue;
                };
                match outcome {
                    Outcome::Success => drop(watch.open.remove(&id)),
                    _ => {
                        if let Some((_, _, seen)) = watch.open.get_mut(&id) {
                            seen[attempt].outcome = Some(*outcome);
                        }
                    }
                }
                watch.used(harness.now, harness.sent[&id][attempt].0);
                harness.end(id, attempt, *outcome)
            }
            Step::Leave(place) => {
                let ids: Vec<RequestId> = watch.open.keys().copied().collect();
                let Some(id) = ids.get(place % ids.len().max(1)).copied() else {
                    continue;
                };
                watch.open.remove(&id);
                harness.handle(Event::ClientDisconnected { request: id })
            }
            Step::Stray(id, attempt) => harness.handle(Event::AttemptEnded {
                request: RequestId(id | 1 << 31),
                attempt: *attempt,
                latency: MS,
                outcome: Outcome::Success,
                finished: true,
                load_report: vec![],
            }),
            Step::Wait(span) => {
                // One timer at a time, so that each send is checked at its own time; attempts that
                // are out at the deadline time out there.
                let end = harness.now + span;
                while harness.now < end {
                    let late: Vec<(RequestId, usize)> = watch
                        .open
                        .iter()
                        .filter(|(_, (_, deadline, _))| *deadline <= harness.now + MS)
                        .flat_map(|(id, (_, _, seen))| {
                            (0..seen.len())
                                .filter(|i| seen[*i].outcome.is_none())
                                .map(|i| (*id, i))
                        })
                        .collect();
                    for (id, attempt) in late {
                        if let Some((_, _, seen)) = watch.open.get_mut(&id) {
                            seen[attempt].outcome = Some(Outcome::Timeout);
                        }
                        watch.used(harness.now, harness.sent[&id][attempt].0);
                        let actions = harness.end(id, attempt, Outcome::Timeout);
                        watch.check(harness.now, &settings, &actions);
                        log.extend(actions);
                    }
                    let actions = harness.wait(MS);
                    watch.check(harness.now, &settings, &actions);
                    log.extend(actions);
                    assert!(
                        watch
                            .open
                            .values()
                            .all(|(_, deadline, _)| harness.now < *deadline + MS),
                        "rule 1: no answer in time"
                    );
                }
                continue;
            }
            Step::List(kind, entries) => {
                let backends: Vec<Endpoint> = entries
                    .iter()
                    .map(|(id, state, age)| Endpoint {
                        state: [
                            EndpointState::Ready,
                            EndpointState::Draining,
                            EndpointState::Removed,
                        ][usize::from(*state)],
                        started_at: (*age > 0).then(|| START + u64::from(*age)),
                        ..backend(*id)
                    })
                    .collect();
                let before = watch.states.clone();
                if *kind == UpdateKind::Full {
                    watch
                        .states
                        .values_mut()
                        .for_each(|s| *s = EndpointState::Removed);
                }
                watch
                    .states
                    .extend(backends.iter().map(|b| (b.id, b.state)));
                let notified = backends.iter().filter(|b| {
                    b.state == EndpointState::Draining
                        && before.get(&b.id) != Some(&EndpointState::Draining)
                });
                for b in notified {
                    watch.used(harness.now, b.id);
                }
                harness.handle(Event::EndpointUpdate {
                    kind: *kind,
                    endpoints: backends,
                })
            }
            Step::ListFailed => harness.handle(Event::DiscoveryFailed),
        };
        watch.check(harness.now, &settings, &actions);
        log.extend(actions);
    }
    log
}

#[test]
fn random_events_break_no_rule_and_equal_events_give_equal_actions() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(play(&steps), play(&steps));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_request_that_is_not_idempotent_has_no_second_attempt_once_one_may_have_executed() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let outcome = prop_oneof![
        3 => Just(Outcome::ConnectFailed),
        2 => Just(Outcome::Overloaded),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Success),
    ];
    let restarts = prop::collection::vec(
        (prop::collection::vec((outcome, 0u64..40), 6), any::<bool>()),
        1..12,
    );
    runner
        .run(&restarts, |restarts| {
            let mut harness = Harness::new(settings(), (1..=5).map(backend).collect());
            harness.serve(10, |_| 10 * MS);
            let ids: Vec<RequestId> = restarts.iter().map(|_| harness.submit(3).0).collect();
            let mut ran = BTreeMap::new();
            // The lives go on in turns, so that what one of them shows moves the others.
            for step in 0..6 {
                for (id, (ends, leaves)) in ids.iter().zip(&restarts) {
                    let (outcome, wait) = ends[step];
                    harness.wait(wait * MS);
                    let Some(sent) = harness.sent.get(id).map(Vec::len) else {
                        continue;
                    };
                    if harness.sent[id][sent - 1].2 {
                        if *leaves && step == 2 {
                            harness.handle(Event::ClientDisconnected { request: *id });
                        }
                        if !outcome.not_executed() {
                            ran.insert(*id, sent);
                        }
                        harness.end(*id, sent - 1, outcome);
                    }
                }
            }
            harness.wait(2_000 * MS);
            for (id, sent) in &ran {
                prop_assert_eq!(
                    harness.sent[id].len(),
                    *sent,
                    "{:?} again after it may have run",
                    id
                );
            }
            prop_assert!(harness.sent.values().all(|sent| sent.len() <= 3));
            Ok(())
        })
        .unwrap();
}
