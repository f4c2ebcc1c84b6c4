//! Connection attempts to one box that run against each other. Only connections are raced, never a request: that
//! waits for the one that comes up.

use crate::AddressId;
use std::collections::VecDeque;

/// Attempts that run at once. Each that comes up costs the box a handshake, also the one that loses.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// The attempts for one connection.
#[derive(Debug, Default)]
pub struct ConnectionRace {
    waiting: VecDeque<AddressId>,
    running: Vec<AddressId>,
}

impl ConnectionRace {
    /// Addresses in the order in which they are to be tried.
    pub fn new(order: impl IntoIterator<Item = AddressId>) -> Self {
        ConnectionRace { waiting: order.into_iter().collect(), running: Vec::new() }
    }

    /// Begins the next attempt: at the start, when one failed, and when the delay is over. The address to connect
    /// to; nothing if none is left, or as many run as may.
    pub fn start_next(&mut self) -> Option<AddressId> {
        if self.running.len() >= MAX_CONCURRENT_ATTEMPTS {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.running.push(id);
        Some(id)
    }

    /// Is there an address that could be tried beside those that are?
    pub fn can_start_another(&self) -> bool {
        self.running.len() < MAX_CONCURRENT_ATTEMPTS && !self.waiting.is_empty()
    }

    /// Those that run.
    pub fn in_progress(&self) -> &[AddressId] {
        &self.running
    }

    /// An attempt failed. True if the race goes on: another runs, or can be begun.
    pub fn attempt_failed(&mut self, id: AddressId) -> bool {
        self.running.retain(|r| *r != id);
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// An attempt came up: the race is over, and the others are to be closed at once. They stand for nothing that
    /// the winner does not do as well, and count at the box.
    pub fn attempt_succeeded(&mut self, id: AddressId) -> Vec<AddressId> {
        self.waiting.clear();
        let mut losers = std::mem::take(&mut self.running);
        losers.retain(|r| *r != id);
        losers
    }
}
