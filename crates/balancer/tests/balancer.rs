//! Tests of the decisions through the interface: each failure found has a small test here.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const START: Nanos = 100_000 * MS;

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 400 * MS,
        client_timeout: 1000 * MS,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    }
}

fn settings() -> Settings {
    let keyed = |group| {
        class(Idempotency::IdempotencyKey {
            scope: group,
            window: 500 * MS,
        })
    };
    let mut settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            keyed(DeduplicationScope::Global),
            keyed(DeduplicationScope::Cell),
            class(Idempotency::NotIdempotent),
            Class {
                priority_weight: 10.0,
                ..class(Idempotency::Idempotent)
            },
        ],
        ..Settings::default()
    };
    settings.rules.slow_start_initial_capacity = 0.2;
    settings.rules.slow_start_duration = 10_000 * MS;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2_000 * MS;
    settings
}

fn backend(id: u32) -> Endpoint {
    Endpoint {
        id: BackendId(id),
        hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: ZoneId(0),
        cell: CellId((id % 2) as u16),
        kind: KindId(0),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

fn request(id: u32, class: u16) -> Event {
    let (id, class) = (RequestId(id), ClassId(class));
    Event::Request(Request {
        id,
        class,
        client_timeout: 800 * MS,
        ..Request::default()
    })
}

/// Feeds events and keeps what is out; timers fire when due.
struct Feed {
    balancer: Balancer,
    now: Nanos,
    timers: BTreeSet<(Nanos, TimerId)>,
    /// Attempts sent for each request: backend, time, and whether it is still out.
    sent: BTreeMap<RequestId, Vec<(BackendId, Nanos, bool)>>,
    next: u32,
}

impl Feed {
    fn new(settings: Settings, backends: Vec<Endpoint>) -> Feed {
        Feed::seeded(settings, backends, 7)
    }

    fn seeded(settings: Settings, backends: Vec<Endpoint>, seed: u64) -> Feed {
        let balancer = Balancer::new(settings, seed, START).expect("sound settings");
        let mut feed = Feed {
            balancer,
            now: START,
            timers: BTreeSet::new(),
            sent: BTreeMap::new(),
            next: 0,
        };
        feed.give(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: backends,
        });
        feed
    }

    fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { at, timer } => {
                    self.timers.insert((*at, *timer));
                }
                Action::StartAttempt {
                    request, backend, ..
                } => {
                    self.sent
                        .entry(*request)
                        .or_default()
                        .push((*backend, self.now, true));
                }
                _ => {}
            }
        }
        actions
    }

    /// Moves the clock, firing timers on the way.
    fn wait(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            actions.extend(self.give(Event::Timer { timer }));
        }
        self.now = end;
        actions
    }

    fn ask(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        self.next += 1;
        (RequestId(self.next), self.give(request(self.next, class)))
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) -> Vec<Action> {
        let sent = self
            .sent
            .get_mut(&id)
            .map(|attempts| &mut attempts[attempt])
            .expect("sent");
        sent.2 = false;
        let latency = self.now - sent.1;
        let finished = outcome == Outcome::Success;
        self.give(Event::AttemptEnded {
            request: id,
            attempt: attempt as u8,
            latency,
            outcome,
            finished,
            load_report: vec![],
        })
    }

    /// Serves requests one after the other, each after what its backend takes; counts by backend.
    fn serve(
        &mut self,
        count: usize,
        takes: impl Fn(BackendId) -> Nanos,
    ) -> BTreeMap<BackendId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let (id, _) = self.ask(0);
            let to = self.sent[&id][0].0;
            *counts.entry(to).or_default() += 1;
            self.wait(takes(to));
            self.end(id, 0, Outcome::Success);
        }
        counts
    }
}

impl Feed {
    /// Like `serve`, at a node with little traffic: a request may wait for room before it is sent.
    fn trickle(
        &mut self,
        count: usize,
        takes: impl Fn(BackendId) -> Nanos,
    ) -> BTreeMap<BackendId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let (id, _) = self.ask(0);
            self.wait(300 * MS);
            if let Some(attempt) = self.sent.get_mut(&id).and_then(|sent| sent.first_mut()) {
                let (to, sent, out) = attempt;
                *out = false;
                *counts.entry(*to).or_default() += 1;
                // It was over by then; told late, with the latency that it had.
                let latency = takes(*to).min(self.now - *sent);
                self.give(Event::AttemptEnded {
                    request: id,
                    attempt: 0,
                    latency,
                    outcome: Outcome::Success,
                    finished: true,
                    load_report: vec![],
                });
            }
            self.wait(100 * MS);
        }
        counts
    }
}

