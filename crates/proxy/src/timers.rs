//! What is due when: deadlines of requests and attempts, and the timers of the module.

use calicosaddle::api::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the module, by its token.
    Module(u64),
    /// A request's time is up.
    Deadline(RequestId),
    /// An attempt's own time-out, shorter than its request's.
    Attempt(RequestId, u32),
    /// A connection to a cache node that is not yet up, by its key and serial number.
    Connect(usize, u64),
    /// The same connection may be tried over another address as well.
    Stagger(usize, u64),
    /// A copy's time is up, by its number.
    Copy(u64),
    /// The round over all connections, for what waits too long.
    Sweep,
    /// The listener after it ran out of descriptors.
    Accept,
}

/// Timers in the order in which they fall due. None can be taken back: what is over is passed by when it
/// comes up, so the table holds no more than was begun within the longest deadline.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Nanos, Due)>>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Nanos, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    /// When the next timer falls due.
    pub fn next(&self) -> Option<Nanos> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes out a timer that has fallen due.
    pub fn pop(&mut self, now: Nanos) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
