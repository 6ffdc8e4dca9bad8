//! Writes replies of actions.

use kitefork_balancer::Action;

use super::ACTION;
use super::bytes::put;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, node: u16, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                backend,
                abandon_at,
            } => {
                let record = self.record(80, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &backend.0.to_le_bytes());
                put(record, 11, &abandon_at.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let record = self.record(81, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &retry_after.to_le_bytes());
            }
            Action::Fail { request } => put(self.record(82, node), 3, &request.0.to_le_bytes()),
            Action::CancelAttempt { request, attempt } => {
                let record = self.record(83, node);
                put(record, 3, &request.0.to_le_bytes());
                put(record, 7, &[*attempt]);
            }
            Action::SetTimer { at, timer } => {
                let record = self.record(84, node);
                put(record, 3, &at.to_le_bytes());
                put(record, 11, &timer.0.to_le_bytes());
            }
            Action::CheckHealth { backend } => {
                put(self.record(85, node), 3, &backend.0.to_le_bytes())
            }
            Action::CloseIdleConnections { backend } => {
                put(self.record(86, node), 3, &backend.0.to_le_bytes())
            }
            Action::Gossip { to, bytes } => {
                put(
                    self.record(87, node),
                    3,
                    &to.unwrap_or(u16::MAX).to_le_bytes(),
                );
                self.data(5, bytes);
            }
            Action::Log(event) => self.text(88, node, &event.to_string()),
            Action::WatchEndpoints(active) => put(self.record(90, node), 3, &[u8::from(*active)]),
            Action::PollEndpoints => {
                self.record(91, node);
            }
        }
    }

    /// Reports that an instance can't decide.
    pub fn fault(&mut self, node: u16, what: &str) {
        self.text(89, node, what);
    }

    /// The finished frame.
    pub fn finish(self, batch: u32) -> Vec<u8> {
        let count = self.records.len() / ACTION;
        let mut frame = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend((count as u32).to_le_bytes());
        frame.extend(batch.to_le_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }

    fn record(&mut self, code: u8, node: u16) -> &mut [u8] {
        let start = self.records.len();
        self.records.resize(start + ACTION, 0);
        let record = &mut self.records[start..];
        record[0] = code;
        put(record, 1, &node.to_le_bytes());
        record
    }

    fn text(&mut self, code: u8, node: u16, text: &str) {
        self.record(code, node);
        self.data(3, text.as_bytes());
    }

    /// Puts data into the tail and its place into the last record.
    fn data(&mut self, at: usize, bytes: &[u8]) {
        let record = self.records.len() - ACTION;
        put(
            &mut self.records[record..],
            at,
            &(self.tail.len() as u32).to_le_bytes(),
        );
        put(
            &mut self.records[record..],
            at + 4,
            &(bytes.len() as u32).to_le_bytes(),
        );
        self.tail.extend(bytes);
    }
}
