//! Rules for the requests of misbehaving clients.

use std::time::Duration;

use kitefork_standin::backend::Attempt;
use kitefork_standin::misbehaving::{Behaviour, MisbehavingRecord};

use super::{OBSERVATION_DELAY, Records, Rule};

/// Time after a client's disconnect in which an attempt for the client's request may still begin.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Time within which a client that stops in the middle of a request must get an error, or its
/// connection must be closed.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the rules that were broken for a misbehaving client.
pub(super) fn broken_rules(
    records: &Records,
    record: &MisbehavingRecord,
    attempts: &[&Attempt],
) -> Vec<Rule> {
    let Some(connected) = record.connected else {
        return Vec::new();
    };
    let mut broken = Vec::new();
    let any_attempt_after = |disconnected: Duration| {
        let latest = disconnected + DISCONNECT_SLACK + OBSERVATION_DELAY;
        attempts.iter().any(|attempt| attempt.arrived > latest)
    };
    if record.disconnected.is_some_and(any_attempt_after) {
        broken.push(Rule::AttemptAfterDisconnect);
    }
    if !is_excused(records, record, connected) {
        broken.extend(missing_answer(record));
    }
    broken
}

/// Whether the client's node got SIGTERM or SIGKILL, ended, or was paused around the time of the
/// client's connection.
fn is_excused(records: &Records, record: &MisbehavingRecord, connected: Duration) -> bool {
    let wait = record.request.client_timeout.max(PARTIAL_REQUEST_TIMEOUT);
    let end = record.sent.max(connected) + wait;
    let is_near = |at: Duration| at + wait >= connected && at <= end + OBSERVATION_DELAY;
    let node_ended = records
        .incarnations
        .iter()
        .filter(|incarnation| incarnation.node == record.node)
        .any(|incarnation| {
            let signal = incarnation.stop_signal.map(|signal| signal.at);
            let exit = incarnation.exit.map(|exit| exit.at);
            signal.is_some_and(is_near) || exit.is_some_and(is_near)
        });
    let node_paused = records.pauses.iter().any(|pause| {
        pause.node == record.node
            && pause.from <= end + OBSERVATION_DELAY
            && pause.until.saturating_add(OBSERVATION_DELAY) >= connected
    });
    node_ended || node_paused
}

fn missing_answer(record: &MisbehavingRecord) -> Option<Rule> {
    match record.request.behaviour {
        Behaviour::HalfCloses | Behaviour::Trickles | Behaviour::Pipelines => {
            (record.answers == 0).then_some(Rule::ReadButNotAnswered)
        }
        Behaviour::StopsMidway => {
            let latest = record.sent + PARTIAL_REQUEST_TIMEOUT + OBSERVATION_DELAY;
            let in_time = record.ended.is_some_and(|ended| ended <= latest);
            (!in_time).then_some(Rule::HalfRequestIgnored)
        }
        Behaviour::Disconnects(_) | Behaviour::Silent => None,
    }
}
