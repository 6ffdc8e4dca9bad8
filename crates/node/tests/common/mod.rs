//! Shared helpers: a [`TestNode`] runs the built program with a stand-in for discovery and one for
//! a backend. A [`Connection`] is the test's side of a connection of a client, a backend or
//! discovery. Tests wait for events; [`TEST_TIMEOUT`] only ends a test that has failed.

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
