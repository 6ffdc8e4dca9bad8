//! The parser: a state machine that is fed the bytes of a connection and yields consecutive
//! messages.
//!
//! ```text
//! Head -> Length -------------------------------------------> Done
//!      -> ChunkSize -> ChunkData -> ChunkEnd -> ChunkSize ...
//!                   -> Trailers ----------------------------> Done
//!      -> UntilClose -- end of input -----------------------> Done
//!      -> Done (no body)                  Done -- take_message -> Head
//! ```

use super::chunked::{MAX_CHUNK_LINE, chunk_size};
use super::framing::BodyFraming;
use super::head::MessageKind;
use super::lines::{CRLF, find, first_line};
use super::{Head, MAX_HEAD, MAX_REQUEST_BODY, MAX_RESPONSE_BODY, ParseError, Start};
use crate::ring_buffer::{Body, BufferBudget};

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Maximum number of interim responses (1xx) before a final one: without a limit a backend could
/// send them forever.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The part of a message that the parser expects next.
enum State {
    /// The head. The first `scanned` bytes of the input have already been searched for its end.
    Head { scanned: usize },
    /// The rest of a body of known length.
    Length { remaining: usize },
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The rest of a chunk.
    ChunkData { remaining: usize },
    /// The CRLF after a chunk.
    ChunkEnd,
    /// The trailers and the empty line after them; `length` bytes of them have been read.
    Trailers { length: usize },
    /// A body that ends when the connection closes.
    UntilClose,
    /// Nothing: the message is complete.
    Done,
}

/// The result of one step of the state machine, with the number of input bytes that it consumed.
enum Step {
    /// The parser has entered another state, which can process the rest of the input.
    Advanced(usize),
    /// The parser needs more input than it has been fed, or the message is complete.
    NeedsInput(usize),
}

/// An incremental parser of consecutive messages.
pub struct Parser {
    kind: MessageKind,
    /// Maximum length of the buffered body, in bytes. A body whose bytes are removed while it is
    /// received may be longer in total.
    max_body: usize,
    allow_close_delimited: bool,
    interim_responses: u32,
    state: State,
    /// The head of the current message; `None` while the head is incomplete.
    pub head: Option<Head>,
    /// The part of the body that has been received and not been removed.
    pub body: Body,
}

impl Parser {
    /// A parser of requests whose bodies have up to [`MAX_REQUEST_BODY`] bytes.
    pub fn requests() -> Parser {
        Parser::new(MessageKind::Request, MAX_REQUEST_BODY)
    }

    /// A parser of responses whose bodies have up to [`MAX_RESPONSE_BODY`] bytes. Responses whose
    /// body ends when the connection closes are rejected.
    pub fn responses() -> Parser {
        Parser::new(MessageKind::Response, MAX_RESPONSE_BODY)
    }

    fn new(kind: MessageKind, max_body: usize) -> Parser {
        Parser {
            kind,
            max_body,
            allow_close_delimited: false,
            interim_responses: 0,
            state: State::Head { scanned: 0 },
            head: None,
            body: Body::default(),
        }
    }

    /// Limits bodies to `max_body` bytes instead of the default limit for requests or responses.
    pub fn with_max_body(self, max_body: usize) -> Parser {
        Parser { max_body, ..self }
    }

    /// Accepts responses whose body ends when the connection closes. If the peer closes the
    /// connection early, that can't be distinguished from the end of the body: a truncated body
    /// counts as complete, and only its content can show that it is truncated.
    pub fn allow_close_delimited(self) -> Parser {
        Parser {
            allow_close_delimited: true,
            ..self
        }
    }

    /// Counts the bytes of bodies against `budget`.
    pub fn with_budget(self, budget: &BufferBudget) -> Parser {
        Parser {
            body: Body::with_budget(budget),
            ..self
        }
    }

