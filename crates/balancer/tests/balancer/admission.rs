//! Which request is admitted first.

use std::collections::{BTreeMap, BTreeSet};

use kitefork_balancer::*;

use crate::support::*;

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
