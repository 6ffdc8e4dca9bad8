//! Fetches: connections to backends, each carrying one attempt at a time, and the pool of idle
//! ones.

use std::collections::BTreeMap;
use std::os::fd::OwnedFd;

use kitefork_balancer::{BackendId, Nanos, Outcome};
use rustix::net::sockopt;

use crate::clock::{MS, SECOND};
use crate::http1::{Head, MAX_BODY, MAX_HEAD, Parser, Start};
use crate::net::{self, Registration, Unread};
use crate::ring_buffer::{Body, BufferBudget, ReadOutcome, RingBuffer, WriteOutcome};
use crate::timer_wheel::Deadline;

/// Once some backend has said more than it was asked, for so long ...
const SUSPICION_PERIOD: Nanos = 60 * SECOND;
/// ... a connection carries no other request for this long after an answer. Guards against a second
/// answer that comes some milliseconds late: it would be taken for the next request's. Not always,
/// as it costs connections.
const REUSE_DELAY: Nanos = 10 * MS;

/// What a fetch is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAttempt {
    Request { request: u32, attempt: u8 },
    HealthCheck { backend: BackendId, sent: Nanos },
}

impl UpstreamAttempt {
    /// It is an attempt of this request.
    pub fn is_attempt_of(self, request: u32) -> bool {
        matches!(self, UpstreamAttempt::Request { request: owner, .. } if owner == request)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// The connection is not up.
    Connecting,
    /// Up, and nothing of the request is written: that takes a permit.
    Connected,
    /// The request is not written whole.
    Sending,
    /// All is written: the backend may be at work.
    Waiting,
    /// In the pool.
    Idle,
}

pub struct UpstreamConnection {
    pub socket: OwnedFd,
    pub backend: BackendId,
    pub state: UpstreamState,
    pub job: Option<UpstreamAttempt>,
    /// When its attempt is given up; in the pool, when it is too old to be used again.
    pub abandon_at: Nanos,
    pub write_by: Nanos,
    /// The attempt has waited for news of the list to be read.
    pub waited_for_discovery: bool,
    pub outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    pub deadline: Deadline,
    pub registration: Registration,
}

/// Whether a connection can carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    Yes,
    No,
    /// More has come on it than was asked for.
    UnexpectedBytes,
}

/// What has become of a fetch.
pub enum Progress {
    Going,
    /// The machine lacks something for a moment: go on a little later.
    Later,
    /// The connection is up; the request is to be begun.
    Connected,
    /// A whole answer.
    Answered(Head, Body, Reuse),
    Failed(Outcome),
    /// An idle connection that can't be used again.
    Stale(Reuse),
}

