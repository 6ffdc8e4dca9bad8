//! The events and the timer that a client connection registers with the event loop.

use rustix::event::epoll::EventFlags;
use rustix::io::Errno;

use super::{ClientConnection, ConnectionState};
use crate::counters::CloseReason;
use crate::diagnostics::Diagnostics;
use crate::errno::{self, ErrorClass};
use crate::event_loop::{EventLoop, MIN_RETRY, READ, READ_WRITE, TimerEvent, Token};
use crate::ring_buffer::WriteOutcome;

impl ClientConnection {
    /// The events that the current state of the connection needs.
    fn interest(&self) -> EventFlags {
        match (self.is_outbox_empty(), self.is_input_full()) {
            // The end of the client's stream is already known, and every poll would report it
            // again.
            _ if self.peer_closed => EventFlags::OUT,
            (true, false) => READ,
            (true, true) => EventFlags::RDHUP,
            (false, false) => READ_WRITE,
            (false, true) => EventFlags::OUT | EventFlags::RDHUP,
        }
    }

    fn register(
        &mut self,
        number: u32,
        event_loop: &EventLoop,
        interest: EventFlags,
    ) -> Result<(), Errno> {
        let was_watched = self.registration.flags().contains(EventFlags::IN);
        let token = Token::Client(number);
        event_loop.register(&mut self.registration, &self.socket, token, interest)?;
        if interest.contains(EventFlags::IN) && !was_watched {
            self.input.note_watched(event_loop.now());
        }
        Ok(())
    }

    fn update_deadline(&mut self, number: u32, event_loop: &mut EventLoop) {
        let at = self.state_deadline();
        event_loop.set_deadline(&mut self.deadline, at, TimerEvent::ClientDeadline(number));
    }

    /// Returns whether the deadline of the connection `number` has passed, after its timer has
    /// fired.
    pub fn is_due(&mut self, number: u32, event_loop: &mut EventLoop) -> bool {
        event_loop.is_due(&mut self.deadline, TimerEvent::ClientDeadline(number))
    }

    /// Pauses the connection `number` and resumes it after [`MIN_RETRY`], because the machine
    /// temporarily lacks resources. Until then its events are deregistered, as every poll would
    /// report them again.
    pub fn pause(&mut self, number: u32, event_loop: &mut EventLoop) {
        // If deregistering fails, events are still reported during the pause, and handling them may
        // fail again.
        let _ = self.register(number, event_loop, EventFlags::empty());
        self.update_deadline(number, event_loop);
        let resume_at = event_loop.now() + MIN_RETRY;
        event_loop.schedule(resume_at, TimerEvent::ResumeClient(number));
    }

    /// Writes the outbox, then sets the events and the deadline that the resulting state needs.
    ///
    /// # Errors
    ///
    /// The reason why the connection must be closed now.
    pub fn flush_and_register(
        &mut self,
        number: u32,
        event_loop: &mut EventLoop,
        diagnostics: &mut Diagnostics,
    ) -> Result<(), CloseReason> {
        let now = event_loop.now();
        let outcome = self.flush(now);
        if outcome == WriteOutcome::Broken {
            return Err(CloseReason::Broken);
        }
        if self.peer_closed && self.is_outbox_empty() && self.request.is_none() {
            return Err(match self.state {
                ConnectionState::Lingering => CloseReason::Answered,
                ConnectionState::Open | ConnectionState::Closing => CloseReason::ClientDisconnected,
            });
        }
        if outcome == WriteOutcome::RetryLater {
            self.pause(number, event_loop);
            return Ok(());
        }
        if let Err(error) = self.register(number, event_loop, self.interest()) {
            diagnostics.log(now, "epoll-failed", error);
            if errno::of_register(error) != ErrorClass::RetryLater {
                return Err(CloseReason::Broken);
            }
            event_loop.schedule(now + MIN_RETRY, TimerEvent::ResumeClient(number));
        }
        self.update_deadline(number, event_loop);
        if self.has_parsable_input() {
            event_loop.schedule(now, TimerEvent::ResumeClient(number));
        }
        Ok(())
    }
}
