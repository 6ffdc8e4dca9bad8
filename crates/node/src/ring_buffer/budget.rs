//! The memory limit that all buffers share.

use std::cell::Cell;
use std::rc::Rc;

/// The number of bytes that all buffers together may hold; clones share one budget. Ring buffers
/// and bodies count their bytes against the budget. While the budget is exhausted, bodies accept no
/// more bytes. Without the budget, memory could grow to the number of connections times the maximum
/// that each can hold.
#[derive(Clone)]
pub struct BufferBudget {
    /// Remaining bytes. May be negative: ring buffers are counted but may grow even when none
    /// remain.
    pub(super) remaining: Rc<Cell<isize>>,
}

impl Default for BufferBudget {
    /// A budget that is never exhausted in practice.
    fn default() -> BufferBudget {
        BufferBudget::new(usize::MAX)
    }
}

impl BufferBudget {
    /// A budget of `bytes` bytes, which all clones share.
    pub fn new(bytes: usize) -> BufferBudget {
        // Half of the range of `isize`, so that no change of the count overflows it.
        let bytes = bytes.min(isize::MAX as usize / 2);
        BufferBudget {
            remaining: Rc::new(Cell::new(bytes as isize)),
        }
    }

    /// Whether no bytes of the budget remain.
    pub fn is_exhausted(&self) -> bool {
        self.remaining.get() <= 0
    }

    /// Accounts for a buffer that grows or shrinks from `old_size` to `new_size` bytes.
    pub(super) fn resize(&self, old_size: usize, new_size: usize) {
        let remaining = self.remaining.get() + old_size as isize - new_size as isize;
        self.remaining.set(remaining);
    }
}
