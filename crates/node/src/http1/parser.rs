//! The parser: one message after the other out of the bytes that have come.

use super::chunked::{chunk_size, find, line};
use super::head::parse_head;
use super::{Head, MAX_ANSWER, MAX_BODY, MAX_CHUNK_LINE, MAX_HEAD, MAX_INTERIM, ParseError, Start};
use crate::ring_buffer::{Body, BufferBudget};

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
                        if self.interim > MAX_INTERIM {
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
                    let Some(line) = line(rest, MAX_CHUNK_LINE)? else {
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
