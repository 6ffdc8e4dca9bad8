//! Routes a message by its path and headers. Invalid requests are detected here, before the
//! decision module or a backend sees them.

use kitefork_balancer::{Idempotency, Nanos};
use kitefork_settings::Deployment;

use super::forwarded_request::ForwardedRequest;
use crate::clock::MS;
use crate::http1::{Head, Start};
use crate::request_table::RequestSpec;
use crate::ring_buffer::Body;

/// The path of requests for backends.
const API_PATH: &str = "/api";
/// The path of requests for the health of the node itself.
const HEALTH_PATH: &str = "/_health";
/// Maximum length of the transaction ID of a request (`X-Txn`), in bytes.
const MAX_TXN_BYTES: usize = 256;

/// The transaction ID of a request with this head; `None` if it is absent or not valid.
pub fn transaction_id(head: &Head) -> Option<&str> {
    let txn = head.unique("x-txn").ok()?;
    txn.filter(|txn| is_transaction_id(txn))
}

fn is_transaction_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TXN_BYTES
}

/// What a message requests, or why it can't be served.
pub enum Route {
    /// A request for the health of the node itself.
    Health,
    /// A request for a backend.
    Request {
        /// The properties of the request that the request table needs.
        spec: RequestSpec,
        /// The message to forward.
        payload: ForwardedRequest,
    },
    /// A message that can't be served.
    Invalid(InvalidRequest),
}

/// Why a message can't be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The HTTP status of the answer: 400, 404 or 405.
    pub status: u16,
    /// The body of the answer; for status 405, the allowed methods, which are also the value of the
    /// header `allow`.
    pub reason: &'static str,
}

impl InvalidRequest {
    const fn bad_request(reason: &'static str) -> InvalidRequest {
        InvalidRequest {
            status: 400,
            reason,
        }
    }

    const fn method_not_allowed(allowed_methods: &'static str) -> InvalidRequest {
        InvalidRequest {
            status: 405,
            reason: allowed_methods,
        }
    }

    /// The value of the header `allow`; `None` if the status is not 405.
    pub fn allow(&self) -> Option<&'static str> {
        (self.status == 405).then_some(self.reason)
    }
}

/// Routes a message whose first byte arrived `elapsed` nanoseconds ago.
pub fn route(head: Head, body: Body, deployment: &Deployment, elapsed: Nanos) -> Route {
    let fields = RequestFields {
        head: &head,
        deployment,
    };
    match fields.parse(elapsed) {
        Ok(Some(spec)) => Route::Request {
            spec,
            payload: ForwardedRequest::new(head, body),
        },
        Ok(None) => Route::Health,
        Err(invalid) => Route::Invalid(invalid),
    }
}

/// The request line and the headers of a message, which are read with the classes and tenants that
/// the deployment defines.
struct RequestFields<'a> {
    head: &'a Head,
    deployment: &'a Deployment,
}

impl<'a> RequestFields<'a> {
    /// The request; `None` if it is for the health of the node itself.
    fn parse(&self, elapsed: Nanos) -> Result<Option<RequestSpec>, InvalidRequest> {
        let Start::Request { method, target } = &self.head.start else {
            return Err(InvalidRequest::bad_request("not a request"));
        };
        match target.split('?').next().unwrap_or_default() {
            HEALTH_PATH if method == "GET" => Ok(None),
            HEALTH_PATH => Err(InvalidRequest::method_not_allowed("GET")),
            API_PATH if matches!(method.as_str(), "GET" | "POST") => {
                self.parse_request(method, elapsed).map(Some)
            }
            API_PATH => Err(InvalidRequest::method_not_allowed("GET, POST")),
            _ => Err(InvalidRequest {
                status: 404,
                reason: "no such path",
            }),
        }
    }

    /// Reads the fields in a fixed order; the first one that is missing or invalid determines the
    /// answer.
    fn parse_request(&self, method: &str, elapsed: Nanos) -> Result<RequestSpec, InvalidRequest> {
        let txn = self.txn()?;
        let class = self.class()?;
        let tenant = self.tenant()?;
        let remaining_ms = self
            .integer_header("x-remaining-ms", "X-Remaining-Ms is bad")?
            .ok_or(InvalidRequest::bad_request("X-Remaining-Ms is missing"))?;
        let estimate_us = self.integer_header("x-estimate", "X-Estimate is bad")?;
        self.check_idempotency(method, class)?;
        Ok(RequestSpec {
            txn: txn.into(),
            class,
            tenant,
            // The client's timeout counts from when it sent the request, so the time since the
            // first byte arrived is subtracted.
            client_timeout: (remaining_ms * MS).saturating_sub(elapsed),
            work_hint: estimate_us.map(|us| us * 1_000),
            client_retry: self.header("x-resent")? == Some("1"),
        })
    }

    fn header(&self, name: &str) -> Result<Option<&'a str>, InvalidRequest> {
        self.head
            .unique(name)
            .map_err(|_| InvalidRequest::bad_request("a header stands twice"))
    }

    fn txn(&self) -> Result<&'a str, InvalidRequest> {
        let txn = self.header("x-txn")?;
        txn.filter(|txn| is_transaction_id(txn))
            .ok_or(InvalidRequest::bad_request("X-Txn is missing or bad"))
    }

    fn class(&self) -> Result<u16, InvalidRequest> {
        index_of(&self.deployment.classes, self.header("x-lane")?)
            .ok_or(InvalidRequest::bad_request("X-Lane is missing or unknown"))
    }

    fn tenant(&self) -> Result<u16, InvalidRequest> {
        match self.header("x-org")? {
            None if self.deployment.tenants.is_empty() => Ok(0),
            name => index_of(&self.deployment.tenants, name)
                .ok_or(InvalidRequest::bad_request("X-Org is missing or unknown")),
        }
    }

    /// The value of a header that holds a decimal integer of up to 32 bits; `None` if the header is
    /// absent. Any other value is rejected with `reason`.
    fn integer_header(
        &self,
        name: &str,
        reason: &'static str,
    ) -> Result<Option<Nanos>, InvalidRequest> {
        match self.header(name)? {
            None => Ok(None),
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => text
                .parse::<u32>()
                .map(|n| Some(Nanos::from(n)))
                .map_err(|_| InvalidRequest::bad_request(reason)),
            Some(_) => Err(InvalidRequest::bad_request(reason)),
        }
    }

    /// Checks the method, which the class determines, and the presence of the idempotency key in
    /// classes that use one: without it backends can't drop repeated requests.
    fn check_idempotency(&self, method: &str, class: u16) -> Result<(), InvalidRequest> {
        let idempotency = self.deployment.settings.classes[usize::from(class)].idempotency;
        match (method, idempotency) {
            ("GET", Idempotency::Idempotent) => {}
            ("GET", _) => return Err(InvalidRequest::method_not_allowed("POST")),
            ("POST", Idempotency::Idempotent) => {
                return Err(InvalidRequest::method_not_allowed("GET"));
            }
            _ => {}
        }
        if matches!(idempotency, Idempotency::IdempotencyKey { .. })
            && self.header("idempotency-key")?.is_none_or(str::is_empty)
        {
            return Err(InvalidRequest::bad_request("Idempotency-Key is missing"));
        }
        Ok(())
    }
}

fn index_of(names: &[String], name: Option<&str>) -> Option<u16> {
    names
        .iter()
        .position(|other| name == Some(other))
        .and_then(|index| u16::try_from(index).ok())
}

#[cfg(test)]
#[path = "route_tests.rs"]
mod tests;
