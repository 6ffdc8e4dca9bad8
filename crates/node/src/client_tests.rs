//! Unit tests of `client`.

use super::*;
use crate::config::tests::CONFIG;
use kitefork_settings::json::Document;

fn routed(text: &str) -> Route {
    let tree = Document::parse(CONFIG.as_bytes()).unwrap();
    let deployment = kitefork_settings::read(&tree.root().get("settings").unwrap()).unwrap();
    let mut parser = Parser::requests();
    parser.feed(text.as_bytes()).unwrap();
    let (head, body) = parser.take_message().unwrap();
    route(head, body, &deployment, 30 * MS)
}

const GOOD: &str = "POST /api?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 1f\r\nX-Lane: report\r\nX-Org: acme\r\n\
    X-Remaining-Ms: 480\r\nX-Estimate: 1500\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn a_request_keeps_what_is_the_clients_and_counts_its_time_from_the_first_byte() {
    let Route::Request(spec, request) = routed(GOOD) else {
        panic!("not a req")
    };
    assert_eq!(
        (spec.class, spec.tenant, spec.client_timeout, spec.work_hint),
        (0, 0, 450 * MS, Some(1_500_000))
    );
    let bytes = String::from_utf8(request.bytes(449)).unwrap();
    assert!(
        bytes.starts_with("POST /api?a=b HTTP/1.1\r\nhost: h\r\nx-txn: 1f\r\n"),
        "{bytes}"
    );
    for part in [
        "\r\nx-remaining-ms: 449\r\n",
        "\r\nidempotency-key: k\r\n",
        "content-length: 2\r\n\r\nhi",
    ] {
        assert!(bytes.contains(part), "{bytes}");
    }
    assert!(!bytes.contains("480"));
}

#[test]
fn an_invalid_request_is_answered_by_its_status() {
    for (old, new, wanted) in [
        ("/api", "/apis", 404),
        ("POST", "PUT", 405),
        ("POST", "GET", 405),
        ("X-Lane: report", "X-Lane: look", 405),
        ("X-Lane: report", "X-Lane: other", 400),
        ("X-Org: acme", "X-Org: other", 400),
        ("X-Org: acme", "A: b", 400),
        ("X-Txn: 1f", "A: b", 400),
        ("X-Txn: 1f", "X-Txn: 1f\r\nX-Txn: 1f", 400),
        ("480", "-1", 400),
        ("480", "99999999999", 400),
        ("1500", "1.5", 400),
        ("Idempotency-Key", "Key", 400),
        ("POST /api", "POST /_health", 405),
    ] {
        let Route::Wrong(status, _) = routed(&GOOD.replace(old, new)) else {
            panic!("{new} passes")
        };
        assert_eq!(status, wanted, "{new}");
    }
}

#[test]
fn a_connection_that_closes_shows_its_end_before_it_discards_a_late_request() {
    use rustix::net::{AddressFamily, SocketFlags, SocketType, socketpair};
    use std::io::{Read as _, Write as _};
    let (family, kind, flags) = (
        AddressFamily::UNIX,
        SocketType::STREAM,
        SocketFlags::NONBLOCK,
    );
    let (near, far) = socketpair(family, kind, flags, None).unwrap();
    let mut far = std::os::unix::net::UnixStream::from(far);
    let mut connection = ClientConnection::new(near, 0, 0, &BufferBudget::default());
    far.write_all(GOOD.as_bytes()).unwrap();
    assert!(matches!(connection.read(0, 0), ReadEvent::Message(..)));
    connection.answer(0, 200, &[], b"hi", false);
    assert!(connection.flush(0) == WriteOutcome::Done && far.read(&mut [0; 256]).unwrap() > 0);
    far.write_all(GOOD.as_bytes()).unwrap();
    connection.close_gracefully();
    assert_eq!(far.read(&mut [0; 256]).unwrap(), 0);
    assert!(!connection.may_have_unread());
}

#[test]
fn retry_after_is_whole_seconds_and_only_rejections_carry_it() {
    let rejected = |retry_after| status_and_advice(LocalReply::Rejected { retry_after });
    assert_eq!(rejected(1_200 * MS), (503, Some("2".into())));
    assert_eq!(rejected(0), (503, None));
    assert_eq!(status_and_advice(LocalReply::TimedOut), (504, None));
}
