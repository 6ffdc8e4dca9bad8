//! The decisions of a load-balancing proxy: which backend gets each request, when to retry, when to
//! reject.
//!
//! A [`Balancer`] is a deterministic state machine. It receives [`Event`]s with the time at which
//! they happened and returns [`Action`]s; it does no I/O, reads no clock and starts no thread.
//! Equal settings, seeds and events give equal actions.
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
//!
//! Each decision is made in a module of its own; `balancer` connects them:
//!
//! | module | decides |
//! | --- | --- |
//! | `estimator`, `pooled_latency` | the service rate of each backend, the arrival rate |
//! | `optimal_split`, `candidates` | the weight with which a backend is picked |
//! | `pick` | which backend an attempt goes to |
//! | `subset` | which backends this proxy uses and which of them it prefers |
//! | `slow_start` | how many attempts a backend may be sent during slow start |
//! | `outlier_detector` | which backends are ejected |
//! | `concurrency_limiter` | how many attempts may be in flight |
//! | `admission_queue`, `admission_rate` | which queued request is next, and when it is admitted |
//! | `retry_policy` | whether the retry budget covers a retry, when an attempt is overdue |
//! | `legality` | whether the protocol rules allow an attempt or a rejection |
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod action;
mod admission_queue;
mod admission_rate;
mod balancer;
mod candidates;
mod class_statistics;
mod concurrency_limiter;
mod endpoint_list;
mod estimator;
mod event;
mod ids;
mod legality;
mod optimal_split;
mod outlier_detector;
mod pick;
mod pooled_latency;
mod request_table;
mod retry_policy;
mod settings;
mod slow_start;
mod statistics;
mod subset;
#[cfg(test)]
mod test_support;
mod timer_queue;
mod timescale;

pub use action::{Action, LogEvent};
pub use balancer::Balancer;
pub use event::{Endpoint, EndpointState, Event, Outcome, Request, UpdateKind};
pub use ids::{BackendId, CellId, ClassId, KindId, Nanos, RequestId, TenantId, TimerId, ZoneId};
pub use settings::{
    Class, DeduplicationScope, Idempotency, Limits, Rules, Settings, SettingsError, Tenant,
};
