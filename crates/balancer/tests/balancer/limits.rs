//! Concurrency limits.

use kitefork_balancer::*;

use crate::support::*;

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
