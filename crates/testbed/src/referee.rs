//! The rules, judged on the ledgers alone.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::backend::{Attempt, AttemptEnd};
use kitefork_standin::clients::{Answer, Asked, Effect};
use kitefork_standin::list::{Entry, Told};
use kitefork_standin::odd::{Manner, OddAsked};

use crate::node::Life;

/// What a stand-in notices late, on a machine that is busy: it reads that a connection is closed
/// only when its turn comes.
const LATE: Duration = Duration::from_millis(150);

/// Slack of the time that a backend is told.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin this long after its client has left.
const GONE: Duration = Duration::from_millis(100);
/// Within this a client that stops in the middle of a request gets an error or a close.
const BAD_CLIENT: Duration = Duration::from_secs(3);

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A final answer may come this much after the client's patience.
    pub slack: Duration,
    /// Nothing new goes to a backend later than this after its drain was told.
    pub grace: Duration,
    /// Repeats of a keyed request are dropped within a cell for this long.
    pub window: Duration,
    /// A cold backend falls if it is sent more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... within this time.
    pub fall: Duration,
    /// Part of its speed that it starts with, and time until it is warm.
    pub cold_from: f64,
    /// See above.
    pub cold: Duration,
    /// Mean work of a request.
    pub work: Duration,
}

/// All that is judged.
#[derive(Default)]
pub struct Ledgers {
    /// Of the clients.
    pub asked: Vec<Asked>,
    /// Of the clients that don't behave.
    pub odd: Vec<OddAsked>,
    /// Of the backends.
    pub attempts: Vec<Attempt>,
    /// Of the list service: what it wrote to whom, and its changes by version.
    pub told: Vec<Told>,
    /// See above.
    pub changes: Vec<(u64, Duration, Entry)>,
    /// Of the processes.
    pub lives: Vec<Life>,
    /// Spans in which a node stood still.
    pub stopped: Vec<(usize, Duration, Duration)>,
    /// Starts of backends.
    pub starts: Vec<(String, Duration)>,
}

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which.
    pub rule: &'static str,
    /// The request, node or backend and its times.
    pub story: String,
}

fn ran(attempt: &Attempt) -> bool {
    attempt.end != AttemptEnd::TurnedAway
}

/// Everything that broke a rule.
pub fn judge(rules: &Rules, ledgers: &Ledgers) -> Vec<Broken> {
    let mut tries: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &ledgers.attempts {
        tries.entry(&attempt.txn).or_default().push(attempt);
    }
    tries
        .values_mut()
        .for_each(|tries| tries.sort_by_key(|attempt| attempt.arrived));
    let mut broken = Vec::new();
    for asked in &ledgers.asked {
        let tries = tries
            .get(asked.ask.txn.as_str())
            .map_or(&[][..], |tries| &tries[..]);
        let mut tell = |rule| {
            broken.push(Broken {
                rule,
                story: format!("{asked:?}; {tries:?}"),
            })
        };
        answer(rules, ledgers, asked, tries, &mut tell);
        repeats(rules, asked.ask.effect, tries, &mut tell);
        deadlines(asked.ask.planned + asked.ask.patience, tries, &mut tell);
    }
    for asked in &ledgers.odd {
        let tries = tries
            .get(asked.ask.txn.as_str())
            .map_or(&[][..], |tries| &tries[..]);
        let mut tell = |rule| {
            broken.push(Broken {
                rule,
                story: format!("{asked:?}; {tries:?}"),
            })
        };
        odd_client(ledgers, asked, tries, &mut tell);
    }
    drains(rules, ledgers, &mut broken);
    cold(rules, ledgers, &mut broken);
    for life in &ledgers.lives {
        let unasked = life.ended.filter(|_| life.told.is_none());
        let badly = life
            .ended
            .filter(|(_, code)| life.told.is_some_and(|told| !told.1) && *code != Some(0));
        if let Some(end) = unasked.or(badly) {
            broken.push(Broken {
                rule: "a node ended by itself or badly",
                story: format!("{life:?} {end:?}"),
            });
        }
    }
    broken
}

