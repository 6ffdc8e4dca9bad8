//! The loop's side of discovery: calls, and what their news does to connections.

use kitefork_balancer::{Event, Nanos, Outcome};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::Node;
use crate::clock::{MS, SECOND};
use crate::config;
use crate::discovery::{self, CallEnd, CallProgress, DiscoveryCall, EndpointUpdate, Freshness};
use crate::errno::{self, ErrorClass};
use crate::event_loop::{MIN_RETRY, READ, READ_WRITE, TimerEvent, Token};
use crate::fetch::{self, UpstreamConnection};
use crate::net;
use crate::ring_buffer::WriteOutcome;

/// A call that this machine could not start for a moment is made after this.
const CALL_RETRY: Nanos = 20 * MS;
/// Where lists are pushed: a failed call is made again after this at first, doubling ...
const SHORTEST: Nanos = 10 * MS;
/// ... up to this.
const MOST_WAIT: Nanos = 500 * MS;
/// A watch that has lasted for this long ends a row of failures; one that ends at once must not be
/// opened without a pause.
const STEADY: Nanos = SECOND;
/// A node that has heard nothing of its list for this long after its start serves from the one it
/// was given: old news are better than no service where discovery stays away. Ready within 10 s is
/// what operators ask.
const BLIND: Nanos = 9 * SECOND;

impl Node {
    /// Follows discovery to where the configuration now has it, and at once, whatever the
    /// decisions' backoff: the old one soon falls silent. Its calls are closed here, so that their
    /// end is no failure; the list, reqs and sessions live on. A bad file changes nothing.
    pub(super) fn reload(&mut self) {
        match config::reload(|name| std::env::var(name).ok()) {
            Ok(discovery) => {
                self.diagnostics.log(
                    self.event_loop.now(),
                    "reload",
                    format_args!("discovery={discovery}"),
                );
                self.discovery = discovery;
                let open: Vec<(u32, bool)> =
                    self.calls.iter().map(|(n, call)| (n, call.watch)).collect();
                for (number, _) in &open {
                    self.calls.remove(*number);
                }
                // A list that was on its way is still wanted; a watch is resumed, or opened early.
                open.iter()
                    .filter(|(_, watch)| !watch)
                    .for_each(|_| self.call(false));
                self.call(true);
            }
            Err(why) => self
                .diagnostics
                .log(self.event_loop.now(), "reload-failed", why),
        }
    }

    fn open_watch(&self) -> Option<u32> {
        self.calls
            .iter()
            .find(|(_, call)| call.watch)
            .map(|(number, _)| number)
    }

    pub(super) fn watch(&mut self, on: bool) {
        self.backing_off = false;
        let open = self.open_watch();
        if on && open.is_none() {
            return self.call(true);
        }
        // One is open already where a new configuration came before the end of a backoff.
        if !on && let Some(number) = open {
            self.calls.remove(number);
        }
        // Each call of the decisions gets one event: nothing has changed.
        self.apply_update(&EndpointUpdate {
            rev: self.revision,
            ..EndpointUpdate::default()
        });
    }

    /// Where lists are pushed the decisions never ask, yet over sockets what is pushed comes on a
    /// watch: the node keeps one open by itself from its start on. What the agent has counts as
    /// told whether or not this node has heard it, so no client is taken before it has spoken.
    pub(super) fn follow_pushes(&mut self) {
        if !self.deployment.settings.poll_endpoints {
            self.event_loop
                .schedule(self.event_loop.now() + BLIND, TimerEvent::ServeStaleList);
            self.call(true);
        }
    }

    pub(super) fn serve_stale_list(&mut self) {
        if !std::mem::replace(&mut self.list_synced, true) {
            self.diagnostics.log(
                self.event_loop.now(),
                "serving-stale-list",
                "discovery has not spoken: serving from the list that was given",
            );
        }
    }

    pub(super) fn watch_pushes(&mut self) {
        self.backing_off = false;
        if self.open_watch().is_none() {
            self.call(true);
        }
    }

