//! The proxy's timers: request deadlines, attempt and connection time-outs, and the balancer's own timers.

use calicosaddle::api::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What to do when a timer expires. Timers that expire at the same time fire in the order of this enumeration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// A timer requested by the balancer, by its token.
    Balancer(u64),
    /// The deadline of a request has passed.
    RequestDeadline(RequestId),
    /// The client of a request shut down its sending side [`crate::request::HALF_CLOSE_GRACE`] ago.
    HalfCloseGrace(RequestId),
    /// A written attempt of this request may have been carried out so long ago that nodes no longer recognise its repeats.
    RepeatLimit(RequestId),
    /// An attempt's own time-out, shorter than the request's deadline.
    AttemptTimeout(RequestId, u32),
    /// A connection to a cache node, by its key and serial number, must be established by now.
    ConnectTimeout(usize, u64),
    /// The same connection may now be tried over another address as well (the Connection Attempt Delay of RFC 8305).
    ConnectionAttemptDelay(usize, u64),
    /// The time-out of a copied read, by the copy's number.
    ShadowTimeout(u64),
    /// The periodic check of all connections for those that have waited too long.
    Sweep,
    /// Accepting resumes after descriptors ran out.
    ResumeAccept,
    /// The configuration is read again, which this machine could not do for a moment.
    RetryReload,
    /// The next step of the shutdown is due.
    ShutdownStep,
}

/// Timers ordered by expiry. They cannot be cancelled: the handler of an event ignores one that no longer applies.
/// The heap therefore holds at most the timers set within the longest deadline.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Nanos, TimerEvent)>>,
}

impl Timers {
    /// Sets a timer that expires at `at`.
    pub fn set(&mut self, at: Nanos, event: TimerEvent) {
        self.heap.push(Reverse((at, event)));
    }

    /// The expiry of the earliest timer.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it has expired.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<TimerEvent> {
        if self.next_expiry()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, event))| event)
    }
}