    /// Parses `input` up to the end of a message and returns the number of bytes consumed. The
    /// caller must feed the remaining bytes again, followed by new ones.
    ///
    /// # Errors
    ///
    /// The reason why the message can't be parsed. The parser can't be used afterwards.
    pub fn feed(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            match self.step(&input[consumed..])? {
                Step::Advanced(count) => consumed += count,
                Step::NeedsInput(count) => return Ok(consumed + count),
            }
        }
    }

    /// Whether the current message is complete, so that it can be taken.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Whether no part of the next message has been parsed or scanned.
    pub fn is_at_start(&self) -> bool {
        matches!(self.state, State::Head { scanned: 0 })
    }

    /// Whether the head is complete and no byte of the expected body has been received.
    pub fn awaits_body(&self) -> bool {
        self.body.is_empty() && matches!(self.state, State::Length { .. } | State::ChunkSize)
    }

    /// Number of bytes of the body that have not been received; `None` unless the body's length is
    /// known.
    pub fn remaining_body(&self) -> Option<usize> {
        match self.state {
            State::Length { remaining } => Some(remaining),
            _ => None,
        }
    }

    /// Handles the end of the peer's stream, which completes a close-delimited body. Returns
    /// whether the message is complete.
    pub fn end_of_input(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Removes and returns the message, and prepares for the next one; `None` if it is not
    /// complete.
    pub fn take_message(&mut self) -> Option<(Head, Body)> {
        if !self.is_done() {
            return None;
        }
        let head = self.head.take()?;
        self.state = State::Head { scanned: 0 };
        self.interim_responses = 0;
        Some((head, self.body.take()))
    }

    fn step(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        match self.state {
            State::Head { scanned } => self.read_head(input, scanned),
            State::Length { remaining } => self.read_length(input, remaining),
            State::ChunkSize => self.read_chunk_size(input),
            State::ChunkData { remaining } => self.read_chunk_data(input, remaining),
            State::ChunkEnd => self.read_chunk_end(input),
            State::Trailers { length } => self.read_trailer(input, length),
            State::UntilClose => self.read_until_close(input),
            State::Done => Ok(Step::NeedsInput(0)),
        }
    }

    fn advance(&mut self, state: State, consumed: usize) -> Result<Step, ParseError> {
        self.state = state;
        Ok(Step::Advanced(consumed))
    }

    fn read_head(&mut self, input: &[u8], scanned: usize) -> Result<Step, ParseError> {
        // Empty lines before a request line are ignored (RFC 9112, section 2.2).
        if self.kind == MessageKind::Request && input.starts_with(CRLF) {
            return self.advance(State::Head { scanned: 0 }, CRLF.len());
        }
        let Some(end) = find_head_end(input, scanned) else {
            if input.len() > MAX_HEAD {
                return Err(ParseError::HeadTooLarge);
            }
            self.state = State::Head {
                scanned: input.len(),
            };
            return Ok(Step::NeedsInput(0));
        };
        if end > MAX_HEAD {
            return Err(ParseError::HeadTooLarge);
        }
        let head = Head::parse(&input[..end - CRLF.len()], self.kind)?;
        let next = if matches!(head.start, Start::Response { status: 100..=199 }) {
            self.count_interim_response()?;
            State::Head { scanned: 0 }
        } else {
            let next = self.body_state(&head)?;
            self.head = Some(head);
            next
        };
        self.advance(next, end)
    }

    fn count_interim_response(&mut self) -> Result<(), ParseError> {
        self.interim_responses += 1;
        if self.interim_responses > MAX_INTERIM_RESPONSES {
            return Err(ParseError::Malformed);
        }
        Ok(())
    }

    fn body_state(&self, head: &Head) -> Result<State, ParseError> {
        match BodyFraming::from_head(head, self.max_body)? {
            BodyFraming::Empty => Ok(State::Done),
            BodyFraming::Length(remaining) => Ok(State::Length { remaining }),
            BodyFraming::Chunked => Ok(State::ChunkSize),
            BodyFraming::UntilClose if self.allow_close_delimited => Ok(State::UntilClose),
            BodyFraming::UntilClose => Err(ParseError::Malformed),
        }
    }

    fn read_length(&mut self, input: &[u8], remaining: usize) -> Result<Step, ParseError> {
        let count = self.append_up_to(remaining, input)?;
        if count == remaining {
            return self.advance(State::Done, count);
        }
        self.state = State::Length {
            remaining: remaining - count,
        };
        Ok(Step::NeedsInput(count))
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        let Some(line) = first_line(input, MAX_CHUNK_LINE)? else {
            return Ok(Step::NeedsInput(0));
        };
        let next = match chunk_size(line)? {
            0 => State::Trailers { length: 0 },
            remaining => State::ChunkData { remaining },
        };
        self.advance(next, line.len() + CRLF.len())
    }

    fn read_chunk_data(&mut self, input: &[u8], remaining: usize) -> Result<Step, ParseError> {
        let count = self.append_up_to(remaining, input)?;
        if count == remaining {
            return self.advance(State::ChunkEnd, count);
        }
        self.state = State::ChunkData {
            remaining: remaining - count,
        };
        Ok(Step::NeedsInput(count))
    }

    fn read_chunk_end(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        if input.len() < CRLF.len() {
            return Ok(Step::NeedsInput(0));
        }
        if !input.starts_with(CRLF) {
            return Err(ParseError::Malformed);
        }
        self.advance(State::ChunkSize, CRLF.len())
    }

    /// Skips one line of the trailers, whose total length has the same limit as a head.
    fn read_trailer(&mut self, input: &[u8], length: usize) -> Result<Step, ParseError> {
        let Some(line) = first_line(input, MAX_HEAD)? else {
            return Ok(Step::NeedsInput(0));
        };
        if length + line.len() > MAX_HEAD {
            return Err(ParseError::HeadTooLarge);
        }
        let consumed = line.len() + CRLF.len();
        let next = if line.is_empty() {
            State::Done
        } else {
            State::Trailers {
                length: length + consumed,
            }
        };
        self.advance(next, consumed)
    }

    fn read_until_close(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        self.append(input)?;
        Ok(Step::NeedsInput(input.len()))
    }

    /// Appends at most `limit` bytes of `input` to the body and returns their number.
    fn append_up_to(&mut self, limit: usize, input: &[u8]) -> Result<usize, ParseError> {
        let count = limit.min(input.len());
        self.append(&input[..count])?;
        Ok(count)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.body.len() + bytes.len() > self.max_body {
            return Err(ParseError::BodyTooLarge);
        }
        if !self.body.extend(bytes) {
            return Err(ParseError::BufferBudgetSpent);
        }
        Ok(())
    }
}

/// Length of the head including its empty line; `None` if the input has no end of a head. The first
/// `scanned` bytes contain no complete end, but may contain the beginning of one.
fn find_head_end(input: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.min(input.len()).saturating_sub(HEAD_END.len() - 1);
    let start = from + find(&input[from..], HEAD_END)?;
    Some(start + HEAD_END.len())
}
