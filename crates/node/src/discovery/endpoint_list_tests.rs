//! Unit tests of the endpoint list.

use super::*;

fn update(all: bool, entries: &[(&str, u16, &str)]) -> EndpointUpdate {
    let entries: Vec<String> = entries
        .iter()
        .map(|(uid, port, state)| {
            format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:{port}","state":"{state}"}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"rev":1,"all":{all},"targets":[{}]}}"#,
        entries.join(",")
    );
    EndpointUpdate::parse(text.as_bytes()).unwrap()
}

fn observation_at(now: Nanos) -> StartObservation {
    StartObservation {
        now,
        wall_now_ms: 0,
        wall_at_zero: 0,
        confirmed_at: None,
    }
}

fn backend_ids(event: Event) -> Vec<u32> {
    let Event::EndpointUpdate {
        endpoints: backends,
        ..
    } = event
    else {
        panic!("{event:?}")
    };
    backends.iter().map(|b| b.id.0).collect()
}

#[test]
fn backend_keeps_its_id_and_is_disconnected_if_it_drains_moves_or_is_removed() {
    let mut endpoint_list = EndpointList::new(vec![], vec![]);
    let applied = endpoint_list.apply(
        &observation_at(0),
        &update(
            true,
            &[("a", 1, "Ready"), ("b", 2, "Ready"), ("c", 3, "Ready")],
        ),
        Freshness::Cached,
    );
    let (event, disconnect) = (applied.event, applied.disconnect);
    assert_eq!((backend_ids(event), disconnect), (vec![0, 1, 2], vec![]));
    let applied = endpoint_list.apply(
        &observation_at(0),
        &update(false, &[("b", 9, "Ready"), ("c", 3, "Terminating")]),
        Freshness::Current,
    );
    let (event, disconnect) = (applied.event, applied.disconnect);
    assert_eq!(
        (backend_ids(event), disconnect),
        (vec![1, 2], vec![BackendId(1), BackendId(2)])
    );
    assert_eq!(endpoint_list.ready_address(BackendId(1)).unwrap().port(), 9);
    assert_eq!(endpoint_list.ready_address(BackendId(2)), None);
    let disconnect = endpoint_list
        .apply(
            &observation_at(0),
            &update(true, &[("b", 9, "Ready")]),
            Freshness::Current,
        )
        .disconnect;
    assert!(disconnect.contains(&BackendId(0)) && endpoint_list.has_ready());
}

#[test]
fn endpoint_hash_depends_on_the_uid_and_not_on_the_assigned_id() {
    let hashes = |entries: &[(&str, u16, &str)]| {
        let mut endpoint_list = EndpointList::new(vec![], vec![]);
        let event = endpoint_list
            .apply(
                &observation_at(0),
                &update(true, entries),
                Freshness::Cached,
            )
            .event;
        let Event::EndpointUpdate {
            endpoints: backends,
            ..
        } = event
        else {
            panic!("{event:?}")
        };
        backends.iter().map(|b| b.hash).collect::<Vec<_>>()
    };
    let first_node = hashes(&[("s-1", 1, "Ready"), ("s-2", 2, "Ready")]);
    let second_node = hashes(&[
        ("s-0", 3, "Ready"),
        ("s-2", 2, "Ready"),
        ("s-1", 1, "Ready"),
    ]);
    assert_eq!(
        (first_node[0], first_node[1]),
        (second_node[2], second_node[1])
    );
    assert!(first_node[0] != first_node[1] && !first_node.contains(&second_node[0]));
}

#[test]
fn removed_backends_are_forgotten_after_a_while_and_their_ids_are_not_reused() {
    let mut endpoint_list = EndpointList::new(vec![], vec![]);
    let mut assigned_ids = Vec::new();
    for second in 0..1000 {
        let uid = format!("s-{second}");
        let event = endpoint_list
            .apply(
                &observation_at(second * SECOND),
                &update(true, &[(&uid, 1, "Ready")]),
                Freshness::Current,
            )
            .event;
        assigned_ids.extend(backend_ids(event));
        assert!(
            endpoint_list.endpoints.len() <= 62
                && endpoint_list.ids.len() == endpoint_list.endpoints.len()
        );
    }
    assigned_ids.dedup();
    assert!(assigned_ids.is_sorted() && assigned_ids.len() == 1000);
    // A uid that is listed again within the retention time keeps its ID; a uid that is listed again
    // after that gets a new ID.
    let mut relist = |uid| {
        backend_ids(
            endpoint_list
                .apply(
                    &observation_at(1000 * SECOND),
                    &update(true, &[(uid, 1, "Ready")]),
                    Freshness::Current,
                )
                .event,
        )
    };
    assert_eq!((relist("s-990"), relist("s-3")), (vec![990], vec![1000]));
}
