//! HTTP messages and configurations in the platform's format.

use std::net::SocketAddr;

use super::StandIn;

/// An endpoint in discovery's JSON format; `state` is `Ready`, `Terminating` or `Gone`.
pub fn endpoint_json(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":1,
            "state":"{state}","boot_ms":0}}"#
    )
}

/// Head of discovery's response to a watch.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Head of discovery's response to a watch, and its first object, which updates `endpoints`.
pub fn watch_response(revision: u32, endpoints: &[String]) -> String {
    WATCH_RESPONSE_HEAD.to_string() + &watch_update(revision, endpoints)
}

/// One chunk with a further object, which updates `endpoints`, for a watch whose response head has
/// been sent.
pub fn watch_update(revision: u32, endpoints: &[String]) -> String {
    let line = format!(
        r#"{{"rev":{revision},"all":false,"targets":[{}]}}"#,
        endpoints.join(",")
    )
    .replace('\n', "");
    chunk(&(line + "\n"))
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Configuration of a node whose cached list has one backend, `s-1`.
pub fn default_config(discovery: &StandIn, backend: &StandIn) -> String {
    format!(
        r#"{{"name":"t1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f","limits":{{"sockets":128}},
        "known":{{"rev":7,"all":true,"targets":[{}]}},
        "settings":{{"azs":["a"],"kinds":["m"],"membershipMode":"subscribe","tickNs":5000000,
          "grades":[{{"name":"report","effect":"by_key","keyScope":"cell","windowNs":3000000000,
            "goalTimeNs":300000000,"giveUpNs":5000000000,"importance":1.0,"lateValue":0.3}}],
          "tenants":[{{"name":"acme","quotaPerS":9.0}}],
          "limits":{{"cancel":true,"maxAttempts":5,"maxRetryAfterNs":2000000000}},
          "rules":{{"coldFrom":0.3,"coldNs":8800000000,"drainGraceNs":1500000000,"fallNs":2000000000,
            "tipMultiple":3.0,"answerSlackNs":20000000}}}}}}"#,
        discovery.address(),
        endpoint_json("s-1", backend.address(), "Ready")
    )
}

/// Adds a ready backend at the head of the cached list of `config`.
pub fn with_backend(config: String, uid: &str, address: SocketAddr) -> String {
    config.replace(
        r#""targets":["#,
        &format!(r#""targets":[{},"#, endpoint_json(uid, address, "Ready")),
    )
}

/// Sets the ready backends of `config` to draining, adds a ready one, `s-0`, at `address`, and sets
/// the connect timeout to 20 s.
pub fn with_long_connect_timeout(config: String, address: SocketAddr) -> String {
    let config = config.replace("Ready", "Terminating");
    with_backend(config, "s-0", address).replace(
        r#""maxAttempts":5"#,
        r#""maxAttempts":5,"connectTimeoutNs":20000000000"#,
    )
}

/// Health check request for the node itself.
pub const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

/// Value of a header; panics if the header is missing.
pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let rest = head
        .split(&format!("{name}: "))
        .nth(1)
        .unwrap_or_else(|| panic!("no {name} in {head}"));
    rest.split('\r').next().unwrap_or(rest)
}

/// Request of the class `report` with a four-byte body; its client waits `client_timeout_ms` more
/// milliseconds.
pub fn report_request(id: &str, client_timeout_ms: u32) -> String {
    format!(
        "POST /api?n={id} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {id}\r\nX-Lane: report\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {client_timeout_ms}\r\nIdempotency-Key: k{id}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
