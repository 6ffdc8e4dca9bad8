//! The wire format: codes, sizes and offsets of fields. Sizes and offsets are in bytes; offsets
//! count from the start of the header, the record, the entry or the compound field. The comment on
//! an offset begins with the type of the field.

/// Size of a batch header; [`header`] has the offsets of its fields.
pub const HEADER_SIZE: usize = 20;
/// Size of every event record; bytes that the record's type does not use are ignored.
pub(super) const EVENT_SIZE: usize = 40;
/// Size of an entry of an endpoint list, in the tail.
pub(super) const ENDPOINT_SIZE: usize = 23;
/// Size of a reply header: body length, number of records and sequence number of the batch, `u32`
/// each.
pub(super) const REPLY_HEADER_SIZE: usize = 12;
/// Size of every action record; bytes that the record's type does not use are 0.
pub(super) const ACTION_SIZE: usize = 24;

/// Fields of a batch header.
pub(super) mod header {
    /// `u32`: number of event records.
    pub const RECORD_COUNT: usize = 0;
    /// `u32`: size of the body, which follows the header, in bytes.
    pub const BODY_LENGTH: usize = 4;
    /// `u64`: clock time of the batch, in nanoseconds.
    pub const NOW: usize = 8;
    /// `u32`: sequence number of the batch.
    pub const BATCH: usize = 16;
}

/// Fields of every event record and every action record.
pub(super) mod any_record {
    /// `u8`: an [`EventCode`](super::EventCode) or an [`ActionCode`](super::ActionCode).
    pub const CODE: usize = 0;
    /// `u16`: number of the instance that the record concerns.
    pub const INSTANCE: usize = 1;
}

/// Fields of a reference to data in the tail.
pub(super) mod data_reference {
    /// `u32`: offset of the first byte of the data from the start of the tail.
    pub const START: usize = 0;
    /// `u32`: number of items; for a text or a message, the number of bytes.
    pub const ITEM_COUNT: usize = 4;
}

/// Type of an event record; [`EventCode::from_wire`] gives the type that a code stands for.
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
    /// Returns the type of event with the given code; `None` if there is none.
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
    /// `u32`: number of the timer.
    pub const TIMER: usize = 3;
}

/// Fields of [`EventCode::AttemptEnded`].
pub(super) mod attempt_ended {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u8`: number of the attempt, from 0.
    pub const ATTEMPT: usize = 7;
    /// `u64`: time since the attempt was sent, in nanoseconds.
    pub const LATENCY: usize = 12;
    /// `u8`: outcome of the attempt; its codes are in `record`.
    pub const OUTCOME: usize = 20;
    /// `u8`: nonzero if the request has its final answer.
    pub const FINISHED: usize = 21;
    /// A [`load_report`](super::load_report).
    pub const LOAD_REPORT: usize = 22;
}

/// Fields of [`EventCode::FirstByte`].
pub(super) mod first_byte {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u8`: number of the attempt, from 0.
    pub const ATTEMPT: usize = 19;
}

