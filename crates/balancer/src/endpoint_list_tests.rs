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
fn full_list_removes_unlisted_backends_and_a_delta_does_not() {
    let mut list = endpoints(3);
    let no_longer_ready = list.apply(UpdateKind::Delta, vec![draining(1)], record);
    assert_eq!(no_longer_ready, [BackendId(1)]);
    assert_eq!(
        list.ready().map(EndpointRecord::id).collect::<Vec<_>>(),
        [BackendId(0), BackendId(2)]
    );
    let no_longer_ready = list.apply(UpdateKind::Full, vec![endpoint(0)], record);
    assert_eq!(no_longer_ready, [BackendId(1), BackendId(2)]);
    assert_eq!((list.len(), list.is_ready(BackendId(0))), (1, true));
}

#[test]
fn removed_backend_stays_until_its_last_attempt_has_ended() {
    let mut list = endpoints(2);
    list.get_mut(BackendId(1)).unwrap().load.on_sent(5);
    list.apply(UpdateKind::Full, vec![endpoint(0)], record);
    assert!(list.get(BackendId(1)).is_some() && !list.is_ready(BackendId(1)));
    list.get_mut(BackendId(1)).unwrap().load.on_ended(5);
    list.apply(UpdateKind::Delta, vec![], record);
    assert!(list.get(BackendId(1)).is_none());
}

#[test]
fn new_process_starts_without_the_statistics_of_the_old_one() {
    let mut list = endpoints(1);
    let backend = list.get_mut(BackendId(0)).unwrap();
    backend.service_times.on_ended(Outcome::Success, 0.1, 0.0);
    backend.load.on_sent(5);
    let same_process = Endpoint {
        weight: 2.0,
        ..endpoint(0)
    };
    list.apply(UpdateKind::Delta, vec![same_process], record);
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
    let backend = list.get(BackendId(0)).unwrap();
    assert!(!backend.service_times.has_completions() && backend.load.in_flight() == 1.0);
}
