//! The whole interface of the decision module: its settings, events and actions.

use thiserror::Error;

/// Clock time or a span of time, in nanoseconds.
pub type Nanos = u64;

/// A backend, the same at every proxy and over restarts of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);
/// A request, unique at one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);
/// A zone: backends and proxies of one room or site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A cell: a small group of backends that share what keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);
/// A kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);
/// Names a timer of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u32);

/// The backends that drop repeats of a keyed request among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// Repeats are dropped within `group` for `window` after the first send.
    Keyed {
        /// Who drops repeats.
        group: Group,
        /// For how long.
        window: Nanos,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub aim: Nanos,
    /// The aim grows by this multiple of a request's own work.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Nanos,
    /// Worth of one request, or of one unit of work.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still has.
    pub late_worth: f64,
    /// What repeating it does.
    pub effect: Effect,
    /// Answers come as a stream.
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its share, over all proxies.
    pub quota_per_s: f64,
}

/// What the site permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Backends may be probed.
    pub probes: bool,
    /// Longest advice to stay away that clients heed; 0 where they take none.
    pub max_retry_after: Nanos,
    /// Part of its patience after which a request that no backend has seen is turned away.
    pub untried: f64,
}

/// The figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer may come this much after the client's deadline.
    pub answer_slack: Nanos,
    /// Sends to a backend told draining or gone must stop within this time.
    pub drain_grace: Nanos,
    /// Idle connections to a backend told draining must be closed within this time of the notice
    /// or, if later, of the last send or outcome there; `None`: they may stay open.
    pub drain_close: Option<Nanos>,
    /// A backend starts at this part of its capacity or more.
    pub cold_from: f64,
    /// A backend is warm after this time.
    pub cold: Nanos,
    /// Sent more than this multiple of its capacity a cold backend falls over ...
    pub fall_multiple: f64,
    /// ... if it lasts this long.
    pub fall: Nanos,
    /// Without a subscription, news counts as told after this time without asking.
    pub ask_within: Nanos,
}

/// All that a balancer is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Zone of this proxy.
    pub zone: ZoneId,
    /// Number of this proxy among them, from 0.
    pub me: u32,
    /// Number of proxies in front of the same backends, this one included.
    pub siblings: u32,
    /// The backend list must be asked for.
    pub ask_list: bool,
    /// Shortest time between two events at different times.
    pub tick: Nanos,
    /// Worth of what a tenant sends beyond its quota, as a part of the usual.
    pub over_quota_worth: f64,
    /// Worth counts by unit of work, not by request.
    pub worth_by_work: bool,
    /// Price of an attempt that crosses zones, in worth of a mean request.
    pub cross_zone_price: f64,
    /// Weight of the tail in the goal: above 0, misses cost more than their worth, refusals in time
    /// do not.
    pub tail: f64,
    /// What the site permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            zone: ZoneId(0),
            me: 0,
            siblings: 1,
            ask_list: false,
            tick: 1_000_000,
            over_quota_worth: 1.0,
            worth_by_work: false,
            cross_zone_price: 0.0,
            tail: 0.0,
            limits: Limits {
                max_attempts: 3,
                cancel: true,
                probes: false,
                max_retry_after: 0,
                untried: 1.0,
            },
            rules: Rules {
                answer_slack: 0,
                drain_grace: 0,
                drain_close: None,
                cold_from: 1.0,
                cold: 0,
                fall_multiple: 1.0,
                fall: 1_000_000_000,
                ask_within: 10_000_000_000,
            },
        }
    }
}

impl Settings {
    /// Names the first setting without sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let (classes, rules) = (&self.classes, &self.rules);
        let sound = [
            (self.tick > 0, "tick", "must be above 0"),
            (
                classes.iter().all(|c| c.aim > 0 && c.deadline > 0),
                "classes",
                "aim and deadline must be above 0",
            ),
            (
                classes
                    .iter()
                    .all(|c| c.worth.is_finite() && c.worth >= 0.0),
                "classes",
                "worth must be 0 or more",
            ),
            (
                rules.cold_from > 0.0 && rules.cold_from <= 1.0,
                "rules.cold_from",
                "must be above 0, at most 1",
            ),
            (
                self.tail >= 0.0 && self.tail.is_finite(),
                "tail",
                "must be 0 or more",
            ),
            (
                rules.drain_close != Some(0),
                "rules.drain_close",
                "must be above 0",
            ),
            (
                rules.fall > 0 && rules.fall_multiple > 0.0,
                "rules.fall",
                "span and multiple must be above 0",
            ),
        ];
        let wrong = sound.into_iter().find(|check| !check.0);
        wrong.map_or(Ok(()), |(_, key, reason)| {
            Err(SettingsError { key, reason })
        })
    }
}

/// A setting without sense.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{key}`: {reason}")]
pub struct SettingsError {
    /// Which setting.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// State of a backend in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is removed.
    #[default]
    Gone,
}

/// An entry of the backend list.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// A number that is the same at every proxy: it orders backends alike at all of them.
    pub mark: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its state.
    pub state: BackendState,
    /// Its listed weight, to be compared with those of others.
    pub weight: f32,
    /// When its process last started; `None`: long ago.
    pub started: Option<Nanos>,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes to the list held.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as held before a restart; may be old.
    Cached,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Subject of the request; 0: none.
    pub key: u64,
    /// Time until the client stops waiting for this try.
    pub patience: Nanos,
    /// Expected work, as time on a standard core.
    pub work_hint: Option<Nanos>,
    /// The client marked it as a repeat.
    pub client_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend gave an error.
    Error,
    /// Turned away unseen: queue full, or draining.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off by the balancer.
    Cancelled,
    /// Never sent.
    Moot,
    /// The backend found fault with the request itself: another would too, and it tells nothing of
    /// this one.
    Rejected,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the backends.
    List {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A call to the list service failed or the subscription broke.
    ListFailed,
    /// A client's request.
    Request(Request),
    /// A streamed answer has started.
    FirstByte {
        /// Of which request.
        request: RequestId,
        /// On which attempt.
        attempt: u8,
    },
    /// An attempt ended.
    Outcome {
        /// Of which request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u8,
        /// Time since it was sent.
        latency: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// The request is over.
        finished: bool,
        /// Load report, if one came along; its fields as the settings name them.
        load: Vec<f32>,
    },
    /// The client left; the request is over.
    ClientGone {
        /// Which request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Which timer.
        timer: TimerId,
    },
    /// A probe ended.
    Probed {
        /// Which backend.
        backend: BackendId,
        /// Time since it was sent.
        latency: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// Load report, if one came along.
        load: Vec<f32>,
    },
    /// A message from another proxy.
    Peer {
        /// Its number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Of which request.
        request: RequestId,
        /// To which backend.
        backend: BackendId,
        /// When to abandon it.
        until: Nanos,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// Which request.
        request: RequestId,
        /// How long the client should stay away; 0: no advice.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Of which request.
        request: RequestId,
        /// Which attempt.
        attempt: u8,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// When.
        at: Nanos,
        /// Which.
        timer: TimerId,
    },
    /// Probe a backend.
    Probe {
        /// Which.
        backend: BackendId,
    },
    /// Close idle connections to a backend.
    CloseIdle {
        /// Which.
        backend: BackendId,
    },
    /// Send a message to one proxy, or to all.
    Tell {
        /// To whom; `None`: all.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the backend list, or stop.
    Subscribe(bool),
    /// Fetch the whole list once.
    FetchList,
    /// A line for the log.
    Log(String),
}
