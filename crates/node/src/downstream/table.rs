//! The table of client connections, the queue of answers to flush, and the trimming of expendable
//! connections.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;

use kitefork_balancer::Nanos;

use super::connection::{ClientConnection, TRIM_INTERVAL};
use super::eviction::EvictionCandidate;
use crate::event_loop::{EventLoop, TimerEvent};
use crate::ring_buffer::BufferBudget;
use crate::slab::Slab;

/// All open client connections, and the queue of those whose answer is still to be written.
pub struct ClientConnections {
    table: Slab<ClientConnection>,
    /// Numbers of connections whose answer is still to be written and whose next message may
    /// already have been received.
    answered: VecDeque<u32>,
    /// Whether a timer for the next trim is running.
    is_trim_scheduled: bool,
}

impl ClientConnections {
    /// An empty table for at most `capacity` open connections.
    pub fn new(capacity: usize) -> ClientConnections {
        ClientConnections {
            table: Slab::new(capacity),
            answered: VecDeque::new(),
            is_trim_scheduled: false,
        }
    }

    /// Number of open connections, including those that are closing or lingering.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The numbers of all open connections, in no particular order.
    pub fn numbers(&self) -> Vec<u32> {
        self.table.iter().map(|(number, _)| number).collect()
    }

    /// The connection with this number; `None` if it has been removed.
    pub fn get(&self, number: u32) -> Option<&ClientConnection> {
        self.table.get(number)
    }

    /// The connection with this number; `None` if it has been removed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut ClientConnection> {
        self.table.get_mut(number)
    }

    /// Adds a connection that was accepted at `now` and was not established before `queued_at`.
    /// Returns its number, or `None` if the table is full.
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

    /// Removes the connection with this number and returns it; `None` if it has been removed.
    pub fn remove(&mut self, number: u32) -> Option<ClientConnection> {
        self.table.remove(number)
    }

    /// Queues a connection whose answer is still to be written.
    pub fn push_answered(&mut self, number: u32) {
        self.answered.push_back(number);
    }

    /// Removes and returns the number of the next queued connection; `None` if the queue is empty.
    pub fn pop_answered(&mut self) -> Option<u32> {
        self.answered.pop_front()
    }

    fn eviction_candidates(&self, now: Nanos) -> impl Iterator<Item = EvictionCandidate> {
        self.table
            .iter()
            .filter_map(move |(number, connection)| connection.eviction_candidate(number, now))
    }

    /// The connection to close first when a descriptor must be freed; `None` if no connection may
    /// be closed.
    pub fn eviction_candidate(&self, now: Nanos) -> Option<EvictionCandidate> {
        self.eviction_candidates(now).min()
    }

    /// Returns the connections to close, now that the trim timer has fired: expendable connections
    /// of clients that have sent a request, at most as many as the number of such clients exceeds
    /// `max_active`. Without this, clients that keep idle connections indefinitely could use all
    /// connections that the platform allows, and the next request would get no connection, which
    /// the node can't observe.
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

    /// Schedules the next trim while more than `max_active` connections are open, as more than
    /// `max_active` clients may then have sent a request.
    pub fn schedule_trim(&mut self, max_active: usize, event_loop: &mut EventLoop) {
        if !self.is_trim_scheduled && self.len() > max_active {
            self.is_trim_scheduled = true;
            event_loop.schedule(event_loop.now() + TRIM_INTERVAL, TimerEvent::TrimClients);
        }
    }
}
