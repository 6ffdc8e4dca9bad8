//! Tests of the concurrency limits.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn unanswered_attempts_do_not_use_up_all_capacity() {
    let mut settings = settings();
    settings.limits.can_cancel = false;
    let mut harness = Harness::new(settings, (1..=8).map(backend).collect());
    harness.serve(400, |_| 2 * MS);
    for _ in 0..4 {
        harness.submit(0);
    }
    let mut sent = 0;
    for _ in 0..100 {
        harness.wait(4 * MS);
        let (id, actions) = harness.submit(0);
        sent += attempted_backends(&actions).len();
        if harness.sent.contains_key(&id) {
            harness.end_attempt(id, 0, Outcome::Success);
        }
    }
    assert!(
        sent > 90,
        "{sent} of 100 requests were sent while four attempts were unanswered"
    );
}

#[test]
fn limit_of_two_proxies_lets_attempts_meet_the_shortest_latency_objective() {
    // A backend takes 75 ms for three attempts of 25 ms, which is the whole latency objective, so
    // the two proxies together should have fewer than three attempts in flight at the backend. The
    // share of each proxy is one attempt; one more is allowed, because the other proxy does not
    // always use its share.
    let short_objective = Class {
        latency_objective: 75 * MS,
        client_timeout: 150 * MS,
        ..class(Idempotency::NotIdempotent)
    };
    let mut settings = Settings {
        proxy_count: 2,
        ..settings()
    };
    settings.classes.push(short_objective);
    let mut harness = Harness::new(settings, vec![backend(1)]);
    let mut max_in_flight = 0;
    for _ in 0..400 {
        let submitted: Vec<_> = (0..6).map(|_| harness.submit(0).0).collect();
        loop {
            let is_in_flight = |id: &&RequestId| harness.sent.get(id).is_some_and(|sent| sent[0].2);
            let in_flight: Vec<_> = submitted.iter().filter(is_in_flight).copied().collect();
            if in_flight.is_empty() {
                break;
            }
            max_in_flight = max_in_flight.max(in_flight.len());
            harness.wait(25 * MS);
            for id in in_flight {
                harness.end_attempt(id, 0, Outcome::Success);
            }
        }
    }
    assert_eq!(max_in_flight, 2);
}

/// One of two proxies in front of `backend_count` backends. The client timeout of its only class is
/// three latency objectives.
struct Burst {
    harness: Harness,
    backend_count: u32,
    service_time: Nanos,
    latency_objective: Nanos,
}

impl Burst {
    fn new(backend_count: u32, service_time: Nanos, tick: Nanos) -> Burst {
        let latency_objective = (8 * service_time).max(20 * MS);
        let class = Class {
            latency_objective,
            client_timeout: 3 * latency_objective,
            ..class(Idempotency::Idempotent)
        };
        let settings = Settings {
            classes: vec![class],
            proxy_count: 2,
            tick,
            ..settings()
        };
        let harness = Harness::new(settings, (1..=backend_count).map(backend).collect());
        Burst {
            harness,
            backend_count,
            service_time,
            latency_objective,
        }
    }

    fn submit(&mut self) -> RequestId {
        let id = RequestId(self.harness.last_request_id + 1);
        self.harness.last_request_id = id.0;
        self.harness.handle(Event::Request(Request {
            id,
            client_timeout: 3 * self.latency_objective,
            ..Request::default()
        }));
        id
    }

    fn is_sent(&self, id: RequestId) -> bool {
        self.harness.sent.contains_key(&id)
    }

    fn answer(&mut self, id: RequestId) {
        self.harness.wait(self.service_time);
        self.harness.end_attempt(id, 0, Outcome::Success);
    }

    fn serve(&mut self, count: u32) {
        for _ in 0..count {
            let id = self.submit();
            self.answer(id);
        }
    }

    fn answer_all(&mut self) {
        let in_flight: Vec<RequestId> = self
            .harness
            .sent
            .iter()
            .filter(|(_, attempts)| attempts[0].2)
            .map(|(id, _)| *id)
            .collect();
        for id in in_flight {
            self.harness.end_attempt(id, 0, Outcome::Success);
        }
    }

    /// Answers with six times the usual latency at every backend, until the limits are minimal.
    fn overload(&mut self) {
        for _ in 0..30 {
            for _ in 0..2 * self.backend_count {
                self.submit();
            }
            self.harness.wait(6 * self.service_time);
            self.answer_all();
        }
        self.harness.wait(3 * self.latency_objective);
        self.answer_all();
    }
}

#[test]
fn limits_recover_after_a_burst_and_idle_backends_are_used_at_once() {
    for (service_time, tick) in [(MS / 20, MS / 1_000), (5 * MS, MS), (1_000 * MS, MS)] {
        for backend_count in [2, 12, 50] {
            let mut burst = Burst::new(backend_count, service_time, tick);
            burst.serve(200);
            burst.overload();
            // After the burst, one request at a time is in flight while other backends are idle, so
            // no request may wait.
            for round in 0..50 {
                let id = burst.submit();
                let message = format!(
                    "{backend_count} backends, {service_time} ns: request waits in round {round}"
                );
                assert!(burst.is_sent(id), "{message}");
                burst.answer(id);
            }
            // Once ten requests per backend have been answered and then 30 latency objectives have
            // passed, none of `backend_count / 2` simultaneous requests may wait.
            burst.serve(10 * backend_count);
            burst.harness.wait(30 * burst.latency_objective);
            let simultaneous: Vec<_> = (0..backend_count / 2).map(|_| burst.submit()).collect();
            let waiting = simultaneous
                .iter()
                .filter(|id| !burst.is_sent(**id))
                .count();
            assert_eq!(
                waiting,
                0,
                "{backend_count} backends, {service_time} ns: some of {} simultaneous requests wait",
                simultaneous.len()
            );
        }
    }
}

#[test]
fn backends_without_answers_get_no_new_attempts_until_they_answer() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(200, |_| 10 * MS);
    let unanswered: Vec<RequestId> = (0..4).map(|_| harness.submit(0).0).collect();
    assert!(unanswered.iter().all(|id| harness.sent.contains_key(id)));
    harness.wait(300 * MS);
    let (queued, actions) = harness.submit(0);
    assert!(attempted_backends(&actions).is_empty());
    for id in unanswered {
        harness.end_attempt(id, 0, Outcome::Success);
    }
    assert!(harness.sent.contains_key(&queued));
}