    /// A part of the grace for drains, within these bounds: where lists are pushed, a node without
    /// a watch must be back on it well within that.
    fn part_of_grace(&self, part: Nanos, most: Nanos) -> Nanos {
        (self.deployment.settings.rules.drain_grace / part).clamp(SHORTEST, most)
    }

    pub(super) fn call(&mut self, watch: bool) {
        self.diagnostics.trace(
            self.event_loop.now(),
            format_args!("call watch={}", u8::from(watch)),
        );
        let opened = net::dial(self.discovery).and_then(|socket| {
            let number = self.calls.vacant().ok_or(Errno::MFILE)?;
            let mut call = DiscoveryCall::new(
                socket,
                watch,
                self.revision,
                self.discovery,
                self.event_loop.now(),
            );
            self.event_loop.register(
                &mut call.registration,
                &call.socket,
                Token::Discovery(number),
                READ_WRITE,
            )?;
            let asked = self.deployment.settings.poll_endpoints;
            let by = if asked {
                discovery::CONNECT_TIMEOUT
            } else {
                self.part_of_grace(2, discovery::CONNECT_TIMEOUT)
            };
            self.event_loop.set_deadline(
                &mut call.deadline,
                self.event_loop.now() + by,
                TimerEvent::DiscoveryDeadline(number),
            );
            self.calls.insert(call);
            Ok(())
        });
        let Err(error) = opened else { return };
        match errno::of_connect(error) {
            ErrorClass::ConnectionLost => self.call_failed(error),
            // Of this machine, for a moment: discovery has not failed, and its backoff would be too
            // long.
            _ => {
                self.diagnostics
                    .log(self.event_loop.now(), "call-postponed", error);
                self.event_loop.schedule(
                    self.event_loop.now() + CALL_RETRY,
                    TimerEvent::RetryDiscoveryCall { watch },
                );
            }
        }
    }

    /// Makes a call that the machine could not start before, unless a reload has made it meanwhile.
    pub(super) fn recall(&mut self, watch: bool) {
        if !watch || self.open_watch().is_none() {
            self.call(watch);
        }
    }

    /// The machine lacks something for a moment: the call is gone on with a little later, and has
    /// no event before that, which would come without a pause.
    fn retry_call(&mut self, number: u32) {
        let Some(call) = self.calls.get_mut(number) else {
            return;
        };
        let _ = self.event_loop.register(
            &mut call.registration,
            &call.socket,
            Token::Discovery(number),
            EventFlags::empty(),
        );
        self.event_loop.schedule(
            self.event_loop.now() + MIN_RETRY,
            TimerEvent::ResumeDiscoveryCall(number),
        );
    }

    fn call_failed(&mut self, why: impl std::fmt::Display) {
        self.diagnostics
            .trace(self.event_loop.now(), format_args!("call-failed why={why}"));
        self.diagnostics
            .log(self.event_loop.now(), "discovery-failed", why);
        // A call that a new configuration has brought forward may fail before the backoff is over:
        // the next one comes anyway, and there would from then on be two rows of calls.
        if std::mem::replace(&mut self.backing_off, true) {
            return;
        }
        if self.deployment.settings.poll_endpoints {
            self.requests
                .feed(self.event_loop.now(), Event::DiscoveryFailed);
        } else {
            // The agent is this node's own: no crowd of others calls it. At once first, then ever
            // more seldom.
            let wait = match self.failed_calls {
                0 => 0,
                n => self.part_of_grace(4, MOST_WAIT).min(SHORTEST << n.min(8)),
            };
            self.failed_calls += 1;
            self.event_loop
                .schedule(self.event_loop.now() + wait, TimerEvent::OpenWatch);
        }
    }

