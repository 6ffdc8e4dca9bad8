//! Client sessions: one connection of a client, and what its messages ask for.

use std::os::fd::OwnedFd;

use kitefork_balancer::{Idempotency, Nanos};
use kitefork_settings::Deployment;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use crate::arrival::Arrival;
use crate::clock::{MS, SECOND};
use crate::event_loop::{EventLoop, Token};
use crate::http1::{self, Head, MAX_ANSWER, MAX_HEAD, ParseError, Parser, Start};
use crate::net::{self, Registration, Unread};
use crate::request_table::{LocalReply, RequestSpec};
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome, RingBuffer, WriteOutcome};
use crate::rules::CloseFacts;
use crate::timer_wheel::Deadline;

/// A session that has never asked, or whose head is not whole, ends after this time: it may be one
/// of hundreds that will never say more. For a first message it counts from the connection's start
/// ...
const HEAD_TIMEOUT: Nanos = 2_500 * MS;
/// ... one whose body does not go on after this; a slow but honest one does ...
const BODY_PAUSE_TIMEOUT: Nanos = 2 * SECOND;
/// ... one that is done with a req and asks nothing more after this ...
const IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// ... one that is not through with a body, or does not read its answer, after this ...
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// ... and one whose last answer is written after this.
const LINGER_TIMEOUT: Nanos = SECOND;
/// Where descriptors are short, a client that has not asked, or not again, by then is among the
/// first to go ...
const FIRST_MESSAGE_GRACE: Nanos = 50 * MS;
/// Where many are held, it is looked this often whether some that can go are due.
pub const TRIM_INTERVAL: Nanos = FIRST_MESSAGE_GRACE / 5;
/// ... and one that has come back keeps its connection for this long before it is among those to
/// go.
const RETURNING_CLIENT_GRACE: Nanos = 2 * SECOND;
/// Up to this class of `spare`, a session is hardly missed: its client has not come back, or not
/// lately.
pub const HARDLY_MISSED: u8 = 2;
/// Pieces that are read and thrown away at most before a session closes.
const MAX_DISCARDED_READS: usize = 16;
/// Paths that clients may ask for.
const API_PATH: &str = "/api";
const HEALTH_PATH: &str = "/_health";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Messages come and go.
    Open,
    /// What is written goes out, then the connection ends.
    Closing,
    /// All is written. What still comes is thrown away: closing at once would reset the connection
    /// and could take the answer with it.
    Lingering,
}

pub struct ClientConnection {
    pub socket: OwnedFd,
    pub outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    pub state: ConnectionState,
    /// The req that it waits for.
    pub request: Option<u32>,
    /// The current message lets the connection live on.
    keep_alive: bool,
    /// When the first byte of the current message came.
    message_started_at: Option<Nanos>,
    continue_sent: bool,
    /// Its client has ended its sending, or the connection has broken. One that closes has gone,
    /// and a half-close looks the same from here.
    pub peer_closed: bool,
    /// When it came to its present state: every time limit on a client counts from here, so that a
    /// client which sends or reads a byte now and then does not stay for ever.
    since: Nanos,
    /// When the last byte came.
    last_byte_at: Nanos,
    /// How many whole messages it has had.
    message_count: u32,
    arrival: Arrival,
    pub deadline: Deadline,
    pub registration: Registration,
}

/// What reading a session came to.
pub enum ReadEvent {
    /// Nothing whole yet.
    Incomplete,
    /// The machine lacks something for a moment: read again a little later.
    RetryLater,
    /// A whole message, and when its first byte can have come at the earliest.
    Message(Head, Body, Nanos),
    Invalid(ParseError),
    /// The client has ended its sending.
    EndOfStream,
    /// The connection has broken.
    Broken,
}