fn sends(actions: &[Action]) -> Vec<BackendId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::StartAttempt { backend, .. } => Some(*backend),
            _ => None,
        })
        .collect()
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

#[test]
fn faster_backends_get_more() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
    let counts = feed.serve(2000, |b| if b.0 == 1 { 20 * MS } else { 40 * MS });
    assert!(counts[&BackendId(1)] > counts[&BackendId(2)], "{counts:?}");
}

#[test]
fn a_request_without_backends_is_refused_before_its_deadline() {
    let mut feed = Feed::new(settings(), vec![]);
    let (_, now) = feed.ask(3);
    assert!(!refused(&now));
    assert!(refused(&feed.wait(800 * MS)));
}

#[test]
fn a_timer_that_comes_early_does_not_silence_the_balancer() {
    let mut feed = Feed::new(settings(), vec![]);
    feed.ask(0);
    let (at, timer) = feed.timers.pop_first().expect("armed");
    feed.now = at - 1;
    feed.give(Event::Timer { timer });
    assert!(refused(&feed.wait(800 * MS)));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
        feed.serve(40, |_| 10 * MS);
        let (id, _) = feed.ask(3);
        let actions = feed.end(id, 0, outcome);
        assert!(
            failed(&actions) && sends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
    let (id, first) = feed.ask(3);
    let second = sends(&feed.end(id, 0, Outcome::ConnectFailed));
    assert_eq!(second.len(), 1);
    assert_ne!(sends(&first), second);
}

#[test]
fn a_keyed_request_is_repeated_within_its_cell_only() {
    let mut feed = Feed::new(settings(), (1..=6).map(backend).collect());
    feed.serve(100, |_| 10 * MS);
    for _ in 0..20 {
        let (id, first) = feed.ask(2);
        let second = sends(&feed.end(id, 0, Outcome::Error));
        for b in &second {
            assert_eq!(b.0 % 2, sends(&first)[0].0 % 2);
        }
        for attempt in 1..=second.len() {
            feed.end(id, attempt, Outcome::Success);
        }
        feed.serve(10, |_| 10 * MS);
    }
}

#[test]
fn nothing_new_goes_to_a_draining_backend() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2)]);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    feed.give(Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    });
    assert_eq!(
        feed.serve(100, |_| 10 * MS).keys().collect::<Vec<_>>(),
        [&BackendId(2)]
    );
}

#[test]
fn many_nodes_together_send_a_cold_backend_a_part_of_its_share() {
    let nodes = 200;
    let mut sent = 0;
    for seed in 0..nodes {
        let settings = Settings {
            proxy_count: nodes as u32,
            ..settings()
        };
        let cold = Endpoint {
            started_at: Some(START - 1),
            ..backend(1)
        };
        let backends = std::iter::once(cold).chain((2..=20).map(backend)).collect();
        let mut feed = Feed::seeded(settings, backends, seed);
        sent += feed
            .trickle(10, |_| 20 * MS)
            .get(&BackendId(1))
            .copied()
            .unwrap_or(0);
    }
    // An even share would be 100; a fifth of the capacity is there.
    assert!(sent < 60, "{sent} sends to a cold backend");
}

#[test]
fn a_kind_that_is_slow_gets_less_from_a_node_that_hardly_knows_its_backends() {
    let kind = |id: u32| Endpoint {
        kind: KindId((id % 2) as u16),
        ..backend(id)
    };
    let mut feed = Feed::new(
        Settings {
            proxy_count: 200,
            ..settings()
        },
        (1..=60).map(kind).collect(),
    );
    let takes = |b: BackendId| {
        if b.0.is_multiple_of(2) {
            20 * MS
        } else {
            60 * MS
        }
    };
    let counts = feed.trickle(300, takes);
    let fast: usize = counts
        .iter()
        .filter(|(b, _)| b.0.is_multiple_of(2))
        .map(|(_, n)| n)
        .sum();
    let all: usize = counts.values().sum();
    assert!(10 * fast > 6 * all, "{fast} of {all} to the fast kind");
}