impl UpstreamConnection {
    pub fn new(socket: OwnedFd, backend: BackendId, budget: &BufferBudget) -> UpstreamConnection {
        UpstreamConnection {
            socket,
            backend,
            state: UpstreamState::Connecting,
            job: None,
            abandon_at: 0,
            write_by: Nanos::MAX,
            waited_for_discovery: false,
            // A head as long as a client's, and what the node adds to it.
            outbox: RingBuffer::new(MAX_BODY + 2 * MAX_HEAD).with_budget(budget),
            inbox: RingBuffer::new(MAX_HEAD + 1024).with_budget(budget),
            // An answer may have neither length nor chunks: an orderly end of the connection makes
            // it whole, a reset does not.
            parser: Parser::responses()
                .allow_close_delimited()
                .with_budget(budget),
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// It carries an attempt of this request that is not written whole, and so never ran.
    pub fn is_unwritten_of(&self, request: u32) -> bool {
        self.job.is_some_and(|job| job.is_attempt_of(request))
            && self.state != UpstreamState::Waiting
    }

    /// How an attempt ends that is broken off now: what is not written whole never ran.
    pub fn outcome_if_closed(&self, after: Outcome) -> Outcome {
        if self.state == UpstreamState::Waiting {
            after
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Begins the request; `false` where it is too long for the outbox.
    #[must_use]
    pub fn begin(&mut self, bytes: &[u8]) -> bool {
        self.state = UpstreamState::Sending;
        self.outbox.push(bytes)
    }

    /// Goes on after the socket has become ready, or a request has been put in the outbox.
    pub fn advance(&mut self, ready: bool) -> Progress {
        if self.state == UpstreamState::Connecting {
            if !ready {
                return Progress::Going;
            }
            match sockopt::socket_error(&self.socket) {
                Ok(Ok(())) => self.state = UpstreamState::Connected,
                _ => return Progress::Failed(Outcome::ConnectFailed),
            }
        }
        if self.state == UpstreamState::Connected {
            return Progress::Connected;
        }
        let written = if self.state == UpstreamState::Sending {
            self.outbox.write_to(&self.socket)
        } else {
            WriteOutcome::Done
        };
        if self.state == UpstreamState::Sending && self.outbox.is_empty() {
            self.state = UpstreamState::Waiting;
        }
        // A backend that turns a request away may answer and close before it has read all of it.
        match self.read() {
            Progress::Going if written == WriteOutcome::Broken => {
                Progress::Failed(Outcome::ConnectFailed)
            }
            Progress::Going if written == WriteOutcome::RetryLater => Progress::Later,
            other => other,
        }
    }

    fn read(&mut self) -> Progress {
        loop {
            let ended = match self.inbox.read_from(&self.socket) {
                // Bytes that nobody asked for.
                ReadOutcome::Data if self.state == UpstreamState::Idle => {
                    return Progress::Stale(Reuse::UnexpectedBytes);
                }
                ReadOutcome::Data => false,
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return Progress::Going,
                ReadOutcome::RetryLater => return Progress::Later,
                ReadOutcome::EndOfStream if self.state == UpstreamState::Idle => {
                    return self.closed_by_peer();
                }
                ReadOutcome::EndOfStream => true,
                ReadOutcome::Broken => return self.closed_by_peer(),
            };
            let used = match self.parser.feed(self.inbox.bytes()) {
                Ok(used) => used,
                Err(_) => return Progress::Failed(self.outcome_if_closed(Outcome::Reset)),
            };
            self.inbox.consume(used);
            if ended && !self.parser.end_of_input() {
                return self.closed_by_peer();
            }
            if let Some((head, body)) = self.parser.take_message() {
                let is_sent = self.state == UpstreamState::Waiting;
                // It can't be the answer to what is not sent yet, whoever's it is.
                if !is_sent && outcome(&head) == Outcome::Success {
                    return Progress::Failed(Outcome::ConnectFailed);
                }
                // What comes behind an answer would be taken for the next one.
                let behind = if ended {
                    ReadOutcome::EndOfStream
                } else {
                    self.inbox.read_from(&self.socket)
                };
                let reuse = match behind {
                    _ if !self.inbox.is_empty() => Reuse::UnexpectedBytes,
                    ReadOutcome::WouldBlock if head.keep_alive && is_sent => Reuse::Yes,
                    _ => Reuse::No,
                };
                return Progress::Answered(head, body, reuse);
            }
        }
    }

    fn closed_by_peer(&self) -> Progress {
        if self.state == UpstreamState::Idle {
            Progress::Stale(Reuse::No)
        } else {
            Progress::Failed(self.outcome_if_closed(Outcome::Reset))
        }
    }

    /// Whether an idle connection is still good: neither an end nor stray bytes have come.
    pub fn check_reuse(&self) -> Reuse {
        match net::unread(&self.socket) {
            Unread::Nothing => Reuse::Yes,
            Unread::Bytes => Reuse::UnexpectedBytes,
            Unread::End | Unread::Unknown => Reuse::No,
        }
    }
}

/// What a backend's answer means for the attempt.
pub fn outcome(head: &Head) -> Outcome {
    match head.start {
        Start::Response { status: 200 } => Outcome::Success,
        // Overload and haste are told by a 4xx too, but they are no fault of the req's.
        Start::Response {
            status: 408 | 425 | 429,
        } => Outcome::Error,
        Start::Response { status: 400..=499 } => Outcome::BadRequest,
        Start::Response { status: 503 | 504 } if head.unique("x-turned-away") == Ok(Some("1")) => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// The idle connections of each backend, the newest last, and since when they are idle.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<BackendId, Vec<(u32, Nanos)>>,
    suspect_until: Nanos,
}

impl Pool {
    pub fn put(&mut self, backend: BackendId, number: u32, now: Nanos) {
        self.idle.entry(backend).or_default().push((number, now));
    }

    /// What a connection has shown of its backend.
    pub fn note(&mut self, reuse: Reuse, now: Nanos) {
        if reuse == Reuse::UnexpectedBytes {
            self.suspect_until = now.saturating_add(SUSPICION_PERIOD);
        }
    }

    /// The newest that may be used: the older ones get to age out.
    pub fn take(&mut self, backend: BackendId, now: Nanos) -> Option<u32> {
        let rest = if now < self.suspect_until {
            REUSE_DELAY
        } else {
            0
        };
        let idle = self.idle.get_mut(&backend)?;
        let place = idle
            .iter()
            .rposition(|(_, since)| now >= since.saturating_add(rest))?;
        Some(idle.remove(place).0)
    }

    pub fn remove(&mut self, backend: BackendId, number: u32) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|(n, _)| *n != number);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// All idle connections of a backend, out of the pool.
    pub fn drain(&mut self, backend: BackendId) -> Vec<u32> {
        self.idle
            .remove(&backend)
            .unwrap_or_default()
            .into_iter()
            .map(|(number, _)| number)
            .collect()
    }

    /// Some idle connection, out of the pool: the oldest of the backend with the most.
    pub fn evict(&mut self) -> Option<u32> {
        let most = self.idle.values_mut().max_by_key(|idle| idle.len())?;
        (!most.is_empty()).then(|| most.remove(0).0)
    }
}

#[cfg(test)]
#[path = "fetch_tests.rs"]
mod tests;
