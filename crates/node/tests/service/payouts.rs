//! Two further classes of requests: a `payout` must never be executed twice, a `check` may be.

use crate::common::{endpoint_json, report_request};

/// Adds the classes `payout` and `check`, whose requests have no idempotency key. Also sets a
/// connect timeout of 50 ms, and adds `backends`, which are ready, at the head of the cached list.
pub fn with_payout_and_check(config: String, backends: &[(&str, std::net::SocketAddr)]) -> String {
    let endpoints: Vec<String> = backends
        .iter()
        .map(|(uid, address)| endpoint_json(uid, *address, "Ready") + ",")
        .collect();
    config
        .replace(r#""targets":["#, &format!(r#""targets":[{}"#, endpoints.concat()))
        .replace(
            r#""grades":["#,
            r#""grades":[{"name":"payout","effect":"once","goalTimeNs":400000000,"giveUpNs":800000000,
                "importance":8.0},{"name":"check","effect":"repeatable","goalTimeNs":2000000000,
                "giveUpNs":4000000000,"importance":3.0},"#,
        )
        .replace(r#""cancel":true"#, r#""cancel":true,"connectTimeoutNs":50000000"#)
}

pub fn payout_request(id: &str) -> String {
    report_request(id, 800)
        .replace("X-Lane: report", "X-Lane: payout")
        .replace(&format!("Idempotency-Key: k{id}\r\n"), "")
}

pub fn check_request(id: &str) -> String {
    format!(
        "GET /api?n={id} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {id}\r\nX-Lane: check\r\nX-Org: acme\r\n\
         X-Remaining-Ms: 4000\r\n\r\n"
    )
}
