//! The node's side of discovery: which calls are open, when a failed one is made again, and how
//! fresh the endpoint list is.

use std::net::SocketAddr;

use kitefork_balancer::{BackendId, Nanos};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::backoff::{Backoff, DiscoveryMode};
use super::call::{CallKind, CallProgress, DiscoveryCall, SendOutcome};
use super::endpoint_list::{AppliedUpdate, EndpointList, Freshness};
use super::update::EndpointUpdate;
use crate::clock::{MS, SECOND};
use crate::diagnostics::Diagnostics;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent};
use crate::net;
use crate::slab::Slab;
use crate::start_time::StartObservation;

/// Calls that are open at a time at most: a watch, a poll, and their successors after a reload.
const MAX_CALLS: usize = 4;
/// A call that this machine could not start for a moment is made after this, in nanoseconds.
const CALL_RETRY_DELAY: Nanos = 20 * MS;
/// A watch that has lasted for this long, in nanoseconds, ends a row of failures; one that ends at
/// once must not be opened again without a pause.
const STABLE_WATCH_DURATION: Nanos = SECOND;
/// A node that has heard nothing of discovery for this long after its start, in nanoseconds, serves
/// from the cached list: an old list is better than no service where discovery stays away.
/// Operators expect a node to be ready within 10 s.
const FIRST_UPDATE_TIMEOUT: Nanos = 9 * SECOND;

/// Whether discovery has spoken since the start of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncState {
    AwaitingFirstUpdate,
    Synced,
}

/// Whether the decision module has to know that a call has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum FailureNotice {
    /// It need not know.
    Handled,
    /// It decides on the backoff.
    NotifyBalancer,
}

/// What a decision to open or close the watch comes to.
#[derive(Debug)]
pub enum WatchChange {
    /// The watch is to be opened.
    Open,
    /// Nothing is to be opened. Each call of the decision module gets one event: this update, in
    /// which nothing has changed.
    Unchanged(EndpointUpdate),
}

/// The calls to discovery and the endpoint list.
pub struct Discovery {
    address: SocketAddr,
    mode: DiscoveryMode,
    calls: Slab<DiscoveryCall>,
    revision: u64,
    /// When discovery last said something, be it that nothing has changed.
    confirmed_at: Option<Nanos>,
    backoff: Backoff,
    sync: SyncState,
    endpoints: EndpointList,
}

impl Discovery {
    /// Discovery at `address`, with no call open and the list of this revision still to be applied.
    pub fn new(
        address: SocketAddr,
        mode: DiscoveryMode,
        revision: u64,
        endpoints: EndpointList,
    ) -> Discovery {
        Discovery {
            address,
            mode,
            calls: Slab::new(MAX_CALLS),
            revision,
            confirmed_at: None,
            backoff: Backoff::new(),
            sync: match mode {
                DiscoveryMode::Polled => SyncState::Synced,
                DiscoveryMode::Pushed { .. } => SyncState::AwaitingFirstUpdate,
            },
            endpoints,
        }
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether the list may be served from.
    pub fn is_synced(&self) -> bool {
        self.sync == SyncState::Synced
    }

    /// Whether any backend is ready.
    pub fn has_ready(&self) -> bool {
        self.endpoints.has_ready()
    }

    /// Where a backend listens, if it is ready.
    pub fn ready_address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.endpoints.ready_address(backend)
    }

    /// Whether discovery has said something that is not read, as far as that can be known.
    pub fn has_unread_bytes(&self) -> bool {
        self.calls.iter().any(|(_, call)| call.has_unread_bytes())
    }

    /// Where lists are pushed, opens the watch that the node keeps open; no request is served
    /// before discovery has spoken, or a time limit for that is over.
    pub fn start(
        &mut self,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        if self.mode == DiscoveryMode::Polled {
            return FailureNotice::Handled;
        }
        event_loop.schedule(
            event_loop.now() + FIRST_UPDATE_TIMEOUT,
            TimerEvent::ServeStaleList,
        );
        self.open_call(CallKind::Watch, event_loop, diagnostics)
    }

