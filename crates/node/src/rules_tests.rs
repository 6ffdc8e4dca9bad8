//! Unit tests of the protocol rules. For the start and the write of an attempt, each case changes
//! the facts of an allowed action so that a rule forbids it.

use kitefork_balancer::{DeduplicationScope, Idempotency};

use super::*;

const NOW: Nanos = 1_000 * MS;
const CELL_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::Cell,
    window: 300 * MS,
};

/// Changes the facts so that a rule forbids the action.
type Change<Facts> = fn(&mut Facts);

fn start_facts() -> StartFacts {
    let history = AttemptHistory {
        idempotency: CELL_KEY,
        attempts: 1,
        in_flight: 0,
        may_have_been_executed: true,
        write_by: NOW + 100 * MS,
    };
    StartFacts {
        answered: false,
        deadline: NOW + 500 * MS,
        max_attempts: 3,
        history,
    }
}

fn write_facts() -> WriteFacts {
    WriteFacts {
        answered: false,
        client: ClientState::Connected,
        backend_ready: true,
        unread: Unread::Nothing,
        abandon_at: NOW + 500 * MS,
        write_by: NOW + 100 * MS,
    }
}

#[test]
fn each_denial_alone_prevents_starting_an_attempt() {
    assert_eq!(may_start(NOW, &start_facts()), Ok(()));
    let cases: [(Denial, Change<StartFacts>); 7] = [
        (Denial::Answered, |f| f.answered = true),
        (Denial::DeadlinePassed, |f| f.deadline = NOW),
        (Denial::AttemptInFlight, |f| f.history.in_flight = 1),
        (Denial::AttemptsExhausted, |f| f.history.attempts = 3),
        (Denial::MayHaveBeenExecuted, |f| {
            f.history.idempotency = Idempotency::NotIdempotent;
        }),
        (Denial::WindowClosed, |f| f.history.write_by = NOW - 1),
        (Denial::AttemptInFlight, |f| {
            (f.history.in_flight, f.history.idempotency) = (1, Idempotency::Idempotent);
        }),
    ];
    for (expected, change) in cases {
        let mut facts = start_facts();
        change(&mut facts);
        assert_eq!(may_start(NOW, &facts), Err(expected));
    }
}

#[test]
fn each_denial_alone_prevents_writing_an_attempt() {
    assert_eq!(
        may_write(NOW, &write_facts())
            .map(|permit| permit.timeout_ms())
            .ok(),
        Some(500)
    );
    let cases: [(Denial, Change<WriteFacts>); 8] = [
        (Denial::Answered, |f| f.answered = true),
        (Denial::ClientDisconnected, |f| {
            f.client = ClientState::Disconnected;
        }),
        (Denial::ClientStateUnknown, |f| {
            f.client = ClientState::Unknown;
        }),
        (Denial::BackendNotReady, |f| f.backend_ready = false),
        (Denial::UnexpectedBytes, |f| f.unread = Unread::Bytes),
        (Denial::DeadlinePassed, |f| f.abandon_at = NOW),
        (Denial::DeadlinePassed, |f| {
            f.abandon_at = NOW + MIN_TIME_LEFT - 1;
        }),
        (Denial::WindowClosed, |f| f.write_by = NOW - 1),
    ];
    for (expected, change) in cases {
        let mut facts = write_facts();
        change(&mut facts);
        assert_eq!(
            may_write(NOW, &facts)
                .map(|permit| permit.timeout_ms())
                .err(),
            Some(expected)
        );
    }
}

#[test]
fn timeout_of_an_attempt_is_rounded_down_to_ms_and_its_late_write_is_a_violation() {
    let facts = WriteFacts {
        abandon_at: NOW + 7 * MS + 999_999,
        ..write_facts()
    };
    assert_eq!(may_write(NOW, &facts).unwrap().timeout_ms(), 7);
    let permit = || may_write(NOW, &write_facts()).unwrap();
    assert_eq!(permit().check(NOW + 100 * MS + MAX_WRITE_DELAY), Ok(()));
    assert_eq!(
        permit().check(NOW + 101 * MS + MAX_WRITE_DELAY),
        Err(Violation::WrittenLate)
    );
}

#[test]
fn answer_later_than_the_grace_after_the_client_deadline_is_a_violation() {
    assert_eq!(check_answer(NOW + ANSWER_GRACE, NOW), Ok(()));
    assert_eq!(
        check_answer(NOW + ANSWER_GRACE + 1, NOW),
        Err(Violation::AnsweredLate)
    );
}

#[test]
fn a_rejection_is_allowed_only_if_a_retry_is_harmless() {
    let global_key = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Global,
        window: MS,
    };
    for (idempotency, may_have_been_executed, allowed) in [
        (Idempotency::Idempotent, true, true),
        (global_key, true, true),
        (CELL_KEY, true, false),
        (CELL_KEY, false, true),
        (Idempotency::NotIdempotent, true, false),
        (Idempotency::NotIdempotent, false, true),
    ] {
        assert_eq!(
            may_reject(idempotency, may_have_been_executed).is_ok(),
            allowed,
            "{idempotency:?} {may_have_been_executed}"
        );
    }
}

#[test]
fn client_connection_is_not_closed_while_an_answer_is_pending_or_input_is_unread() {
    for (answer_pending, has_unread_input, expected) in [
        (false, false, None),
        (true, false, Some(Denial::AnswerPending)),
        (true, true, Some(Denial::AnswerPending)),
        (false, true, Some(Denial::UnreadInput)),
    ] {
        assert_eq!(
            may_close(CloseFacts {
                answer_pending,
                has_unread_input
            })
            .err(),
            expected
        );
    }
}
