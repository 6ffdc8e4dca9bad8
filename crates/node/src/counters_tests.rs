//! Unit tests of the text format of the counters.

use super::*;

#[test]
fn counters_are_printed_in_one_line_by_kind_and_reason() {
    let mut counters = Counters::default();
    assert_eq!(counters.to_string(), "");
    counters.add_closed(CloseReason::TimedOut);
    counters.add("answer", "200");
    counters.add("answer", "200");
    assert_eq!(counters.to_string(), "answer.200=2 closed.timed_out=1");
}
