//! The discovery client of the node: which calls are open, when a failed one is repeated, and how
//! recent the endpoint list is.

use std::net::SocketAddr;

use kitefork_balancer::{BackendId, Nanos};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::backoff::{Backoff, DiscoveryMode};
use super::call::{CallKind, CallProgress, DiscoveryCall, SendOutcome};
use super::endpoint_list::{AppliedUpdate, EndpointList, Freshness};
use super::hedging::{self, MAX_UNANSWERED_WATCHES, OverloadDetector};
use super::update::EndpointUpdate;
use crate::clock::{MS, SECOND};
use crate::diagnostics::Diagnostics;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent};
use crate::net;
use crate::slab::Slab;
use crate::start_time::StartObservation;

/// Maximum number of open calls: unanswered watches, or one that is answered, and a poll.
const MAX_CALLS: usize = MAX_UNANSWERED_WATCHES + 1;
/// Delay, in nanoseconds, after which a call that could not be opened for lack of local resources
/// is tried again.
const CALL_RETRY_DELAY: Nanos = 20 * MS;
/// A watch that has lasted longer than this, in nanoseconds, resets the number of consecutive
/// failures; one that ends at once must not be opened again without a delay.
const STABLE_WATCH_DURATION: Nanos = SECOND;
/// A node that has received nothing from discovery for this long after its start, in nanoseconds,
/// serves from the cached list: an old list is better than no service while discovery is
/// unreachable. Operators expect a node to be ready within 10 s.
const FIRST_UPDATE_TIMEOUT: Nanos = 9 * SECOND;

/// Whether requests may be served, or the node still waits for discovery after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncState {
    AwaitingFirstUpdate,
    Synced,
}

/// Whether the decision module must be notified that a call has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum FailureNotice {
    /// No notification is needed.
    Handled,
    /// The decision module must be notified, as it decides when to call again.
    NotifyBalancer,
}

/// What the node must do after a decision to open or close the watch.
#[derive(Debug)]
pub enum WatchChange {
    /// Open the watch.
    Open,
    /// Open nothing, and report this update, which has no entries: the decision module gets one
    /// event for each call that it requests.
    Unchanged(EndpointUpdate),
}

/// The open calls to discovery, their backoff, and the endpoint list.
pub struct Discovery {
    address: SocketAddr,
    mode: DiscoveryMode,
    calls: Slab<DiscoveryCall>,
    revision: u64,
    /// When data from discovery last confirmed the list, even if nothing had changed; `None` before
    /// the first data.
    confirmed_at: Option<Nanos>,
    /// When the first call was opened; `None` before that.
    first_call_at: Option<Nanos>,
    backoff: Backoff,
    overload: OverloadDetector,
    sync: SyncState,
    endpoints: EndpointList,
}

