//! The decisions of a load-balancing proxy: which backend gets each request, when to retry, when to
//! reject.
//!
//! A [`Balancer`] is a pure state machine. It is fed [`Event`]s with the time at which they
//! happened and answers with [`Action`]s; it does no I/O, reads no clock and starts no thread.
//! Equal events give equal actions.
//!
//! ```
//! use kitefork_balancer::{
//!     Action, BackendId, Balancer, Class, Endpoint, EndpointState, Event, Request, RequestId,
//!     Settings, UpdateKind,
//! };
//!
//! let mut settings = Settings::default();
//! settings.classes.push(Class {
//!     latency_objective: 300_000_000,
//!     client_timeout: 1_000_000_000,
//!     priority_weight: 1.0,
//!     ..Class::default()
//! });
//! let mut balancer = Balancer::new(settings, 42, 0)?;
//! let mut actions = Vec::new();
//! let endpoint =
//!     Endpoint { id: BackendId(7), state: EndpointState::Ready, ..Endpoint::default() };
//! let update = Event::EndpointUpdate { kind: UpdateKind::Full, endpoints: vec![endpoint] };
//! balancer.handle(0, update, &mut actions);
//! let request =
//!     Request { id: RequestId(1), client_timeout: 900_000_000, ..Request::default() };
//! balancer.handle(1_000_000, Event::Request(request), &mut actions);
//! assert!(
//!     actions
//!         .iter()
//!         .any(|action| matches!(action, Action::StartAttempt { backend: BackendId(7), .. }))
//! );
//! # Ok::<(), kitefork_balancer::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod action;
mod balance;
mod candidates;
mod event;
mod ids;
mod settings;
mod state;
mod statistics;
mod timer_queue;

pub use action::{Action, LogEvent};
pub use balance::Balancer;
pub use event::{Endpoint, EndpointState, Event, Outcome, Request, UpdateKind};
pub use ids::{BackendId, CellId, ClassId, KindId, Nanos, RequestId, TenantId, TimerId, ZoneId};
pub use settings::{
    Class, DeduplicationScope, Idempotency, Limits, Rules, Settings, SettingsError, Tenant,
};

/// All types of the interface, for the modules of the decisions.
mod interface {
    pub(crate) use crate::action::*;
    pub(crate) use crate::event::*;
    pub(crate) use crate::ids::*;
    pub(crate) use crate::settings::*;
}
