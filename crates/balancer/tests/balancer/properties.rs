//! Property tests: random events, after each of which the actions are checked against the protocol
//! rules.

use std::collections::BTreeMap;

use kitefork_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::*;

/// One step of a random run. A `usize` selects one of the attempts in flight or of the open
/// requests, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this class arrives. The settings have classes 0 to 4 only; class 5 is unknown.
    Submit(u16),
    End(usize, Outcome),
    DisconnectClient(usize),
    /// An attempt (`u8`) of an unknown request ends. The highest bit of the request id (`u32`) is
    /// set before use, so that no request has this id.
    EndUnknown(u32, u8),
    Wait(Nanos),
    /// An update with entries of id, state and start time; a start time of 0 means none.
    UpdateEndpoints(UpdateKind, Vec<(u32, u8, u16)>),
    DiscoveryFailed,
}

fn any_step() -> impl Strategy<Value = Step> {
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
        8 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::End(index, outcome)),
        1 => any::<usize>().prop_map(Step::DisconnectClient),
        1 => (any::<u32>(), any::<u8>()).prop_map(|(id, attempt)| Step::EndUnknown(id, attempt)),
        6 => (1u64..60).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (kind, prop::collection::vec((1u32..7, 0u8..3, 0u16..3), 0..5))
            .prop_map(|(kind, entries)| Step::UpdateEndpoints(kind, entries)),
        1 => Just(Step::DiscoveryFailed),
    ]
}

/// Checks actions against the protocol rules, independently of the state of the balancer.
#[derive(Default)]
struct RuleChecker {
    /// Class, deadline and attempts of each request without a final answer.
    open_requests: BTreeMap<RequestId, (u16, Nanos, Vec<ObservedAttempt>)>,
    endpoint_states: BTreeMap<BackendId, EndpointState>,
    /// Draining backends whose idle connections are still to be closed, with the time from which
    /// the limit for closing them counts.
    close_since: BTreeMap<BackendId, Nanos>,
}

struct ObservedAttempt {
    backend: BackendId,
    sent_at: Nanos,
    outcome: Option<Outcome>,
}

impl RuleChecker {
    /// If a backend is draining, requires its idle connections to be closed within the limit,
    /// counted from `now`. Called when an update first lists the backend as draining, and whenever
    /// an attempt there ends.
    fn require_close_if_draining(&mut self, now: Nanos, backend: BackendId) {
        if self.endpoint_states.get(&backend) == Some(&EndpointState::Draining) {
            self.close_since.insert(backend, now);
        }
    }

    fn check(&mut self, now: Nanos, settings: &Settings, actions: &[Action]) {
        for action in actions {
            match action {
                Action::CloseIdleConnections { backend } => drop(self.close_since.remove(backend)),
                Action::StartAttempt {
                    request, backend, ..
                } => self.check_attempt(now, settings, *request, *backend),
                Action::Reject { request, .. } => self.check_rejection(now, settings, *request),
                Action::Fail { request } => {
                    let (_, deadline, _) = self
                        .open_requests
                        .remove(request)
                        .expect("rule 1: at most one final answer");
                    assert!(now <= deadline);
                }
                _ => {}
            }
        }
        let close_within = settings
            .rules
            .drain_close_within
            .expect("the test sets a limit");
        assert!(
            self.close_since
                .values()
                .all(|since| now <= since + close_within),
            "rule 5: idle connections to a draining backend are closed in time"
        );
    }

    fn check_attempt(
        &mut self,
        now: Nanos,
        settings: &Settings,
        request: RequestId,
        backend: BackendId,
    ) {
        let open_request = self.open_requests.get_mut(&request);
        let (class, deadline, attempts) =
            open_request.expect("rule 1: no attempt after the final answer");
        assert!(now < *deadline);
        assert_eq!(
            self.endpoint_states[&backend],
            EndpointState::Ready,
            "rule 3: attempts only at ready backends"
        );
        let possibly_executed: Vec<&ObservedAttempt> = attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed())
            .collect();
        match settings.classes[usize::from(*class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => assert!(
                possibly_executed.is_empty(),
                "rule 2: no repeat of a possibly executed request"
            ),
            Idempotency::IdempotencyKey { scope, window } => {
                let in_window = possibly_executed
                    .iter()
                    .all(|attempt| now <= attempt.sent_at + window);
                assert!(
                    in_window,
                    "rule 2: repeats only within the deduplication window"
                );
                let shares_keys = |attempt: &&ObservedAttempt| {
                    scope == DeduplicationScope::Global || attempt.backend.0 % 2 == backend.0 % 2
                };
                assert!(
                    possibly_executed.iter().all(shares_keys),
                    "rule 2: repeats only within the deduplication scope"
                );
            }
        }
        attempts.push(ObservedAttempt {
            backend,
            sent_at: now,
            outcome: None,
        });
    }

