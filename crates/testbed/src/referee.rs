//! The rules, judged on the ledgers alone.

use std::collections::BTreeMap;
use std::time::Duration;

use kitefork_standin::backend::{Attempt, AttemptOutcome};
use kitefork_standin::clients::{ClientOutcome, Idempotency, RequestRecord};
use kitefork_standin::discovery::{Endpoint, Notification};
use kitefork_standin::misbehaving::{Behaviour, MisbehavingRecord};

use crate::node::Incarnation;

/// What a stand-in notices late, on a machine that is busy: it reads that a connection is closed
/// only when its turn comes.
const LATE: Duration = Duration::from_millis(150);

/// Slack of the time that a backend is told.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin this long after its client has left.
const DISCONNECTED_SLACK: Duration = Duration::from_millis(100);
/// Within this a client that stops in the middle of a request gets an error or a close.
const MISBEHAVING_CLIENT_LIMIT: Duration = Duration::from_secs(3);

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
    pub slow_start_from: f64,
    /// See above.
    pub slow_start: Duration,
    /// Mean work of a request.
    pub work: Duration,
}

/// All that is judged.
#[derive(Default)]
pub struct Records {
    /// Of the clients.
    pub asked: Vec<RequestRecord>,
    /// Of the clients that don't behave.
    pub misbehaving: Vec<MisbehavingRecord>,
    /// Of the backends.
    pub attempts: Vec<Attempt>,
    /// Of the list service: what it wrote to whom, and its changes by version.
    pub told: Vec<Notification>,
    /// See above.
    pub changes: Vec<(u64, Duration, Endpoint)>,
    /// Of the processes.
    pub incarnations: Vec<Incarnation>,
    /// Spans in which a node stood still.
    pub stopped: Vec<(usize, Duration, Duration)>,
    /// Starts of backends.
    pub starts: Vec<(String, Duration)>,
}

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: &'static str,
    /// The request, node or backend and its times.
    pub details: String,
}

fn ran(attempt: &Attempt) -> bool {
    attempt.end != AttemptOutcome::Overloaded
}

/// Everything that broke a rule.
pub fn judge(rules: &Rules, records: &Records) -> Vec<Violation> {
    let mut tries: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &records.attempts {
        tries.entry(&attempt.txn).or_default().push(attempt);
    }
    tries
        .values_mut()
        .for_each(|tries| tries.sort_by_key(|attempt| attempt.arrived));
    let mut broken = Vec::new();
    for asked in &records.asked {
        let tries = tries
            .get(asked.request.txn.as_str())
            .map_or(&[][..], |tries| &tries[..]);
        let mut tell = |rule| {
            broken.push(Violation {
                rule,
                details: format!("{asked:?}; {tries:?}"),
            })
        };
        answer(rules, records, asked, tries, &mut tell);
        repeats(rules, asked.request.idempotency, tries, &mut tell);
        deadlines(
            asked.request.planned + asked.request.client_timeout,
            tries,
            &mut tell,
        );
    }
    for asked in &records.misbehaving {
        let tries = tries
            .get(asked.request.txn.as_str())
            .map_or(&[][..], |tries| &tries[..]);
        let mut tell = |rule| {
            broken.push(Violation {
                rule,
                details: format!("{asked:?}; {tries:?}"),
            })
        };
        misbehaving_client(records, asked, tries, &mut tell);
    }
    drains(rules, records, &mut broken);
    slow_start(rules, records, &mut broken);
    for incarnation in &records.incarnations {
        let unasked = incarnation.ended.filter(|_| incarnation.told.is_none());
        let badly = incarnation
            .ended
            .filter(|(_, code)| incarnation.told.is_some_and(|told| !told.1) && *code != Some(0));
        if let Some(end) = unasked.or(badly) {
            broken.push(Violation {
                rule: "a node ended by itself or badly",
                details: format!("{incarnation:?} {end:?}"),
            });
        }
    }
    broken
}

