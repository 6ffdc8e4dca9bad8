//! Discovery: the list of backends, and the calls that keep it up to date. One watch at most,
//! resumed after the last version; whether and when to ask again is the decisions' business.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use kitefork_balancer::{
    BackendId, CellId, Endpoint, EndpointState, Event, KindId, Nanos, UpdateKind, ZoneId,
};
use kitefork_settings::json::{ConfigError, Document, JsonValue};
use thiserror::Error;

use crate::clock::{MS, SECOND};
use crate::http1::{self, ParseError, Parser, Start};
use crate::net::Registration;
use crate::ring_buffer::{ReadOutcome, RingBuffer};
use crate::start_time::{StartObservation, StartTimes};
use crate::timer_wheel::Deadline;

/// A watch says something every 2 s, a call is answered or turned down within 3 s: a connection
/// silent for longer is cut off, and TCP would not tell. Short enough that what was missed is asked
/// for again before the 6 s are over after which it counts as told.
const SILENCE_TIMEOUT: Nanos = 4_200 * MS;
/// A watch that has spoken before is cut off sooner: it says something every 2 s, and what is asked
/// for anew may at first be turned down, which takes up to 3 s more.
const WATCH_SILENCE_TIMEOUT: Nanos = 3_200 * MS;
/// An object or a list is whole within this time, or its sender only trickles: such a one is as
/// good as silent, and what it withholds counts as told 6 s after it was due.
const OBJECT_TIMEOUT: Nanos = SILENCE_TIMEOUT;
/// Pieces of a call's bytes that are taken in one turn: the longest list. Guards against a sender
/// without end, which would hold the loop.
const MAX_READS_PER_ITERATION: usize = MAX_LIST_BYTES / 2048;
/// A connection to discovery that is not up by then is cut off too; asking anew finds the way back
/// sooner than TCP's own repeats.
pub const CONNECT_TIMEOUT: Nanos = 1_000 * MS;
/// A backend that is gone is remembered for this long: lists that are behind may name it once more,
/// and what is known of it should then still count. No fetch to it is out for as long.
const REMOVED_ENDPOINT_RETENTION: Nanos = 60 * SECOND;
/// More names of zones or kinds than this are not told apart.
const MAX_NAMES: usize = 1_000;
/// Longest line or list that is read.
const MAX_LIST_BYTES: usize = 4 << 20;

/// What discovery says of one backend.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    uid: String,
    endpoint: Option<SocketAddr>,
    zone: String,
    kind: String,
    cell: u16,
    state: EndpointState,
    weight: f32,
    boot_ms: u64,
}

/// The name by which `config` has it.
pub use EndpointUpdate as Update;

/// One object of discovery: changes, or the whole list.
#[derive(Debug, Clone, Default)]
pub struct EndpointUpdate {
    pub rev: u64,
    pub all: bool,
    pub entries: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    pub fn parse(text: &[u8]) -> Result<EndpointUpdate, ConfigError> {
        EndpointUpdate::read(&Document::parse(text)?.root())
    }

