//! Errors that prevent the node from starting or running.

use std::net::SocketAddr;

use kitefork_balancer::SettingsError;
use rustix::io::Errno;
use thiserror::Error;

/// Why the node can't start or keep running; the text is what the program prints.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The decision module does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The node can't listen on its address.
    #[error("listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Error of socket(2), setsockopt(2), bind(2) or listen(2).
        error: Errno,
    },
    /// The address of the listening socket can't be read.
    #[error("getsockname: {0}")]
    LocalAddress(Errno),
    /// A system call of `epoll` failed.
    #[error("epoll: {0}")]
    Epoll(Errno),
}
