//! The limit on memory that all buffers share.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that all buffers together may hold; clones share one budget. Ring buffers and bodies count
/// themselves; while the budget is spent, bodies take nothing more. Guards against memory that
/// grows with the number of connections times the most that each can hold.
#[derive(Clone)]
pub struct BufferBudget {
    /// May fall below 0: ring buffers are counted but never rejected.
    pub(super) remaining: Rc<Cell<isize>>,
}

impl Default for BufferBudget {
    /// A budget that is never spent.
    fn default() -> BufferBudget {
        BufferBudget::new(usize::MAX)
    }
}

impl BufferBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> BufferBudget {
        // Half of the range: no count can overflow it.
        let bytes = bytes.min(isize::MAX as usize / 2);
        BufferBudget {
            remaining: Rc::new(Cell::new(bytes as isize)),
        }
    }

    /// Whether nothing of the budget remains.
    pub fn is_exhausted(&self) -> bool {
        self.remaining.get() <= 0
    }

    /// Counts a buffer that has grown or shrunk, in bytes.
    pub(super) fn resize(&self, old_size: usize, new_size: usize) {
        let remaining = self.remaining.get() + old_size as isize - new_size as isize;
        self.remaining.set(remaining);
    }
}
