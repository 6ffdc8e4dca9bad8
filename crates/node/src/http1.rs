//! HTTP/1.1 as bytes: a parser that is fed what has come, and a writer. No sockets, no clock.
//! Strict where a lenient reader would let two parties see two different messages.

use crate::ring_buffer::{Body, BufferBudget};

/// Longest head, and longest bodies that a request and an answer may have. Answers have been seen
/// that are several times as long as the 64 KiB of the protocol.
pub const MAX_HEAD: usize = 16 * 1024;
pub const MAX_BODY: usize = 64 * 1024;
pub const MAX_ANSWER: usize = 2 * 1024 * 1024;
/// Interim answers before one answer.
const MOST_INTERIM: u32 = 16;
const MOST_HEADERS: usize = 100;
/// Longest line that gives a chunk's size; extensions are passed over.
const MOST_CHUNK_LINE: usize = 256;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    UnsupportedVersion,
    /// The budget for what is buffered is spent.
    BufferBudgetSpent,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    Request { method: String, target: String },
    Response { status: u16 },
}

/// A message's head.
#[derive(Debug, Clone)]
pub struct Head {
    pub start: Start,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
}

impl Head {
    /// The value of a header that stands there once; twice is `Err`.
    pub fn unique(&self, name: &str) -> Result<Option<&str>, ParseError> {
        let mut found = self
            .headers
            .iter()
            .filter(|h| h.0 == name)
            .map(|h| h.1.as_str());
        let first = found.next();
        if found.next().is_some() {
            Err(ParseError::Malformed)
        } else {
            Ok(first)
        }
    }

    fn lists(&self, name: &str, token: &str) -> bool {
        let values = self.headers.iter().filter(|h| h.0 == name);
        values
            .flat_map(|h| h.1.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// The client waits for leave to send its body.
    pub fn expects_continue(&self) -> bool {
        self.lists("expect", "100-continue")
    }

    /// The headers that concern both ends, not one connection.
    pub fn end_to_end_headers(&self) -> impl Iterator<Item = (&str, &str)> {
        const HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "proxy-authenticate",
        ];
        let passes =
            |h: &&(String, String)| !HOP.contains(&h.0.as_str()) && !self.lists("connection", &h.0);
        self.headers
            .iter()
            .filter(passes)
            .map(|h| (h.0.as_str(), h.1.as_str()))
    }
}

enum State {
    Head { scanned: usize },
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer(usize),
    UntilEnd,
    Done,
}

/// Reads one message after the other.
pub struct Parser {
    requests: bool,
    /// Longest body; a stream that is emptied as it comes has none.
    most_body: usize,
    /// An answer may end with its connection.
    open_ended: bool,
    interim: u32,
    state: State,
    pub head: Option<Head>,
    pub body: Body,
}

impl Parser {
    pub fn requests() -> Parser {
        let state = State::Head { scanned: 0 };
        Parser {
            requests: true,
            most_body: MAX_BODY,
            open_ended: false,
            interim: 0,
            state,
            head: None,
            body: Body::default(),
        }
    }

    pub fn responses() -> Parser {
        Parser {
            requests: false,
            most_body: MAX_ANSWER,
            ..Parser::requests()
        }
    }

    pub fn with_most_body(self, most_body: usize) -> Parser {
        Parser { most_body, ..self }
    }

    /// Takes an answer that ends with its connection too. A cut can't be told from its end, so this
    /// is only for what shows by itself whether it is whole.
    pub fn allow_close_delimited(self) -> Parser {
        Parser {
            open_ended: true,
            ..self
        }
    }

    /// Bodies are counted on a budget.
    pub fn with_budget(self, budget: &BufferBudget) -> Parser {
        Parser {
            body: Body::with_budget(budget),
            ..self
        }
    }