/// One final answer for each request, in time, made by a backend for it.
fn answer(
    rules: &Rules,
    ledgers: &Ledgers,
    asked: &Asked,
    tries: &[&Attempt],
    tell: &mut impl FnMut(&'static str),
) {
    let end = asked.ask.planned + asked.ask.patience + rules.slack;
    let excused = excuse(ledgers, asked, end);
    match &asked.answer {
        Answer::Whole(200, body) => {
            let made = |a: &&&Attempt| {
                a.end == AttemptEnd::Served && *body == format!("{}:{}", a.uid, a.txn)
            };
            if tries.iter().find(made).is_none() {
                tell("served with something that no backend made for it");
            }
        }
        Answer::Whole(429 | 503, _) => {
            if asked.ask.effect != Effect::Safe && tries.iter().any(|attempt| ran(attempt)) {
                tell("refused though it may have run");
            }
        }
        Answer::Whole(..) | Answer::Unreachable => {}
        Answer::Broken | Answer::GaveUp if excused => {}
        Answer::Broken | Answer::GaveUp => tell("never answered"),
    }
    if matches!(asked.answer, Answer::Whole(..)) && asked.ended > end + LATE && !excused {
        tell("answered too late");
    }
}

/// Its node was killed, told to end some time before, or stood still while the request was there.
fn excuse(ledgers: &Ledgers, asked: &Asked, end: Duration) -> bool {
    let there = |at: Duration| asked.ask.planned <= at + LATE && at <= end;
    let died = ledgers
        .lives
        .iter()
        .filter(|life| life.node == asked.node)
        .any(|life| {
            let killed = life.told.is_some_and(|(at, kill)| kill && there(at));
            // Requests that came long after SIGTERM, to a process that has ended since.
            let late = life
                .told
                .is_some_and(|(at, _)| asked.ask.planned + LATE > at + Duration::from_millis(700));
            killed || late && life.ended.is_some_and(|(at, _)| there(at))
        });
    let still = |stop: &&(usize, Duration, Duration)| {
        stop.0 == asked.node && stop.1 <= end && stop.2 >= asked.ask.planned
    };
    died || ledgers.stopped.iter().find(still).is_some()
}

/// One attempt at a time, and none after one that may have run but as the class allows.
fn repeats(rules: &Rules, effect: Effect, tries: &[&Attempt], tell: &mut impl FnMut(&'static str)) {
    if tries
        .windows(2)
        .any(|pair| pair[0].ended > pair[1].arrived + LATE)
    {
        tell("two attempts at a time");
    }
    let first = tries.iter().position(|attempt| ran(attempt));
    let Some((first, later)) = first.map(|place| (tries[place], &tries[place + 1..])) else {
        return;
    };
    match effect {
        Effect::Safe => {}
        Effect::Unsafe if later.is_empty() => {}
        Effect::Unsafe => tell("an unsafe request went out again"),
        Effect::Keyed => {
            if later.iter().any(|attempt| attempt.cell != first.cell) {
                tell("a keyed request left its cell");
            }
            if later
                .iter()
                .any(|attempt| attempt.arrived > first.arrived + rules.window + LATE)
            {
                tell("a keyed request went out after its window");
            }
        }
    }
}

/// The time told to a backend is at most what the client has left, with slack.
fn deadlines(end: Duration, tries: &[&Attempt], tell: &mut impl FnMut(&'static str)) {
    let over = |attempt: &&&Attempt| {
        let left = end.saturating_sub(attempt.arrived);
        attempt
            .told
            .is_some_and(|told| told > left + TOLD_SLACK + LATE)
    };
    if tries.iter().find(over).is_some() {
        tell("a backend was told more time than the client has left");
    }
}

/// What is owed to clients that don't behave.
fn odd_client(
    ledgers: &Ledgers,
    asked: &OddAsked,
    tries: &[&Attempt],
    tell: &mut impl FnMut(&'static str),
) {
    let Some(connected) = asked.connected else {
        return;
    };
    let after = |left: Duration| {
        tries
            .iter()
            .any(|attempt| attempt.arrived > left + GONE + LATE)
    };
    if asked.left.is_some_and(after) {
        tell("an attempt began after its client had left");
    }
    let patience = asked.ask.patience.max(BAD_CLIENT);
    let end = asked.sent.max(connected) + patience;
    let disturbed = ledgers
        .lives
        .iter()
        .filter(|life| life.node == asked.node)
        .any(|life| {
            let near = |at: Duration| at + patience >= connected && at <= end + LATE;
            life.told.is_some_and(|told| near(told.0))
                || life.ended.is_some_and(|ended| near(ended.0))
        });
    let still = |stop: &(usize, Duration, Duration)| {
        stop.0 == asked.node && stop.1 <= end + LATE && stop.2 + LATE >= connected
    };
    if disturbed || ledgers.stopped.iter().any(still) {
        return;
    }
    match asked.ask.manner {
        Manner::HalfCloses | Manner::Trickles | Manner::Pipelines if asked.answers == 0 => {
            tell("a request that was read was never answered");
        }
        Manner::StopsMidway
            if asked
                .ended
                .is_none_or(|at| at > asked.sent + BAD_CLIENT + LATE) =>
        {
            tell("a client that stopped midway got neither error nor close in time");
        }
        _ => {}
    }
}

/// Nothing new to a backend that a node has been told drains or is gone, after the grace.
fn drains(rules: &Rules, ledgers: &Ledgers, broken: &mut Vec<Broken>) {
    let nodes: BTreeMap<&str, usize> = ledgers
        .asked
        .iter()
        .map(|asked| (asked.ask.txn.as_str(), asked.node))
        .collect();
    let mut told: BTreeMap<usize, Vec<&Told>> = BTreeMap::new();
    ledgers
        .told
        .iter()
        .for_each(|news| told.entry(news.node).or_default().push(news));
    let mut by_uid: BTreeMap<&str, Vec<&(u64, Duration, Entry)>> = BTreeMap::new();
    ledgers
        .changes
        .iter()
        .for_each(|change| by_uid.entry(&change.2.uid).or_default().push(change));
    for attempt in &ledgers.attempts {
        let (Some(node), Some(changes)) = (
            nodes.get(attempt.txn.as_str()),
            by_uid.get(attempt.uid.as_str()),
        ) else {
            continue;
        };
        // What the node had been told a grace before the attempt came.
        let before = attempt.arrived.saturating_sub(rules.grace + LATE);
        let rev = told
            .get(node)
            .into_iter()
            .flatten()
            .filter(|n| n.at <= before)
            .map(|n| n.rev)
            .max();
        let known = changes.iter().rev().find(|change| Some(change.0) <= rev);
        // It may have been told since that the backend is back; what came after the attempt says
        // nothing of it.
        let last = changes
            .iter()
            .rev()
            .find(|change| change.1 <= attempt.arrived);
        let is_back = last.is_some_and(|change| change.2.state == "Ready");
        if known.is_some_and(|change| change.2.state != "Ready") && !is_back {
            broken.push(Broken {
                rule: "sent after a drain was told",
                story: format!("node {node}: {attempt:?}"),
            });
        }
    }
}

/// What all nodes together send a cold backend stays within its budget.
fn cold(rules: &Rules, ledgers: &Ledgers, broken: &mut Vec<Broken>) {
    for (uid, started) in &ledgers.starts {
        let at = |attempt: &&Attempt| attempt.uid == *uid && attempt.arrived >= *started;
        let mut sends: Vec<Duration> = ledgers
            .attempts
            .iter()
            .filter(at)
            .map(|a| a.arrived - *started)
            .collect();
        sends.sort_unstable();
        for (place, from) in sends
            .iter()
            .enumerate()
            .take_while(|(_, from)| **from < rules.cold)
        {
            let warmth = rules.cold_from
                + (1.0 - rules.cold_from) * from.as_secs_f64() / rules.cold.as_secs_f64().max(1e-9);
            let can = rules.multiple * warmth * rules.fall.as_secs_f64() / rules.work.as_secs_f64();
            let sent = sends[place..]
                .iter()
                .take_while(|at| **at <= *from + rules.fall)
                .count();
            if sent as f64 > can + 3.0 * can.sqrt() + 3.0 {
                let story = format!("{uid}: {sent} of {can:.0} from {from:?} after its start");
                broken.push(Broken {
                    rule: "a cold backend was pushed over",
                    story,
                });
                break;
            }
        }
    }
}

#[cfg(test)]
#[path = "referee_tests.rs"]
mod tests;
