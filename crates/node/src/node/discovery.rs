//! Discovery events: the progress of the calls, and the effect of endpoint updates on requests and
//! connections.

use kitefork_balancer::{Event, Outcome};
use rustix::event::epoll::EventFlags;

use super::Node;
use crate::config;
use crate::discovery::{
    AppliedUpdate, CallEnd, CallKind, CallProgress, EndpointUpdate, FailureNotice, WatchChange,
};

impl Node {
    /// Reloads the configuration and connects to the discovery address that it gives, at once and
    /// regardless of any backoff, because the old address soon stops answering. The endpoint list,
    /// the requests and the connections are kept. An invalid file changes nothing.
    pub(super) fn reload(&mut self) {
        let now = self.event_loop.now();
        match config::reload(|name| std::env::var(name).ok()) {
            Ok(address) => {
                self.diagnostics
                    .log(now, "reload", format_args!("discovery={address}"));
                for _ in 0..self.discovery.switch_address(address) {
                    self.open_discovery_call(CallKind::Poll);
                }
                // Opens the watch again, even if its backoff has not ended.
                self.open_discovery_call(CallKind::Watch);
            }
            Err(error) => self.diagnostics.log(now, "reload-failed", error),
        }
    }

    /// Opens or closes the watch on request of the decision module.
    pub(super) fn change_watch(&mut self, on: bool) {
        match self.discovery.change_watch(on) {
            WatchChange::Open => self.open_discovery_call(CallKind::Watch),
            WatchChange::Unchanged(update) => self.apply_update(&update),
        }
    }

    pub(super) fn open_discovery_call(&mut self, kind: CallKind) {
        let notice = self
            .discovery
            .open_call(kind, &mut self.event_loop, &mut self.diagnostics);
        self.notify_failure(notice);
    }

    pub(super) fn retry_discovery_call(&mut self, kind: CallKind) {
        let notice = self
            .discovery
            .retry_call(kind, &mut self.event_loop, &mut self.diagnostics);
        self.notify_failure(notice);
    }

    pub(super) fn hedge_discovery_watch(&mut self) {
        let notice = self
            .discovery
            .hedge_watch(&mut self.event_loop, &mut self.diagnostics);
        self.notify_failure(notice);
    }

    pub(super) fn start_discovery(&mut self) {
        let notice = self
            .discovery
            .start(&mut self.event_loop, &mut self.diagnostics);
        self.notify_failure(notice);
    }

    pub(super) fn end_discovery_backoff(&mut self) {
        let notice = self
            .discovery
            .end_backoff(&mut self.event_loop, &mut self.diagnostics);
        self.notify_failure(notice);
    }

    fn notify_failure(&mut self, notice: FailureNotice) {
        if notice == FailureNotice::NotifyBalancer {
            self.requests
                .feed(self.event_loop.now(), Event::DiscoveryFailed);
        }
    }

    pub(super) fn advance_discovery_call(&mut self, number: u32, flags: EventFlags) {
        let Some(progress) = self
            .discovery
            .advance_call(number, flags, &mut self.event_loop)
        else {
            return;
        };
        let retry_later = progress.retry_later;
        self.handle_call_progress(number, progress);
        if retry_later {
            self.discovery.pause_call(number, &mut self.event_loop);
        }
    }

    pub(super) fn discovery_deadline_due(&mut self, number: u32) {
        if self.discovery.is_call_due(number, &mut self.event_loop) {
            self.handle_call_progress(number, CallProgress::ended(CallEnd::TimedOut));
        }
    }

    fn handle_call_progress(&mut self, number: u32, progress: CallProgress) {
        let now = self.event_loop.now();
        self.discovery.note_progress(number, &progress, now);
        for update in &progress.updates {
            self.apply_update(update);
            self.discovery.record_confirmation(now);
        }
        if progress.received_object {
            self.discovery.record_confirmation(now);
        }
        if let Some(end) = progress.into_failure() {
            let notice =
                self.discovery
                    .call_failed(end, &mut self.event_loop, &mut self.diagnostics);
            self.notify_failure(notice);
        }
    }

    fn apply_update(&mut self, update: &EndpointUpdate) {
        let applied = self
            .discovery
            .apply(update, &self.event_loop, &mut self.diagnostics);
        self.handle_applied_update(applied);
    }

    pub(super) fn apply_cached_list(&mut self, update: &EndpointUpdate) {
        let applied = self
            .discovery
            .apply_cached(update, &self.event_loop, &mut self.diagnostics);
        self.handle_applied_update(applied);
    }

    /// Passes an applied update to the decision module and closes the idle connections to backends
    /// that must be disconnected. Attempts whose connection to such a backend is not established
    /// end too: each would write its first byte when the connection is established, and the rule
    /// that draining backends are sent no new attempts applies to that time. These attempts were
    /// not executed, so they can be retried elsewhere.
    fn handle_applied_update(&mut self, applied: AppliedUpdate) {
        let now = self.event_loop.now();
        self.requests.feed(now, applied.event);
        for backend in applied.disconnect {
            self.upstreams
                .close_idle(backend, now, &mut self.diagnostics);
            for number in self.upstreams.connecting_to(backend) {
                self.end_attempt(number, Outcome::ConnectFailed);
            }
        }
    }
}
