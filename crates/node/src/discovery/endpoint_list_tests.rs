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

fn at(now: Nanos) -> StartObservation {
    StartObservation {
        now,
        wall_now_ms: 0,
        wall_at_zero: 0,
        confirmed: None,
    }
}

fn ids(event: Event) -> Vec<u32> {
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
fn a_uid_keeps_its_number_and_connections_end_where_a_backend_leaves_or_moves() {
    let mut endpoint_list = EndpointList::new(vec![], vec![]);
    let applied = endpoint_list.apply(
        &at(0),
        &update(
            true,
            &[("a", 1, "Ready"), ("b", 2, "Ready"), ("c", 3, "Ready")],
        ),
        Freshness::Cached,
    );
    let (event, ends) = (applied.event, applied.disconnect);
    assert_eq!((ids(event), ends), (vec![0, 1, 2], vec![]));
    let applied = endpoint_list.apply(
        &at(0),
        &update(false, &[("b", 9, "Ready"), ("c", 3, "Terminating")]),
        Freshness::Current,
    );
    let (event, ends) = (applied.event, applied.disconnect);
    assert_eq!(
        (ids(event), ends),
        (vec![1, 2], vec![BackendId(1), BackendId(2)])
    );
    assert_eq!(endpoint_list.ready_address(BackendId(1)).unwrap().port(), 9);
    assert_eq!(endpoint_list.ready_address(BackendId(2)), None);
    let ends = endpoint_list
        .apply(
            &at(0),
            &update(true, &[("b", 9, "Ready")]),
            Freshness::Current,
        )
        .disconnect;
    assert!(ends.contains(&BackendId(0)) && endpoint_list.has_ready());
}

#[test]
fn a_uid_has_the_same_mark_at_every_node_whatever_its_number() {
    let marks = |entries: &[(&str, u16, &str)]| {
        let mut endpoint_list = EndpointList::new(vec![], vec![]);
        let event = endpoint_list
            .apply(&at(0), &update(true, entries), Freshness::Cached)
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
    let here = marks(&[("s-1", 1, "Ready"), ("s-2", 2, "Ready")]);
    let there = marks(&[
        ("s-0", 3, "Ready"),
        ("s-2", 2, "Ready"),
        ("s-1", 1, "Ready"),
    ]);
    assert_eq!((here[0], here[1]), (there[2], there[1]));
    assert!(here[0] != here[1] && !here.contains(&there[0]));
}

#[test]
fn a_day_of_new_uids_is_forgotten_again_and_no_number_is_given_twice() {
    let mut endpoint_list = EndpointList::new(vec![], vec![]);
    let mut numbers = Vec::new();
    for second in 0..1000 {
        let uid = format!("s-{second}");
        let event = endpoint_list
            .apply(
                &at(second * SECOND),
                &update(true, &[(&uid, 1, "Ready")]),
                Freshness::Current,
            )
            .event;
        numbers.extend(ids(event));
        assert!(
            endpoint_list.endpoints.len() <= 62
                && endpoint_list.ids.len() == endpoint_list.endpoints.len()
        );
    }
    numbers.dedup();
    assert!(numbers.is_sorted() && numbers.len() == 1000);
    // One that comes back soon is the same, one that comes back late is new.
    let mut again = |uid| {
        ids(endpoint_list
            .apply(
                &at(1000 * SECOND),
                &update(true, &[(uid, 1, "Ready")]),
                Freshness::Current,
            )
            .event)
    };
    assert_eq!((again("s-990"), again("s-3")), (vec![990], vec![1000]));
}
