//! kitefork makes the decisions of a load-balancing proxy: which backend gets each
//! request, when to try again, when to refuse.
//!
//! A [`Balancer`] is a pure state machine. It is fed [`Event`]s with the time at which
//! they happened and answers with [`Action`]s; it does no I/O, reads no clock and starts
//! no thread. Equal events give equal actions.
//!
//! ```
//! use kitefork_balancer::{
//!     Action, Backend, BackendId, BackendState, Balancer, CellId, Class, ClassId, Effect, Event,
//!     KindId, ListKind, Request, RequestId, Settings, TenantId, ZoneId,
//! };
//!
//! let mut settings = Settings::default();
//! settings.classes.push(Class {
//!     aim: 300_000_000,
//!     deadline: 1_000_000_000,
//!     worth: 1.0,
//!     effect: Effect::Safe,
//!     ..Class::default()
//! });
//! let mut balancer = Balancer::new(settings, 42, 0)?;
//! let mut actions = Vec::new();
//! let backend = Backend {
//!     id: BackendId(7),
//!     mark: 7,
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     kind: KindId(0),
//!     state: BackendState::Ready,
//!     weight: 1.0,
//!     started: None,
//! };
//! balancer.handle(0, Event::List { kind: ListKind::Full, backends: vec![backend] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     key: 0,
//!     patience: 900_000_000,
//!     work_hint: None,
//!     client_retry: false,
//!     write: false,
//! };
//! balancer.handle(1_000_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { backend: BackendId(7), .. })));
//! # Ok::<(), kitefork_balancer::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod balance;
mod candidates;
mod interface;
mod state;

pub use balance::Balancer;
pub use interface::*;
