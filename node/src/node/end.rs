//! The end of a node: from SIGTERM to the last answer.

use kitefork::Nanos;

use super::{Due, Node};
use crate::client::Session;
use crate::clock::{MS, SECOND};

/// New connections are still taken for this long after SIGTERM: the front does not know yet.
const ACCEPT_ON: Nanos = 600 * MS;
/// After SIGTERM all is over within the longest deadline, counted as 3 s where it is longer, and this:
/// SIGKILL may come 0.2 s later.
const DRAIN_MORE: Nanos = 500 * MS;
const LONGEST_DRAIN: Nanos = 3 * SECOND;

impl Node {
    pub(super) fn begin_drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.log.line(self.now, "sigterm", format_args!("sessions={}", self.sessions.len()));
        let longest = self.deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        self.wheel.hang(self.now + ACCEPT_ON, Due::StopAccepting);
        self.wheel.hang(self.now + longest.clamp(ACCEPT_ON, LONGEST_DRAIN) + DRAIN_MORE, Due::EndDrain);
    }

    /// Takes whoever still waits, then nobody; sessions without a req end.
    pub(super) fn stop_accepting(&mut self) {
        self.set_accepting(true);
        self.accept();
        self.listener = None;
        let numbers: Vec<u32> = self.sessions.iter().map(|(number, _)| number).collect();
        for number in numbers {
            // A request that has come while nobody looked is served, not cut off.
            self.read_session(number);
            if self.sessions.get(number).is_some_and(Session::is_idle) {
                self.close_session(number);
            }
        }
    }

    /// SIGKILL is near: whatever waits gets its answer now.
    pub(super) fn end_drain(&mut self) {
        for req in self.reqs.unanswered() {
            self.reqs.give_back(self.now, req);
        }
        self.settle();
        let numbers: Vec<u32> = self.sessions.iter().map(|(number, _)| number).collect();
        for number in numbers {
            self.close_session(number);
        }
    }
}