/// Fields of [`EventCode::Request`].
pub(super) mod request {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u16`: index of the class.
    pub const CLASS: usize = 7;
    /// `u16`: index of the tenant.
    pub const TENANT: usize = 9;
    /// `u64`: key of the object that the request concerns; 0 if there is none.
    pub const KEY: usize = 11;
    /// `u64`: time until the client stops waiting, in nanoseconds.
    pub const CLIENT_TIMEOUT: usize = 19;
    /// `u64`: expected work, in nanoseconds, if [`HAS_WORK_HINT`] is set.
    pub const WORK_HINT: usize = 27;
    /// `u8`: bitwise OR of the flags below.
    pub const FLAGS: usize = 35;

    /// Flag: the work hint is present.
    pub const HAS_WORK_HINT: u8 = 1;
    /// Flag: the client marked the request as a retry by the client.
    pub const CLIENT_RETRY: u8 = 2;
    /// Flag: the request changes state at the backend.
    pub const IS_WRITE: u8 = 4;
}

/// Fields of [`EventCode::EndpointUpdate`].
pub(super) mod endpoint_update {
    /// `u16`: number of the list.
    pub const LIST: usize = 7;
    /// `u8`: meaning of the list, one of the modes below.
    pub const MODE: usize = 9;

    /// Mode: the list has only the entries that were added or have changed.
    pub const DELTA: u8 = 0;
    /// Mode: the list is complete, as known before a restart; it may be stale.
    pub const CACHED: u8 = 1;
    /// Mode: discovery failed, there is no list.
    pub const FAILED: u8 = 2;
    /// Mode: the list is complete.
    pub const FULL: u8 = 4;
}

/// Fields of [`EventCode::HealthCheckEnded`].
pub(super) mod health_check_ended {
    /// `u32`: number of the backend.
    pub const BACKEND: usize = 3;
    /// `u64`: time since the health check was sent, in nanoseconds.
    pub const LATENCY: usize = 7;
    /// `u8`: outcome of the health check; its codes are in `record`.
    pub const OUTCOME: usize = 15;
    /// A [`load_report`](super::load_report).
    pub const LOAD_REPORT: usize = 16;
}

/// Fields of [`EventCode::Start`].
pub(super) mod start {
    /// `u64`: seed of the instance's random numbers.
    pub const SEED: usize = 3;
    /// A [`data_reference`](super::data_reference): the settings, a JSON text.
    pub const SETTINGS: usize = 11;
}

/// Fields of [`EventCode::EndpointList`].
pub(super) mod endpoint_list {
    /// `u16`: number of the list, in place of an instance: the record concerns no instance.
    pub const LIST: usize = super::any_record::INSTANCE;
    /// A [`data_reference`](super::data_reference): the entries,
    /// [`ENDPOINT_SIZE`](super::ENDPOINT_SIZE) bytes each.
    pub const ENTRIES: usize = 3;
}

/// Fields of [`EventCode::ClientDisconnected`].
pub(super) mod client_disconnected {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
}

/// Fields of [`EventCode::GossipReceived`].
pub(super) mod gossip_received {
    /// `u16`: index of the proxy that sent the message.
    pub const FROM: usize = 3;
    /// A [`data_reference`](super::data_reference): the message.
    pub const MESSAGE: usize = 5;
}

/// Fields of an entry of an endpoint list.
pub(super) mod endpoint {
    /// `u32`: number of the backend.
    pub const BACKEND: usize = 0;
    /// `u16`: number of the zone.
    pub const ZONE: usize = 4;
    /// `u16`: number of the kind of machine.
    pub const KIND: usize = 6;
    /// `u16`: number of the cell.
    pub const CELL: usize = 8;
    /// `u8`: 0 removed, 1 ready, 2 draining.
    pub const STATE: usize = 10;
    /// `f32`: weight of the backend, relative to those of other backends.
    pub const WEIGHT: usize = 11;
    /// `u64`: clock time at which the backend's process last started, in nanoseconds; 0 if that was
    /// long ago.
    pub const STARTED_AT: usize = 15;
}

/// Fields of a load report within a record.
pub(super) mod load_report {
    /// `u8`: number of values; a number above [`MAX_VALUES`] is read as `MAX_VALUES`.
    pub const COUNT: usize = 0;
    /// Array of `f32`: the values that the backend reported; the settings name them.
    pub const VALUES: usize = 1;
    /// Maximum number of values in a record.
    pub const MAX_VALUES: usize = 4;
}

/// Type of an action record; the discriminant is its code.
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
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u32`: number of the backend.
    pub const BACKEND: usize = 7;
    /// `u64`: clock time at which to abandon the attempt, in nanoseconds.
    pub const ABANDON_AT: usize = 11;
}

/// Fields of [`ActionCode::Reject`].
pub(super) mod reject {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u64`: time after which the client should retry, in nanoseconds; 0: no advice.
    pub const RETRY_AFTER: usize = 7;
}

/// Fields of [`ActionCode::Fail`].
pub(super) mod fail {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
}

/// Fields of [`ActionCode::CancelAttempt`].
pub(super) mod cancel_attempt {
    /// `u32`: number of the request.
    pub const REQUEST: usize = 3;
    /// `u8`: number of the attempt, from 0.
    pub const ATTEMPT: usize = 7;
}

/// Fields of [`ActionCode::SetTimer`].
pub(super) mod set_timer {
    /// `u64`: clock time at which the timer is due, in nanoseconds.
    pub const AT: usize = 3;
    /// `u32`: number of the timer.
    pub const TIMER: usize = 11;
}

/// Fields of [`ActionCode::CheckHealth`].
pub(super) mod check_health {
    /// `u32`: number of the backend.
    pub const BACKEND: usize = 3;
}

/// Fields of [`ActionCode::CloseIdleConnections`].
pub(super) mod close_idle_connections {
    /// `u32`: number of the backend.
    pub const BACKEND: usize = 3;
}

/// Fields of [`ActionCode::Gossip`].
pub(super) mod gossip {
    /// `u16`: index of the receiving proxy, or [`TO_ALL`].
    pub const TO: usize = 3;
    /// A [`data_reference`](super::data_reference): the message.
    pub const MESSAGE: usize = 5;
    /// Value of [`TO`] that addresses all proxies.
    pub const TO_ALL: u16 = u16::MAX;
}

/// Fields of [`ActionCode::Log`] and [`ActionCode::StartFailed`].
pub(super) mod text {
    /// A [`data_reference`](super::data_reference): the text.
    pub const TEXT: usize = 3;
}

/// Fields of [`ActionCode::WatchEndpoints`].
pub(super) mod watch_endpoints {
    /// `u8`: 1 to watch the endpoint list, 0 to stop watching it.
    pub const ACTIVE: usize = 3;
}
