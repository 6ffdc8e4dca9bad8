//! What the tests share: a [`TestNode`] runs the real program between a stand-in discovery and a
//! stand-in backend, and a [`Connection`] is one connection, of a client, a backend or discovery,
//! on which a test sends, expects, closes and waits. Waiting is always for an event; the one time
//! limit only ends a test that has failed.

mod connection;
mod messages;
mod stand_in;
mod test_node;
mod waiting;

pub use connection::Connection;
pub use messages::{
    HEALTH, WATCH, changes, chunk, default_config, endpoint_json, header, more_changes, report,
    slow_to_connect, with_backend,
};
pub use stand_in::StandIn;
pub use test_node::{TestNode, run};
pub use waiting::{LIMIT, pass, until};
