//! Events that a balancer processes: requests of clients, ends of attempts, changes of the endpoint
//! list.

use crate::ids::{BackendId, CellId, ClassId, KindId, Nanos, RequestId, TenantId, TimerId, ZoneId};

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The backend accepts requests.
    Ready,
    /// The backend finishes the requests that it has and accepts no new ones.
    Draining,
    /// The backend is no longer in the endpoint list.
    #[default]
    Removed,
}

/// An entry of the endpoint list: the data that discovery has on one backend.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Id of the backend; it does not change when the process of the backend restarts.
    pub id: BackendId,
    /// Hash of the name of the backend. It is the same at every proxy, so that all proxies put the
    /// backends in the same order.
    pub hash: u64,
    /// Availability zone in which the backend runs.
    pub zone: ZoneId,
    /// Cell of the backend; the backends of a cell share the idempotency keys they have seen.
    pub cell: CellId,
    /// Kind of machine on which the backend runs; the latencies of one kind are pooled.
    pub kind: KindId,
    /// Whether the backend accepts requests, according to the endpoint list.
    pub state: EndpointState,
    /// Weight in the endpoint list, relative to the weights of the other backends. The balancer
    /// does not use it.
    pub weight: f32,
    /// When the process of the backend last started; `None` if that was so long ago that slow start
    /// is over.
    pub started_at: Option<Nanos>,
}

/// Whether an update of the endpoint list is the whole list or only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Entries that were added or have changed; the others stay as they are.
    Delta,
    /// The whole list; known backends that it lacks are removed.
    Full,
    /// The whole list as it was known before a restart of the proxy; it may be stale.
    Cached,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request, unique among the pending requests of this proxy.
    pub id: RequestId,
    /// Class of the request, as an index in the settings. A request of a class that is not in the
    /// settings fails at once.
    pub class: ClassId,
    /// Tenant that sent the request, as an index in the settings. A tenant that is not in the
    /// settings has no quota.
    pub tenant: TenantId,
    /// Key of the object that the request concerns; 0 if there is none. The balancer does not use
    /// it.
    pub key: u64,
    /// Time from the receipt of the request until its client stops waiting for it.
    pub client_timeout: Nanos,
    /// Expected work, as time on a standard core; `None` if it is unknown.
    pub work_hint: Option<Nanos>,
    /// Whether the client marked the request as a retry of its own.
    pub client_retry: bool,
    /// Whether the request changes state at the backend. The balancer does not use it: the
    /// [`Idempotency`](crate::Idempotency) of the class says whether the request may be repeated.
    pub is_write: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Success,
    /// The backend answered with an error.
    Error,
    /// The backend rejected the attempt without executing it, because the queue of the backend is
    /// full or the backend is draining.
    Overloaded,
    /// The backend had not answered when the attempt or the health check was abandoned.
    Timeout,
    /// The connection to the backend could not be established in time.
    ConnectFailed,
    /// The connection broke during the attempt.
    Reset,
    /// The attempt was cancelled because it was overdue or its request was closed.
    Cancelled,
    /// The attempt ended before any byte of it was written to a connection.
    NotSent,
    /// The backend reported that the request itself is invalid. Other backends would report the
    /// same, so this does not count against the backend.
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

/// An event that a balancer processes.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery delivered the endpoint list, or changes to it.
    EndpointUpdate {
        /// Whether `endpoints` is the whole list or only changes.
        kind: UpdateKind,
        /// All entries of the list, or only the added and changed ones, as `kind` says.
        endpoints: Vec<Endpoint>,
    },
    /// A poll of the endpoint list failed, or the watch broke off.
    DiscoveryFailed,
    /// A client sent a request.
    Request(Request),
    /// The first byte of a streamed answer arrived; the request is not retried from then on.
    FirstByte {
        /// Request whose answer is streamed.
        request: RequestId,
        /// Index of the attempt among those of the request, from 0.
        attempt: u8,
    },
    /// An attempt ended. The caller reports the end of each started attempt, also of a cancelled
    /// one.
    AttemptEnded {
        /// Request that the attempt belongs to. The event is ignored if this request is not
        /// pending.
        request: RequestId,
        /// Index of the attempt among those of the request, from 0.
        attempt: u8,
        /// Time from sending the attempt until its end.
        latency: Nanos,
        /// Answer of the backend, or why there is none.
        outcome: Outcome,
        /// Whether the caller has given the request its final answer, so that no other attempt
        /// follows.
        finished: bool,
        /// Values of the load report that the backend sent along; empty without a report. The
        /// balancer does not use them.
        load_report: Vec<f32>,
    },
    /// The client closed its connection, which ends the request.
    ClientDisconnected {
        /// Request whose client has disconnected. Its attempts in flight are cancelled if
        /// [`Limits::can_cancel`](crate::Limits::can_cancel) is set.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) is due.
    Timer {
        /// Id in the [`Action::SetTimer`](crate::Action::SetTimer) that set the timer.
        timer: TimerId,
    },
    /// A health check ended. The balancer does not evaluate the result.
    HealthCheckEnded {
        /// Backend of the [`Action::CheckHealth`](crate::Action::CheckHealth) that requested the
        /// health check.
        backend: BackendId,
        /// Time from sending the health check until its end.
        latency: Nanos,
        /// Answer of the backend, or why there is none.
        outcome: Outcome,
        /// Values of the load report that the backend sent along; empty without a report.
        load_report: Vec<f32>,
    },
    /// Another proxy sent a gossip message. The balancer does not evaluate it.
    GossipReceived {
        /// Index of the proxy that sent the message.
        from: u16,
        /// Content of the message, as in [`Action::Gossip`](crate::Action::Gossip) of the sender.
        bytes: Vec<u8>,
    },
}
