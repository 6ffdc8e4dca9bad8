//! Behaviour of the node without races and injected faults.

mod backend_connections;
mod client_connections;
mod discovery;
mod forwarding;
mod operation;
pub mod payouts;
mod settings;
