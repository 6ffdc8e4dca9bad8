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
    HEALTH_CHECK, WATCH_RESPONSE_HEAD, chunk, default_config, endpoint_json, header,
    report_request, watch_response, watch_update, with_backend, with_long_connect_timeout,
};
pub use stand_in::StandIn;
pub use test_node::{TestNode, spawn_with_config};
pub use waiting::{TEST_TIMEOUT, sleep_ms, wait_for};
