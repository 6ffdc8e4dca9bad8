//! Downstream: the listener, the client connections, and the routing of their messages.

mod arrival;
mod connection;
mod eviction;
mod forwarded_request;
mod inbox;
mod input;
mod listener;
mod reply;
mod route;
mod table;

pub use connection::{ClientConnection, ReadEvent};
pub use eviction::EvictionCandidate;
pub use forwarded_request::ForwardedRequest;
pub use input::Message;
pub use listener::{ACCEPT_PAUSE, AcceptOutcome, Listener};
pub use reply::{LocalReplyHead, Reply};
pub use route::{InvalidRequest, Route, route};
pub use table::ClientConnections;