impl Discovery {
    /// Creates a client of discovery at `address` without open calls. `revision` is that of the
    /// cached list, which is still to be applied.
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
            first_call_at: None,
            backoff: Backoff::new(),
            overload: OverloadDetector::default(),
            sync: match mode {
                DiscoveryMode::Polled => SyncState::Synced,
                DiscoveryMode::Pushed { .. } => SyncState::AwaitingFirstUpdate,
            },
            endpoints,
        }
    }

    /// Number of open calls, watches and polls, including those that are not connected yet.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether requests may be served from the endpoint list.
    pub fn is_synced(&self) -> bool {
        self.sync == SyncState::Synced
    }

    /// Whether any backend is ready.
    pub fn has_ready(&self) -> bool {
        self.endpoints.has_ready()
    }

    /// The address on which a backend listens; `None` if it is not ready.
    pub fn ready_address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.endpoints.ready_address(backend)
    }

    /// Whether received data of any call may be waiting to be read; also `true` if the kernel can't
    /// tell.
    pub fn has_unread_bytes(&self) -> bool {
        self.calls.iter().any(|(_, call)| call.has_unread_bytes())
    }

    /// Where lists are pushed, opens the watch that the node keeps open; no request is served until
    /// discovery has sent data or the time limit for that has passed. Where lists are polled, does
    /// nothing.
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

    /// Serves from the cached list from now on, if discovery has sent nothing yet.
    pub fn serve_stale_list(&mut self, now: Nanos, diagnostics: &mut Diagnostics) {
        if std::mem::replace(&mut self.sync, SyncState::Synced) == SyncState::AwaitingFirstUpdate {
            diagnostics.log(
                now,
                "serving-stale-list",
                "no data from discovery since the start: serving from the cached list",
            );
        }
    }

    /// Switches to discovery at another address and closes all calls, so that their end does not
    /// count as a failure. Returns how many polls were open, as the lists that they requested are
    /// still needed.
    pub fn switch_address(&mut self, address: SocketAddr) -> usize {
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

    /// Handles a decision of the decision module whether a watch is to be open.
    pub fn change_watch(&mut self, should_be_open: bool) -> WatchChange {
        self.backoff.end();
        let open = self.open_watch();
        if should_be_open && open.is_none() {
            return WatchChange::Open;
        }
        // A watch that should be opened may be open already: a reload before the end of the backoff
        // has opened it.
        if !should_be_open && let Some(number) = open {
            self.calls.remove(number);
        }
        WatchChange::Unchanged(EndpointUpdate {
            revision: self.revision,
            ..EndpointUpdate::default()
        })
    }

    /// Ends the backoff where lists are pushed, and opens the watch unless one is open.
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

    /// Tries again to open a call that could not be opened for lack of local resources. A watch is
    /// not opened if a reload has opened one in the meantime.
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

    /// Opens a call. If discovery can't be reached, that counts as a failed call; for lack of local
    /// resources, the call is postponed.
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
        // The shortage is local and temporary: discovery has not failed, and the backoff would be
        // too long.
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
        let number = self.calls.next_number().ok_or(Errno::MFILE)?;
        let mut call = DiscoveryCall::new(socket, kind, self.revision, self.address, now);
        call.register(number, event_loop)?;
        call.set_deadline(now + self.mode.connect_timeout(), number, event_loop);
        self.calls.insert(call);
        self.first_call_at.get_or_insert(now);
        if kind == CallKind::Watch && self.mode == DiscoveryMode::Polled {
            event_loop.schedule(self.hedge_at(now), TimerEvent::HedgeWatch);
        }
        Ok(())
    }

    fn unanswered_watches(&self) -> impl Iterator<Item = (u32, &DiscoveryCall)> {
        self.calls
            .iter()
            .filter(|(_, call)| call.is_unanswered_watch())
    }

    /// The earliest time for a hedged call if the last call was started at `last_call_at`.
    fn hedge_at(&self, last_call_at: Nanos) -> Nanos {
        let unconfirmed_since = self.confirmed_at.or(self.first_call_at);
        hedging::hedge_at(last_call_at, unconfirmed_since.unwrap_or(last_call_at))
    }

    /// Opens another watch if one has been unanswered for too long; see [`hedging`].
    pub fn hedge_watch(
        &mut self,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        let opened_at = self.unanswered_watches().map(|(_, call)| call.opened_at());
        let Some(last_call_at) = opened_at.max() else {
            return FailureNotice::Handled;
        };
        let now = event_loop.now();
        // A later call has scheduled a timer of its own.
        if now < self.hedge_at(last_call_at) {
            return FailureNotice::Handled;
        }
        // The next check follows whether or not the machine can open the call now.
        event_loop.schedule(self.hedge_at(now), TimerEvent::HedgeWatch);
        if self.unanswered_watches().count() >= self.overload.max_unanswered_watches() {
            diagnostics.count("discovery", "not_hedged");
            return FailureNotice::Handled;
        }
        diagnostics.count("discovery", "hedged");
        self.open_call(CallKind::Watch, event_loop, diagnostics)
    }

    /// Logs a failed call and starts the backoff; where lists are pushed, also schedules the next
    /// call.
    pub fn call_failed(
        &mut self,
        reason: impl std::fmt::Display,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> FailureNotice {
        let now = event_loop.now();
        diagnostics.trace(now, format_args!("call-failed why={reason}"));
        diagnostics.log(now, "discovery-failed", reason);
        // While another watch is unanswered, it is the retry.
        if self.unanswered_watches().next().is_some() || !self.backoff.begin() {
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

    /// Writes and reads a call whose socket is ready; `None` if the call has been closed, or is
    /// paused for lack of resources.
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

    /// Pauses a call because the machine temporarily lacks resources, and resumes it after
    /// [`MIN_RETRY`]. Until then its events are deregistered, as every poll would report them
    /// again.
    pub fn pause_call(&mut self, number: u32, event_loop: &mut EventLoop) {
        if let Some(call) = self.calls.get_mut(number) {
            let _ = call.pause(number, event_loop);
            let at = event_loop.now() + MIN_RETRY;
            event_loop.schedule(at, TimerEvent::ResumeDiscoveryCall(number));
        }
    }

    /// Returns whether the deadline of a call has passed, after its timer has fired.
    pub fn is_call_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        self.calls
            .get_mut(number)
            .is_some_and(|call| call.is_due(number, event_loop))
    }

    /// Records the progress of a call before its updates are applied, and closes a call that has
    /// ended. The first answer to a watch closes the other watches that are unanswered.
    pub fn note_progress(&mut self, number: u32, progress: &CallProgress, now: Nanos) {
        if progress.received_object {
            self.sync = SyncState::Synced;
            self.overload.on_answer();
            self.close_unanswered_watches(number);
        }
        let Some(end) = &progress.end else { return };
        let Some(call) = self.calls.remove(number) else {
            return;
        };
        let duration = now.saturating_sub(call.opened_at());
        self.overload.on_end(end, duration);
        if duration > STABLE_WATCH_DURATION {
            self.backoff.reset();
        }
    }

    /// Closes the unanswered watches if the call `answered`, which has just received an object, is
    /// a watch.
    fn close_unanswered_watches(&mut self, answered: u32) {
        let kind = self.calls.get(answered).map(DiscoveryCall::kind);
        if kind != Some(CallKind::Watch) {
            return;
        }
        let unanswered: Vec<u32> = self
            .unanswered_watches()
            .map(|(number, _)| number)
            .collect();
        for number in unanswered {
            self.calls.remove(number);
        }
    }

    /// Records that discovery has confirmed the list at `now`: the next update contains what has
    /// changed since that time.
    pub fn record_confirmation(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// Applies an update that discovery has sent; logs it if its revision is lower than the known
    /// one.
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

    /// Applies the cached list, which is from before the start of the node.
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
