//! Executes the commands that the request table and the decision module have issued.

use kitefork_balancer::{BackendId, Nanos};

use super::Node;
use crate::clock::MS;
use crate::discovery::CallKind;
use crate::event_loop::TimerEvent;
use crate::request_table::Command;
use crate::upstream::{AttemptLimits, UpstreamAttempt};

/// Time within which a health check must be connected, written and answered, in nanoseconds.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;

impl Node {
    /// Handles all consequences of an event: executes the commands, then flushes the connections
    /// that have an answer to send, and repeats this until no command and no such connection is
    /// left.
    pub(super) fn flush_pending(&mut self) {
        loop {
            self.execute_commands();
            let Some(number) = self.clients.pop_answered() else {
                return;
            };
            self.flush_client(number);
        }
    }

    /// Counts denials and violations, then executes the queued commands in order, including those
    /// that are queued meanwhile.
    fn execute_commands(&mut self) {
        let now = self.event_loop.now();
        while let Some(denial) = self.requests.pop_denial() {
            self.diagnostics
                .count_denial(now, denial, format_args!("at=start"));
        }
        while let Some(violation) = self.requests.pop_violation() {
            self.report_violation(violation, format_args!("at=answer"));
        }
        while let Some(command) = self.requests.next_command() {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::StartAttempt {
                request,
                attempt,
                backend,
                abandon_at,
                write_by,
            } => {
                let attempt = UpstreamAttempt::Request { request, attempt };
                let limits = AttemptLimits {
                    abandon_at,
                    write_by,
                };
                self.start_attempt(backend, attempt, limits);
            }
            Command::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Command::Reply { connection, reply } => self.send_local_reply(connection, reply),
            Command::CloseIdleConnections(backend) => {
                let now = self.event_loop.now();
                self.upstreams
                    .close_idle(backend, now, &mut self.diagnostics);
            }
            Command::CheckHealth(backend) => self.check_health(backend),
            Command::SetTimer { at, timer } => self
                .event_loop
                .schedule(at, TimerEvent::BalancerTimer(timer)),
            Command::WatchEndpoints(on) => self.change_watch(on),
            Command::PollEndpoints => self.open_discovery_call(CallKind::Poll),
            Command::Log(line) => self.log_decision(line),
            Command::GossipUnsupported => self.log_decision("this node does not support gossip"),
        }
    }

    fn log_decision(&mut self, line: impl std::fmt::Display) {
        self.diagnostics
            .log(self.event_loop.now(), "decision", line);
    }

    fn check_health(&mut self, backend: BackendId) {
        let now = self.event_loop.now();
        let attempt = UpstreamAttempt::HealthCheck {
            backend,
            sent_at: now,
        };
        let limits = AttemptLimits {
            abandon_at: now + HEALTH_CHECK_TIMEOUT,
            write_by: now + HEALTH_CHECK_TIMEOUT,
        };
        self.start_attempt(backend, attempt, limits);
    }
}
