//! Encodes the actions of the balancers into replies.

use kitefork_balancer::{Action, BackendId, LogEvent, Nanos, RequestId, TimerId};

use super::bytes::put;
use super::layout::{
    ACTION_SIZE, ActionCode, REPLY_HEADER_SIZE, any_record, cancel_attempt, check_health,
    close_idle_connections, data_reference, fail, gossip, reject, set_timer, start_attempt, text,
    watch_endpoints,
};

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends the record of an action that the balancer of `instance` decided on.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                backend,
                abandon_at,
            } => self.start_attempt(instance, *request, *backend, *abandon_at),
            Action::Reject {
                request,
                retry_after,
            } => self.reject(instance, *request, *retry_after),
            Action::Fail { request } => self.fail(instance, *request),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(instance, *request, *attempt);
            }
            Action::SetTimer { at, timer } => self.set_timer(instance, *at, *timer),
            Action::CheckHealth { backend } => self.check_health(instance, *backend),
            Action::CloseIdleConnections { backend } => {
                self.close_idle_connections(instance, *backend);
            }
            Action::Gossip { to, bytes } => self.gossip(instance, *to, bytes),
            Action::WatchEndpoints(active) => self.watch_endpoints(instance, *active),
            Action::PollEndpoints => self.poll_endpoints(instance),
            Action::Log(event) => self.log(instance, *event),
        }
    }

    /// Appends a record that says why an instance could not be started.
    pub fn start_failed(&mut self, instance: u16, reason: &str) {
        self.add_text_record(ActionCode::StartFailed, instance, reason);
    }

    /// Returns the encoded frame; `batch` is the sequence number of the batch to which it replies.
    pub fn finish(self, batch: u32) -> Vec<u8> {
        let record_count = self.records.len() / ACTION_SIZE;
        let length = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(REPLY_HEADER_SIZE + length);
        frame.extend((length as u32).to_le_bytes());
        frame.extend((record_count as u32).to_le_bytes());
        frame.extend(batch.to_le_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }

    fn start_attempt(
        &mut self,
        instance: u16,
        request: RequestId,
        backend: BackendId,
        abandon_at: Nanos,
    ) {
        let record = self.add_record(ActionCode::StartAttempt, instance);
        put(record, start_attempt::REQUEST, &request.0.to_le_bytes());
        put(record, start_attempt::BACKEND, &backend.0.to_le_bytes());
        put(record, start_attempt::ABANDON_AT, &abandon_at.to_le_bytes());
    }

    fn reject(&mut self, instance: u16, request: RequestId, retry_after: Nanos) {
        let record = self.add_record(ActionCode::Reject, instance);
        put(record, reject::REQUEST, &request.0.to_le_bytes());
        put(record, reject::RETRY_AFTER, &retry_after.to_le_bytes());
    }

    fn fail(&mut self, instance: u16, request: RequestId) {
        let record = self.add_record(ActionCode::Fail, instance);
        put(record, fail::REQUEST, &request.0.to_le_bytes());
    }

    fn cancel_attempt(&mut self, instance: u16, request: RequestId, attempt: u8) {
        let record = self.add_record(ActionCode::CancelAttempt, instance);
        put(record, cancel_attempt::REQUEST, &request.0.to_le_bytes());
        put(record, cancel_attempt::ATTEMPT, &[attempt]);
    }

    fn set_timer(&mut self, instance: u16, at: Nanos, timer: TimerId) {
        let record = self.add_record(ActionCode::SetTimer, instance);
        put(record, set_timer::AT, &at.to_le_bytes());
        put(record, set_timer::TIMER, &timer.0.to_le_bytes());
    }

    fn check_health(&mut self, instance: u16, backend: BackendId) {
        let record = self.add_record(ActionCode::CheckHealth, instance);
        put(record, check_health::BACKEND, &backend.0.to_le_bytes());
    }

    fn close_idle_connections(&mut self, instance: u16, backend: BackendId) {
        let record = self.add_record(ActionCode::CloseIdleConnections, instance);
        let backend = backend.0.to_le_bytes();
        put(record, close_idle_connections::BACKEND, &backend);
    }

    fn gossip(&mut self, instance: u16, to: Option<u16>, message: &[u8]) {
        let to = to.unwrap_or(gossip::TO_ALL);
        let record = self.add_record(ActionCode::Gossip, instance);
        put(record, gossip::TO, &to.to_le_bytes());
        self.add_data(gossip::MESSAGE, message);
    }

    fn watch_endpoints(&mut self, instance: u16, active: bool) {
        let record = self.add_record(ActionCode::WatchEndpoints, instance);
        put(record, watch_endpoints::ACTIVE, &[u8::from(active)]);
    }

    fn poll_endpoints(&mut self, instance: u16) {
        self.add_record(ActionCode::PollEndpoints, instance);
    }

    fn log(&mut self, instance: u16, event: LogEvent) {
        self.add_text_record(ActionCode::Log, instance, &event.to_string());
    }

    fn add_text_record(&mut self, code: ActionCode, instance: u16, text: &str) {
        self.add_record(code, instance);
        self.add_data(text::TEXT, text.as_bytes());
    }

    /// Appends a record in which only the code and the instance are set, and returns its bytes.
    fn add_record(&mut self, code: ActionCode, instance: u16) -> &mut [u8] {
        let start = self.records.len();
        self.records.resize(start + ACTION_SIZE, 0);
        let record = &mut self.records[start..];
        record[any_record::CODE] = code as u8;
        put(record, any_record::INSTANCE, &instance.to_le_bytes());
        record
    }

    /// Appends data to the tail, and writes a reference to it into the last record, at the given
    /// offset.
    fn add_data(&mut self, field_offset: usize, bytes: &[u8]) {
        let start = (self.tail.len() as u32).to_le_bytes();
        let length = (bytes.len() as u32).to_le_bytes();
        let last_record = self.records.len() - ACTION_SIZE;
        let record = &mut self.records[last_record..];
        put(record, field_offset + data_reference::START, &start);
        put(record, field_offset + data_reference::ITEM_COUNT, &length);
        self.tail.extend(bytes);
    }
}
