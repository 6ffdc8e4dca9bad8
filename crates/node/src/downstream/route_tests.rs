//! Unit tests of routing messages by their path and headers.

use kitefork_settings::json::Document;

use super::*;
use crate::config::tests::CONFIG;
use crate::http1::Parser;

fn route_text(text: &str) -> Route {
    let document = Document::parse(CONFIG.as_bytes()).unwrap();
    let deployment = kitefork_settings::read(&document.root().get("settings").unwrap()).unwrap();
    let mut parser = Parser::requests();
    parser.feed(text.as_bytes()).unwrap();
    let (head, body) = parser.take_message().unwrap();
    route(head, body, &deployment, 30 * MS)
}

const REQUEST: &str = "POST /api?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 1f\r\nX-Lane: report\r\nX-Org: acme\r\n\
    X-Remaining-Ms: 480\r\nX-Estimate: 1500\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn forwarded_request_keeps_client_headers_and_its_timeout_counts_from_the_first_byte() {
    let Route::Request { spec, payload } = route_text(REQUEST) else {
        panic!("not a request")
    };
    assert_eq!(
        (spec.class, spec.tenant, spec.client_timeout, spec.work_hint),
        (0, 0, 450 * MS, Some(1_500_000))
    );
    let bytes = String::from_utf8(payload.encode(449)).unwrap();
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
fn status_of_an_invalid_request_depends_on_its_invalid_part() {
    for (old, new, expected_status) in [
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
        let Route::Invalid(invalid) = route_text(&REQUEST.replace(old, new)) else {
            panic!("accepted a request with {new}")
        };
        assert_eq!(invalid.status, expected_status, "{new}");
    }
}
