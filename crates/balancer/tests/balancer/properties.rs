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
                } => self.check_attempt(now, settings, *request, *backend),
                Action::Reject { request, .. } => self.check_rejection(now, settings, *request),
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

    fn check_attempt(
        &mut self,
        now: Nanos,
        settings: &Settings,
        request: RequestId,
        backend: BackendId,
    ) {
        let open = self.open.get_mut(&request);
        let (class, deadline, seen) = open.expect("rule 1: send after the end");
        assert!(now < *deadline);
        assert_eq!(self.states[&backend], EndpointState::Ready, "rule 3");
        let risky: Vec<&Seen> = seen.iter().filter(|s| s.may_have_executed()).collect();
        match settings.classes[usize::from(*class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => assert!(risky.is_empty(), "rule 2"),
            Idempotency::IdempotencyKey { scope, window } => {
                let in_window = risky.iter().all(|s| now <= s.sent + window);
                assert!(in_window, "rule 2: window");
                let shares_keys = |s: &&Seen| {
                    scope == DeduplicationScope::Global || s.backend.0 % 2 == backend.0 % 2
                };
                assert!(risky.iter().all(shares_keys), "rule 2: scope");
            }
        }
        seen.push(Seen {
            backend,
            sent: now,
            outcome: None,
        });
    }

    fn check_rejection(&mut self, now: Nanos, settings: &Settings, request: RequestId) {
        let open = self.open.remove(&request);
        let (class, deadline, seen) = open.expect("rule 1: one answer");
        assert!(now <= deadline);
        let is_risky = seen.iter().any(Seen::may_have_executed);
        let class = settings.classes.get(usize::from(class));
        let idempotency = class.map_or(Idempotency::Idempotent, |class| class.idempotency);
        let is_free = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::Global,
                    ..
                }
        );
        assert!(is_free || !is_risky, "rule 2: rejection");
    }
}

impl Seen {
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }
}

/// A balancer that plays steps, each judged by the rules.
struct Player {
    settings: Settings,
    watch: Watch,
    harness: Harness,
    log: Vec<Action>,
}

