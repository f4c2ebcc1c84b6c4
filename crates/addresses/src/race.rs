//! A connection race (Happy Eyeballs): concurrent connection attempts to the addresses of one box. Only connections are
//! raced, never a request, which waits for the connection that is established first.

use crate::AddressId;
use std::collections::VecDeque;

/// The most connection attempts in progress at once. Each connection that is established costs the box a handshake,
/// also one that loses the race.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// The attempts to open one connection.
#[derive(Debug, Default)]
pub struct ConnectionRace {
    untried: VecDeque<AddressId>,
    in_progress: Vec<AddressId>,
}

impl ConnectionRace {
    /// A race over these addresses, to be tried in this order.
    pub fn new(order: impl IntoIterator<Item = AddressId>) -> Self {
        ConnectionRace { untried: order.into_iter().collect(), in_progress: Vec::new() }
    }

    /// Starts the next attempt: at the beginning, when one failed, and when the attempt delay is over. Returns the
    /// address to connect to; `None` if none is left, or the maximum number of attempts is in progress.
    pub fn start_next(&mut self) -> Option<AddressId> {
        if self.in_progress.len() >= MAX_CONCURRENT_ATTEMPTS {
            return None;
        }
        let id = self.untried.pop_front()?;
        self.in_progress.push(id);
        Some(id)
    }

    /// Whether another address could be tried beside those in progress.
    pub fn can_start_another(&self) -> bool {
        self.in_progress.len() < MAX_CONCURRENT_ATTEMPTS && !self.untried.is_empty()
    }

    /// The addresses to which an attempt is in progress.
    pub fn in_progress(&self) -> &[AddressId] {
        &self.in_progress
    }

    /// An attempt failed. Returns true if the race goes on: another attempt is in progress, or can be started.
    pub fn attempt_failed(&mut self, id: AddressId) -> bool {
        self.in_progress.retain(|other| *other != id);
        !self.in_progress.is_empty() || !self.untried.is_empty()
    }

    /// An attempt succeeded, which ends the race. Returns the other attempts, which are to be closed at once: the winner
    /// replaces them, and they count against the box's connections.
    pub fn attempt_succeeded(&mut self, id: AddressId) -> Vec<AddressId> {
        self.untried.clear();
        let mut losers = std::mem::take(&mut self.in_progress);
        losers.retain(|other| *other != id);
        losers
    }
}