    fn check_rejection(&mut self, now: Nanos, settings: &Settings, request: RequestId) {
        let open_request = self.open_requests.remove(&request);
        let (class, deadline, attempts) = open_request.expect("rule 1: at most one final answer");
        assert!(now <= deadline);
        let was_possibly_executed = attempts.iter().any(ObservedAttempt::may_have_executed);
        let class = settings.classes.get(usize::from(class));
        let idempotency = class.map_or(Idempotency::Idempotent, |class| class.idempotency);
        let is_safe_to_repeat = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::Global,
                    ..
                }
        );
        assert!(
            is_safe_to_repeat || !was_possibly_executed,
            "rule 2: rejection only if a retry by the client is harmless"
        );
    }
}

impl ObservedAttempt {
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }
}

/// Runs steps on a balancer and checks the actions of each step against the protocol rules.
struct StepRunner {
    settings: Settings,
    checker: RuleChecker,
    harness: Harness,
    /// Actions of all steps so far.
    all_actions: Vec<Action>,
}

impl StepRunner {
    fn new() -> StepRunner {
        let mut settings = Settings {
            poll_endpoints: true,
            ..settings()
        };
        settings.rules.drain_close_within = Some(20 * MS);
        let backends: Vec<Endpoint> = (1..=4).map(backend).collect();
        let mut checker = RuleChecker::default();
        checker
            .endpoint_states
            .extend(backends.iter().map(|backend| (backend.id, backend.state)));
        let harness = Harness::new(settings.clone(), backends);
        StepRunner {
            settings,
            checker,
            harness,
            all_actions: Vec::new(),
        }
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Submit(class) => self.submit(*class),
            Step::End(index, outcome) => self.end_in_flight(*index, *outcome),
            Step::DisconnectClient(index) => self.disconnect_client(*index),
            Step::EndUnknown(id, attempt) => self.end_unknown(RequestId(id | 1 << 31), *attempt),
            Step::Wait(duration) => self.wait(*duration),
            Step::UpdateEndpoints(kind, entries) => self.update_endpoints(*kind, entries),
            Step::DiscoveryFailed => {
                let actions = self.harness.handle(Event::DiscoveryFailed);
                self.check(actions);
            }
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        self.checker
            .check(self.harness.now, &self.settings, &actions);
        self.all_actions.extend(actions);
    }

    fn submit(&mut self, class: u16) {
        let id = RequestId(self.harness.last_request_id + 1);
        let deadline = self.harness.now + 800 * MS;
        self.checker
            .open_requests
            .insert(id, (class, deadline, Vec::new()));
        let (_, actions) = self.harness.submit(class);
        self.check(actions);
    }

    /// Ends one of the attempts in flight. Does nothing if there is none.
    fn end_in_flight(&mut self, index: usize, outcome: Outcome) {
        let in_flight: Vec<(RequestId, usize)> = self
            .harness
            .sent
            .iter()
            .flat_map(|(id, attempts)| {
                (0..attempts.len())
                    .filter(|attempt| attempts[*attempt].2)
                    .map(|attempt| (*id, attempt))
            })
            .collect();
        let Some((id, attempt)) = in_flight.get(index % in_flight.len().max(1)).copied() else {
            return;
        };
        if outcome == Outcome::Success {
            self.checker.open_requests.remove(&id);
        }
        self.end_attempt(id, attempt, outcome);
    }

    fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        if let Some((_, _, attempts)) = self.checker.open_requests.get_mut(&id) {
            attempts[attempt].outcome = Some(outcome);
        }
        self.checker
            .require_close_if_draining(self.harness.now, self.harness.sent[&id][attempt].0);
        let actions = self.harness.end_attempt(id, attempt, outcome);
        self.check(actions);
    }

    /// Disconnects the client of an open request. Does nothing if there is none.
    fn disconnect_client(&mut self, index: usize) {
        let ids: Vec<RequestId> = self.checker.open_requests.keys().copied().collect();
        let Some(id) = ids.get(index % ids.len().max(1)).copied() else {
            return;
        };
        self.checker.open_requests.remove(&id);
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

    /// Advances the clock by 1 ms at a time, so that each attempt is checked close to the time at
    /// which it was started. Attempts that are in flight at the deadline of their request time out.
    fn wait(&mut self, duration: Nanos) {
        let end = self.harness.now + duration;
        while self.harness.now < end {
            for (id, attempt) in self.attempts_at_their_deadline() {
                self.end_attempt(id, attempt, Outcome::Timeout);
            }
            let actions = self.harness.wait(MS);
            self.check(actions);
            let now = self.harness.now;
            let mut open_requests = self.checker.open_requests.values();
            assert!(
                open_requests.all(|(_, deadline, _)| now < *deadline + MS),
                "rule 1: a final answer by the deadline"
            );
        }
    }

    fn attempts_at_their_deadline(&self) -> Vec<(RequestId, usize)> {
        let until = self.harness.now + MS;
        let due_requests = self
            .checker
            .open_requests
            .iter()
            .filter(|(_, (_, deadline, _))| *deadline <= until);
        due_requests
            .flat_map(|(id, (_, _, attempts))| {
                let in_flight =
                    (0..attempts.len()).filter(|attempt| attempts[*attempt].outcome.is_none());
                in_flight.map(|attempt| (*id, attempt))
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
            .map(|(id, state, start_offset)| Endpoint {
                state: states[usize::from(*state)],
                started_at: (*start_offset > 0).then(|| START + u64::from(*start_offset)),
                ..backend(*id)
            })
            .collect();
        let states_before = self.checker.endpoint_states.clone();
        if kind == UpdateKind::Full {
            for state in self.checker.endpoint_states.values_mut() {
                *state = EndpointState::Removed;
            }
        }
        self.checker.endpoint_states.extend(
            endpoints
                .iter()
                .map(|endpoint| (endpoint.id, endpoint.state)),
        );
        let was_draining = |id| states_before.get(&id) == Some(&EndpointState::Draining);
        let draining = endpoints
            .iter()
            .filter(|endpoint| endpoint.state == EndpointState::Draining);
        for endpoint in draining.filter(|endpoint| !was_draining(endpoint.id)) {
            self.checker
                .require_close_if_draining(self.harness.now, endpoint.id);
        }
        let actions = self
            .harness
            .handle(Event::EndpointUpdate { kind, endpoints });
        self.check(actions);
    }
}

fn run_steps(steps: &[Step]) -> Vec<Action> {
    let mut runner = StepRunner::new();
    for step in steps {
        runner.run_step(step);
    }
    runner.all_actions
}

#[test]
fn actions_on_random_events_break_no_rule_and_are_equal_for_equal_events() {
    deterministic_runner(300)
        .run(&prop::collection::vec(any_step(), 1..150), |steps| {
            prop_assert_eq!(run_steps(&steps), run_steps(&steps));
            Ok(())
        })
        .unwrap();
}

/// A runner that generates the same cases in every run.
fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
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
fn possibly_executed_non_idempotent_request_gets_no_further_attempt() {
    let attempt_ends = prop::collection::vec((any_outcome(), 0u64..40), 6);
    let request_plans = prop::collection::vec((attempt_ends, any::<bool>()), 1..12);
    deterministic_runner(500)
        .run(&request_plans, |request_plans| {
            let mut harness = Harness::new(settings(), (1..=5).map(backend).collect());
            harness.serve(10, |_| 10 * MS);
            let ids: Vec<RequestId> = request_plans.iter().map(|_| harness.submit(3).0).collect();
            let mut possibly_executed = BTreeMap::new();
            // The requests advance alternately, so that the outcome of one affects the decisions on
            // the others.
            for step in 0..6 {
                for (id, (attempt_ends, client_disconnects)) in ids.iter().zip(&request_plans) {
                    let (outcome, wait) = attempt_ends[step];
                    harness.wait(wait * MS);
                    let Some(sent_count) = harness.sent.get(id).map(Vec::len) else {
                        continue;
                    };
                    if harness.sent[id][sent_count - 1].2 {
                        if *client_disconnects && step == 2 {
                            harness.handle(Event::ClientDisconnected { request: *id });
                        }
                        if !outcome.not_executed() {
                            possibly_executed.insert(*id, sent_count);
                        }
                        harness.end_attempt(*id, sent_count - 1, outcome);
                    }
                }
            }
            harness.wait(2_000 * MS);
            for (id, sent_count) in &possibly_executed {
                prop_assert_eq!(
                    harness.sent[id].len(),
                    *sent_count,
                    "another attempt of {:?} after one that may have been executed",
                    id
                );
            }
            prop_assert!(harness.sent.values().all(|attempts| attempts.len() <= 3));
            Ok(())
        })
        .unwrap();
}
