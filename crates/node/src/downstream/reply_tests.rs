//! Unit tests of the answers that the node itself makes.

use super::*;
use crate::clock::MS;

#[test]
fn retry_after_is_in_whole_seconds_and_only_in_rejections_with_a_delay() {
    let head = |status, retry_after: Option<&str>| LocalReplyHead {
        status,
        retry_after: retry_after.map(str::to_string),
    };
    let rejected = |retry_after| LocalReplyHead::new(LocalReply::Rejected { retry_after });
    assert_eq!(rejected(1_200 * MS), head(503, Some("2")));
    assert_eq!(rejected(0), head(503, None));
    assert_eq!(LocalReplyHead::new(LocalReply::TimedOut), head(504, None));
}