/// One node of three hundred, with a class that can wait and one worth more that can't, on twenty
/// backends.
fn paced() -> Feed {
    let loose = Class {
        latency_objective: 300 * MS,
        client_timeout: 1000 * MS,
        priority_weight: 3.0,
        ..Class::default()
    };
    let (aim, deadline, effect) = (75 * MS, 150 * MS, Idempotency::NotIdempotent);
    let tight = Class {
        latency_objective: aim,
        client_timeout: deadline,
        priority_weight: 8.0,
        idempotency: effect,
        ..Class::default()
    };
    Feed::new(
        Settings {
            classes: vec![loose, tight],
            proxy_count: 300,
            ..settings()
        },
        (1..=20).map(backend).collect(),
    )
}

/// Asks at the times given, by class, and answers each attempt after what `takes` says of class,
/// backend and time since the start; gives the wait of each request before its first attempt, if it
/// had one.
fn day(
    feed: &mut Feed,
    asks: &BTreeMap<Nanos, u16>,
    takes: impl Fn(u16, BackendId, Nanos) -> Nanos,
) -> Vec<(u16, Option<Nanos>, BackendId)> {
    let (mut due, mut asked, mut told) = (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
    for now in 0..2_000 {
        feed.wait(5 * MS);
        for (_, class) in asks.range(now * 5 * MS..(now + 1) * 5 * MS) {
            let (id, _) = feed.ask(*class);
            asked.insert(id, (*class, feed.now));
        }
        loop {
            for (id, sent) in &feed.sent {
                if told.insert(*id) {
                    let (to, at, _) = sent[0];
                    due.insert((at + takes(asked[id].0, to, at - START), *id));
                }
            }
            let Some((_, id)) = due.first().copied().filter(|(at, _)| *at <= feed.now) else {
                break;
            };
            due.pop_first();
            feed.end(id, 0, Outcome::Success);
        }
    }
    let fate = |(id, (class, at)): (RequestId, (u16, Nanos))| {
        let first = feed.sent.get(&id).map(|sent| sent[0]);
        (
            class,
            first.map(|first| first.1 - at),
            first.map_or(BackendId(0), |first| first.0),
        )
    };
    asked.into_iter().map(fate).collect()
}

#[test]
fn what_can_wait_leaves_a_paced_node_a_start_for_what_is_worth_more_and_cannot() {
    // Forty a second that can wait, more than the answers let through, and five that can't.
    let loose = (0..400).map(|n| (n * 25 * MS, 0));
    let tight = (0..50).map(|n| (n * 197 * MS + MS, 1));
    let fates = day(
        &mut paced(),
        &loose.chain(tight).collect(),
        |class, _, _| [220, 60][usize::from(class)] * MS,
    );
    let started = |class| {
        fates
            .iter()
            .filter(move |f| f.0 == class && f.1.is_some())
            .count()
    };
    let at_once = fates.iter().filter(|f| f.0 == 1 && f.1 == Some(0)).count();
    assert!(
        started(0) < 300,
        "the pace binds: {} of 400 that can wait",
        started(0)
    );
    assert!(
        at_once >= 45,
        "{at_once} of 50 that can't wait start at once, {} at all",
        started(1)
    );
}

#[test]
fn what_cannot_wait_goes_where_an_answer_has_just_been_quick() {
    // Each backend is held up for a second in two, by others, each at a time of its own.
    let held_up = |to: BackendId, at: Nanos| (at / (500 * MS) + u64::from(to.0) * 3) % 4 < 2;
    let asks = (0..200).map(|n| (n * 49 * MS, 1)).collect();
    let fates = day(&mut paced(), &asks, |_, to, at| {
        if held_up(to, at) { 60 * MS } else { 20 * MS }
    });
    let lost = fates
        .iter()
        .zip(asks.keys())
        .filter(|(f, at)| f.1.is_none_or(|w| held_up(f.2, *at + w)))
        .count();
    assert!(
        lost < 70,
        "{lost} of 200 went to backends that were held up"
    );
}

#[test]
fn a_miss_that_counts_in_the_tail_is_refused_within_its_aim() {
    let mut settings = settings();
    settings.classes[0].late_priority_weight = 0.5;
    let answer = |settings: Settings| {
        let mut feed = Feed::new(settings, vec![]);
        feed.ask(0);
        refused(&feed.wait(400 * MS))
    };
    assert!(!answer(settings.clone()));
    assert!(answer(Settings {
        tail_weight: 0.3,
        ..settings
    }));
}

#[test]
fn idle_connections_close_at_the_notice_of_a_drain_and_after_each_outcome() {
    let close = |actions: &[Action]| {
        actions.contains(&Action::CloseIdleConnections {
            backend: BackendId(1),
        })
    };
    let mut settings = settings();
    settings.rules.drain_close_within = Some(100 * MS);
    let mut feed = Feed::new(settings.clone(), vec![backend(1)]);
    let (id, _) = feed.ask(0);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..backend(1)
    };
    let told = Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![draining],
    };
    assert!(close(&feed.give(told.clone())));
    assert!(
        !close(&feed.give(told.clone())),
        "told again, with nothing new to close"
    );
    feed.wait(200 * MS);
    assert!(close(&feed.end(id, 0, Outcome::Success)));
    assert!(
        close(&feed.wait(100 * MS)),
        "once more, for a connection that was not idle yet"
    );
    settings.rules.drain_close_within = None;
    let mut feed = Feed::new(settings, vec![backend(1)]);
    assert!(!close(&feed.give(told)));
}

