//! Each rule as a table: one fact is changed at a time.

use kitefork_balancer::{DeduplicationScope, Idempotency};

use super::*;

const NOW: Nanos = 1_000 * MS;
const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::Cell,
    window: 300 * MS,
};

/// Makes one fact another.
type Change<Facts> = fn(&mut Facts);

fn start() -> StartFacts {
    let history = AttemptHistory {
        idempotency: KEYED,
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

fn write() -> WriteFacts {
    WriteFacts {
        answered: false,
        client_disconnected: false,
        backend_ready: true,
        abandon_at: NOW + 500 * MS,
        write_by: NOW + 100 * MS,
    }
}

#[test]
fn an_attempt_starts_unless_one_fact_forbids_it() {
    assert_eq!(may_start(NOW, &start()), Ok(()));
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
    for (wanted, change) in cases {
        let mut facts = start();
        change(&mut facts);
        assert_eq!(may_start(NOW, &facts), Err(wanted));
    }
}

#[test]
fn a_byte_is_written_unless_one_fact_forbids_it() {
    assert_eq!(
        may_write(NOW, &write())
            .map(|permit| permit.timeout_ms())
            .ok(),
        Some(500)
    );
    let cases: [(Denial, Change<WriteFacts>); 6] = [
        (Denial::Answered, |f| f.answered = true),
        (Denial::ClientDisconnected, |f| f.client_disconnected = true),
        (Denial::BackendNotReady, |f| f.backend_ready = false),
        (Denial::DeadlinePassed, |f| f.abandon_at = NOW),
        (Denial::DeadlinePassed, |f| {
            f.abandon_at = NOW + MIN_TIME_LEFT - 1;
        }),
        (Denial::WindowClosed, |f| f.write_by = NOW - 1),
    ];
    for (wanted, change) in cases {
        let mut facts = write();
        change(&mut facts);
        assert_eq!(
            may_write(NOW, &facts)
                .map(|permit| permit.timeout_ms())
                .err(),
            Some(wanted)
        );
    }
}

#[test]
fn the_timeout_is_rounded_down_and_a_late_write_is_a_violation() {
    let facts = WriteFacts {
        abandon_at: NOW + 7 * MS + 999_999,
        ..write()
    };
    assert_eq!(may_write(NOW, &facts).unwrap().timeout_ms(), 7);
    let permit = || may_write(NOW, &write()).unwrap();
    assert_eq!(permit().check(NOW + 100 * MS + MAX_WRITE_DELAY), Ok(()));
    assert_eq!(
        permit().check(NOW + 101 * MS + MAX_WRITE_DELAY),
        Err(Violation::WrittenLate)
    );
}

#[test]
fn an_answer_long_after_its_time_is_a_violation() {
    assert_eq!(check_answer(NOW + ANSWER_GRACE, NOW), Ok(()));
    assert_eq!(
        check_answer(NOW + ANSWER_GRACE + 1, NOW),
        Err(Violation::AnsweredLate)
    );
}

#[test]
fn a_rejection_is_true_only_where_a_retry_is_harmless() {
    let all = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Global,
        window: MS,
    };
    for (idempotency, may_have_been_executed, allowed) in [
        (Idempotency::Idempotent, true, true),
        (all, true, true),
        (KEYED, true, false),
        (KEYED, false, true),
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
fn a_connection_closes_only_when_nothing_is_owed_or_unread() {
    for (answer_pending, has_unread_input, wanted) in [
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
            wanted
        );
    }
}
