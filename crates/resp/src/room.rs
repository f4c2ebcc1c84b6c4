//! Memory for long values.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for long values, shared by all connections.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    left: Rc<Cell<usize>>,
    all: usize,
}

impl MemoryBudget {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget { left: Rc::new(Cell::new(bytes)), all: bytes }
    }

    /// How large it is when nothing is taken.
    pub(crate) fn all(&self) -> usize {
        self.all
    }

    pub(crate) fn lease(&self, bytes: usize) -> Option<Reservation> {
        let left = self.left.get().checked_sub(bytes)?;
        self.left.set(left);
        Some(Reservation { room: self.clone(), bytes })
    }
}

/// A part of the room, given back when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    room: MemoryBudget,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.room.left.set(self.room.left.get() + self.bytes);
    }
}
