//! One connection of a test.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::{TEST_TIMEOUT, header};

/// One connection, and what has been received on it and not been taken yet.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    /// Sets a limit to each read, so that a test that waits in vain fails.
    pub(super) fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection {
            stream,
            received: Vec::new(),
        }
    }

    /// Sends all of a text.
    pub fn send(&mut self, text: &str) -> &mut Connection {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// Reads until `part` has come; gives all up to its end.
    pub fn expect(&mut self, pattern: &str) -> String {
        let has_byte = self.expect_or_close(pattern);
        has_byte.unwrap_or_else(|| {
            panic!(
                "an end before {pattern:?}; got {:?}",
                String::from_utf8_lossy(&self.received)
            )
        })
    }

    /// Reads until `part` has come, or `None` where the connection ends before.
    pub fn expect_or_close(&mut self, pattern: &str) -> Option<String> {
        loop {
            let start = self
                .received
                .windows(pattern.len())
                .position(|w| w == pattern.as_bytes());
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

    /// Waits for the other side to close the connection; gives what came before.
    pub fn expect_close(&mut self) -> String {
        match self.stream.read_to_end(&mut self.received) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("{error} instead of an end"),
        }
        String::from_utf8(std::mem::take(&mut self.received)).unwrap()
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self);
    }

    /// The other side has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        let ended = !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        ended
    }

    /// Bytes have come that nobody has read.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let has_byte = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream.set_nonblocking(false).unwrap();
        has_byte
    }

    /// Sends a request again and again until the body of its answer is this one.
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

    /// Takes so many bytes.
    pub fn take(&mut self, count: usize) -> String {
        while self.received.len() < count {
            let mut buffer = [0; 4096];
            let read = self.stream.read(&mut buffer).unwrap();
            assert!(read > 0);
            self.received.extend_from_slice(&buffer[..read]);
        }
        String::from_utf8(self.received.drain(..count).collect()).unwrap()
    }

    /// Sends; gives whether the other side is still there.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes with a reset.
    pub fn reset(self) {
        set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Ends the sending alone.
    pub fn half_close(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// A backend's whole answer.
    pub fn serve(&mut self, status: &str, body: &str) {
        self.send(&format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
}