#[test]
fn a_cold_backend_gets_a_part_and_a_warm_one_its_share() {
    let mut feed = Feed::new(settings(), vec![backend(1), backend(2), backend(3)]);
    feed.serve(300, |_| 10 * MS);
    let restarted = Endpoint {
        started_at: Some(feed.now),
        ..backend(1)
    };
    feed.give(Event::EndpointUpdate {
        kind: UpdateKind::Delta,
        endpoints: vec![restarted],
    });
    let cold = feed.serve(200, |_| 10 * MS);
    assert!(cold.get(&BackendId(1)).is_none_or(|n| *n < 40), "{cold:?}");
    feed.wait(10_000 * MS);
    feed.serve(400, |_| 10 * MS);
    let warm = feed.serve(600, |_| 10 * MS);
    assert!(warm[&BackendId(1)] > 100, "{warm:?}");
}

#[test]
fn a_backend_that_fails_fast_is_ejected_and_comes_back() {
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(200, |_| 10 * MS);
    let mut bad = 0;
    for _ in 0..100 {
        let (id, first) = feed.ask(0);
        feed.wait(5 * MS);
        if sends(&first) == [BackendId(1)] {
            bad += 1;
            let second = sends(&feed.end(id, 0, Outcome::Error));
            if !second.is_empty() {
                feed.end(id, 1, Outcome::Success);
            }
        } else {
            feed.end(id, 0, Outcome::Success);
        }
    }
    assert!(bad < 20, "{bad} sends to a backend that only fails");
    feed.wait(10_000 * MS);
    assert!(feed.serve(400, |_| 10 * MS)[&BackendId(1)] > 40);
}

#[test]
fn an_attempt_that_looks_lost_is_called_off_and_goes_out_anew() {
    for (class, again) in [(0, true), (2, true), (3, false)] {
        let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
        feed.serve(40, |_| 10 * MS);
        let (id, _) = feed.ask(class);
        let early = feed.wait(90 * MS);
        let late = feed.wait(20 * MS);
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        assert!(!early.contains(&off));
        assert_eq!(late.contains(&off), again);
        assert_eq!(
            sends(&feed.end(id, 0, Outcome::Cancelled)).len(),
            usize::from(again)
        );
    }
}

#[test]
fn an_attempt_is_called_off_though_others_take_longer_meanwhile_or_the_storm_limit_is_reached() {
    for retries in [60, 0] {
        let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
        feed.serve(40, |_| 30 * MS);
        for _ in 0..retries {
            let (id, _) = feed.ask(0);
            feed.wait(10 * MS);
            for attempt in 0..3 {
                if feed.sent[&id].len() > attempt {
                    feed.end(id, attempt, Outcome::Error);
                }
            }
        }
        let (id, _) = feed.ask(0);
        // The usual latency rises, so that it is not overdue at the moment which was set for it.
        let off = Action::CancelAttempt {
            request: id,
            attempt: 0,
        };
        let mut called_off = false;
        for _ in 0..8 {
            let (other, _) = feed.ask(0);
            called_off |= feed.wait(40 * MS).contains(&off);
            if feed.sent.contains_key(&other) {
                feed.end(other, 0, Outcome::Success);
            }
        }
        assert!(called_off, "with {retries} retries before");
    }
}