    pub(super) fn read_call(&mut self, number: u32, flags: EventFlags) {
        let Some(call) = self.calls.get_mut(number) else {
            return;
        };
        if flags.intersects(EventFlags::OUT) && !call.outbox.is_empty() {
            // A connection that did not come up shows when it is read.
            if call.outbox.write_to(&call.socket) == WriteOutcome::RetryLater {
                return self.retry_call(number);
            }
            if call.outbox.is_empty() {
                call.last_byte_at = self.event_loop.now();
            }
        }
        let wanted = if call.outbox.is_empty() {
            READ
        } else {
            READ_WRITE
        };
        if self
            .event_loop
            .register(
                &mut call.registration,
                &call.socket,
                Token::Discovery(number),
                wanted,
            )
            .is_err()
        {
            self.event_loop.schedule(
                self.event_loop.now() + MIN_RETRY,
                TimerEvent::ResumeDiscoveryCall(number),
            );
        }
        let progress = call.read(self.event_loop.now());
        let later = progress.later;
        if call.outbox.is_empty() {
            let time_limit = call.time_limit();
            self.event_loop.set_deadline(
                &mut call.deadline,
                time_limit,
                TimerEvent::DiscoveryDeadline(number),
            );
        }
        self.apply_progress(number, progress);
        if later {
            self.retry_call(number);
        }
    }

    pub(super) fn apply_progress(&mut self, number: u32, progress: CallProgress) {
        self.list_synced |= progress.spoke;
        if progress.over.is_some()
            && let Some(call) = self.calls.remove(number)
            && self.event_loop.now().saturating_sub(call.made) > STEADY
        {
            self.failed_calls = 0;
        }
        for update in &progress.updates {
            self.apply_update(update);
            // The next one tells what has changed since.
            self.confirmed = Some(self.event_loop.now());
        }
        if progress.spoke {
            self.confirmed = Some(self.event_loop.now());
        }
        if let Some(why) = progress.over.filter(|_| !progress.well) {
            self.call_failed(why);
        }
    }

    pub(super) fn call_due(&mut self, number: u32) {
        let Some(call) = self.calls.get_mut(number) else {
            return;
        };
        if self
            .event_loop
            .is_due(&mut call.deadline, TimerEvent::DiscoveryDeadline(number))
        {
            let over = Some(CallEnd::Silent);
            self.apply_progress(
                number,
                CallProgress {
                    over,
                    ..CallProgress::default()
                },
            );
        }
    }

    pub(super) fn apply_update(&mut self, update: &EndpointUpdate) {
        let age = if update.rev < self.revision {
            Freshness::Older
        } else {
            Freshness::Current
        };
        if age == Freshness::Older {
            self.diagnostics.log(
                self.event_loop.now(),
                "older-list",
                format_args!("rev={} known={}", update.rev, self.revision),
            );
        }
        self.apply_list(update, age);
    }

    pub(super) fn apply_list(&mut self, update: &EndpointUpdate, age: Freshness) {
        self.revision = update.rev;
        let heard = self
            .event_loop
            .clock()
            .observe(self.event_loop.now(), self.confirmed);
        let (event, ends) = self.endpoint_list.apply(&heard, update, age);
        if self.diagnostics.is_tracing() {
            self.diagnostics.trace(
                self.event_loop.now(),
                format_args!("notified rev={} all={}", update.rev, u8::from(update.all)),
            );
            for line in self.endpoint_list.lines(update, self.event_loop.now()) {
                self.diagnostics
                    .trace(self.event_loop.now(), format_args!("endpoint {line}"));
            }
        }
        self.requests.feed(self.event_loop.now(), event);
        for backend in ends {
            self.close_idle(backend);
            // What is not connected yet would write its first byte at any later time; the rule on
            // drains counts that byte. It never ran, so it can go elsewhere.
            let connecting = |(_, upstream): &(u32, &UpstreamConnection)| {
                upstream.backend == backend && upstream.state == fetch::UpstreamState::Connecting
            };
            let numbers: Vec<u32> = self
                .upstreams
                .iter()
                .filter(connecting)
                .map(|(n, _)| n)
                .collect();
            for number in numbers {
                self.end_attempt(number, Outcome::ConnectFailed);
            }
        }
    }
}
