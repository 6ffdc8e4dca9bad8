//! Tests of the counters' text.

use super::*;

#[test]
fn counts_stand_in_one_line_by_kind_and_reason() {
    let mut counters = Counters::default();
    assert_eq!(counters.to_string(), "");
    counters.closed(CloseReason::TimedOut);
    counters.add("answer", "200");
    counters.add("answer", "200");
    assert_eq!(counters.to_string(), "answer.200=2 closed.timed_out=1");
}
