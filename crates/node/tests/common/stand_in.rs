//! A stand-in for discovery or a backend.

use std::net::{SocketAddr, TcpListener, TcpStream};

use rustix::net::sockopt::{Timeout, set_socket_timeout};

use super::{Connection, TEST_TIMEOUT};

/// A listener of the test's own, which stands in for discovery or a backend.
pub struct StandIn(TcpListener);

impl StandIn {
    /// Listens on a port of its own.
    pub fn new() -> StandIn {
        StandIn(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// A listener whose queue is full: connections to it don't come up. The stream keeps it so.
    pub fn with_full_backlog() -> (StandIn, TcpStream) {
        let stand_in = StandIn::new();
        rustix::net::listen(&stand_in.0, 0).unwrap();
        let stream = TcpStream::connect(stand_in.address()).unwrap();
        (stand_in, stream)
    }

    /// No connection of the node's waits here.
    pub fn has_no_pending_connection(&self) -> bool {
        self.try_accept().is_none()
    }

    /// The node's next connection, if one waits here.
    pub fn try_accept(&self) -> Option<Connection> {
        self.0.set_nonblocking(true).unwrap();
        let found = self.0.accept().ok();
        self.0.set_nonblocking(false).unwrap();
        found.map(|(stream, _)| {
            stream.set_nonblocking(false).unwrap();
            Connection::new(stream)
        })
    }

    /// Waits for the node's next connection, as long as a test may last.
    pub fn accept_or_timeout(&self) -> Option<Connection> {
        set_socket_timeout(&self.0, Timeout::Recv, Some(TEST_TIMEOUT)).unwrap();
        self.0
            .accept()
            .ok()
            .map(|(stream, _)| Connection::new(stream))
    }

    /// Waits for the node's next connection.
    pub fn accept(&self) -> Connection {
        set_socket_timeout(&self.0, Timeout::Recv, Some(TEST_TIMEOUT)).unwrap();
        Connection::new(self.0.accept().expect("a connection of the node's").0)
    }
}
