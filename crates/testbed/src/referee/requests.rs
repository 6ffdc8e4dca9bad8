//! Rules for the requests of well-behaved clients.

use std::time::Duration;

use kitefork_standin::backend::{Attempt, AttemptOutcome};
use kitefork_standin::clients::{ClientOutcome, Idempotency, RequestRecord};

use super::{OBSERVATION_DELAY, Records, Rule, Rules};
use crate::node::Incarnation;

/// Maximum by which the remaining time that a backend is sent may exceed that of the client.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);
/// A request that is sent at least this long after SIGTERM is excused if the process ends without
/// answering it.
const SHUTDOWN_NOTICE_TIME: Duration = Duration::from_millis(700);

/// Returns the rules that the outcome and the attempts of a request break.
pub(super) fn broken_rules(
    rules: &Rules,
    records: &Records,
    record: &RequestRecord,
    attempts: &[&Attempt],
) -> Vec<Rule> {
    let mut broken = Vec::new();
    broken.extend(wrong_answer(record, attempts));
    broken.extend(missing_or_late_answer(rules, records, record));
    broken.extend(concurrent_attempts(attempts));
    broken.extend(forbidden_repeats(
        rules,
        record.request.idempotency,
        attempts,
    ));
    broken.extend(excessive_remaining_time(records, record, attempts));
    broken.extend(changed_body(attempts));
    broken
}

/// Whether a backend may have executed the attempt. An overloaded backend rejects it unexecuted.
fn may_have_executed(attempt: &Attempt) -> bool {
    attempt.outcome != AttemptOutcome::Overloaded
}

/// Checks that an answer 200 is a backend's answer to the request, and that a request is not
/// rejected if it may have been executed and is not idempotent.
fn wrong_answer(record: &RequestRecord, attempts: &[&Attempt]) -> Option<Rule> {
    let ClientOutcome::Answered { status, body } = &record.outcome else {
        return None;
    };
    match status {
        200 => {
            let is_source = |attempt: &&Attempt| {
                attempt.outcome == AttemptOutcome::Served
                    && *body == format!("{}:{}", attempt.uid, attempt.txn)
            };
            (!attempts.iter().any(is_source)).then_some(Rule::AnswerOfNoBackend)
        }
        429 | 503 => {
            let is_idempotent = record.request.idempotency == Idempotency::Idempotent;
            let executed = attempts.iter().any(|attempt| may_have_executed(attempt));
            (!is_idempotent && executed).then_some(Rule::RejectedThoughExecuted)
        }
        _ => None,
    }
}

/// Checks that a final answer arrives in time, unless an event at the node excuses its absence or
/// delay.
fn missing_or_late_answer(
    rules: &Rules,
    records: &Records,
    record: &RequestRecord,
) -> Option<Rule> {
    let end = record.request.planned + record.request.client_timeout + rules.answer_slack;
    let broken_rule = match record.outcome {
        ClientOutcome::Answered { .. } if record.ended > end + OBSERVATION_DELAY => {
            Rule::AnsweredTooLate
        }
        ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => Rule::NeverAnswered,
        ClientOutcome::Answered { .. } | ClientOutcome::Unreachable => return None,
    };
    (!is_excused(records, record, end)).then_some(broken_rule)
}

/// Whether the request's node was killed or paused during the request. A request that was sent
/// [`SHUTDOWN_NOTICE_TIME`] after SIGTERM or later is also excused if the node ended during it.
fn is_excused(records: &Records, record: &RequestRecord, end: Duration) -> bool {
    let planned = record.request.planned;
    let node_ended = records
        .incarnations
        .iter()
        .filter(|incarnation| incarnation.node == record.node)
        .any(|incarnation| ended_during_request(incarnation, planned, end));
    let node_paused = records
        .pauses
        .iter()
        .any(|pause| pause.node == record.node && pause.from <= end && pause.until >= planned);
    node_ended || node_paused
}