    pub fn read(root: &JsonValue) -> Result<EndpointUpdate, ConfigError> {
        let entries = root.get("targets")?.array()?;
        Ok(EndpointUpdate {
            rev: root.get("rev")?.integer()?,
            all: root.get("all")?.boolean()?,
            entries: entries
                .iter()
                .map(ListedEndpoint::read)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl ListedEndpoint {
    fn read(place: &JsonValue) -> Result<ListedEndpoint, ConfigError> {
        let word = place.get("state")?;
        let state = match word.string()? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            _ => return Err(word.invalid("unknown state")),
        };
        let endpoint = place
            .find("endpoint")
            .map(|e| e.string()?.parse().map_err(|_| e.invalid("not an address")));
        let endpoint = endpoint.transpose()?;
        if endpoint.is_none() && state == EndpointState::Ready {
            return Err(place.invalid("a ready backend needs an `endpoint`"));
        }
        Ok(ListedEndpoint {
            uid: place.get("uid")?.string()?.to_string(),
            endpoint,
            zone: place.get_or("az", "", JsonValue::string)?.to_string(),
            kind: place.get_or("model", "", JsonValue::string)?.to_string(),
            cell: place.get_or("pod_group", 0, JsonValue::small_integer)?,
            state,
            weight: place.get_or("capacity_hint", 1.0, JsonValue::number)? as f32,
            boot_ms: place.get_or("boot_ms", 0, JsonValue::integer)?,
        })
    }
}

/// How an update stands to what is known.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// From before the start.
    Cached,
    Current,
    /// Its count is behind: of another replica, or, after a reload, of another service.
    Older,
}

/// The backends as last told.
pub struct EndpointList {
    /// Numbers that the decisions know backends by. A uid keeps its number until it is forgotten;
    /// no number is given twice.
    ids: HashMap<String, BackendId>,
    next: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    endpoints: HashMap<BackendId, KnownEndpoint>,
    start_times: StartTimes,
}

struct KnownEndpoint {
    endpoint: Option<SocketAddr>,
    state: EndpointState,
    /// Its last start that was told.
    boot_ms: u64,
    /// The same on the node's clock; `None`: long ago.
    started: Option<Nanos>,
    /// When a list last said something new of it.
    last_update_at: Nanos,
}

impl EndpointList {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> EndpointList {
        let start_times = StartTimes::default();
        EndpointList {
            ids: HashMap::new(),
            next: 0,
            zones,
            kinds,
            endpoints: HashMap::new(),
            start_times,
        }
    }

    /// Where a backend listens, if it may be sent to.
    pub fn endpoint(&self, id: BackendId) -> Option<SocketAddr> {
        self.endpoints
            .get(&id)
            .filter(|m| m.state == EndpointState::Ready)?
            .endpoint
    }

    pub fn has_ready(&self) -> bool {
        self.endpoints
            .values()
            .any(|known| known.state == EndpointState::Ready)
    }

    /// Takes an update; gives the event for the decisions and the backends to which connections
    /// must end: those that are leaving and those that have moved. An older one is taken too, as
    /// its sender may have begun to count anew; but a backend that was told to leave is back only
    /// with a newer one, or a newer start.
    pub fn apply(
        &mut self,
        observation: &StartObservation,
        update: &EndpointUpdate,
        age: Freshness,
    ) -> (Event, Vec<BackendId>) {
        let now = observation.now;
        let mut ends = Vec::new();
        // All of them before any is dated: the youngest one tells most of the clocks.
        for entry in &update.entries {
            self.start_times.note(entry.boot_ms, now);
        }
        let mut backends: Vec<Endpoint> = update
            .entries
            .iter()
            .map(|entry| self.backend(observation, entry, age))
            .collect();
        for (entry, backend) in update
            .entries
            .iter()
            .zip(&mut backends)
            .filter(|_| age == Freshness::Older)
        {
            let removed = self
                .endpoints
                .get(&backend.id)
                .filter(|known| entry.boot_ms <= known.boot_ms);
            if let Some(removed) = removed.filter(|known| known.state != EndpointState::Ready) {
                backend.state = removed.state;
            }
        }
        if update.all {
            let listed: HashSet<BackendId> = backends.iter().map(|b| b.id).collect();
            for (id, known) in self.endpoints.iter_mut().filter(|m| !listed.contains(m.0)) {
                if known.state != EndpointState::Removed {
                    ends.push(*id);
                    (known.state, known.last_update_at) = (EndpointState::Removed, now);
                }
            }
        }
        for (entry, backend) in update.entries.iter().zip(&backends) {
            let (endpoint, state) = (entry.endpoint, backend.state);
            let before = self.endpoints.get(&backend.id);
            let moved = before.is_some_and(|before| before.endpoint != endpoint);
            let boot_ms = match before {
                Some(before) if !is_new_start(before, entry, age) => before.boot_ms,
                _ => entry.boot_ms,
            };
            let started = backend.started_at;
            self.endpoints.insert(
                backend.id,
                KnownEndpoint {
                    endpoint,
                    state,
                    boot_ms,
                    started,
                    last_update_at: now,
                },
            );
            if moved || backend.state != EndpointState::Ready {
                ends.push(backend.id);
            }
        }
        // Uids are new for ever on a day of releases.
        self.endpoints.retain(|_, m| {
            m.state != EndpointState::Removed
                || now < m.last_update_at.saturating_add(REMOVED_ENDPOINT_RETENTION)
        });
        self.ids.retain(|_, id| self.endpoints.contains_key(id));
        let kind = match (age, update.all) {
            (Freshness::Cached, _) => UpdateKind::Cached,
            (_, true) => UpdateKind::Full,
            (_, false) => UpdateKind::Delta,
        };
        (
            Event::EndpointUpdate {
                kind,
                endpoints: backends,
            },
            ends,
        )
    }

    /// The entries of an update that was taken, with the numbers of their backends, for the trace.
    pub fn lines<'a>(
        &'a self,
        update: &'a EndpointUpdate,
        now: Nanos,
    ) -> impl Iterator<Item = String> + 'a {
        update.entries.iter().filter_map(move |entry| {
            let (id, at) = (self.ids.get(&entry.uid)?, entry.endpoint.map_or("-".into(), |e| e.to_string()));
            let ListedEndpoint { uid, zone, kind, cell, state, boot_ms, .. } = entry;
            let started = self.endpoints.get(id).and_then(|known| known.started);
            let age_ms = started.map_or(-1, |at| (now as i64 - at as i64) / MS as i64);
            Some(format!(
                "b={} uid={uid} at={at} az={zone} model={kind} cell={cell} state={state:?} boot_ms={boot_ms} \
                 age_ms={age_ms}",
                id.0
            ))
        })
    }