#[test]
fn an_attempt_that_takes_six_times_as_long_as_others_is_not_lost_yet() {
    // Where work and waits are exponential one in 150 takes five times the mean, one in 3,000 eight
    // times.
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(40, |_| 30 * MS);
    let (id, _) = feed.ask(0);
    let off = Action::CancelAttempt {
        request: id,
        attempt: 0,
    };
    assert!(!feed.wait(200 * MS).contains(&off));
    assert!(feed.wait(50 * MS).contains(&off));
}

#[test]
fn a_few_silent_attempts_do_not_close_all_room() {
    let mut settings = settings();
    settings.limits.can_cancel = false;
    let mut feed = Feed::new(settings, (1..=8).map(backend).collect());
    feed.serve(400, |_| 2 * MS);
    for _ in 0..4 {
        feed.ask(0);
    }
    let mut sent = 0;
    for _ in 0..100 {
        feed.wait(4 * MS);
        let (id, actions) = feed.ask(0);
        sent += sends(&actions).len();
        if feed.sent.contains_key(&id) {
            feed.end(id, 0, Outcome::Success);
        }
    }
    assert!(sent > 90, "{sent} of 100 are sent while four are silent");
}

#[test]
fn a_backend_that_fails_now_and_then_is_kept_and_one_that_is_dead_is_not() {
    for (every, kept) in [(3, true), (1, false)] {
        let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
        feed.serve(40, |_| 10 * MS);
        let (mut logs, mut of_one) = (0, 0);
        for _ in 0..3000 {
            let (id, _) = feed.ask(0);
            feed.wait(2 * MS);
            for attempt in 0.. {
                let Some(to) = feed.sent[&id].get(attempt).map(|s| s.0) else {
                    break;
                };
                of_one += usize::from(to == BackendId(1));
                let fails = to == BackendId(1) && of_one % every == 0;
                let actions = feed.end(
                    id,
                    attempt,
                    if fails {
                        Outcome::Reset
                    } else {
                        Outcome::Success
                    },
                );
                logs += actions
                    .iter()
                    .filter(|a| matches!(a, Action::Log(_)))
                    .count();
            }
        }
        assert!(
            if kept {
                logs == 0 && of_one > 50
            } else {
                of_one < 40
            },
            "{logs} {of_one}: 1 in {every}"
        );
    }
}

#[test]
fn faulty_requests_neither_eject_a_backend_nor_go_out_again() {
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(40, |_| 10 * MS);
    for _ in 0..200 {
        let (id, _) = feed.ask(2);
        let actions = feed.end(id, 0, Outcome::BadRequest);
        assert!(
            actions.contains(&Action::Fail { request: id }),
            "{actions:?}"
        );
        assert!(
            !actions
                .iter()
                .any(|a| matches!(a, Action::StartAttempt { .. } | Action::Log(_))),
            "{actions:?}"
        );
        feed.wait(10 * MS);
    }
}

