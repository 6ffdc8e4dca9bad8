//! Connections to backends, the attempts that they carry, and the pool of idle connections.

mod answer;
mod answer_reader;
mod attempt;
mod close_reason;
mod connection;
mod pool;
mod postponed;
mod reuse_delay;
mod table;

pub use answer::{Answer, outcome};
pub use attempt::{AttemptLimits, PostponedDial, UpstreamAttempt};
pub use close_reason::UpstreamCloseReason;
pub use pool::IdleConnection;
pub use table::{DialError, UpstreamConnections, UpstreamEvent};
