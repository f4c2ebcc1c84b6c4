//! Memory budgets for what arrives in parts: the values of commands, and the replies of cache nodes.
//!
//! A value takes memory as it arrives, so that a client which stops in the middle holds no more than it has sent, up to
//! a factor of two. Values that grow side by side could use up the budget with none of them complete. Therefore the
//! oldest incomplete value has priority: the others leave as much of the budget free as it still needs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The smallest step by which a reservation grows, unless fewer bytes are missing.
const MIN_STEP_BYTES: usize = 4 << 10;

/// A memory budget that all connections of one kind share.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    ledger: Rc<RefCell<Ledger>>,
    capacity: usize,
}

/// What is left of a budget, and which values still grow.
#[derive(Debug)]
struct Ledger {
    available: usize,
    /// The rank of the next incomplete value.
    next_rank: u64,
    /// How many bytes each incomplete value still needs, by its rank. The first has priority.
    missing: BTreeMap<u64, usize>,
}

impl Ledger {
    fn add(&mut self, missing: usize) -> u64 {
        let rank = self.next_rank;
        self.next_rank += 1;
        if missing > 0 {
            self.missing.insert(rank, missing);
        }
        rank
    }

    /// How many bytes the value with this rank may take now.
    fn room(&self, rank: u64) -> usize {
        let kept_free = match self.missing.first_key_value() {
            Some((first, missing)) if *first != rank => *missing,
            _ => 0,
        };
        self.available.saturating_sub(kept_free)
    }
}

impl MemoryBudget {
    /// A budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        let ledger = Ledger { available: bytes, next_rank: 0, missing: BTreeMap::new() };
        MemoryBudget { ledger: Rc::new(RefCell::new(ledger)), capacity: bytes }
    }

    /// The size of the whole budget.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// The number of bytes that are not reserved.
    pub fn available(&self) -> usize {
        self.ledger.borrow().available
    }

    /// How many bytes a value that begins now could take, beside those that are incomplete.
    pub fn room(&self) -> usize {
        let ledger = self.ledger.borrow();
        ledger.room(ledger.next_rank)
    }

    /// Begins a reservation for a value of up to this length. It holds nothing yet.
    pub fn begin(&self, length: usize) -> Reservation {
        let rank = self.ledger.borrow_mut().add(length);
        Reservation { ledger: self.ledger.clone(), rank, held: 0, missing: length }
    }
}

/// A part of the budget, which grows up to the length of a value. It is returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    ledger: Rc<RefCell<Ledger>>,
    rank: u64,
    held: usize,
    missing: usize,
}

impl Reservation {
    /// Takes the next step, which is as large as what is held already; returns its size, or `None` if there is no
    /// room for it.
    pub(crate) fn grow(&mut self) -> Option<usize> {
        let mut ledger = self.ledger.borrow_mut();
        let least = self.missing.min(MIN_STEP_BYTES);
        let step = self.missing.min(self.held.max(MIN_STEP_BYTES)).min(ledger.room(self.rank));
        if step < least {
            return None;
        }
        ledger.available -= step;
        (self.held, self.missing) = (self.held + step, self.missing - step);
        match self.missing {
            0 => ledger.missing.remove(&self.rank),
            missing => ledger.missing.insert(self.rank, missing),
        };
        Some(step)
    }

    /// Changes how many bytes are held: at most as many as there is room for, up to its length.
    pub fn hold(&mut self, bytes: usize) {
        let mut ledger = self.ledger.borrow_mut();
        let length = self.held + self.missing;
        let bytes = bytes.min(length).min(self.held + ledger.available);
        ledger.available = ledger.available + self.held - bytes;
        (self.held, self.missing) = (bytes, length - bytes);
        match self.missing {
            0 => ledger.missing.remove(&self.rank),
            missing => ledger.missing.insert(self.rank, missing),
        };
    }

    /// How many bytes it could take now.
    pub fn room(&self) -> usize {
        self.ledger.borrow().room(self.rank)
    }

    /// Gives up the priority of an incomplete value: it becomes the youngest.
    pub(crate) fn yield_priority(&mut self) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.missing.remove(&self.rank);
        self.rank = ledger.add(self.missing);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.available += self.held;
        ledger.missing.remove(&self.rank);
    }
}
