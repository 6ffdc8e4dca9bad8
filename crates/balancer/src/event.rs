//! What a balancer is notified of: requests of clients, the ends of attempts, changes of the
//! endpoint list.

use crate::ids::{BackendId, CellId, ClassId, KindId, Nanos, RequestId, TenantId, TimerId, ZoneId};

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is removed.
    #[default]
    Removed,
}

/// An entry of the endpoint list: what discovery says of one backend.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Which backend.
    pub id: BackendId,
    /// A hash of its name, the same at every proxy: all of them order backends alike by it.
    pub hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its state.
    pub state: EndpointState,
    /// Its listed weight, to be compared with those of others.
    pub weight: f32,
    /// When its process last started; `None`: long ago.
    pub started_at: Option<Nanos>,
}

/// How an update of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changes to the list as known.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as known before a restart; may be stale.
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
    /// Time until the client stops waiting for this request.
    pub client_timeout: Nanos,
    /// Expected work, as time on a standard core.
    pub work_hint: Option<Nanos>,
    /// The client marked it as a retry of its own.
    pub client_retry: bool,
    /// It changes state at the backend.
    pub is_write: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The backend answered with an error.
    Error,
    /// Rejected by the backend without being executed: its queue is full, or it drains.
    Overloaded,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by the balancer.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The backend found fault with the request itself: another backend would too, and it says
    /// nothing of this one.
    BadRequest,
}

impl Outcome {
    /// Whether the outcome proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointUpdate {
        /// How to read it.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A poll of the endpoint list failed, or the watch broke.
    DiscoveryFailed,
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
    AttemptEnded {
        /// Of which request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u8,
        /// Time since it was sent.
        latency: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer.
        finished: bool,
        /// Load report of the backend, if one came along; its fields as the settings name them.
        load_report: Vec<f32>,
    },
    /// The client closed its connection; the request is over.
    ClientDisconnected {
        /// Which request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Which timer.
        timer: TimerId,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// Of which backend.
        backend: BackendId,
        /// Time since it was sent.
        latency: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// Load report of the backend, if one came along.
        load_report: Vec<f32>,
    },
    /// A gossip message from another proxy.
    GossipReceived {
        /// Index of that proxy.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}
