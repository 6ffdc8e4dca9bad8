//! Codes and offsets of the wire: sizes and offsets in bytes, from the start of a header, a record
//! or an entry.

/// Size of a batch header.
pub const HEADER_SIZE: usize = 20;
/// Size of an event record.
pub(super) const EVENT_SIZE: usize = 40;
/// Size of an entry of an endpoint list, in the tail.
pub(super) const ENDPOINT_SIZE: usize = 23;
/// Size of a reply header.
pub(super) const REPLY_HEADER_SIZE: usize = 12;
/// Size of an action record.
pub(super) const ACTION_SIZE: usize = 24;

/// Fields of a batch header.
pub(super) mod header {
    pub const RECORDS: usize = 0;
    pub const LENGTH: usize = 4;
    pub const NOW: usize = 8;
    pub const BATCH: usize = 16;
}

/// Fields of every event record and every action record.
pub(super) mod any_record {
    pub const CODE: usize = 0;
    /// Number of the instance that the record concerns.
    pub const INSTANCE: usize = 1;
}

/// A reference to data in the tail.
pub(super) mod data_reference {
    pub const START: usize = 0;
    pub const LENGTH: usize = 4;
}

/// What an event record says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EventCode {
    Timer,
    AttemptEnded,
    FirstByte,
    Request,
    EndpointUpdate,
    HealthCheckEnded,
    Start,
    EndpointList,
    ClientDisconnected,
    Stop,
    GossipReceived,
}

impl EventCode {
    /// The event with a code; `None` if no event has it.
    pub fn from_wire(code: u8) -> Option<EventCode> {
        match code {
            16 => Some(EventCode::Timer),
            17 => Some(EventCode::AttemptEnded),
            18 => Some(EventCode::FirstByte),
            19 => Some(EventCode::Request),
            20 => Some(EventCode::EndpointUpdate),
            21 => Some(EventCode::HealthCheckEnded),
            22 => Some(EventCode::Start),
            23 => Some(EventCode::EndpointList),
            24 => Some(EventCode::ClientDisconnected),
            25 => Some(EventCode::Stop),
            26 => Some(EventCode::GossipReceived),
            _ => None,
        }
    }
}

/// Fields of [`EventCode::Timer`].
pub(super) mod timer {
    pub const TIMER: usize = 3;
}

/// Fields of [`EventCode::AttemptEnded`].
pub(super) mod attempt_ended {
    pub const REQUEST: usize = 3;
    pub const ATTEMPT: usize = 7;
    pub const LATENCY: usize = 12;
    pub const OUTCOME: usize = 20;
    pub const FINISHED: usize = 21;
    pub const LOAD_REPORT: usize = 22;
}

/// Fields of [`EventCode::FirstByte`].
pub(super) mod first_byte {
    pub const REQUEST: usize = 3;
    pub const ATTEMPT: usize = 19;
}

/// Fields of [`EventCode::Request`].
pub(super) mod request {
    pub const REQUEST: usize = 3;
    pub const CLASS: usize = 7;
    pub const TENANT: usize = 9;
    pub const KEY: usize = 11;
    pub const CLIENT_TIMEOUT: usize = 19;
    pub const WORK_HINT: usize = 27;
    pub const FLAGS: usize = 35;

    /// Flag: the work hint is given.
    pub const HAS_WORK_HINT: u8 = 1;
    /// Flag: the client marked the request as a retry of its own.
    pub const CLIENT_RETRY: u8 = 2;
    /// Flag: the request changes state at the backend.
    pub const IS_WRITE: u8 = 4;
}

/// Fields of [`EventCode::EndpointUpdate`].
pub(super) mod endpoint_update {
    pub const LIST: usize = 7;
    pub const MODE: usize = 9;

    /// Mode: the list holds changes.
    pub const DELTA: u8 = 0;
    /// Mode: the list is the whole one as known before a restart.
    pub const CACHED: u8 = 1;
    /// Mode: there is no list, discovery failed.
    pub const FAILED: u8 = 2;
    /// Mode: the list is the whole one.
    pub const FULL: u8 = 4;
}

