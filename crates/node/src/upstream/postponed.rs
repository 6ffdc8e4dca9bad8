//! The attempts that wait for a connection.

use super::attempt::{PostponedDial, UpstreamAttempt};
use crate::event_loop::{EventLoop, MIN_RETRY, TimerEvent};

/// The attempts that have no connection yet. They are all tried again after [`MIN_RETRY`].
#[derive(Default)]
pub struct PostponedDials {
    dials: Vec<PostponedDial>,
}

impl PostponedDials {
    /// Adds an attempt, and schedules the next try unless one is scheduled already.
    pub fn add(&mut self, dial: PostponedDial, event_loop: &mut EventLoop) {
        if self.dials.is_empty() {
            let at = event_loop.now() + MIN_RETRY;
            event_loop.schedule(at, TimerEvent::RetryPostponedDials);
        }
        self.dials.push(dial);
    }

    /// Removes and returns all attempts, to try them again.
    pub fn take_all(&mut self) -> Vec<PostponedDial> {
        std::mem::take(&mut self.dials)
    }

    /// Whether an attempt of a request is postponed.
    pub fn contains(&self, request: u32) -> bool {
        self.find(request).is_some()
    }

    /// Removes and returns the postponed attempt of a request, if it has one.
    pub fn remove(&mut self, request: u32) -> Option<UpstreamAttempt> {
        let position = self.find(request)?;
        Some(self.dials.remove(position).attempt)
    }

    fn find(&self, request: u32) -> Option<usize> {
        self.dials
            .iter()
            .position(|dial| dial.attempt.request() == Some(request))
    }
}