/// Whether the process was killed during a request. For a request that was sent
/// [`SHUTDOWN_NOTICE_TIME`] after SIGTERM or later: also whether the process ended during it.
fn ended_during_request(incarnation: &Incarnation, planned: Duration, end: Duration) -> bool {
    let Some(signal) = incarnation.stop_signal else {
        return false;
    };
    let is_during_request = |at: Duration| planned <= at + OBSERVATION_DELAY && at <= end;
    let killed = signal.is_kill && is_during_request(signal.at);
    let sent_after_notice = planned + OBSERVATION_DELAY > signal.at + SHUTDOWN_NOTICE_TIME;
    let ended = incarnation
        .exit
        .is_some_and(|exit| is_during_request(exit.at));
    killed || sent_after_notice && ended
}

/// Checks that the attempts of a request do not overlap.
fn concurrent_attempts(attempts: &[&Attempt]) -> Option<Rule> {
    let overlaps = |pair: &[&Attempt]| pair[0].ended > pair[1].arrived + OBSERVATION_DELAY;
    attempts
        .windows(2)
        .any(overlaps)
        .then_some(Rule::ConcurrentAttempts)
}

/// Checks that, once an attempt may have been executed, the idempotency of the request allows all
/// later attempts.
fn forbidden_repeats(rules: &Rules, idempotency: Idempotency, attempts: &[&Attempt]) -> Vec<Rule> {
    let first_position = attempts
        .iter()
        .position(|attempt| may_have_executed(attempt));
    let Some(index) = first_position else {
        return Vec::new();
    };
    let (first, later) = (attempts[index], &attempts[index + 1..]);
    let mut broken = Vec::new();
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NotIdempotent => {
            if !later.is_empty() {
                broken.push(Rule::RepeatedNotIdempotent);
            }
        }
        Idempotency::IdempotencyKey => {
            if later.iter().any(|attempt| attempt.cell != first.cell) {
                broken.push(Rule::KeyLeftCell);
            }
            let end = first.arrived + rules.key_window + OBSERVATION_DELAY;
            if later.iter().any(|attempt| attempt.arrived > end) {
                broken.push(Rule::KeyAfterWindow);
            }
        }
    }
    broken
}

/// Checks that the remaining time that a backend is sent is at most that of the client, with slack.
fn excessive_remaining_time(
    records: &Records,
    record: &RequestRecord,
    attempts: &[&Attempt],
) -> Option<Rule> {
    let deadline = record.request.planned + record.request.client_timeout;
    let is_excessive = |attempt: &&Attempt| {
        let sent = earliest_send_time(records, record, attempt);
        let client_remaining = deadline.saturating_sub(sent);
        let limit = client_remaining + REMAINING_TIME_SLACK + OBSERVATION_DELAY;
        attempt
            .remaining_time
            .is_some_and(|remaining| remaining > limit)
    };
    attempts
        .iter()
        .any(is_excessive)
        .then_some(Rule::RemainingTimeTooLong)
}

/// Checks that backends get the body that the client has sent.
fn changed_body(attempts: &[&Attempt]) -> Option<Rule> {
    let is_changed = |attempt: &&Attempt| attempt.has_changed_body;
    attempts.iter().any(is_changed).then_some(Rule::BodyChanged)
}

/// Earliest time at which an attempt can have been sent: its arrival, unless the link to the
/// backend was cut until then; in that case the start of the cut or, if later, of the request.
fn earliest_send_time(records: &Records, record: &RequestRecord, attempt: &Attempt) -> Duration {
    let held_back = records.backend_cuts.iter().find(|cut| {
        cut.uid == attempt.uid
            && cut.from <= attempt.arrived
            && attempt.arrived <= cut.until.saturating_add(OBSERVATION_DELAY)
    });
    held_back.map_or(attempt.arrived, |cut| {
        cut.from.max(record.request.planned).min(attempt.arrived)
    })
}