#[test]
fn ejection_fails_open() {
    let mut feed = Feed::new(settings(), (1..=2).map(backend).collect());
    for _ in 0..50 {
        let (id, _) = feed.ask(0);
        for attempt in 0.. {
            if feed.sent.get(&id).is_none_or(|s| s.len() <= attempt) {
                break;
            }
            feed.end(id, attempt, Outcome::Reset);
        }
        feed.wait(10 * MS);
    }
    let (_, actions) = feed.ask(0);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn a_crowd_waits_at_the_proxy_and_the_worthiest_go_first() {
    let mut feed = Feed::new(settings(), vec![backend(1)]);
    let (first, _) = feed.ask(0);
    let cheap: Vec<RequestId> = (0..5).map(|_| feed.ask(0).0).collect();
    let (dear, actions) = feed.ask(4);
    assert!(sends(&actions).is_empty());
    feed.wait(10 * MS);
    feed.end(first, 0, Outcome::Success);
    assert!(feed.sent.contains_key(&dear));
    assert!(cheap.iter().any(|id| !feed.sent.contains_key(id)));
}

#[test]
fn in_a_crowd_the_newest_of_equals_goes_first_whatever_its_id() {
    for ids in [[901, 902, 903], [903, 901, 902]] {
        let mut feed = Feed::new(settings(), vec![backend(1)]);
        let (first, _) = feed.ask(0);
        for id in ids {
            feed.give(request(id, 0));
        }
        feed.wait(10 * MS);
        feed.end(first, 0, Outcome::Success);
        let served: Vec<u32> = ids
            .into_iter()
            .filter(|id| feed.sent.contains_key(&RequestId(*id)))
            .collect();
        assert_eq!(served, [ids[2]]);
    }
}

#[test]
fn a_marked_repeat_waits_behind_first_tries() {
    let mut feed = Feed::new(settings(), vec![backend(1)]);
    let (first, _) = feed.ask(0);
    let Event::Request(marked) = request(900, 0) else {
        unreachable!()
    };
    feed.give(Event::Request(Request {
        client_retry: true,
        ..marked
    }));
    let (fresh, _) = feed.ask(0);
    feed.wait(10 * MS);
    feed.end(first, 0, Outcome::Success);
    assert!(feed.sent.contains_key(&fresh));
    assert!(!feed.sent.contains_key(&RequestId(900)));
}

#[test]
fn a_repeat_is_told_by_what_patience_it_has_left() {
    let repeat = |id, left| {
        let Event::Request(request) = request(id, 0) else {
            unreachable!()
        };
        Event::Request(Request {
            client_timeout: left * MS,
            ..request
        })
    };
    // 350 of the 400 ms of its aim are gone: its attempt is not waited for any longer than the
    // rest.
    let mut feed = Feed::new(settings(), vec![backend(1)]);
    feed.serve(20, |_| 10 * MS);
    let actions = feed.give(repeat(900, 650));
    let by = feed.now + 50 * MS;
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::StartAttempt { abandon_at, .. } if *abandon_at == by)),
        "{actions:?}"
    );
    // Past its latency_objective: the first try goes before it, though it came earlier in a crowd, newest first.
    let mut feed = Feed::new(settings(), vec![backend(1)]);
    let (first, _) = feed.ask(0);
    let (fresh, _) = feed.ask(0);
    feed.give(repeat(901, 300));
    feed.wait(10 * MS);
    feed.end(first, 0, Outcome::Success);
    assert!(feed.sent.contains_key(&fresh) && !feed.sent.contains_key(&RequestId(901)));
    // It is served all the same once nothing better waits.
    feed.end(fresh, 0, Outcome::Success);
    assert!(feed.sent.contains_key(&RequestId(901)));
}

#[test]
fn nodes_start_with_parts_that_share_no_backend_and_leave_none_out() {
    for (nodes, fleet) in [(2, 12), (2, 7), (3, 19)] {
        let mut met = BTreeSet::new();
        let mut parts = 0;
        for me in 0..nodes {
            // Each knows the backends in an order of its own; what they have in common is the mark.
            let list = (1..=fleet).rev().map(backend).collect();
            let settings = Settings {
                proxy_index: me,
                proxy_count: nodes,
                ..settings()
            };
            let mut feed = Feed::seeded(settings, list, 7 + u64::from(me));
            feed.serve(4_000, |_| 10 * MS);
            let counts = feed.serve(2_000, |_| 10 * MS);
            // What explores goes anywhere; the rest to the node's own part, each idle in its turn.
            let part: Vec<BackendId> = counts.iter().filter(|c| *c.1 > 40).map(|c| *c.0).collect();
            parts += part.len();
            met.extend(part);
        }
        assert_eq!(
            (parts, met.len()),
            (fleet as usize, fleet as usize),
            "{nodes} nodes"
        );
    }
}

#[test]
fn two_nodes_let_a_backend_hold_no_more_than_the_tightest_class_bears() {
    // Three of 25 ms are as long as the aim of 75 ms is; a node's share of what is less is one or
    // two.
    let tight = Class {
        latency_objective: 75 * MS,
        client_timeout: 150 * MS,
        ..class(Idempotency::NotIdempotent)
    };
    let mut settings = Settings {
        proxy_count: 2,
        ..settings()
    };
    settings.classes.push(tight);
    let mut feed = Feed::new(settings, vec![backend(1)]);
    let mut most = 0;
    for _ in 0..400 {
        let asked: Vec<_> = (0..6).map(|_| feed.ask(0).0).collect();
        loop {
            let held = |id: &&RequestId| feed.sent.get(id).is_some_and(|sent| sent[0].2);
            let out: Vec<_> = asked.iter().filter(held).copied().collect();
            if out.is_empty() {
                break;
            }
            most = most.max(out.len());
            feed.wait(25 * MS);
            out.into_iter()
                .for_each(|id| drop(feed.end(id, 0, Outcome::Success)));
        }
    }
    assert_eq!(most, 2);
}