impl ClientConnection {
    /// A connection that was accepted at `now`, and at `queued` at the earliest had come to be.
    pub fn new(
        socket: OwnedFd,
        now: Nanos,
        queued: Nanos,
        budget: &BufferBudget,
    ) -> ClientConnection {
        ClientConnection {
            socket,
            // An answer, its head, and a word of leave before it.
            outbox: RingBuffer::new(MAX_ANSWER + 2 * MAX_HEAD).with_budget(budget),
            inbox: RingBuffer::new(MAX_HEAD + 1024).with_budget(budget),
            parser: Parser::requests().with_budget(budget),
            state: ConnectionState::Open,
            request: None,
            keep_alive: true,
            message_started_at: None,
            continue_sent: false,
            peer_closed: false,
            since: now,
            last_byte_at: now,
            message_count: 0,
            arrival: Arrival::new(now, queued),
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// When it has taken too long over its present state.
    pub fn time_limit(&self) -> Nanos {
        let span = match self.state {
            ConnectionState::Lingering => LINGER_TIMEOUT,
            ConnectionState::Open if self.request.is_some() => return Deadline::NEVER,
            ConnectionState::Open if self.is_idle() => {
                if self.message_count > 0 {
                    IDLE_TIMEOUT
                } else {
                    HEAD_TIMEOUT
                }
            }
            ConnectionState::Open if self.outbox.is_empty() && self.parser.head.is_none() => {
                HEAD_TIMEOUT
            }
            ConnectionState::Open if self.outbox.is_empty() => {
                return (self.since + STALL_TIMEOUT).min(self.last_byte_at + BODY_PAUSE_TIMEOUT);
            }
            ConnectionState::Open | ConnectionState::Closing => STALL_TIMEOUT,
        };
        self.since.saturating_add(span)
    }

    /// How readily its descriptor is given up for a new client: least first, the oldest of equals
    /// first. `None`: not at all, as it waits for a req or an answer is on its way.
    ///
    /// Some clients ask once and then keep their connection for good, others say nothing at all;
    /// those that have come back are of use. By age alone, a flood of the former would push the
    /// latter out.
    pub fn eviction_rank(&self, now: Nanos) -> Option<(u8, Nanos)> {
        let free = self.request.is_none() && self.outbox.is_empty();
        let age = now.saturating_sub(self.since);
        let class = match self.state {
            ConnectionState::Open if self.is_idle() => match self.message_count {
                1 if age > FIRST_MESSAGE_GRACE => 0,
                0 if age > FIRST_MESSAGE_GRACE => 1,
                2.. if age > RETURNING_CLIENT_GRACE => 2,
                0 | 1 => 4,
                _ => 5,
            },
            ConnectionState::Lingering => 3,
            ConnectionState::Open | ConnectionState::Closing => 6,
        };
        free.then_some((class, self.since))
    }

    /// Writes what it can.
    pub fn flush(&mut self, now: Nanos) -> WriteOutcome {
        let written = self.outbox.write_to(&self.socket);
        if self.state == ConnectionState::Closing && self.outbox.is_empty() {
            let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write);
            (self.state, self.since) = (ConnectionState::Lingering, now);
        }
        written
    }

    /// It has had a whole message.
    pub fn has_sent_message(&self) -> bool {
        self.message_count > 0
    }

    /// It stands between two messages.
    pub fn is_idle(&self) -> bool {
        let still =
            self.inbox.is_empty() && self.outbox.is_empty() && self.message_started_at.is_none();
        self.state == ConnectionState::Open && self.request.is_none() && still
    }

    /// Its last message is answered, and the next has come behind it.
    pub fn has_next(&self) -> bool {
        let free =
            self.state == ConnectionState::Open && self.request.is_none() && self.outbox.is_empty();
        free && self.parser.is_at_start() && !self.inbox.is_empty()
    }

    /// The inbox has no room until the current req is over and its answer written.
    pub fn is_input_full(&self) -> bool {
        self.inbox.len() > MAX_HEAD
    }

    /// Reads what has come, up to a whole message. While a req is under way or an answer is not
    /// written, what comes waits in the ring. `looked` is when the loop last saw all sockets
    /// without an event.
    pub fn read(&mut self, now: Nanos, previous_poll_at: Nanos) -> ReadEvent {
        let arrived_at = self.arrival.earliest_arrival(now, previous_poll_at);
        let mut fresh = false;
        loop {
            if self.state == ConnectionState::Open
                && self.request.is_none()
                && self.outbox.is_empty()
                && let Some(event) = self.parse(now)
            {
                if matches!(event, ReadEvent::Message(..)) {
                    // What lies behind a message that has only now become whole came with its end.
                    if fresh {
                        self.arrival.oldest = arrived_at;
                    }
                    self.check_end_of_stream(now, arrived_at);
                }
                return event;
            }
            let was_empty = self.inbox.is_empty();
            match self.inbox.read_from(&self.socket) {
                // One piece a round: a client that never stops must not hold the loop.
                ReadOutcome::Data if self.state != ConnectionState::Open => {
                    let count = self.inbox.len();
                    self.inbox.consume(count);
                    return ReadEvent::Incomplete;
                }
                ReadOutcome::Data => {
                    self.last_byte_at = now;
                    fresh = true;
                    if was_empty {
                        self.arrival.oldest = arrived_at;
                    }
                }
                ReadOutcome::WouldBlock => {
                    self.arrival.emptied(now);
                    return ReadEvent::Incomplete;
                }
                ReadOutcome::BufferFull => {
                    self.arrival.unread = true;
                    return ReadEvent::Incomplete;
                }
                ReadOutcome::RetryLater => {
                    self.arrival.unread = true;
                    return ReadEvent::RetryLater;
                }
                ReadOutcome::EndOfStream => return ReadEvent::EndOfStream,
                ReadOutcome::Broken => return ReadEvent::Broken,
            }
        }
    }

    /// Looks whether the client has left behind its message, as it may have while that waited in
    /// the accept queue, in a buffer or through a stall.
    fn check_end_of_stream(&mut self, now: Nanos, arrived_at: Nanos) {
        self.peer_closed |= loop {
            if self.inbox.is_empty() {
                self.arrival.oldest = arrived_at;
            }
            match self.inbox.read_from(&self.socket) {
                ReadOutcome::Data => {}
                ReadOutcome::WouldBlock => {
                    self.arrival.emptied(now);
                    break false;
                }
                ReadOutcome::BufferFull | ReadOutcome::RetryLater => {
                    self.arrival.unread = true;
                    break net::has_peer_closed(&self.socket);
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken => break true,
            }
        };
    }

    /// What decides whether it may be closed for a reason of the node's own.
    pub fn close_facts(&self) -> CloseFacts {
        let answer_owed = self.request.is_some() || !self.outbox.is_empty();
        CloseFacts {
            answer_owed,
            unread: self.may_have_unread() || self.has_next(),
        }
    }

    /// Bytes may have come, maybe of a request, that nobody has read.
    pub fn may_have_unread(&self) -> bool {
        self.state == ConnectionState::Open
            && matches!(net::unread(&self.socket), Unread::Bytes | Unread::Unknown)
    }

    /// The last turn before its socket closes. With bytes unread that is a reset, which throws away
    /// what the kernel has not yet sent of an answer. The end goes out first: a request that comes
    /// in this very moment has met a close, and its client asks again elsewhere; read before the
    /// end it would look taken.
    pub fn close_gracefully(&mut self) {
        if self.message_count == 0 && self.state == ConnectionState::Open {
            return;
        }
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Write);
        for _ in 0..MAX_DISCARDED_READS {
            let count = self.inbox.len();
            self.inbox.consume(count);
            if self.inbox.read_from(&self.socket) != ReadOutcome::Data {
                return;
            }
        }
    }

    /// From `now` on, these events are given for it.
    ///
    /// # Errors
    ///
    /// As [`Registration::set`].
    pub fn watch(
        &mut self,
        event_loop: &EventLoop,
        token: Token,
        wanted: EventFlags,
        now: Nanos,
    ) -> Result<(), Errno> {
        let was_watched = self.registration.flags().contains(EventFlags::IN);
        event_loop.register(&mut self.registration, &self.socket, token, wanted)?;
        if wanted.contains(EventFlags::IN) && !was_watched {
            self.arrival.watched = now;
        }
        Ok(())
    }

    fn parse(&mut self, now: Nanos) -> Option<ReadEvent> {
        if self.inbox.is_empty() {
            return None;
        }
        if self.message_started_at.is_none() {
            self.message_started_at = Some(self.arrival.oldest);
            self.since = if self.message_count > 0 {
                now
            } else {
                self.since
            };
        }
        let used = match self.parser.feed(self.inbox.bytes()) {
            Ok(used) => used,
            Err(bad) => return Some(ReadEvent::Invalid(bad)),
        };
        self.inbox.consume(used);
        if self.parser.awaits_body()
            && !self.continue_sent
            && self
                .parser
                .head
                .as_ref()
                .is_some_and(Head::expects_continue)
        {
            // Small, and before any answer: it always fits.
            self.continue_sent = self.outbox.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        if self.parser.is_at_start() && self.inbox.is_empty() {
            self.message_started_at = None;
        }
        let (head, body) = self.parser.take_message()?;
        (self.keep_alive, self.message_count) =
            (head.keep_alive, self.message_count.saturating_add(1));
        self.continue_sent = false;
        Some(ReadEvent::Message(
            head,
            body,
            self.message_started_at.take().unwrap_or(now),
        ))
    }

    /// Puts an answer in the outbox; `end` ends the connection after it.
    pub fn answer(
        &mut self,
        now: Nanos,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        end: bool,
    ) {
        (self.request, self.since) = (None, now);
        let end = end || !self.keep_alive;
        let last = end.then_some(("connection", "close"));
        let first = format!("HTTP/1.1 {status} {}", phrase(status));
        let bytes = http1::write(&first, headers.iter().copied().chain(last), Some(body));
        // An answer that doesn't fit can't be told from none: the connection ends without a whole
        // one.
        if !self.outbox.push(&bytes) || end {
            self.state = ConnectionState::Closing;
        }
    }
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        // A backend's own; the words mean nothing to a reader.
        _ => "Rejected",
    }
}

/// Status for a message that can't be read.
pub fn status_of(bad: ParseError) -> u16 {
    match bad {
        ParseError::Malformed => 400,
        ParseError::HeadTooLarge => 431,
        ParseError::BodyTooLarge => 413,
        ParseError::UnsupportedVersion => 505,
        ParseError::BufferBudgetSpent => 503,
    }
}

/// Status and `Retry-After` of an answer that no backend made.
pub fn status_and_advice(answer: LocalReply) -> (u16, Option<String>) {
    match answer {
        LocalReply::Rejected { retry_after: 0 } => (503, None),
        // Whole seconds are what every client reads.
        LocalReply::Rejected { retry_after } => {
            (503, Some(retry_after.div_ceil(SECOND).to_string()))
        }
        LocalReply::Failed => (502, None),
        LocalReply::TimedOut => (504, None),
    }
}

/// A req on its way to a backend, as this protocol carries it.
pub struct ForwardedRequest {
    head: Head,
    body: Body,
}

impl ForwardedRequest {
    /// What the client's own repeats of it share, for the trace.
    pub fn key(&self) -> &str {
        self.head
            .unique("idempotency-key")
            .ok()
            .flatten()
            .unwrap_or("-")
    }