/// Fields of [`EventCode::HealthCheckEnded`].
pub(super) mod health_check_ended {
    pub const BACKEND: usize = 3;
    pub const LATENCY: usize = 7;
    pub const OUTCOME: usize = 15;
    pub const LOAD_REPORT: usize = 16;
}

/// Fields of [`EventCode::Start`].
pub(super) mod start {
    pub const SEED: usize = 3;
    pub const SETTINGS: usize = 11;
}

/// Fields of [`EventCode::EndpointList`].
pub(super) mod endpoint_list {
    /// Number of the list. This record concerns no instance.
    pub const LIST: usize = super::any_record::INSTANCE;
    pub const ENTRIES: usize = 3;
}

/// Fields of [`EventCode::ClientDisconnected`].
pub(super) mod client_disconnected {
    pub const REQUEST: usize = 3;
}

/// Fields of [`EventCode::GossipReceived`].
pub(super) mod gossip_received {
    pub const FROM: usize = 3;
    pub const MESSAGE: usize = 5;
}

/// Fields of an entry of an endpoint list.
pub(super) mod endpoint {
    pub const BACKEND: usize = 0;
    pub const ZONE: usize = 4;
    pub const KIND: usize = 6;
    pub const CELL: usize = 8;
    pub const STATE: usize = 10;
    pub const WEIGHT: usize = 11;
    /// 0: long ago.
    pub const STARTED_AT: usize = 15;
}

/// A load report within a record.
pub(super) mod load_report {
    /// Number of values.
    pub const COUNT: usize = 0;
    pub const VALUES: usize = 1;
    /// Most values that a record has space for.
    pub const MAX_VALUES: usize = 4;
}

/// What an action record says; the number is its code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ActionCode {
    StartAttempt = 80,
    Reject = 81,
    Fail = 82,
    CancelAttempt = 83,
    SetTimer = 84,
    CheckHealth = 85,
    CloseIdleConnections = 86,
    Gossip = 87,
    Log = 88,
    /// The instance could not be started.
    StartFailed = 89,
    WatchEndpoints = 90,
    PollEndpoints = 91,
}

/// Fields of [`ActionCode::StartAttempt`].
pub(super) mod start_attempt {
    pub const REQUEST: usize = 3;
    pub const BACKEND: usize = 7;
    pub const ABANDON_AT: usize = 11;
}

/// Fields of [`ActionCode::Reject`].
pub(super) mod reject {
    pub const REQUEST: usize = 3;
    pub const RETRY_AFTER: usize = 7;
}

/// Fields of [`ActionCode::Fail`].
pub(super) mod fail {
    pub const REQUEST: usize = 3;
}

/// Fields of [`ActionCode::CancelAttempt`].
pub(super) mod cancel_attempt {
    pub const REQUEST: usize = 3;
    pub const ATTEMPT: usize = 7;
}

/// Fields of [`ActionCode::SetTimer`].
pub(super) mod set_timer {
    pub const AT: usize = 3;
    pub const TIMER: usize = 11;
}

/// Fields of [`ActionCode::CheckHealth`].
pub(super) mod check_health {
    pub const BACKEND: usize = 3;
}

/// Fields of [`ActionCode::CloseIdleConnections`].
pub(super) mod close_idle_connections {
    pub const BACKEND: usize = 3;
}

/// Fields of [`ActionCode::Gossip`].
pub(super) mod gossip {
    pub const TO: usize = 3;
    pub const MESSAGE: usize = 5;
    /// Receiver that stands for all proxies.
    pub const TO_ALL: u16 = u16::MAX;
}

/// Fields of [`ActionCode::Log`] and [`ActionCode::StartFailed`].
pub(super) mod text {
    pub const TEXT: usize = 3;
}

/// Fields of [`ActionCode::WatchEndpoints`].
pub(super) mod watch_endpoints {
    pub const ACTIVE: usize = 3;
}
