//! The test's side of one connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::{TEST_TIMEOUT, header};

/// The test's side of one connection, with the bytes that were received but not yet consumed.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    /// Sets a timeout for each read, so that a test whose data never arrives fails.
    pub(super) fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection {
            stream,
            received: Vec::new(),
        }
    }

    /// Sends the whole text; panics if the connection is broken.
    pub fn send(&mut self, text: &str) -> &mut Connection {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// Reads until `pattern` is received; returns all text up to the end of the pattern. Panics if
    /// the connection closes first.
    pub fn expect(&mut self, pattern: &str) -> String {
        let received_text = self.expect_or_close(pattern);
        received_text.unwrap_or_else(|| {
            panic!(
                "connection closed before {pattern:?}; received {:?}",
                String::from_utf8_lossy(&self.received)
            )
        })
    }

    /// Reads until `pattern` is received; returns all text up to the end of the pattern, or `None`
    /// if the connection closes first.
    pub fn expect_or_close(&mut self, pattern: &str) -> Option<String> {
        loop {
            let start = self
                .received
                .windows(pattern.len())
                .position(|window| window == pattern.as_bytes());
            if let Some(end) = start.map(|start| start + pattern.len()) {
                return Some(String::from_utf8(self.received.drain(..end).collect()).unwrap());
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error} before {pattern:?}"),
            }
        }
    }

    /// Waits for the peer to close the connection; returns the text that was received until then
    /// and not consumed.
    pub fn expect_close(&mut self) -> String {
        match self.stream.read_to_end(&mut self.received) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("{error} while waiting for the peer to close"),
        }
        String::from_utf8(std::mem::take(&mut self.received)).unwrap()
    }

    /// Closes the connection. Unread input turns the close into a reset.
    pub fn close(self) {
        drop(self);
    }

    /// Whether the peer has closed the connection. Also returns `true` if received bytes are
    /// waiting to be read from the socket, and consumes one of them.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        let ended = !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        ended
    }

    /// Whether received bytes are waiting to be read from the socket.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let has_byte = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream.set_nonblocking(false).unwrap();
        has_byte
    }

    /// Repeats a request until the body of its answer is `expected_body`; panics after
    /// [`TEST_TIMEOUT`].
    pub fn request_until(&mut self, request: &str, expected_body: &str) {
        let started_at = std::time::Instant::now();
        while !self.send(request).expect("\n").is_empty() {
            let head = self.expect("\r\n\r\n");
            let body = self.take(header(&head, "content-length").parse().unwrap());
            if body == expected_body {
                return;
            }
            assert!(started_at.elapsed() < TEST_TIMEOUT, "{body}");
        }
    }

    /// Reads and returns the next `count` bytes.
    pub fn take(&mut self, count: usize) -> String {
        while self.received.len() < count {
            let mut buffer = [0; 4096];
            let read = self.stream.read(&mut buffer).unwrap();
            assert!(read > 0);
            self.received.extend_from_slice(&buffer[..read]);
        }
        String::from_utf8(self.received.drain(..count).collect()).unwrap()
    }

    /// Sends the text; returns `false` if the connection is broken.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Shuts down the sending side only.
    pub fn half_close(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Sends a complete answer, as a backend; `status` may have further header lines.
    pub fn serve(&mut self, status: &str, body: &str) {
        self.send(&format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
}
