//! Unit tests of the endpoint list.

use super::*;
use crate::event::Outcome;
use crate::test_support::{endpoint, endpoints, record};

fn draining(id: u32) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining,
        ..endpoint(id)
    }
}

#[test]
fn a_full_list_removes_what_it_does_not_name_and_a_delta_does_not() {
    let mut list = endpoints(3);
    let left = list.apply(UpdateKind::Delta, vec![draining(1)], record);
    assert_eq!(left, [BackendId(1)]);
    assert_eq!(
        list.ready().map(EndpointRecord::id).collect::<Vec<_>>(),
        [BackendId(0), BackendId(2)]
    );
    let left = list.apply(UpdateKind::Full, vec![endpoint(0)], record);
    assert_eq!(left, [BackendId(1), BackendId(2)]);
    assert_eq!((list.len(), list.is_ready(BackendId(0))), (1, true));
}

#[test]
fn a_removed_backend_stays_until_its_last_attempt_has_ended() {
    let mut list = endpoints(2);
    list.get_mut(BackendId(1)).unwrap().load.on_sent(5);
    list.apply(UpdateKind::Full, vec![endpoint(0)], record);
    assert!(list.get(BackendId(1)).is_some() && !list.is_ready(BackendId(1)));
    list.get_mut(BackendId(1)).unwrap().load.on_ended(5);
    list.apply(UpdateKind::Delta, vec![], record);
    assert!(list.get(BackendId(1)).is_none());
}

#[test]
fn a_new_process_starts_with_nothing_known_of_the_old_one() {
    let mut list = endpoints(1);
    let known = list.get_mut(BackendId(0)).unwrap();
    known.service_times.on_ended(Outcome::Success, 0.1, 0.0);
    known.load.on_sent(5);
    let same = Endpoint {
        weight: 2.0,
        ..endpoint(0)
    };
    list.apply(UpdateKind::Delta, vec![same], record);
    assert!(
        list.get(BackendId(0))
            .unwrap()
            .service_times
            .has_completions()
    );
    let restarted = Endpoint {
        started_at: Some(9),
        ..endpoint(0)
    };
    list.apply(UpdateKind::Delta, vec![restarted], record);
    let known = list.get(BackendId(0)).unwrap();
    assert!(!known.service_times.has_completions() && known.load.in_flight() == 1.0);
}