    /// Serves from the cached list from now on, if discovery has said nothing yet.
    pub fn serve_stale_list(&mut self, now: Nanos, diagnostics: &mut Diagnostics) {
        if std::mem::replace(&mut self.sync, SyncState::Synced) == SyncState::AwaitingFirstUpdate {
            diagnostics.log(
                now,
                "serving-stale-list",
                "discovery has not spoken: serving from the list that was given",
            );
        }
    }

    /// Follows discovery to another address: closes all calls, so that their end is no failure. A
    /// list that was on its way is still wanted: gives how many polls were open.
    pub fn move_to(&mut self, address: SocketAddr) -> usize {
        self.address = address;
        let open: Vec<u32> = self.calls.iter().map(|(number, _)| number).collect();
        open.into_iter()
            .filter_map(|number| self.calls.remove(number))
            .filter(|call| call.kind() == CallKind::Poll)
            .count()
    }

    fn open_watch(&self) -> Option<u32> {
        self.calls
            .iter()
            .find(|(_, call)| call.kind() == CallKind::Watch)
            .map(|(number, _)| number)
    }

    /// The decision module wants a watch, or none.
    pub fn change_watch(&mut self, should_be_open: bool) -> WatchChange {
        self.backoff.end();
        let open = self.open_watch();
        if should_be_open && open.is_none() {
            return WatchChange::Open;
        }
        // One is open already where a new configuration came before the end of a backoff.
        if !should_be_open && let Some(number) = open {
            self.calls.remove(number);
        }
        WatchChange::Unchanged(EndpointUpdate {
            revision: self.revision,
            ..EndpointUpdate::default()
        })
    }

    /// The backoff of the node's own watch is over.
    pub fn end_backoff(
        &mut self,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        self.backoff.end();
        if self.open_watch().is_some() {
            return FailureNotice::Handled;
        }
        self.open_call(CallKind::Watch, event_loop, diagnostics)
    }

    /// Makes a call that the machine could not start before, unless a reload has opened a watch
    /// meanwhile.
    pub fn retry_call(
        &mut self,
        kind: CallKind,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        if kind == CallKind::Watch && self.open_watch().is_some() {
            return FailureNotice::Handled;
        }
        self.open_call(kind, event_loop, diagnostics)
    }

    /// Opens a call.
    pub fn open_call(
        &mut self,
        kind: CallKind,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        let now = event_loop.now();
        let is_watch = u8::from(kind == CallKind::Watch);
        diagnostics.trace(now, format_args!("call watch={is_watch}"));
        let Err(error) = self.dial(kind, event_loop) else {
            return FailureNotice::Handled;
        };
        if errno::of_connect(error) == ErrorClass::ConnectionLost {
            return self.call_failed(error, event_loop, diagnostics);
        }
        // Of this machine, for a moment: discovery has not failed, and its backoff would be too
        // long.
        diagnostics.log(now, "call-postponed", error);
        event_loop.schedule(
            now + CALL_RETRY_DELAY,
            match kind {
                CallKind::Watch => TimerEvent::RetryDiscoveryWatch,
                CallKind::Poll => TimerEvent::RetryDiscoveryPoll,
            },
        );
        FailureNotice::Handled
    }

    fn dial(&mut self, kind: CallKind, event_loop: &mut EventLoop) -> Result<(), Errno> {
        let now = event_loop.now();
        let socket = net::dial(self.address)?;
        let number = self.calls.vacant().ok_or(Errno::MFILE)?;
        let mut call = DiscoveryCall::new(socket, kind, self.revision, self.address, now);
        call.register(number, event_loop)?;
        call.set_deadline(now + self.mode.connect_timeout(), number, event_loop);
        self.calls.insert(call);
        Ok(())
    }

