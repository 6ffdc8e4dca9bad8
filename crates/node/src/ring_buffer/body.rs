//! Bodies of messages, counted against the memory budget.

use std::ops::Deref;

use super::BufferBudget;

/// Bodies of up to this many bytes are accepted even if the budget is exhausted: a few clients with
/// long bodies must not keep out all others. The number of connections bounds what this adds.
pub(super) const UNLIMITED_BODY_BYTES: usize = 4 * 1024;

/// The body of a message, whose bytes are counted against a budget.
#[derive(Default)]
pub struct Body {
    bytes: Vec<u8>,
    budget: BufferBudget,
}

impl Body {
    /// An empty body that is counted against `budget`.
    pub fn with_budget(budget: &BufferBudget) -> Body {
        Body {
            bytes: Vec::new(),
            budget: budget.clone(),
        }
    }

    /// Appends `additional`, unless the budget is exhausted and the body would be longer than
    /// [`UNLIMITED_BODY_BYTES`]; returns whether the bytes were appended.
    #[must_use]
    pub fn extend(&mut self, additional: &[u8]) -> bool {
        let is_short = self.bytes.len() + additional.len() <= UNLIMITED_BODY_BYTES;
        if self.budget.is_exhausted() && !is_short {
            return false;
        }
        self.budget.resize(0, additional.len());
        self.bytes.extend_from_slice(additional);
        true
    }

    /// Removes the first `count` bytes and returns them.
    ///
    /// # Panics
    ///
    /// If the body is shorter than `count` bytes.
    pub fn split_front(&mut self, count: usize) -> Vec<u8> {
        self.budget.resize(count, 0);
        self.bytes.drain(..count).collect()
    }

    /// Moves the content into a new body and leaves this one empty.
    pub fn take(&mut self) -> Body {
        Body {
            bytes: std::mem::take(&mut self.bytes),
            budget: self.budget.clone(),
        }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.budget.resize(self.bytes.len(), 0);
    }
}
