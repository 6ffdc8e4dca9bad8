//! Unit tests of the times of hedged calls.

use super::*;

const SECOND: Nanos = 1_000 * MS;

#[test]
fn calls_are_hedged_only_after_the_list_was_unconfirmed_for_a_while() {
    let confirmed_at = 100 * SECOND;
    assert_eq!(hedge_at(confirmed_at + SECOND, confirmed_at), 104 * SECOND);
    let last_call_at = confirmed_at + 10 * SECOND;
    assert_eq!(
        hedge_at(last_call_at, confirmed_at),
        last_call_at + 1_500 * MS
    );
}