    /// Counts and logs a failed call, and schedules the next one where lists are pushed.
    pub fn call_failed(
        &mut self,
        reason: impl std::fmt::Display,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        let now = event_loop.now();
        diagnostics.trace(now, format_args!("call-failed why={reason}"));
        diagnostics.log(now, "discovery-failed", reason);
        if !self.backoff.begin() {
            return FailureNotice::Handled;
        }
        match self.mode {
            DiscoveryMode::Polled => FailureNotice::NotifyBalancer,
            DiscoveryMode::Pushed { drain_grace } => {
                let delay = self.backoff.next_delay(drain_grace);
                event_loop.schedule(now + delay, TimerEvent::OpenWatch);
                FailureNotice::Handled
            }
        }
    }

    /// Writes and reads a call whose socket is ready; `None` if there is nothing to follow up.
    pub fn advance_call(
        &mut self,
        number: u32,
        flags: EventFlags,
        event_loop: &mut EventLoop,
    ) -> Option<CallProgress> {
        let now = event_loop.now();
        let call = self.calls.get_mut(number)?;
        if flags.intersects(EventFlags::OUT) && call.send(now) == SendOutcome::RetryLater {
            self.pause_call(number, event_loop);
            return None;
        }
        if call.register(number, event_loop).is_err() {
            event_loop.schedule(now + MIN_RETRY, TimerEvent::ResumeDiscoveryCall(number));
        }
        let progress = call.read(now);
        call.set_receive_deadline(number, event_loop);
        Some(progress)
    }

    /// The machine lacks resources for a moment: the call is resumed a little later, and has no
    /// event before that, which would come without a pause.
    pub fn pause_call(&mut self, number: u32, event_loop: &mut EventLoop) {
        if let Some(call) = self.calls.get_mut(number) {
            let _ = call.pause(number, event_loop);
            let at = event_loop.now() + MIN_RETRY;
            event_loop.schedule(at, TimerEvent::ResumeDiscoveryCall(number));
        }
    }

    /// Whether a call is silent for too long, now that its timer has fired.
    pub fn is_call_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        self.calls
            .get_mut(number)
            .is_some_and(|call| call.is_due(number, event_loop))
    }

    /// Takes note of what a call has brought, before its updates are applied; closes one that is
    /// over.
    pub fn note_progress(&mut self, number: u32, progress: &CallProgress, now: Nanos) {
        if progress.spoke {
            self.sync = SyncState::Synced;
        }
        if progress.end.is_some()
            && let Some(call) = self.calls.remove(number)
            && now.saturating_sub(call.opened_at()) > STABLE_WATCH_DURATION
        {
            self.backoff.reset();
        }
    }

    /// Discovery has confirmed the list: the next update says what has changed since.
    pub fn confirm(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// Applies an update that discovery has sent.
    pub fn apply(
        &mut self,
        update: &EndpointUpdate,
        event_loop: &EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> AppliedUpdate {
        let freshness = if update.revision < self.revision {
            diagnostics.log(
                event_loop.now(),
                "older-list",
                format_args!("rev={} known={}", update.revision, self.revision),
            );
            Freshness::Older
        } else {
            Freshness::Current
        };
        self.apply_as(freshness, update, event_loop, diagnostics)
    }

    /// Applies the list from before the start of the node.
    pub fn apply_cached(
        &mut self,
        update: &EndpointUpdate,
        event_loop: &EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> AppliedUpdate {
        self.apply_as(Freshness::Cached, update, event_loop, diagnostics)
    }

    fn apply_as(
        &mut self,
        freshness: Freshness,
        update: &EndpointUpdate,
        event_loop: &EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> AppliedUpdate {
        let now = event_loop.now();
        self.revision = update.revision;
        let observation = StartObservation::new(event_loop.clock(), now, self.confirmed_at);
        let applied = self.endpoints.apply(&observation, update, freshness);
        if diagnostics.is_tracing() {
            diagnostics.trace(
                now,
                format_args!(
                    "notified rev={} all={}",
                    update.revision,
                    u8::from(update.all)
                ),
            );
            for line in self.endpoints.trace_lines(update, now) {
                diagnostics.trace(now, format_args!("endpoint {line}"));
            }
        }
        applied
    }
}
