//! Discovery: the endpoint list, and the calls that keep it up to date.
//!
//! At most one watch delivers updates; a new one resumes after the last known revision. If the list
//! is polled, the decision module decides whether and when to call discovery again after a failure,
//! and calls that stay unanswered are hedged; if it is pushed, the node itself keeps a watch open.
//!
//! On the wire, the backends are `targets`, the revision is `rev`, and the states draining and
//! removed are `Terminating` and `Gone`; [`EndpointUpdate`] translates these names.

mod address_owners;
mod backoff;
mod call;
mod client;
mod endpoint_list;
mod hedging;
mod object_scanner;
mod update;

pub use backoff::DiscoveryMode;
pub use call::{CallEnd, CallKind, CallProgress};
pub use client::{Discovery, FailureNotice, WatchChange};
pub use endpoint_list::{AppliedUpdate, EndpointList};
pub use update::EndpointUpdate;
