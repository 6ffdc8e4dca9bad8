//! What the node does event by event, without races and faults.

mod backend_connections;
mod client_connections;
mod discovery;
mod forwarding;
mod operation;
pub mod payouts;
mod settings;
