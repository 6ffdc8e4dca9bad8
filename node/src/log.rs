//! Log lines: one stable word for each kind of event, then its details. Each kind is limited, so that a storm
//! neither fills the disk nor costs the CPU that reqs need.

use std::collections::BTreeMap;

use kitefork::Nanos;

use crate::clock::SECOND;

const WINDOW: Nanos = 10 * SECOND;
const MOST: u32 = 10;

#[derive(Default)]
pub struct Log {
    kinds: BTreeMap<&'static str, (Nanos, u32)>,
}

impl Log {
    pub fn line(&mut self, now: Nanos, kind: &'static str, details: impl std::fmt::Display) {
        if let Some(held_back) = self.admit(now, kind) {
            let more = if held_back > 0 { format!(" held_back={held_back}") } else { String::new() };
            eprintln!("kitefork: {kind} {details}{more}");
        }
    }

    /// Whether a line may go out, and how many of its kind were held back before it.
    fn admit(&mut self, now: Nanos, kind: &'static str) -> Option<u32> {
        let (since, count) = self.kinds.entry(kind).or_insert((now, 0));
        let held_back = if now >= *since + WINDOW {
            let over = count.saturating_sub(MOST);
            (*since, *count) = (now, 0);
            over
        } else {
            0
        };
        *count = count.saturating_add(1);
        (*count <= MOST).then_some(held_back)
    }
}

#[test]
fn a_storm_of_one_kind_is_held_back_and_counted() {
    let mut log = Log::default();
    let shown = (0..100).filter(|_| log.admit(SECOND, "a").is_some()).count();
    assert_eq!((shown, log.admit(SECOND, "b")), (MOST as usize, Some(0)));
    assert_eq!(log.admit(SECOND + WINDOW, "a"), Some(90));
}
