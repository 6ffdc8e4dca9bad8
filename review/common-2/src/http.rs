//! Messages of HTTP/1.1 with a `Content-Length`, as clients, backends and discovery use them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, whose name is in lower case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Those of the connection, and `UnexpectedEof` if it ends within the head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if message.first_line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_string();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_string());
            message.headers.push(header);
        }
    }
}

/// Reads a whole message; `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Those of the connection, and `UnexpectedEof` if it ends within the message.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A client's connection to a node.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a node; `timeout` limits each wait for an answer.
    ///
    /// # Errors
    ///
    /// Those of connecting.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Client {
            reader: BufReader::new(stream),
        })
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Those of the connection.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads an answer; `None` if the connection ends instead.
    ///
    /// # Errors
    ///
    /// Those of the connection.
    pub fn answer(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.reader)
    }
}

/// Asks a node for its health; whether it answers 200.
pub fn is_healthy(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut client = Client::connect(address, Duration::from_millis(500))?;
        client.send(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")?;
        Ok(client
            .answer()?
            .is_some_and(|answer| answer.status() == 200))
    };
    ask().unwrap_or(false)
}

/// A request of a client. `effect` decides the method: `repeatable` is a `GET` with no body.
pub struct Request<'a> {
    pub txn: &'a str,
    pub lane: &'a str,
    pub key: Option<&'a str>,
    pub remaining_ms: u64,
    pub body: &'a [u8],
    /// What `Content-Length` says.
    pub length: usize,
}

impl Request<'_> {
    /// The bytes of the request, as the protocol page shows them.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!(
            "{} /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {}\r\nX-Lane: {}\r\n\
             X-Org: oberland-talk\r\nX-Remaining-Ms: {}\r\n",
            if self.key.is_some() { "POST" } else { "GET" },
            self.txn,
            self.lane,
            self.remaining_ms
        );
        if let Some(key) = self.key {
            head += &format!(
                "Idempotency-Key: {key}\r\nContent-Length: {}\r\n",
                self.length
            );
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}