#[test]
fn a_room_that_a_burst_has_closed_opens_again_and_no_one_waits_beside_an_idle_backend() {
    for (work, tick) in [(MS / 20, MS / 1_000), (5 * MS, MS), (1_000 * MS, MS)] {
        for fleet in [2, 12, 50] {
            let aim = (8 * work).max(20 * MS);
            let whole = Class {
                latency_objective: aim,
                client_timeout: 3 * aim,
                ..class(Idempotency::Idempotent)
            };
            let settings = Settings {
                classes: vec![whole],
                proxy_count: 2,
                tick,
                ..settings()
            };
            let mut feed = Feed::new(settings, (1..=fleet).map(backend).collect());
            let ask = |feed: &mut Feed| {
                let id = RequestId(feed.next + 1);
                feed.next = id.0;
                feed.give(Event::Request(Request {
                    id,
                    client_timeout: 3 * aim,
                    ..Request::default()
                }));
                id
            };
            let answer = |feed: &mut Feed, id, takes| {
                feed.wait(takes);
                feed.end(id, 0, Outcome::Success);
            };
            for _ in 0..200 {
                let id = ask(&mut feed);
                answer(&mut feed, id, work);
            }
            // Six times the usual latency at every backend, until rooms are at their floor.
            for _ in 0..30 {
                for _ in 0..2 * fleet {
                    ask(&mut feed);
                }
                feed.wait(6 * work);
                let out: Vec<_> = feed
                    .sent
                    .iter()
                    .filter(|s| s.1[0].2)
                    .map(|s| *s.0)
                    .collect();
                out.into_iter()
                    .for_each(|id| drop(feed.end(id, 0, Outcome::Success)));
            }
            feed.wait(3 * aim);
            let out: Vec<_> = feed
                .sent
                .iter()
                .filter(|s| s.1[0].2)
                .map(|s| *s.0)
                .collect();
            out.into_iter()
                .for_each(|id| drop(feed.end(id, 0, Outcome::Success)));
            // The burst is over: one is out at a time, and others idle. It is never held back.
            for turn in 0..50 {
                let id = ask(&mut feed);
                assert!(
                    feed.sent.contains_key(&id),
                    "{fleet} of {work} ns: held back at turn {turn}"
                );
                answer(&mut feed, id, work);
            }
            // Half as many as there are backends at once find room after ten answers of each and
            // thirty aims.
            for _ in 0..10 * fleet {
                let id = ask(&mut feed);
                answer(&mut feed, id, work);
            }
            feed.wait(30 * aim);
            let all: Vec<_> = (0..fleet / 2).map(|_| ask(&mut feed)).collect();
            let held = all.iter().filter(|id| !feed.sent.contains_key(id)).count();
            assert_eq!(
                held,
                0,
                "{fleet} of {work} ns: {held} of {} wait",
                all.len()
            );
        }
    }
}

#[test]
fn a_silent_fleet_gets_no_more_until_it_answers() {
    let mut feed = Feed::new(settings(), (1..=4).map(backend).collect());
    feed.serve(200, |_| 10 * MS);
    let silent: Vec<RequestId> = (0..4).map(|_| feed.ask(0).0).collect();
    assert!(silent.iter().all(|id| feed.sent.contains_key(id)));
    feed.wait(300 * MS);
    let (held, actions) = feed.ask(0);
    assert!(sends(&actions).is_empty());
    for id in silent {
        feed.end(id, 0, Outcome::Success);
    }
    assert!(feed.sent.contains_key(&held));
}

#[test]
fn a_failed_call_keeps_the_fleet_and_is_repeated() {
    let mut feed = Feed::new(
        Settings {
            poll_endpoints: true,
            ..settings()
        },
        vec![backend(1)],
    );
    feed.give(Event::DiscoveryFailed);
    let (_, actions) = feed.ask(0);
    assert_eq!(sends(&actions), [BackendId(1)]);
    assert!(
        feed.wait(5_000 * MS)
            .contains(&Action::WatchEndpoints(true))
    );
}

#[test]
fn however_often_calls_fail_the_next_one_is_answered_within_six_seconds_of_the_last() {
    // A change counts as told 6 s after the list service had it and could be reached; of these, 2 s
    // are for the call itself.
    for poll_interval in [2 * SECOND, 10 * SECOND, 60 * SECOND] {
        for seed in 0..40 {
            let mut asking = Settings {
                poll_endpoints: true,
                ..settings()
            };
            asking.rules.poll_interval = poll_interval;
            let mut feed = Feed::seeded(asking, vec![backend(1)], seed);
            for failure in 0..8 {
                feed.give(Event::DiscoveryFailed);
                let before = feed.now;
                while !feed.wait(50 * MS).contains(&Action::WatchEndpoints(true)) {
                    let waited = feed.now - before;
                    assert!(
                        waited <= 4 * SECOND,
                        "{poll_interval}, seed {seed}, failure {failure}: {waited}"
                    );
                }
            }
        }
    }
}

