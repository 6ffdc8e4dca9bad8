//! Concurrency limits.

use kitefork_balancer::*;

use crate::support::*;

#[test]
fn a_few_silent_attempts_do_not_use_up_all_capacity() {
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
        sent += sends(&actions).len();
        if harness.sent.contains_key(&id) {
            harness.end(id, 0, Outcome::Success);
        }
    }
    assert!(sent > 90, "{sent} of 100 are sent while four are silent");
}

#[test]
fn two_proxies_let_a_backend_hold_no_more_than_the_tightest_class_bears() {
    // Three of 25 ms are as long as the objective of 75 ms; a proxy's share of less is one or
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
    let mut harness = Harness::new(settings, vec![backend(1)]);
    let mut most = 0;
    for _ in 0..400 {
        let submitted: Vec<_> = (0..6).map(|_| harness.submit(0).0).collect();
        loop {
            let in_flight = |id: &&RequestId| harness.sent.get(id).is_some_and(|sent| sent[0].2);
            let out: Vec<_> = submitted.iter().filter(in_flight).copied().collect();
            if out.is_empty() {
                break;
            }
            most = most.max(out.len());
            harness.wait(25 * MS);
            for id in out {
                harness.end(id, 0, Outcome::Success);
            }
        }
    }
    assert_eq!(most, 2);
}

/// One of two proxies in front of a fleet, with requests of one class that wait for three latency
/// objectives.
struct Burst {
    harness: Harness,
    fleet: u32,
    work: Nanos,
    objective: Nanos,
}

impl Burst {
    fn new(fleet: u32, work: Nanos, tick: Nanos) -> Burst {
        let objective = (8 * work).max(20 * MS);
        let whole = Class {
            latency_objective: objective,
            client_timeout: 3 * objective,
            ..class(Idempotency::Idempotent)
        };
        let settings = Settings {
            classes: vec![whole],
            proxy_count: 2,
            tick,
            ..settings()
        };
        let harness = Harness::new(settings, (1..=fleet).map(backend).collect());
        Burst {
            harness,
            fleet,
            work,
            objective,
        }
    }

    fn submit(&mut self) -> RequestId {
        let id = RequestId(self.harness.next + 1);
        self.harness.next = id.0;
        self.harness.handle(Event::Request(Request {
            id,
            client_timeout: 3 * self.objective,
            ..Request::default()
        }));
        id
    }

    fn is_sent(&self, id: RequestId) -> bool {
        self.harness.sent.contains_key(&id)
    }

    fn answer(&mut self, id: RequestId) {
        self.harness.wait(self.work);
        self.harness.end(id, 0, Outcome::Success);
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
            self.harness.end(id, 0, Outcome::Success);
        }
    }

    /// Six times the usual latency at every backend, until limits are at their least.
    fn overload(&mut self) {
        for _ in 0..30 {
            for _ in 0..2 * self.fleet {
                self.submit();
            }
            self.harness.wait(6 * self.work);
            self.answer_all();
        }
        self.harness.wait(3 * self.objective);
        self.answer_all();
    }
}

#[test]
fn a_limit_that_a_burst_has_cut_grows_again_and_no_request_waits_beside_an_idle_backend() {
    for (work, tick) in [(MS / 20, MS / 1_000), (5 * MS, MS), (1_000 * MS, MS)] {
        for fleet in [2, 12, 50] {
            let mut burst = Burst::new(fleet, work, tick);
            burst.serve(200);
            burst.overload();
            // The burst is over: one is in flight at a time, and others idle. It never waits.
            for round in 0..50 {
                let id = burst.submit();
                let what = format!("{fleet} of {work} ns: waits in round {round}");
                assert!(burst.is_sent(id), "{what}");
                burst.answer(id);
            }
            // Half as many as there are backends at once find capacity after ten answers of each
            // and thirty objectives.
            burst.serve(10 * fleet);
            burst.harness.wait(30 * burst.objective);
            let all: Vec<_> = (0..fleet / 2).map(|_| burst.submit()).collect();
            let waiting = all.iter().filter(|id| !burst.is_sent(**id)).count();
            assert_eq!(waiting, 0, "{fleet} of {work} ns, of {}", all.len());
        }
    }
}

#[test]
fn a_silent_fleet_gets_no_more_until_it_answers() {
    let mut harness = Harness::new(settings(), (1..=4).map(backend).collect());
    harness.serve(200, |_| 10 * MS);
    let silent: Vec<RequestId> = (0..4).map(|_| harness.submit(0).0).collect();
    assert!(silent.iter().all(|id| harness.sent.contains_key(id)));
    harness.wait(300 * MS);
    let (in_flight, actions) = harness.submit(0);
    assert!(sends(&actions).is_empty());
    for id in silent {
        harness.end(id, 0, Outcome::Success);
    }
    assert!(harness.sent.contains_key(&in_flight));
}