    /// The bytes for a backend that has `left_ms` milliseconds to answer.
    pub fn bytes(&self, timeout_ms: u64) -> Vec<u8> {
        let Start::Request { method, target } = &self.head.start else {
            return Vec::new();
        };
        let timeout = timeout_ms.to_string();
        let headers = self
            .head
            .end_to_end_headers()
            .filter(|(name, _)| *name != "x-remaining-ms");
        // A client of HTTP/1.0 need not name a host; backends speak 1.1.
        let host = self
            .head
            .unique("host")
            .is_ok_and(|host| host.is_none())
            .then_some(("host", "kitefork"));
        let headers = host.into_iter().chain(headers).chain([
            ("x-remaining-ms", timeout.as_str()),
            ("via", "1.1 kitefork"),
        ]);
        let body = (method != "GET" || !self.body.is_empty()).then_some(&*self.body);
        http1::write(&format!("{method} {target} HTTP/1.1"), headers, body)
    }
}

/// What a message asks for.
pub enum Route {
    Health,
    Request(RequestSpec, ForwardedRequest),
    /// It is answered with this status, and why.
    Wrong(u16, &'static str),
}

/// Reads what a message asks for. What is wrong with it is found here, before the decisions or a
/// backend come to see it.
pub fn route(head: Head, body: Body, deployment: &Deployment, waited: Nanos) -> Route {
    match spec(&head, deployment, waited) {
        Ok(Some(spec)) => Route::Request(spec, ForwardedRequest { head, body }),
        Ok(None) => Route::Health,
        Err((status, why)) => Route::Wrong(status, why),
    }
}

fn spec(
    head: &Head,
    deployment: &Deployment,
    waited: Nanos,
) -> Result<Option<RequestSpec>, (u16, &'static str)> {
    let Start::Request { method, target } = &head.start else {
        return Err((400, "not a request"));
    };
    let path = target.split('?').next().unwrap_or_default();
    if path == HEALTH_PATH {
        return if method == "GET" {
            Ok(None)
        } else {
            Err((405, "GET"))
        };
    }
    if path != API_PATH {
        return Err((404, "no such path"));
    }
    if !matches!(method.as_str(), "GET" | "POST") {
        return Err((405, "GET, POST"));
    }
    let header = |name| {
        head.unique(name)
            .map_err(|_| (400, "a header stands twice"))
    };
    let place = |names: &[String], name: Option<&str>| {
        names
            .iter()
            .position(|known| name == Some(known))
            .and_then(|place| u16::try_from(place).ok())
    };
    let printable = |text: &&str| !text.is_empty() && text.len() <= 256;
    let txn = header("x-txn")?
        .filter(printable)
        .ok_or((400, "X-Txn is missing or bad"))?;
    let class = place(&deployment.classes, header("x-lane")?)
        .ok_or((400, "X-Lane is missing or unknown"))?;
    let tenant = match header("x-org")? {
        None if deployment.tenants.is_empty() => 0,
        name => place(&deployment.tenants, name).ok_or((400, "X-Org is missing or unknown"))?,
    };
    let figure = |name, why| match header(name)? {
        None => Ok(None),
        Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => text
            .parse::<u32>()
            .map(|n| Some(Nanos::from(n)))
            .map_err(|_| (400, why)),
        Some(_) => Err((400, why)),
    };
    let remaining = figure("x-remaining-ms", "X-Remaining-Ms is bad")?;
    let remaining = remaining.ok_or((400, "X-Remaining-Ms is missing"))?;
    let estimate = figure("x-estimate", "X-Estimate is bad")?;
    // The class fixes the method, and a keyed req must have its key: without it backends can't drop
    // repeats.
    let safe =
        deployment.settings.classes[usize::from(class)].idempotency == Idempotency::Idempotent;
    match (method.as_str(), safe) {
        ("GET", false) => return Err((405, "POST")),
        ("POST", true) => return Err((405, "GET")),
        _ => {}
    }
    let keyed = matches!(
        deployment.settings.classes[usize::from(class)].idempotency,
        Idempotency::IdempotencyKey { .. }
    );
    if keyed && header("idempotency-key")?.is_none_or(str::is_empty) {
        return Err((400, "Idempotency-Key is missing"));
    }
    Ok(Some(RequestSpec {
        txn: txn.into(),
        class,
        tenant,
        // Counted from when the client sent it: what its last bytes took to come has passed.
        client_timeout: (remaining * MS).saturating_sub(waited),
        work_hint: estimate.map(|us| us * 1_000),
        client_retry: header("x-resent")? == Some("1"),
    }))
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
