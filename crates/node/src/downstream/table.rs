//! The table of client connections, and which of them are next to be flushed or trimmed.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;

use super::connection::{ClientConnection, TRIM_INTERVAL};
use super::eviction::EvictionCandidate;
use crate::event_loop::{EventLoop, TimerEvent};
use crate::ring_buffer::BufferBudget;
use crate::slab::Slab;

/// All client connections.
pub struct ClientConnections {
    table: Slab<ClientConnection>,
    /// Connections whose request has been answered: the answer is to be written, and the next
    /// message may be there.
    answered: VecDeque<u32>,
    /// A timer for the next trim is running.
    is_trim_scheduled: bool,
}

impl ClientConnections {
    /// A table for `max` connections at a time.
    pub fn new(capacity: usize) -> ClientConnections {
        ClientConnections {
            table: Slab::new(capacity),
            answered: VecDeque::new(),
            is_trim_scheduled: false,
        }
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The numbers of all connections.
    pub fn numbers(&self) -> Vec<u32> {
        self.table.iter().map(|(number, _)| number).collect()
    }

    /// A connection by its number.
    pub fn get(&self, number: u32) -> Option<&ClientConnection> {
        self.table.get(number)
    }

    /// A connection by its number.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut ClientConnection> {
        self.table.get_mut(number)
    }

    /// Adds a connection that was accepted at `now`, and was established at `queued_at` at the
    /// earliest; `None` if the table is full.
    pub fn add(
        &mut self,
        socket: OwnedFd,
        now: Nanos,
        queued_at: Nanos,
        budget: &BufferBudget,
    ) -> Option<u32> {
        self.table
            .insert(ClientConnection::new(socket, now, queued_at, budget))
    }

    /// Removes a connection.
    pub fn remove(&mut self, number: u32) -> Option<ClientConnection> {
        self.table.remove(number)
    }

    /// A connection has got its answer, which is still to be written.
    pub fn push_answered(&mut self, number: u32) {
        self.answered.push_back(number);
    }

    /// The next connection whose answer is to be written.
    pub fn pop_answered(&mut self) -> Option<u32> {
        self.answered.pop_front()
    }

    fn eviction_candidates(&self, now: Nanos) -> impl Iterator<Item = EvictionCandidate> {
        self.table
            .iter()
            .filter_map(move |(number, connection)| connection.eviction_candidate(number, now))
    }

    /// The connection that can be closed with least harm.
    pub fn eviction_candidate(&self, now: Nanos) -> Option<EvictionCandidate> {
        self.eviction_candidates(now).min()
    }

    /// The timer for a trim has fired: the connections to close, where more than `max_active` have
    /// sent a request and some of these are expendable. Clients that keep theirs for good would
    /// otherwise leave others no connection, of which nothing shows here.
    pub fn trim(&mut self, now: Nanos, max_active: usize) -> Vec<EvictionCandidate> {
        self.is_trim_scheduled = false;
        let has_sent = |number| {
            self.get(number)
                .is_some_and(ClientConnection::has_sent_message)
        };
        let active_count = self
            .table
            .iter()
            .filter(|(_, connection)| connection.has_sent_message())
            .count();
        let mut expendable: Vec<EvictionCandidate> = self
            .eviction_candidates(now)
            .filter(|candidate| candidate.rank.is_expendable() && has_sent(candidate.number))
            .collect();
        expendable.sort_unstable();
        expendable.truncate(active_count.saturating_sub(max_active));
        expendable
    }

    /// While there may be too many that have sent a request, they are reviewed now and then.
    pub fn schedule_trim(&mut self, max_active: usize, event_loop: &mut EventLoop) {
        if !self.is_trim_scheduled && self.len() > max_active {
            self.is_trim_scheduled = true;
            event_loop.schedule(event_loop.now() + TRIM_INTERVAL, TimerEvent::TrimClients);
        }
    }
}
