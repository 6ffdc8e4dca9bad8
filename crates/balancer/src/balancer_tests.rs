//! Unit tests of the balancer that inspect its internal state.

use super::Balancer;
use crate::action::Action;
use crate::class_statistics::LATENCY_SAMPLES;
use crate::event::{Endpoint, EndpointState, Event, Outcome, Request, UpdateKind};
use crate::ids::{BackendId, CellId, KindId, Nanos, RequestId, ZoneId};
use crate::settings::{Class, Settings};

const MS: Nanos = 1_000_000;

/// Settings of one of 300 proxies, each of which sends few attempts to each backend.
fn settings_of_one_in_300_proxies() -> Settings {
    let class = Class {
        latency_objective: 300 * MS,
        client_timeout: 1_600 * MS,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        proxy_count: 300,
        ..Settings::default()
    }
}

fn request(id: u32) -> Event {
    let (id, client_timeout) = (RequestId(id), 1_600 * MS);
    Event::Request(Request {
        id,
        key: u64::from(id.0),
        client_timeout,
        is_write: true,
        ..Request::default()
    })
}

#[test]
fn latency_to_a_distant_zone_does_not_count_as_overload() {
    let class = Class {
        latency_objective: 300_000_000,
        client_timeout: 900_000_000,
        ..Class::default()
    };
    let mut balancer = Balancer::new(
        Settings {
            classes: vec![class],
            ..Settings::default()
        },
        7,
        0,
    )
    .unwrap();
    let state = EndpointState::Ready;
    let backend = |id| Endpoint {
        id: BackendId(id),
        zone: ZoneId(id as u16),
        state,
        ..Endpoint::default()
    };
    let list = Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: vec![backend(0), backend(1)],
    };
    balancer.handle(1, list, &mut Vec::new());
    for _ in 0..2 * LATENCY_SAMPLES as usize {
        for (id, latency) in [(0, 0.002), (1, 0.012)] {
            balancer.classes[0].add_latency(latency);
            balancer.adjust_limit(BackendId(id), 0, latency, Outcome::Success);
        }
    }
    assert!(
        balancer
            .endpoints
            .iter()
            .all(|record| record.load.latency_ratio() < 1.1)
    );
}

#[test]
fn admission_rate_falls_to_a_fifth_of_the_requests_and_recovers_with_fast_answers() {
    let mut balancer = Balancer::new(settings_of_one_in_300_proxies(), 7, 0).unwrap();
    // 30 requests per second for two seconds, without any backend.
    for round in 0..60 {
        balancer.handle(
            (1 + Nanos::from(round) * 33) * MS,
            request(round),
            &mut Vec::new(),
        );
    }
    let rate = balancer.admission.rate.attempts_per_second(2_000 * MS);
    assert!((4.0..8.0).contains(&rate), "{rate} attempts per second");
    // Once answers are fast, the completions of one arrival window at that rate bring the rate back
    // to nearly all received requests.
    balancer.admission.rate.set_completions(rate * 0.6, 0.035);
    assert!(
        balancer.admission.rate.attempts_per_second(2_000 * MS) > 25.0,
        "{}",
        balancer.admission.rate.attempts_per_second(2_000 * MS)
    );
}

fn ended(request: RequestId, attempt: u8, latency: Nanos, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        request,
        attempt,
        latency,
        outcome,
        finished: true,
        load_report: Vec::new(),
    }
}

/// A full list of ten new backends with ids from `first`. Their cells and kinds are numbered modulo
/// 1000.
fn ten_new_backends(first: u32) -> Event {
    let label = |id: u32| (id % 1_000) as u16;
    let endpoint = |id| Endpoint {
        id: BackendId(id),
        cell: CellId(label(id)),
        kind: KindId(label(id)),
        state: EndpointState::Ready,
        ..Endpoint::default()
    };
    Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: (first..first + 10).map(endpoint).collect(),
    }
}

/// The requests whose attempts were started, except every seventh, which gets no answer until its
/// client times out.
fn answered_requests(actions: &mut Vec<Action>) -> Vec<RequestId> {
    let started = actions.drain(..).filter_map(|action| match action {
        Action::StartAttempt { request, .. } => Some(request),
        _ => None,
    });
    started.filter(|request| request.0 % 7 != 0).collect()
}

