//! The memory budget for the values of commands.

use std::cell::Cell;
use std::rc::Rc;

/// A memory budget that the parsers of all connections share.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available: Rc<Cell<usize>>,
    capacity: usize,
}

impl MemoryBudget {
    /// A budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { available: Rc::new(Cell::new(bytes)), capacity: bytes }
    }

    /// The size of the whole budget.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Reserves `bytes`, or returns `None` if fewer are available.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let available = self.available.get().checked_sub(bytes)?;
        self.available.set(available);
        Some(Reservation { budget: self.clone(), bytes })
    }
}

/// A reserved part of the budget, returned to it on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.available.set(self.budget.available.get() + self.bytes);
    }
}