    fn backend(
        &mut self,
        observation: &StartObservation,
        entry: &ListedEndpoint,
        age: Freshness,
    ) -> Endpoint {
        let id = *self
            .ids
            .entry(entry.uid.clone())
            .or_insert(BackendId(self.next));
        self.next += u32::from(id.0 == self.next);
        // A start is dated once: clocks that are stepped later don't make it another.
        let known = self
            .endpoints
            .get(&id)
            .filter(|known| !is_new_start(known, entry, age));
        let started = match known {
            Some(known) => known.started,
            None => self.start_times.started_at(entry.boot_ms, observation),
        };
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(entry.uid.as_bytes());
        Endpoint {
            id,
            hash: hasher.finish(),
            zone: ZoneId(place(&mut self.zones, &entry.zone)),
            cell: CellId(entry.cell),
            kind: KindId(place(&mut self.kinds, &entry.kind)),
            state: entry.state,
            weight: entry.weight,
            started_at: started,
        }
    }
}

/// Whether a list tells of another start than the one that is known. Where the wall clock was set
/// back, a new start looks earlier than the old one; a list that is behind may still tell of an old
/// one.
fn is_new_start(known: &KnownEndpoint, entry: &ListedEndpoint, age: Freshness) -> bool {
    match age {
        Freshness::Older => entry.boot_ms > known.boot_ms,
        Freshness::Cached | Freshness::Current => {
            entry.boot_ms != 0 && entry.boot_ms != known.boot_ms
        }
    }
}

/// Place of a name in the settings' list. A name that they do not know yet gets a place of its own:
/// a new kind of machine must not cost the whole list.
fn place(names: &mut Vec<String>, name: &str) -> u16 {
    let found = names.iter().position(|known| known == name);
    found.unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    }) as u16
}

/// Finds the ends of a watch's objects: the ends of lines outside of any bracket, as lists may come
/// indented.
#[derive(Default)]
struct ObjectScanner {
    seen: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl ObjectScanner {
    /// Goes on over what has come; where the first object ends, if it has.
    fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        for byte in &bytes[self.seen..] {
            self.seen += 1;
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                b'\n' if self.depth == 0 => return Some(std::mem::take(self).seen),
                _ => {}
            }
        }
        None
    }
}

/// One call to discovery: a watch, or the whole list once.
pub struct DiscoveryCall {
    pub socket: OwnedFd,
    pub watch: bool,
    pub outbox: RingBuffer,
    inbox: RingBuffer,
    parser: Parser,
    scanner: ObjectScanner,
    pub last_byte_at: Nanos,
    pub made: Nanos,
    /// When it was made, or had its last whole object or empty line.
    whole: Nanos,
    spoke: bool,
    pub deadline: Deadline,
    pub registration: Registration,
}

