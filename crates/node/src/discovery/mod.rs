//! Discovery: the endpoint list, and the calls that keep it up to date.
//!
//! At most one watch is open; it is resumed after the last revision. Where the settings have the
//! list polled, the decision module says whether and when to call again; where lists are pushed,
//! the node keeps a watch open by itself.
//!
//! On the wire the backends are `targets`, their version `rev`, a draining one `Terminating` and a
//! removed one `Gone`; [`EndpointUpdate`] maps them.

mod backoff;
mod call;
mod client;
mod endpoint_list;
mod object_scanner;
mod update;

pub use backoff::DiscoveryMode;
pub use call::{CallEnd, CallKind, CallProgress};
pub use client::{Discovery, FailureNotice, WatchChange};
pub use endpoint_list::{AppliedUpdate, EndpointList};
pub use update::EndpointUpdate;