impl Player {
    fn new() -> Player {
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
        let harness = Harness::new(settings.clone(), backends);
        Player {
            settings,
            watch,
            harness,
            log: Vec::new(),
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Submit(class) => self.submit(*class),
            Step::End(place, outcome) => self.end_one(*place, *outcome),
            Step::Leave(place) => self.leave(*place),
            Step::Stray(id, attempt) => self.end_unknown(RequestId(id | 1 << 31), *attempt),
            Step::Wait(span) => self.wait(*span),
            Step::List(kind, entries) => self.update_endpoints(*kind, entries),
            Step::ListFailed => {
                let actions = self.harness.handle(Event::DiscoveryFailed);
                self.check(actions);
            }
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        self.watch.check(self.harness.now, &self.settings, &actions);
        self.log.extend(actions);
    }

    fn submit(&mut self, class: u16) {
        let id = RequestId(self.harness.next + 1);
        let deadline = self.harness.now + 800 * MS;
        self.watch.open.insert(id, (class, deadline, Vec::new()));
        let (_, actions) = self.harness.submit(class);
        self.check(actions);
    }

    /// Ends one of the attempts in flight, if there is any.
    fn end_one(&mut self, place: usize, outcome: Outcome) {
        let in_flight: Vec<(RequestId, usize)> = self
            .harness
            .sent
            .iter()
            .flat_map(|(id, all)| (0..all.len()).filter(|i| all[*i].2).map(|i| (*id, i)))
            .collect();
        let Some((id, attempt)) = in_flight.get(place % in_flight.len().max(1)).copied() else {
            return;
        };
        if outcome == Outcome::Success {
            self.watch.open.remove(&id);
        }
        self.end(id, attempt, outcome);
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        if let Some((_, _, seen)) = self.watch.open.get_mut(&id) {
            seen[attempt].outcome = Some(outcome);
        }
        self.watch
            .used(self.harness.now, self.harness.sent[&id][attempt].0);
        let actions = self.harness.end(id, attempt, outcome);
        self.check(actions);
    }

    /// A client disconnects, if any has an open request.
    fn leave(&mut self, place: usize) {
        let ids: Vec<RequestId> = self.watch.open.keys().copied().collect();
        let Some(id) = ids.get(place % ids.len().max(1)).copied() else {
            return;
        };
        self.watch.open.remove(&id);
        let actions = self
            .harness
            .handle(Event::ClientDisconnected { request: id });
        self.check(actions);
    }

    fn end_unknown(&mut self, request: RequestId, attempt: u8) {
        let actions = self.harness.handle(Event::AttemptEnded {
            request,
            attempt,
            latency: MS,
            outcome: Outcome::Success,
            finished: true,
            load_report: vec![],
        });
        self.check(actions);
    }

    /// One timer at a time, so that each send is checked at its own time; attempts that are in
    /// flight at the deadline time out there.
    fn wait(&mut self, span: Nanos) {
        let end = self.harness.now + span;
        while self.harness.now < end {
            for (id, attempt) in self.attempts_at_their_deadline() {
                self.end(id, attempt, Outcome::Timeout);
            }
            let actions = self.harness.wait(MS);
            self.check(actions);
            let now = self.harness.now;
            let mut open = self.watch.open.values();
            assert!(
                open.all(|(_, deadline, _)| now < *deadline + MS),
                "rule 1: no answer in time"
            );
        }
    }

    fn attempts_at_their_deadline(&self) -> Vec<(RequestId, usize)> {
        let due = self.harness.now + MS;
        let late = self
            .watch
            .open
            .iter()
            .filter(|(_, (_, deadline, _))| *deadline <= due);
        late.flat_map(|(id, (_, _, seen))| {
            let in_flight = (0..seen.len()).filter(|i| seen[*i].outcome.is_none());
            in_flight.map(|i| (*id, i))
        })
        .collect()
    }

    fn update_endpoints(&mut self, kind: UpdateKind, entries: &[(u32, u8, u16)]) {
        let states = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        let endpoints: Vec<Endpoint> = entries
            .iter()
            .map(|(id, state, age)| Endpoint {
                state: states[usize::from(*state)],
                started_at: (*age > 0).then(|| START + u64::from(*age)),
                ..backend(*id)
            })
            .collect();
        let before = self.watch.states.clone();
        if kind == UpdateKind::Full {
            for state in self.watch.states.values_mut() {
                *state = EndpointState::Removed;
            }
        }
        self.watch
            .states
            .extend(endpoints.iter().map(|e| (e.id, e.state)));
        let was_draining = |id| before.get(&id) == Some(&EndpointState::Draining);
        let notified = endpoints
            .iter()
            .filter(|e| e.state == EndpointState::Draining);
        for endpoint in notified.filter(|e| !was_draining(e.id)) {
            self.watch.used(self.harness.now, endpoint.id);
        }
        let actions = self
            .harness
            .handle(Event::EndpointUpdate { kind, endpoints });
        self.check(actions);
    }
}

fn play(steps: &[Step]) -> Vec<Action> {
    let mut player = Player::new();
    for step in steps {
        player.play(step);
    }
    player.log
}

#[test]
fn random_events_break_no_rule_and_equal_events_give_equal_actions() {
    deterministic_runner(300)
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(play(&steps), play(&steps));
            Ok(())
        })
        .unwrap();
}

/// A runner whose cases are the same each time.
fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn any_end() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        3 => Just(Outcome::ConnectFailed),
        2 => Just(Outcome::Overloaded),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Success),
    ]
}

#[test]
fn a_request_that_is_not_idempotent_has_no_second_attempt_once_one_may_have_executed() {
    let ends = prop::collection::vec((any_end(), 0u64..40), 6);
    let restarts = prop::collection::vec((ends, any::<bool>()), 1..12);
    deterministic_runner(500)
        .run(&restarts, |restarts| {
            let mut harness = Harness::new(settings(), (1..=5).map(backend).collect());
            harness.serve(10, |_| 10 * MS);
            let ids: Vec<RequestId> = restarts.iter().map(|_| harness.submit(3).0).collect();
            let mut ran = BTreeMap::new();
            // The requests advance alternately, so that what one of them shows moves the others.
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