/// Why a call to discovery is over; the text is what the log says.
#[derive(Debug, Error)]
pub enum CallEnd {
    /// It has brought the whole list.
    #[error("done")]
    Complete,
    /// Nothing has come for too long.
    #[error("silent for too long")]
    Silent,
    /// The connection ended or broke.
    #[error("the connection ended")]
    Disconnected,
    /// The head of the answer is too long.
    #[error("a head without end")]
    EndlessHead,
    /// The answer is no HTTP.
    #[error("{0:?} answer")]
    Malformed(ParseError),
    /// Another answer than 200.
    #[error("answered {0:?}")]
    Refused(Start),
    /// The answer to a watch is complete, which it never should be.
    #[error("the watch ended")]
    WatchEnded,
    /// The answer has no body.
    #[error("no answer")]
    NoBody,
    /// The answer is no endpoint list.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// What a call has brought.
#[derive(Debug, Default)]
pub struct CallProgress {
    pub updates: Vec<EndpointUpdate>,
    /// A whole object has come, or an empty line.
    pub spoke: bool,
    /// The call is over, and why.
    pub over: Option<CallEnd>,
    /// It ended as it should.
    pub well: bool,
    /// The machine lacks something for a moment: read again a little later.
    pub later: bool,
}

impl DiscoveryCall {
    pub fn new(
        socket: OwnedFd,
        watch: bool,
        after: u64,
        host: SocketAddr,
        now: Nanos,
    ) -> DiscoveryCall {
        let query = if watch {
            format!("?watch=1&after={after}")
        } else {
            String::new()
        };
        let first = format!("GET /catalog/members{query} HTTP/1.1");
        let mut outbox = RingBuffer::new(4096);
        let sent = outbox.push(&http1::write(
            &first,
            [("host", host.to_string().as_str())],
            None,
        ));
        debug_assert!(sent, "a call fits its ring");
        let parser = Parser::responses()
            .with_most_body(MAX_LIST_BYTES)
            .allow_close_delimited();
        DiscoveryCall {
            socket,
            watch,
            outbox,
            inbox: RingBuffer::new(64 * 1024),
            parser,
            scanner: ObjectScanner::default(),
            last_byte_at: now,
            made: now,
            whole: now,
            spoke: false,
            deadline: Deadline::new(),
            registration: Registration::default(),
        }
    }

    /// When it counts as silent.
    pub fn time_limit(&self) -> Nanos {
        let silence = if self.spoke {
            WATCH_SILENCE_TIMEOUT
        } else {
            SILENCE_TIMEOUT
        };
        (self.last_byte_at + silence).min(self.whole + OBJECT_TIMEOUT)
    }

    /// Reads what has come.
    pub fn read(&mut self, now: Nanos) -> CallProgress {
        let mut progress = CallProgress::default();
        for _ in 0..MAX_READS_PER_ITERATION {
            if progress.over.is_some() {
                break;
            }
            match self.inbox.read_from(&self.socket) {
                ReadOutcome::Data => {
                    self.last_byte_at = now;
                    if let Err(fault) = self.take(&mut progress) {
                        progress.over = Some(fault);
                    }
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::RetryLater => {
                    progress.later = true;
                    break;
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken
                    if self.parser.end_of_input() && !self.watch =>
                {
                    if let Err(fault) = self.whole(&mut progress) {
                        progress.over = Some(fault);
                    }
                }
                ReadOutcome::EndOfStream | ReadOutcome::Broken => {
                    progress.over = Some(CallEnd::Disconnected)
                }
                ReadOutcome::BufferFull => progress.over = Some(CallEnd::EndlessHead),
            }
        }
        progress
    }

    fn take(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        let bytes = self.inbox.bytes();
        let used = self.parser.feed(bytes).map_err(CallEnd::Malformed)?;
        self.inbox.consume(used);
        match self.parser.head.as_ref().map(|head| &head.start) {
            None => return Ok(()),
            Some(Start::Response { status: 200 }) => {}
            Some(start) => return Err(CallEnd::Refused(start.clone())),
        }
        if self.watch {
            while let Some(end) = self.scanner.end(&self.parser.body) {
                let line = self.parser.body.split_front(end);
                (self.whole, self.spoke, progress.spoke) = (self.last_byte_at, true, true);
                // An empty line only says that discovery is there.
                if !line.trim_ascii().is_empty() {
                    progress.updates.push(EndpointUpdate::parse(&line)?);
                }
            }
        }
        if self.parser.is_done() {
            self.whole(progress)
        } else {
            Ok(())
        }
    }

    fn whole(&mut self, progress: &mut CallProgress) -> Result<(), CallEnd> {
        if self.watch {
            return Err(CallEnd::WatchEnded);
        }
        let (_, body) = self.parser.take_message().ok_or(CallEnd::NoBody)?;
        progress.updates.push(EndpointUpdate::parse(&body)?);
        (progress.over, progress.well, progress.spoke) = (Some(CallEnd::Complete), true, true);
        Ok(())
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