/// One final answer for each request, in time, made by a backend for it.
fn answer(
    rules: &Rules,
    records: &Records,
    asked: &RequestRecord,
    tries: &[&Attempt],
    tell: &mut impl FnMut(&'static str),
) {
    let end = asked.request.planned + asked.request.client_timeout + rules.slack;
    let excused = excuse(records, asked, end);
    match &asked.answer {
        ClientOutcome::Answered(200, body) => {
            let made = |a: &&&Attempt| {
                a.end == AttemptOutcome::Served && *body == format!("{}:{}", a.uid, a.txn)
            };
            if tries.iter().find(made).is_none() {
                tell("served with something that no backend made for it");
            }
        }
        ClientOutcome::Answered(429 | 503, _) => {
            if asked.request.idempotency != Idempotency::Idempotent
                && tries.iter().any(|attempt| ran(attempt))
            {
                tell("refused though it may have run");
            }
        }
        ClientOutcome::Answered(..) | ClientOutcome::Unreachable => {}
        ClientOutcome::ConnectionLost | ClientOutcome::TimedOut if excused => {}
        ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => tell("never answered"),
    }
    if matches!(asked.answer, ClientOutcome::Answered(..)) && asked.ended > end + LATE && !excused {
        tell("answered too late");
    }
}

/// Its node was killed, told to end some time before, or stood still while the request was there.
fn excuse(records: &Records, asked: &RequestRecord, end: Duration) -> bool {
    let there = |at: Duration| asked.request.planned <= at + LATE && at <= end;
    let died = records
        .incarnations
        .iter()
        .filter(|incarnation| incarnation.node == asked.node)
        .any(|incarnation| {
            let killed = incarnation.told.is_some_and(|(at, kill)| kill && there(at));
            // Requests that came long after SIGTERM, to a process that has ended since.
            let late = incarnation.told.is_some_and(|(at, _)| {
                asked.request.planned + LATE > at + Duration::from_millis(700)
            });
            killed || late && incarnation.ended.is_some_and(|(at, _)| there(at))
        });
    let still = |stop: &&(usize, Duration, Duration)| {
        stop.0 == asked.node && stop.1 <= end && stop.2 >= asked.request.planned
    };
    died || records.stopped.iter().find(still).is_some()
}

/// One attempt at a time, and none after one that may have run but as the class allows.
fn repeats(
    rules: &Rules,
    idempotency: Idempotency,
    tries: &[&Attempt],
    tell: &mut impl FnMut(&'static str),
) {
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
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NotIdempotent if later.is_empty() => {}
        Idempotency::NotIdempotent => tell("an unsafe request went out again"),
        Idempotency::IdempotencyKey => {
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
            .is_some_and(|told| told > left + REMAINING_TIME_SLACK + LATE)
    };
    if tries.iter().find(over).is_some() {
        tell("a backend was told more time than the client has left");
    }
}

/// What is owed to clients that don't behave.
fn misbehaving_client(
    records: &Records,
    asked: &MisbehavingRecord,
    tries: &[&Attempt],
    tell: &mut impl FnMut(&'static str),
) {
    let Some(connected) = asked.connected else {
        return;
    };
    let after = |left: Duration| {
        tries
            .iter()
            .any(|attempt| attempt.arrived > left + DISCONNECTED_SLACK + LATE)
    };
    if asked.left.is_some_and(after) {
        tell("an attempt began after its client had left");
    }
    let client_timeout = asked.request.client_timeout.max(MISBEHAVING_CLIENT_LIMIT);
    let end = asked.sent.max(connected) + client_timeout;
    let disturbed = records
        .incarnations
        .iter()
        .filter(|incarnation| incarnation.node == asked.node)
        .any(|incarnation| {
            let near = |at: Duration| at + client_timeout >= connected && at <= end + LATE;
            incarnation.told.is_some_and(|told| near(told.0))
                || incarnation.ended.is_some_and(|ended| near(ended.0))
        });
    let still = |stop: &(usize, Duration, Duration)| {
        stop.0 == asked.node && stop.1 <= end + LATE && stop.2 + LATE >= connected
    };
    if disturbed || records.stopped.iter().any(still) {
        return;
    }
    match asked.request.behaviour {
        Behaviour::HalfCloses | Behaviour::Trickles | Behaviour::Pipelines
            if asked.answers == 0 =>
        {
            tell("a request that was read was never answered");
        }
        Behaviour::StopsMidway
            if asked
                .ended
                .is_none_or(|at| at > asked.sent + MISBEHAVING_CLIENT_LIMIT + LATE) =>
        {
            tell("a client that stopped midway got neither error nor close in time");
        }
        _ => {}
    }
}

/// Nothing new to a backend that a node has been told drains or is gone, after the grace.
fn drains(rules: &Rules, records: &Records, broken: &mut Vec<Violation>) {
    let nodes: BTreeMap<&str, usize> = records
        .asked
        .iter()
        .map(|asked| (asked.request.txn.as_str(), asked.node))
        .collect();
    let mut told: BTreeMap<usize, Vec<&Notification>> = BTreeMap::new();
    records
        .told
        .iter()
        .for_each(|news| told.entry(news.node).or_default().push(news));
    let mut by_uid: BTreeMap<&str, Vec<&(u64, Duration, Endpoint)>> = BTreeMap::new();
    records
        .changes
        .iter()
        .for_each(|change| by_uid.entry(&change.2.uid).or_default().push(change));
    for attempt in &records.attempts {
        let (Some(node), Some(changes)) = (
            nodes.get(attempt.txn.as_str()),
            by_uid.get(attempt.uid.as_str()),
        ) else {
            continue;
        };
        // What the node had been told a grace before the attempt came.
        let before = attempt.arrived.saturating_sub(rules.grace + LATE);
        let revision = told
            .get(node)
            .into_iter()
            .flatten()
            .filter(|n| n.at <= before)
            .map(|n| n.revision)
            .max();
        let known = changes
            .iter()
            .rev()
            .find(|change| Some(change.0) <= revision);
        // It may have been told since that the backend is back; what came after the attempt says
        // nothing of it.
        let last = changes
            .iter()
            .rev()
            .find(|change| change.1 <= attempt.arrived);
        let is_back = last.is_some_and(|change| change.2.state == "Ready");
        if known.is_some_and(|change| change.2.state != "Ready") && !is_back {
            broken.push(Violation {
                rule: "sent after a drain was told",
                details: format!("node {node}: {attempt:?}"),
            });
        }
    }
}

/// What all nodes together send a cold backend stays within its budget.
fn slow_start(rules: &Rules, records: &Records, broken: &mut Vec<Violation>) {
    for (uid, started) in &records.starts {
        let at = |attempt: &&Attempt| attempt.uid == *uid && attempt.arrived >= *started;
        let mut sends: Vec<Duration> = records
            .attempts
            .iter()
            .filter(at)
            .map(|a| a.arrived - *started)
            .collect();
        sends.sort_unstable();
        for (place, from) in sends
            .iter()
            .enumerate()
            .take_while(|(_, from)| **from < rules.slow_start)
        {
            let slow_start_fraction = rules.slow_start_from
                + (1.0 - rules.slow_start_from) * from.as_secs_f64()
                    / rules.slow_start.as_secs_f64().max(1e-9);
            let can = rules.multiple * slow_start_fraction * rules.fall.as_secs_f64()
                / rules.work.as_secs_f64();
            let sent = sends[place..]
                .iter()
                .take_while(|at| **at <= *from + rules.fall)
                .count();
            if sent as f64 > can + 3.0 * can.sqrt() + 3.0 {
                let details = format!("{uid}: {sent} of {can:.0} from {from:?} after its start");
                broken.push(Violation {
                    rule: "a cold backend was pushed over",
                    details,
                });
                break;
            }
        }
    }
}

#[cfg(test)]
#[path = "referee_tests.rs"]
mod tests;
