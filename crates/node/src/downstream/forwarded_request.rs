//! A request on its way to a backend, as HTTP carries it.

use crate::http1::{self, Head, Start};
use crate::ring_buffer::Body;

/// The payload that the request table holds for a request.
pub struct ForwardedRequest {
    head: Head,
    body: Body,
}

impl ForwardedRequest {
    /// The request of this message.
    pub fn new(head: Head, body: Body) -> ForwardedRequest {
        ForwardedRequest { head, body }
    }

    /// The idempotency key, which the client's own retries share, for the trace; `-` without one.
    pub fn key(&self) -> &str {
        self.head
            .unique("idempotency-key")
            .ok()
            .flatten()
            .unwrap_or("-")
    }

    /// The bytes for a backend that has `timeout_ms` milliseconds to answer.
    pub fn bytes(&self, timeout_ms: u64) -> Vec<u8> {
        let Start::Request { method, target } = &self.head.start else {
            return Vec::new();
        };
        let timeout = timeout_ms.to_string();
        let headers = self
            .head
            .end_to_end_headers()
            .filter(|(name, _)| *name != "x-remaining-ms");
        // A client of HTTP/1.0 need not name a host; backends speak 1.1.
        let host = self
            .head
            .unique("host")
            .is_ok_and(|host| host.is_none())
            .then_some(("host", "kitefork"));
        let headers = host.into_iter().chain(headers).chain([
            ("x-remaining-ms", timeout.as_str()),
            ("via", "1.1 kitefork"),
        ]);
        let body = (method != "GET" || !self.body.is_empty()).then_some(&*self.body);
        http1::write(&format!("{method} {target} HTTP/1.1"), headers, body)
    }
}
