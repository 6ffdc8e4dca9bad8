//! A request that is forwarded to a backend, in its HTTP form.

use crate::http1::{self, Head, Start};
use crate::ring_buffer::Body;

/// A client's message, which the request table stores as the payload of the request and which is
/// encoded for each attempt.
pub struct ForwardedRequest {
    head: Head,
    body: Body,
}

impl ForwardedRequest {
    /// Creates the payload from a client's message. Headers that are not forwarded stay in the
    /// payload; [`ForwardedRequest::encode`] omits them.
    pub fn new(head: Head, body: Body) -> ForwardedRequest {
        ForwardedRequest { head, body }
    }

    /// The idempotency key, for the trace: a client's retries of a request have the same key. `-`
    /// if the header is absent or occurs more than once.
    pub fn idempotency_key(&self) -> &str {
        self.head
            .unique("idempotency-key")
            .ok()
            .flatten()
            .unwrap_or("-")
    }

    /// The serialised request for a backend that has `timeout_ms` milliseconds to answer; empty if
    /// the message is not a request.
    pub fn encode(&self, timeout_ms: u64) -> Vec<u8> {
        let Start::Request { method, target } = &self.head.start else {
            return Vec::new();
        };
        let timeout = timeout_ms.to_string();
        let headers = self
            .head
            .end_to_end_headers()
            .filter(|(name, _)| *name != "x-remaining-ms");
        // An HTTP/1.0 request may lack `Host`, which the forwarded HTTP/1.1 request must have.
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