    /// Takes what it can of `input`; tells how much, and stops at the end of a message.
    pub fn feed(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                State::Done => return Ok(used),
                State::Head { scanned } => {
                    // Empty lines before a request line are passed over.
                    if self.requests && rest.starts_with(b"\r\n") {
                        used += 2;
                        self.state = State::Head { scanned: 0 };
                        continue;
                    }
                    let from = scanned.min(rest.len()).saturating_sub(3);
                    let Some(end) = find(&rest[from..], b"\r\n\r\n").map(|at| from + at + 4) else {
                        if rest.len() > MAX_HEAD {
                            return Err(ParseError::HeadTooLarge);
                        }
                        self.state = State::Head {
                            scanned: rest.len(),
                        };
                        return Ok(used);
                    };
                    if end > MAX_HEAD {
                        return Err(ParseError::HeadTooLarge);
                    }
                    let head = parse_head(&rest[..end - 2], self.requests)?;
                    used += end;
                    // An interim answer is not the answer.
                    if matches!(head.start, Start::Response { status: 100..=199 }) {
                        self.interim += 1;
                        if self.interim > MOST_INTERIM {
                            return Err(ParseError::Malformed);
                        }
                        self.state = State::Head { scanned: 0 };
                        continue;
                    }
                    self.state = self.framing(&head)?;
                    self.head = Some(head);
                }
                State::Length(left) | State::Chunk(left) => {
                    let count = left.min(rest.len());
                    self.take(&rest[..count])?;
                    used += count;
                    let chunked = matches!(self.state, State::Chunk(_));
                    self.state = match (left - count, chunked) {
                        (0, true) => State::ChunkEnd,
                        (0, false) => State::Done,
                        (more, true) => State::Chunk(more),
                        (more, false) => State::Length(more),
                    };
                    if count < left {
                        return Ok(used);
                    }
                }
                State::ChunkSize => {
                    let Some(line) = line(rest, MOST_CHUNK_LINE)? else {
                        return Ok(used);
                    };
                    used += line.len() + 2;
                    self.state = match chunk_size(line)? {
                        0 => State::Trailer(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    if rest.len() < 2 {
                        return Ok(used);
                    }
                    if !rest.starts_with(b"\r\n") {
                        return Err(ParseError::Malformed);
                    }
                    used += 2;
                    self.state = State::ChunkSize;
                }
                State::Trailer(read) => {
                    let Some(line) = line(rest, MAX_HEAD)? else {
                        return Ok(used);
                    };
                    used += line.len() + 2;
                    if read + line.len() > MAX_HEAD {
                        return Err(ParseError::HeadTooLarge);
                    }
                    self.state = if line.is_empty() {
                        State::Done
                    } else {
                        State::Trailer(read + line.len() + 2)
                    };
                }
                State::UntilEnd => {
                    self.take(rest)?;
                    return Ok(input.len());
                }
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.body.len() + bytes.len() > self.most_body {
            return Err(ParseError::BodyTooLarge);
        }
        if self.body.extend(bytes) {
            Ok(())
        } else {
            Err(ParseError::BufferBudgetSpent)
        }
    }

    /// How the body is framed. Both length and chunks, lengths that differ, or codings other than
    /// chunks are refused: they are how requests are smuggled past a proxy.
    fn framing(&self, head: &Head) -> Result<State, ParseError> {
        let length = head.unique("content-length")?;
        match (head.unique("transfer-encoding")?, length) {
            (Some(_), Some(_)) => Err(ParseError::Malformed),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(State::ChunkSize),
            (Some(_), None) => Err(ParseError::Malformed),
            (None, Some(length)) => {
                if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(ParseError::Malformed);
                }
                match length.parse::<usize>() {
                    Ok(0) => Ok(State::Done),
                    Ok(size) if size <= self.most_body => Ok(State::Length(size)),
                    _ => Err(ParseError::BodyTooLarge),
                }
            }
            (None, None) => match head.start {
                Start::Request { .. } | Start::Response { status: 204 | 304 } => Ok(State::Done),
                Start::Response { .. } if self.open_ended => Ok(State::UntilEnd),
                Start::Response { .. } => Err(ParseError::Malformed),
            },
        }
    }

    /// The message is whole.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Nothing of a message has come yet.
    pub fn is_at_start(&self) -> bool {
        matches!(self.state, State::Head { scanned: 0 })
    }

    /// The head has come and the body has not begun.
    pub fn awaits_body(&self) -> bool {
        self.body.is_empty() && matches!(self.state, State::Length(_) | State::ChunkSize)
    }

    /// The other side has ended its sending: tells whether that completes the message.
    pub fn end_of_input(&mut self) -> bool {
        if matches!(self.state, State::UntilEnd) {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Hands out a whole message and starts on the next.
    pub fn take_message(&mut self) -> Option<(Head, Body)> {
        let head = if self.is_done() {
            self.head.take()
        } else {
            None
        }?;
        (self.state, self.interim) = (State::Head { scanned: 0 }, 0);
        Some((head, self.body.take()))
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// A line without its end; `None` while its end has not come.
fn line(input: &[u8], most: usize) -> Result<Option<&[u8]>, ParseError> {
    match find(input, b"\r\n") {
        Some(end) if end <= most => Ok(Some(&input[..end])),
        None if input.len() <= most => Ok(None),
        _ => Err(ParseError::Malformed),
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ParseError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    usize::from_str_radix(text, 16).map_err(|_| ParseError::Malformed)
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

fn parse_head(bytes: &[u8], request: bool) -> Result<Head, ParseError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ParseError::Malformed)?;
    // Neither a lone CR or LF nor another control character may pass: others may take it for a
    // line's end.
    let mut lines = text.split_terminator("\r\n");
    if lines
        .clone()
        .any(|line| line.bytes().any(|b| b.is_ascii_control() && b != b'\t'))
    {
        return Err(ParseError::Malformed);
    }
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut part = || parts.next().unwrap_or_default();
    let (first, second, third) = (part(), part(), part());
    let (start, version) = if request {
        let sound = is_token(first) && second.starts_with('/') && !third.contains(' ');
        if !sound {
            return Err(ParseError::Malformed);
        }
        (
            Start::Request {
                method: first.into(),
                target: second.into(),
            },
            third,
        )
    } else {
        let digits = second.len() == 3 && second.bytes().all(|b| b.is_ascii_digit());
        let status = second
            .parse()
            .ok()
            .filter(|_| digits)
            .ok_or(ParseError::Malformed)?;
        (Start::Response { status }, first)
    };
    let modern = match version {
        "HTTP/1.1" => true,
        "HTTP/1.0" => false,
        other if other.starts_with("HTTP/") => return Err(ParseError::UnsupportedVersion),
        _ => return Err(ParseError::Malformed),
    };
    let mut headers = Vec::new();
    for line in lines {
        // A name that isn't a token also covers folded lines and a space before the colon.
        let (name, value) = line
            .split_once(':')
            .filter(|(name, _)| is_token(name))
            .ok_or(ParseError::Malformed)?;
        if headers.len() == MOST_HEADERS {
            return Err(ParseError::HeadTooLarge);
        }
        headers.push((
            name.to_ascii_lowercase(),
            value.trim_matches([' ', '\t']).to_string(),
        ));
    }
    let mut head = Head {
        start,
        headers,
        keep_alive: modern,
    };
    if head.lists("connection", "close") {
        head.keep_alive = false;
    } else if head.lists("connection", "keep-alive") {
        head.keep_alive = true;
    }
    if request && modern && head.unique("host")?.is_none() {
        return Err(ParseError::Malformed);
    }
    Ok(head)
}

/// Writes a message: its first line, its headers and a body of known length.
pub fn write<'a>(
    first: &str,
    headers: impl IntoIterator<Item = (&'a str, &'a str)>,
    body: Option<&[u8]>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + body.map_or(0, <[u8]>::len));
    out.extend_from_slice(first.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
    }
    if let Some(body) = body {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or_default());
    out
}

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