#[test]
fn tables_stay_bounded_while_thousands_of_backends_are_replaced() {
    let mut settings = settings_of_one_in_300_proxies();
    settings.rules.drain_close_within = Some(2_000 * MS);
    let mut balancer = Balancer::new(settings, 7, 0).unwrap();
    let (mut now, mut actions, mut largest) = (0, Vec::new(), [0; 4]);
    for round in 0..20_000 {
        now += 10 * MS;
        if round % 50 == 0 {
            // The list removes the previous ten backends.
            balancer.handle(now, ten_new_backends(round / 5), &mut actions);
        }
        balancer.handle(now, request(round), &mut actions);
        for request in answered_requests(&mut actions) {
            let event = ended(request, 0, 5 * MS, Outcome::Success);
            balancer.handle(now + 5 * MS, event, &mut actions);
        }
        if let Some(timed_out) = round.checked_sub(160) {
            for attempt in 0..5 {
                let event = ended(RequestId(timed_out), attempt, 1_600 * MS, Outcome::Timeout);
                balancer.handle(now, event, &mut actions);
            }
        }
        let sizes = [
            balancer.endpoints.len(),
            balancer.requests.len(),
            balancer.timers.len(),
            balancer.estimation.estimator.kinds().len(),
        ];
        largest = std::array::from_fn(|index| largest[index].max(sizes[index]));
    }
    // The bounds allow for the attempts and the scheduled connection closes of four seconds, and
    // for one entry of each possible kind.
    let [endpoints, requests, timers, kinds] = largest;
    assert!(
        endpoints <= 60 && requests <= 200 && timers <= 2_000 && kinds <= 1_000,
        "{largest:?}"
    );
}

#[test]
fn subset_size_follows_completions_and_cross_zone_cost() {
    for (cross_zone_cost, expected_remote) in [(0.03, 4 * 4), (0.0, 4 * 15)] {
        let settings = Settings {
            cross_zone_cost,
            ..settings_of_one_in_300_proxies()
        };
        let mut balancer = Balancer::new(settings, 7, 0).unwrap();
        let (zone, state) = (|id: u32| ZoneId((id % 5) as u16), EndpointState::Ready);
        let backends = (0..200).map(|id| Endpoint {
            id: BackendId(id),
            zone: zone(id),
            state,
            ..Endpoint::default()
        });
        let list = Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: backends.collect(),
        };
        balancer.handle(1, list, &mut Vec::new());
        // 60 requests per second for 20 seconds: within ten latency objectives, 15 backends get 12
        // completions each.
        balancer.estimation.estimator.set_first_attempts(1_200.0);
        let members = balancer.subset_members(20_000_000_000);
        let local = members.iter().filter(|id| zone(id.0) == ZoneId(0)).count();
        assert_eq!((local, members.len() - local), (15, expected_remote));
    }
}

#[test]
fn subsets_of_300_proxies_cover_the_backends_evenly() {
    let state = EndpointState::Ready;
    let spread_hash = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let backend = |id| Endpoint {
        id: BackendId(id),
        hash: spread_hash(id),
        state,
        ..Endpoint::default()
    };
    let mut proxies_by_backend = std::collections::BTreeMap::new();
    for proxy_index in 0..300 {
        let settings = Settings {
            proxy_index,
            ..settings_of_one_in_300_proxies()
        };
        let mut balancer = Balancer::new(settings, u64::from(proxy_index), 0).unwrap();
        let list = Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: (0..60).map(backend).collect(),
        };
        balancer.handle(1, list, &mut Vec::new());
        balancer
            .subset_members(2)
            .into_iter()
            .for_each(|id| *proxies_by_backend.entry(id).or_insert(0) += 1);
    }
    // Each of the 300 proxies uses 3 of the 60 backends, so 15 proxies use each backend. With
    // random subsets, some backends would have 7 proxies and some 24.
    assert!(
        proxies_by_backend.len() == 60
            && proxies_by_backend
                .values()
                .all(|proxies| (14..=16).contains(proxies)),
        "{proxies_by_backend:?}"
    );
}

#[test]
fn attempts_rejected_by_backends_do_not_count_as_completions() {
    let class = Class {
        latency_objective: 300 * MS,
        client_timeout: 600 * MS,
        ..Class::default()
    };
    let mut settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    settings.limits.max_attempts = 1;
    let mut balancer = Balancer::new(settings, 7, 0).unwrap();
    let state = EndpointState::Ready;
    let backends = (0..3)
        .map(|id| Endpoint {
            id: BackendId(id),
            state,
            ..Endpoint::default()
        })
        .collect();
    balancer.handle(
        1,
        Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: backends,
        },
        &mut Vec::new(),
    );
    // 100 requests per second, of which the backends accept one in four. The tokens of slow start
    // (fourth protocol rule) are refilled by the completion rate, so rejected attempts must not
    // count.
    let mut actions = Vec::new();
    for round in 0..500 {
        let now = Nanos::from(round) * 10 * MS + 2;
        balancer.handle(now, request(round), &mut actions);
        for action in std::mem::take(&mut actions) {
            let Action::StartAttempt { request, .. } = action else {
                continue;
            };
            let outcome = if round % 4 == 0 {
                Outcome::Success
            } else {
                Outcome::Overloaded
            };
            let (attempt, latency, finished, load_report) =
                (0, 5 * MS, outcome == Outcome::Success, Vec::new());
            let ended = Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                finished,
                load_report,
            };
            balancer.handle(now + 5 * MS, ended, &mut actions);
        }
    }
    let completion_rate = balancer.slow_start.completion_rate() * 3.0;
    assert!(
        (20.0..30.0).contains(&completion_rate),
        "{completion_rate} completions per second"
    );
}
