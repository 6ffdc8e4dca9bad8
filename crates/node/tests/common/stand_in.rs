//! The stand-in for discovery or a backend.

use std::net::{SocketAddr, TcpListener, TcpStream};

use rustix::net::sockopt::{Timeout, set_socket_timeout};

use super::{Connection, TEST_TIMEOUT};

/// A listener that replaces discovery or a backend; the test itself sends the answers.
pub struct StandIn(TcpListener);

impl StandIn {
    /// Listens on an unused port of 127.0.0.1.
    pub fn new() -> StandIn {
        StandIn(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// A listener whose accept queue is full, so that further connections are not established until
    /// the returned stream is accepted.
    pub fn with_full_backlog() -> (StandIn, TcpStream) {
        let stand_in = StandIn::new();
        rustix::net::listen(&stand_in.0, 0).unwrap();
        let stream = TcpStream::connect(stand_in.address()).unwrap();
        (stand_in, stream)
    }

    /// Whether no connection from the node is queued. If one is queued, accepts and closes it.
    pub fn has_no_pending_connection(&self) -> bool {
        self.try_accept().is_none()
    }

    /// Accepts the next connection from the node, if one is queued.
    pub fn try_accept(&self) -> Option<Connection> {
        self.0.set_nonblocking(true).unwrap();
        let accepted = self.0.accept().ok();
        self.0.set_nonblocking(false).unwrap();
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).unwrap();
            Connection::new(stream)
        })
    }

    /// Waits for the next connection from the node; `None` after [`TEST_TIMEOUT`].
    pub fn accept_or_timeout(&self) -> Option<Connection> {
        set_socket_timeout(&self.0, Timeout::Recv, Some(TEST_TIMEOUT)).unwrap();
        self.0
            .accept()
            .ok()
            .map(|(stream, _)| Connection::new(stream))
    }

    /// Waits for the next connection from the node; panics after [`TEST_TIMEOUT`].
    pub fn accept(&self) -> Connection {
        set_socket_timeout(&self.0, Timeout::Recv, Some(TEST_TIMEOUT)).unwrap();
        Connection::new(self.0.accept().expect("a connection from the node").0)
    }
}
