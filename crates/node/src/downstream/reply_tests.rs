//! Unit tests of the answers that the node itself makes.

use super::*;
use crate::clock::MS;

#[test]
fn only_rejections_have_retry_after_and_it_is_in_whole_seconds() {
    let head = |status, retry_after: Option<&str>| LocalReplyHead {
        status,
        retry_after: retry_after.map(str::to_string),
    };
    let rejected = |retry_after| LocalReplyHead::new(LocalReply::Rejected { retry_after });
    assert_eq!(rejected(1_200 * MS), head(503, Some("2")));
    assert_eq!(rejected(0), head(503, None));
    assert_eq!(LocalReplyHead::new(LocalReply::TimedOut), head(504, None));
}