#[test]
fn senseless_settings_are_named() {
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

#[derive(Clone, Debug)]
enum Step {
    Ask(u16),
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
        8 => (0u16..6).prop_map(Step::Ask),
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
    /// A backend was told draining or had an outcome: from now on its connections are to be closed.
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
    let mut feed = Feed::new(settings.clone(), backends);
    let mut log = Vec::new();
    for step in steps {
        let actions = match step {
            Step::Ask(class) => {
                let id = RequestId(feed.next + 1);
                watch
                    .open
                    .insert(id, (*class, feed.now + 800 * MS, Vec::new()));
                feed.ask(*class).1
            }
            Step::End(place, outcome) => {
                let out: Vec<(RequestId, usize)> = feed
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
                watch.used(feed.now, feed.sent[&id][attempt].0);
                feed.end(id, attempt, *outcome)
            }
            Step::Leave(place) => {
                let ids: Vec<RequestId> = watch.open.keys().copied().collect();
                let Some(id) = ids.get(place % ids.len().max(1)).copied() else {
                    continue;
                };
                watch.open.remove(&id);
                feed.give(Event::ClientDisconnected { request: id })
            }
            Step::Stray(id, attempt) => feed.give(Event::AttemptEnded {
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
                let end = feed.now + span;
                while feed.now < end {
                    let late: Vec<(RequestId, usize)> = watch
                        .open
                        .iter()
                        .filter(|(_, (_, deadline, _))| *deadline <= feed.now + MS)
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
                        watch.used(feed.now, feed.sent[&id][attempt].0);
                        let actions = feed.end(id, attempt, Outcome::Timeout);
                        watch.check(feed.now, &settings, &actions);
                        log.extend(actions);
                    }
                    let actions = feed.wait(MS);
                    watch.check(feed.now, &settings, &actions);
                    log.extend(actions);
                    assert!(
                        watch
                            .open
                            .values()
                            .all(|(_, deadline, _)| feed.now < *deadline + MS),
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
                let told = backends.iter().filter(|b| {
                    b.state == EndpointState::Draining
                        && before.get(&b.id) != Some(&EndpointState::Draining)
                });
                for b in told {
                    watch.used(feed.now, b.id);
                }
                feed.give(Event::EndpointUpdate {
                    kind: *kind,
                    endpoints: backends,
                })
            }
            Step::ListFailed => feed.give(Event::DiscoveryFailed),
        };
        watch.check(feed.now, &settings, &actions);
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
fn an_unsafe_request_has_no_second_attempt_once_one_may_have_run() {
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
    let lives = prop::collection::vec(
        (prop::collection::vec((outcome, 0u64..40), 6), any::<bool>()),
        1..12,
    );
    runner
        .run(&lives, |lives| {
            let mut feed = Feed::new(settings(), (1..=5).map(backend).collect());
            feed.serve(10, |_| 10 * MS);
            let ids: Vec<RequestId> = lives.iter().map(|_| feed.ask(3).0).collect();
            let mut ran = BTreeMap::new();
            // The lives go on in turns, so that what one of them shows moves the others.
            for step in 0..6 {
                for (id, (ends, leaves)) in ids.iter().zip(&lives) {
                    let (outcome, wait) = ends[step];
                    feed.wait(wait * MS);
                    let Some(sent) = feed.sent.get(id).map(Vec::len) else {
                        continue;
                    };
                    if feed.sent[id][sent - 1].2 {
                        if *leaves && step == 2 {
                            feed.give(Event::ClientDisconnected { request: *id });
                        }
                        if !outcome.not_executed() {
                            ran.insert(*id, sent);
                        }
                        feed.end(*id, sent - 1, outcome);
                    }
                }
            }
            feed.wait(2_000 * MS);
            for (id, sent) in &ran {
                prop_assert_eq!(
                    feed.sent[id].len(),
                    *sent,
                    "{:?} again after it may have run",
                    id
                );
            }
            prop_assert!(feed.sent.values().all(|sent| sent.len() <= 3));
            Ok(())
        })
        .unwrap();
}
